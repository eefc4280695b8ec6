package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/membership"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// What this file does for package membership: it carries the requests that are due out as
// effects, hands the answers in, and says what the cache and the view have.

// maintainLease asks for a lease, its renewal and the member key when they are due.
func (c *Controller) maintainLease() {
	before := c.membership.Lease()
	due := c.membership.MaintainLease(c.now, c.cache.members[c.cfg.Node])
	c.logLeaseChange(before)
	if due.Grant {
		c.emit(GrantLease{TTL: tuning.LeaseTTL})
	}
	if due.WriteMemberKey {
		c.writeMemberKey()
	}
	if due.Renew {
		c.emit(RenewLease{LeaseID: c.membership.LeaseID()})
	}
}

// logLeaseChange adds a line to the log if the lease's state is no longer the one before.
func (c *Controller) logLeaseChange(before membership.LeaseState) {
	if state := c.membership.Lease(); state != before {
		c.debug("lease", "state", state.String(), "lease_id", c.membership.LeaseID())
	}
}

// onLeaseGranted hands in the answer to GrantLease.
func (c *Controller) onLeaseGranted(answer LeaseGranted) {
	before := c.membership.Lease()
	c.membership.LeaseGranted(c.now, answer.OK, answer.LeaseID)
	c.logLeaseChange(before)
}

// onLeaseRenewal hands in the answer to RenewLease.
func (c *Controller) onLeaseRenewal(answer LeaseRenewalAnswered) {
	before := c.membership.Lease()
	outcome := membership.RenewalFailed
	switch {
	case answer.Gone:
		outcome = membership.LeaseGone
	case answer.OK:
		outcome = membership.Renewed
	}
	c.membership.RenewalAnswered(c.now, outcome)
	c.logLeaseChange(before)
}

// writeMemberKey writes this incarnation under the member key, which the state service
// deletes when the lease expires.
func (c *Controller) writeMemberKey() {
	memberKey := domain.Put{
		Key:     codec.PrefixMember + c.cfg.Node,
		Value:   codec.Encode(c.membership.Incarnation()),
		LeaseID: c.membership.LeaseID(),
	}
	c.commit(LaneView, domain.Transaction{Puts: []domain.Put{memberKey}}, func(result domain.CommitResult, _ CommitAnswered) {
		before := c.membership.Lease()
		c.membership.MemberKeyAnswered(c.now, result == domain.Committed)
		c.logLeaseChange(before)
	})
}

// mayAct tells whether this controller may act now: view and lease were confirmed by
// requests sent less than the fence age ago, the cache has reached what they saw, and the
// view has it as this incarnation.
func (c *Controller) mayAct() bool {
	if !c.membership.IsSynced() || c.cache.view == nil {
		return false
	}
	return !c.isGuardEnabled(GuardFence) || c.membership.MayAct(c.now, c.cache.view.Members[c.cfg.Node])
}

// isMemberOf tells whether a view has this incarnation.
func (c *Controller) isMemberOf(view *domain.View) bool {
	return view != nil && view.Members[c.cfg.Node] == c.membership.Incarnation()
}

// confirmView asks the state service whether the view still holds, and for a read index.
func (c *Controller) confirmView() {
	var newestReader monotime.Instant
	if n := len(c.requests.waiting); n > 0 {
		newestReader = monotime.At(c.requests.waiting[n-1].askedAt) // in the order in which they asked
	}
	if c.membership.StartConfirmation(c.now, newestReader) {
		c.emit(ConfirmView{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]})
	}
}

// onConfirmation hands in the answer to ConfirmView. Without one, users who wait for a read
// index are sent away.
func (c *Controller) onConfirmation(answer ConfirmationAnswered) {
	if !answer.OK {
		c.membership.ConfirmationFailed(c.now)
		c.failWaiters()
		return
	}
	c.membership.ConfirmationAnswered(c.now, answer.Same, answer.Revision)
	c.applyConfirmations()
}

// applyConfirmations counts the confirmations that the cache has caught up with, and
// answers who waited for them.
func (c *Controller) applyConfirmations() {
	c.membership.CacheReached(c.cache.revision)
	c.answerWaiters()
}

// --- readiness ---

// canTakeRequests tells whether this controller can take users' requests.
func (c *Controller) canTakeRequests() bool { return c.mayAct() && len(c.cache.machineTypes) > 0 }

// Ready is what GET /up answers.
func (c *Controller) Ready() bool { return c.membership.IsReady() }

// updateReadiness settles what GET /up says. A controller that once was ready steps back
// only when another one can take requests. While the state service answers nobody, leaving
// the load balancer would help no user, and its pauses, which double, would keep all
// controllers out after the outage; users are told at once when to come back instead.
func (c *Controller) updateReadiness() {
	if c.canTakeRequests() && c.membership.HasRecentStateResponse(c.now) {
		c.membership.BecomeReady()
		return
	}
	if c.membership.IsReady() {
		c.membership.MaybeBecomeUnready(c.now, c.anotherCanTakeRequests())
	}
}

// anotherCanTakeRequests tells whether users are better served by another controller while
// this one takes no requests. Either a peer says that the state service answers it, or no
// peer is heard at all: then it is this controller that is cut off, since in an outage of
// the state service alone the peers still talk.
func (c *Controller) anotherCanTakeRequests() bool {
	heard := false
	for _, peer := range c.peers.byName {
		if c.now-peer.heardAt >= tuning.PeerFresh {
			continue
		}
		if peer.stateReachable {
			return true
		}
		heard = true
	}
	return !heard && len(c.cfg.Nodes) > 1
}
