package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/membership"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// This file connects package membership with the rest of the controller: it emits the requests
// that are due as effects, passes the responses on, and supplies what the cache and the view have.

// maintainLease requests a lease and its renewal, and writes the member key, whenever they
// are due.
func (c *Controller) maintainLease() {
	before := c.membership.Lease()
	due := c.membership.MaintainLease(c.now, c.cache.members[c.cfg.Controller])
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

// logLeaseChange logs the state of the lease if it differs from before.
func (c *Controller) logLeaseChange(before membership.LeaseState) {
	if state := c.membership.Lease(); state != before {
		c.debug("lease state changed", "state", state.String(), "lease_id", c.membership.LeaseID())
	}
}

// onLeaseAnswered handles the response to GrantLease.
func (c *Controller) onLeaseAnswered(answer LeaseAnswered) {
	before := c.membership.Lease()
	c.membership.LeaseAnswered(c.now, answer.OK, answer.LeaseID)
	c.logLeaseChange(before)
}

// onLeaseRenewal handles the response to RenewLease.
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
		Key:     codec.PrefixMember + c.cfg.Controller,
		Value:   codec.Encode(c.membership.Incarnation()),
		LeaseID: c.membership.LeaseID(),
	}
	c.commit(LaneView, domain.Transaction{Puts: []domain.Put{memberKey}}, func(result domain.CommitResult, _ CommitAnswered) {
		before := c.membership.Lease()
		c.membership.MemberKeyAnswered(c.now, result == domain.Committed)
		c.logLeaseChange(before)
	})
}

// mayAct reports whether this controller may act now: view and lease were confirmed by
// requests sent less than the fence age ago, the cache has reached the revision of the view's
// confirmation, and the view lists this incarnation.
func (c *Controller) mayAct() bool {
	if !c.membership.IsSynced() || c.cache.view == nil {
		return false
	}
	return !c.isGuardEnabled(GuardFence) || c.membership.MayAct(c.now, c.cache.view.Members[c.cfg.Controller])
}

// isMemberOf reports whether a view lists this incarnation.
func (c *Controller) isMemberOf(view *domain.View) bool {
	return view != nil && view.Members[c.cfg.Controller] == c.membership.Incarnation()
}

// confirmView asks the state service, whenever that is due, whether the view is still
// current. The response is a read index as well.
func (c *Controller) confirmView() {
	var newestReader monotime.Instant
	if n := len(c.requests.waiting); n > 0 {
		newestReader = monotime.At(c.requests.waiting[n-1].receivedAt) // the newest is last
	}
	if c.membership.StartConfirmation(c.now, newestReader) {
		c.emit(ConfirmView{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]})
	}
}

// onConfirmation handles the response to ConfirmView. If there is none, the users who wait
// for a read index are asked to retry later.
func (c *Controller) onConfirmation(answer ConfirmationAnswered) {
	if !answer.OK {
		c.membership.ConfirmationFailed(c.now)
		c.failWaiters()
		return
	}
	c.membership.ConfirmationAnswered(c.now, answer.Same, answer.Revision)
	c.applyConfirmations()
}

// applyConfirmations counts the confirmations that the cache has caught up with, and answers
// the requests that waited for them.
func (c *Controller) applyConfirmations() {
	c.membership.CacheReached(c.cache.revision)
	c.answerWaiters()
}

// --- readiness ---

// canTakeRequests reports whether this controller can take users' requests.
func (c *Controller) canTakeRequests() bool { return c.mayAct() && len(c.cache.machineTypes) > 0 }

// Ready reports whether GET /up answers that this controller is ready.
func (c *Controller) Ready() bool { return c.membership.IsReady() }

// updateReadiness updates the readiness that GET /up reports. A controller that was ready
// becomes unready only when another one can take requests. While the state service responds
// to no controller, leaving the load balancer would help no user, and because the load
// balancer's pauses double, all controllers would stay out of it for a while after the
// outage. Users are told when to retry instead.
func (c *Controller) updateReadiness() {
	if c.canTakeRequests() && c.membership.HasRecentStateResponse(c.now) {
		c.membership.BecomeReady()
		return
	}
	if c.membership.IsReady() {
		c.membership.MaybeBecomeUnready(c.now, c.anotherCanTakeRequests())
	}
}

// anotherCanTakeRequests reports whether another controller would serve users better while
// this one takes no requests. That is so if a peer reports that the state service responds to
// it, or if no message of any peer was received within tuning.PeerFresh: then this controller
// is the one that is cut off, since in an outage of the state service alone the peers still
// exchange messages.
func (c *Controller) anotherCanTakeRequests() bool {
	hasPeer := false
	for _, peer := range c.peers.byName {
		if c.now-peer.receivedAt >= tuning.PeerFresh {
			continue
		}
		if peer.stateReachable {
			return true
		}
		hasPeer = true
	}
	return !hasPeer && len(c.cfg.Controllers) > 1
}
