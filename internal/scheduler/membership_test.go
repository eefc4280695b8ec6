package scheduler

import (
	"time"

	"brassglade/internal/membership"
	"brassglade/internal/monotime"
)

// confirmNow gives the controller a new lease and member key, and confirms its view by a
// request sent just before now, so that requests that come now still wait for a read index.
func (c *Controller) confirmNow() {
	m, now := &c.membership, c.now-1
	m.RenewalAnswered(now, membership.LeaseGone)
	m.MaintainLease(now, m.Incarnation())
	m.LeaseAnswered(now, true, 1)
	m.MaintainLease(now, m.Incarnation())
	m.MemberKeyAnswered(now, true)
	c.confirmViewAt(now)
}

// reachReadIndex confirms the view by a request sent now, so that the cache has reached a
// read index for requests that came up to now.
func (c *Controller) reachReadIndex() { c.confirmViewAt(c.now) }

func (c *Controller) confirmViewAt(sent time.Duration) {
	m := &c.membership
	m.ConfirmationFailed(sent) // ends an earlier request that may be in flight
	m.ConfirmSoon(sent)
	if !m.StartConfirmation(sent, monotime.At(sent)) {
		panic("no confirmation is due, or the cache holds no snapshot")
	}
	m.ConfirmationAnswered(sent, true, c.cache.revision)
	m.CacheReached(c.cache.revision)
}
