package scheduler

import (
	"time"

	"brassglade/internal/membership"
	"brassglade/internal/monotime"
)

// confirmNow gives the controller a fresh lease and member key, and confirms its view by a
// request sent just before now, so that who asks now still waits for a read index.
func (c *Controller) confirmNow() {
	m, now := &c.membership, c.now-1
	m.RenewalAnswered(now, membership.LeaseGone)
	m.MaintainLease(now, m.Incarnation())
	m.LeaseGranted(now, true, 1)
	m.MaintainLease(now, m.Incarnation())
	m.MemberKeyAnswered(now, true)
	c.confirmViewAt(now)
}

// reachReadIndex confirms the view by a request sent now.
func (c *Controller) reachReadIndex() { c.confirmViewAt(c.now) }

func (c *Controller) confirmViewAt(sent time.Duration) {
	m := &c.membership
	m.ConfirmationFailed(sent) // of an earlier request, if one is under way
	m.ConfirmSoon(sent)
	if !m.StartConfirmation(sent, monotime.At(sent)) {
		panic("a view is confirmed before the cache holds a snapshot")
	}
	m.ConfirmationAnswered(sent, true, c.cache.revision)
	m.CacheReached(c.cache.revision)
}
