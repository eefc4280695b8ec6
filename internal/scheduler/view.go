package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/quota"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// views is what this controller weighs when it proposes views, and what it derives from
// the present one.
type views struct {
	proposing       bool
	proposal        steady.Gate              // no proposal before
	review          steady.Gate              // not looked whether one is needed before
	adoptedAt       time.Duration            // when the view was taken from the watch
	redirects       map[string][]redirect    // heartbeats sent on to their owners, by machine
	lastRedirect    map[string]heartbeatID   // newest heartbeat that was sent on, by machine
	notServingSince map[string]time.Duration // by controller
	peersHeardSince steady.Instant           // since when all serving peers are heard
	zoneSilentAt    map[string]time.Duration // when most of a zone's machines were last silent
	ownersView      *domain.View             // that ownerByMachine was made for
	ownerByMachine  map[string]string
	overrideChanges map[string]overrideChange // by machine
	overrideSeenAt  map[string]time.Duration  // when an override was first seen, by machine
}

func newViews() views {
	return views{
		redirects: map[string][]redirect{}, lastRedirect: map[string]heartbeatID{},
		notServingSince: map[string]time.Duration{}, zoneSilentAt: map[string]time.Duration{},
		overrideChanges: map[string]overrideChange{}, overrideSeenAt: map[string]time.Duration{},
	}
}

// --- a new view arrives ---

// adoptView takes a newer view from the watch.
func (c *Controller) adoptView(view *domain.View) {
	old := c.cache.view
	c.cache.view, c.views.adoptedAt = view, c.now
	c.membership.ViewChanged()
	c.updateOwnership(old)
	c.clearQueues()
	c.views.recordOverrides(old, view, c.now)
	c.planner.pendingReleases = map[attemptID]bool{} // their transactions named the old view
	c.commits.inDoubt = inDoubtCommit{}
	c.reportShareOverruns()
	if old == nil || old.Leader != view.Leader {
		c.scaling = newScaling(c.scaling.rentalCount)
	}
	args := []any{"epoch", view.Epoch, "leader", view.Leader, "serving", view.Serving, "overrides", len(view.OwnerOverrides)}
	if view.Zoned {
		args = append(args, "zoned", true)
	}
	c.info("view", args...)
}

// clearQueues empties the queues of all machines: who owns them, and which tasks wait
// here, may have changed.
func (c *Controller) clearQueues() {
	c.queues.machineOf = map[domain.TaskID]string{}
	for _, m := range c.heartbeats.machines {
		m.queue = nil
	}
	for _, j := range c.cache.jobs {
		j.queuedHere = 0
	}
}

// reportShareOverruns logs where a controller has more booked than its share of a team's
// limit allows.
func (c *Controller) reportShareOverruns() {
	for team, byNode := range c.cache.usage {
		for node, use := range byNode {
			if share := c.cache.shares[team].ByNode[node]; !share.Fits(quota.Bounded(use, c.cfg.Teams[team].Limit)) {
				c.info("bookings exceed a node's share", "team", team, "node", node, "share", share, "bookings", use)
			}
		}
	}
}

// --- proposals ---

// proposeView proposes a new view where the member keys, or machines that can't reach
// their owners, ask for one. Only the conditional write decides.
func (c *Controller) proposeView() {
	if !c.canProposeView() {
		return
	}
	c.views.review.Close(c.now + min(tuning.Tick, c.pace()))
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
		c.views.proposal.Close(c.now + tuning.ProposePause + time.Duration(c.rng.Int64N(int64(tuning.ProposePause))))
	})
}

// canProposeView tells whether this controller may propose a view, and it is time to see
// whether one is needed.
func (c *Controller) canProposeView() bool {
	return !c.views.proposing && c.membership.IsSynced() &&
		c.membership.HasMemberKey(c.cache.members[c.cfg.Node]) &&
		c.views.proposal.IsOpen(c.now) && c.views.review.IsOpen(c.now)
}

// viewDraft is a view in the making.
type viewDraft struct {
	present          *domain.View
	next             *domain.View
	changed          bool // it differs from the present view, overrides aside
	overridesChanged bool // a machine is given to this controller
}

// desiredView is the view that this controller would rather have, nil if the present one
// will do.
func (c *Controller) desiredView() *domain.View {
	present := c.cache.view
	next := &domain.View{Members: maps.Clone(c.cache.members), OwnerOverrides: map[string]string{}}
	members := slices.Sorted(maps.Keys(next.Members))
	if present == nil {
		next.Serving, next.Leader = members, members[0]
		return next
	}
	proposal := &viewDraft{present: present, next: next, changed: !maps.Equal(present.Members, next.Members)}
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

// chooseServing has all members serve, less those that no machine reached lately.
func (c *Controller) chooseServing(proposal *viewDraft, members []string) {
	for _, node := range members {
		stayed := proposal.present.Members[node] == proposal.next.Members[node]
		if stayed && !slices.Contains(proposal.present.Serving, node) {
			since, ok := c.views.notServingSince[node]
			if !ok {
				c.views.notServingSince[node], since = c.now, c.now
			}
			if c.now-since < tuning.ServeAgainAfter {
				continue
			}
			proposal.changed = true
		}
		delete(c.views.notServingSince, node)
		proposal.next.Serving = append(proposal.next.Serving, node)
	}
}

// excludeUnreachable takes owners that many machines can't reach out of service, but never
// the last one.
func (c *Controller) excludeUnreachable(proposal *viewDraft, owners map[string]bool) {
	for owner := range owners {
		if len(proposal.next.Serving) > 1 && slices.Contains(proposal.next.Serving, owner) {
			proposal.next.Serving = slices.DeleteFunc(proposal.next.Serving, func(node string) bool { return node == owner })
			proposal.changed = true
			clear(c.views.redirects)
		}
	}
}

// chooseZoned decides whether machines belong to the controllers of their own zones.
// Overrides have room for only some of the machines that can't reach their owners while
// zones are apart, and each would be a change of the view.
func (c *Controller) chooseZoned(proposal *viewDraft, lost *unreachableResult) {
	proposal.next.Zoned = proposal.present.Zoned && !c.zonesReconnected() || len(lost.otherZone) >= tuning.MinMachinesCutOff
	if proposal.next.Zoned != proposal.present.Zoned {
		proposal.changed = true
	}
	if proposal.next.Zoned {
		clear(lost.machines)
		return
	}
	for _, machine := range lost.otherZone {
		lost.machines[machine] = true
	}
}

// zonesReconnected tells whether the zones are no longer apart: all serving controllers
// have been heard for a while. Only the leader's word counts, so that a controller cut off
// from its peers alone doesn't decide.
func (c *Controller) zonesReconnected() bool {
	if !c.arePeersFresh() {
		c.views.peersHeardSince = steady.Instant{}
		return false
	}
	if !c.views.peersHeardSince.IsKnown() {
		c.views.peersHeardSince = steady.At(c.now)
	}
	heardFor := c.now - c.views.peersHeardSince.Time()
	return c.isLeader() && heardFor > tuning.MinZonedTime && c.now-c.views.adoptedAt > tuning.MinZonedTime
}
