package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/ownership"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// views is the state that this controller uses to propose views, and what it derives from the
// present view.
type views struct {
	proposing          bool                      // a proposal is in flight
	nextProposal       monotime.Deadline         // no proposal before then
	nextReview         monotime.Deadline         // no check whether a view is needed before then
	adoptedAt          time.Duration             // when the present view came with the watch
	redirects          map[string][]redirect     // heartbeats redirected to their owners, by machine
	lastRedirect       map[string]heartbeatID    // latest redirected heartbeat, by machine
	notServingSince    map[string]time.Duration  // controller -> since when it has been a member that does not serve
	allPeersFreshSince monotime.Instant          // since when the last message of every serving peer has been recent
	zoneSilentAt       map[string]time.Duration  // zone -> when more of its machines were last silent than on time
	ownersView         *domain.View              // the view that ownerByMachine was computed for
	ownerByMachine     map[string]string         // machine -> owner under ownersView
	overrideChanges    map[string]overrideChange // by machine
	overrideSeenAt     map[string]time.Duration  // when an override was first seen, by machine
}

func newViews() views {
	return views{
		redirects: map[string][]redirect{}, lastRedirect: map[string]heartbeatID{},
		notServingSince: map[string]time.Duration{}, zoneSilentAt: map[string]time.Duration{},
		overrideChanges: map[string]overrideChange{}, overrideSeenAt: map[string]time.Duration{},
	}
}

// --- adopting a view ---

// adoptView replaces the present view by one that came with the watch.
func (c *Controller) adoptView(view *domain.View) {
	old := c.cache.view
	c.cache.view, c.views.adoptedAt = view, c.now
	c.membership.ViewChanged()
	c.updateOwnership(old)
	c.clearQueues()
	c.views.recordOverrides(old, view, c.now)
	c.planner.pendingReleases = map[attemptID]bool{} // their transactions are conditional on the old view
	c.commits.inDoubt = inDoubtCommit{}
	c.reportShareOverruns()
	if old == nil || old.Leader != view.Leader {
		c.scaling = newScaling(c.scaling.rentalCount)
	}
	args := []any{"epoch", view.Epoch, "leader", view.Leader, "serving", view.Serving, "overrides", len(view.OwnerOverrides)}
	if view.OwnedByZone {
		args = append(args, "zoned", true)
	}
	c.info("view", args...)
}

// clearQueues empties the queues of all machines, because the owners of the machines, and the
// tasks that wait in this shard, may have changed.
func (c *Controller) clearQueues() {
	c.queues.machineOf = map[domain.TaskID]string{}
	for _, m := range c.heartbeats.machines {
		m.queue = nil
	}
	for _, j := range c.cache.jobs {
		j.queuedHere = 0
	}
}

// reportShareOverruns logs where a controller has booked more than its share of a team's limit.
func (c *Controller) reportShareOverruns() {
	for team, byController := range c.cache.usage {
		for controller, use := range byController {
			if share := c.cache.shares[team].ByController[controller]; !share.Fits(quota.OnlyLimited(use, c.cfg.Teams[team].Limit)) {
				c.info("bookings exceed a node's share", "team", team, "controller", controller, "share", share, "bookings", use)
			}
		}
	}
}

// --- proposals ---

// proposeView proposes a new view if the member keys have changed, or if machines can't reach
// their owners. Several controllers may propose one at the same time; the condition on the
// present view lets only one succeed.
func (c *Controller) proposeView() {
	if !c.canProposeView() {
		return
	}
	c.views.nextReview.Set(c.now + min(tuning.Tick, c.planInterval()))
	next := c.desiredView()
	if next == nil {
		return
	}
	next.Epoch = 1
	if c.cache.view != nil {
		next.Epoch = c.cache.view.Epoch + 1
	}
	c.views.proposing = true
	c.info("proposing a view", "epoch", next.Epoch, "leader", next.Leader, "serving", next.Serving)
	c.commit(LaneView, domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}},
		Puts:       []domain.Put{{Key: codec.KeyView, Value: codec.Encode(next)}},
	}, func(domain.CommitResult, CommitAnswered) {
		c.views.proposing = false
		c.views.nextProposal.Set(c.now + tuning.ProposePause + time.Duration(c.rng.Int64N(int64(tuning.ProposePause))))
	})
}

// canProposeView reports whether this controller may propose a view and the next check is due.
func (c *Controller) canProposeView() bool {
	return !c.views.proposing && c.membership.IsSynced() &&
		c.membership.HasMemberKey(c.cache.members[c.cfg.Controller]) &&
		c.views.nextProposal.HasPassed(c.now) && c.views.nextReview.HasPassed(c.now)
}

// viewProposal is a view that is being composed.
type viewProposal struct {
	present          *domain.View
	next             *domain.View
	changed          bool // differs from the present view in more than overrides
	overridesChanged bool // a machine is assigned to this controller by an override
}

// desiredView returns the view that should replace the present one; nil: the present view need
// not change.
func (c *Controller) desiredView() *domain.View {
	present := c.cache.view
	next := &domain.View{Members: maps.Clone(c.cache.members), OwnerOverrides: map[string]string{}}
	members := slices.Sorted(maps.Keys(next.Members))
	if present == nil {
		next.Serving, next.Leader = members, members[0]
		return next
	}
	proposal := &viewProposal{present: present, next: next, changed: !maps.Equal(present.Members, next.Members)}
	c.chooseServing(proposal, members)
	lost := c.unreachableOwners()
	c.excludeUnreachable(proposal, lost.owners)
	if len(next.Serving) == 0 {
		next.Serving = members
	}
	c.chooseZoned(proposal, &lost)
	c.chooseOverrides(proposal, lost.machines)
	next.Leader = ownership.NextLeader(present, next)
	if !proposal.changed && !(proposal.overridesChanged && c.mayChangeOverrides()) {
		return nil
	}
	return next
}

// chooseServing lets all members serve, except those that were taken out of service lately
// (tuning.ServeAgainAfter).
func (c *Controller) chooseServing(proposal *viewProposal, members []string) {
	for _, controller := range members {
		stayed := proposal.present.Members[controller] == proposal.next.Members[controller]
		if stayed && !slices.Contains(proposal.present.Serving, controller) {
			since, ok := c.views.notServingSince[controller]
			if !ok {
				c.views.notServingSince[controller], since = c.now, c.now
			}
			if c.now-since < tuning.ServeAgainAfter {
				continue
			}
			proposal.changed = true
		}
		delete(c.views.notServingSince, controller)
		proposal.next.Serving = append(proposal.next.Serving, controller)
	}
}

// excludeUnreachable takes owners that many machines can't reach out of service, unless no other
// controller would serve.
func (c *Controller) excludeUnreachable(proposal *viewProposal, owners map[string]bool) {
	for owner := range owners {
		if len(proposal.next.Serving) > 1 && slices.Contains(proposal.next.Serving, owner) {
			proposal.next.Serving = slices.DeleteFunc(proposal.next.Serving, func(controller string) bool { return controller == owner })
			proposal.changed = true
			clear(c.views.redirects)
		}
	}
}

// chooseZoned decides whether machines belong to controllers of their own zone only. This is
// needed while zones are cut off from each other: overrides have room for only some of the
// machines that can't reach their owners, and each override would be a change of the view.
func (c *Controller) chooseZoned(proposal *viewProposal, lost *unreachableResult) {
	proposal.next.OwnedByZone = proposal.present.OwnedByZone && !c.zonesReconnected() || len(lost.acrossZones) >= tuning.MinMachinesCutOff
	if proposal.next.OwnedByZone != proposal.present.OwnedByZone {
		proposal.changed = true
	}
	if proposal.next.OwnedByZone {
		clear(lost.machines)
		return
	}
	for _, machine := range lost.acrossZones {
		lost.machines[machine] = true
	}
}

// zonesReconnected reports whether the zones are connected again: messages of all serving
// controllers have kept arriving for longer than tuning.MinZonedTime, and the view is older than
// that. Only the leader may decide this, so that a controller that is cut off only from its peers
// does not.
func (c *Controller) zonesReconnected() bool {
	if !c.hasRecentMessageFromAllPeers() {
		c.views.allPeersFreshSince = monotime.Instant{}
		return false
	}
	if !c.views.allPeersFreshSince.IsSet() {
		c.views.allPeersFreshSince = monotime.At(c.now)
	}
	freshFor := c.now - c.views.allPeersFreshSince.Time()
	return c.isLeader() && freshFor > tuning.MinZonedTime && c.now-c.views.adoptedAt > tuning.MinZonedTime
}
