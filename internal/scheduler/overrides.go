package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// A machine that can't reach its owner sends its heartbeats to other controllers, which redirect
// it to the owner. Repeated redirects show that the machine can't reach its owner. The controller
// that sees them proposes a view that makes itself the owner (an override), that removes an owner
// from service if many machines can't reach it, or that keeps machines in their own zones.

// redirect is a heartbeat that was redirected to the machine's owner.
type redirect struct {
	at     time.Duration
	owner  string // with its incarnation: redirects to an earlier incarnation don't count
	weight int
	zone   string // zone of the machine
}

// heartbeatID identifies a heartbeat of a machine.
type heartbeatID struct{ agentEpoch, sequence uint64 }

// overrideChange counts the recent changes of a machine's override.
type overrideChange struct {
	count  int
	lastAt time.Duration
}

// isFlapping reports whether the machine's override changed so often recently that it must not
// change again for now.
func (o overrideChange) isFlapping(now time.Duration) bool {
	return o.count >= tuning.MaxOverrideChanges && now-o.lastAt < tuning.OverrideChangeWindow
}

// recordOverrides records which overrides a new view adds or changes. previous is the view before
// it, or nil if there is none.
func (v *views) recordOverrides(previous, view *domain.View, now time.Duration) {
	for machine := range v.overrideSeenAt {
		if _, ok := view.OwnerOverrides[machine]; !ok {
			delete(v.overrideSeenAt, machine)
		}
	}
	for machine, owner := range view.OwnerOverrides {
		if previous == nil {
			v.overrideSeenAt[machine] = now
			continue
		}
		if previous.OwnerOverrides[machine] == owner {
			continue
		}
		v.overrideSeenAt[machine] = now
		changes := v.overrideChanges[machine]
		if now-changes.lastAt > tuning.OverrideChangeWindow {
			changes.count = 0
		}
		v.overrideChanges[machine] = overrideChange{changes.count + 1, now}
	}
}

// recordRedirect records that a heartbeat was redirected to the machine's owner. A machine that
// was already answered under the current view has certainly lost its owner, so that one redirect
// of it counts in full. Another machine may only be looking for its owner.
func (c *Controller) recordRedirect(heartbeat *domain.Heartbeat, owner string) {
	// A delayed copy of a heartbeat says nothing about the machine's present state, and a
	// machine that answers don't reach tries all controllers in turn. Neither may change the
	// machine's owner repeatedly.
	last := c.views.lastRedirect[heartbeat.Machine]
	if heartbeat.AgentEpoch < last.agentEpoch || heartbeat.AgentEpoch == last.agentEpoch && heartbeat.Sequence <= last.sequence {
		return
	}
	c.views.lastRedirect[heartbeat.Machine] = heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
	if c.views.overrideChanges[heartbeat.Machine].isFlapping(c.now) {
		return
	}
	owner = c.cache.withIncarnation(owner)
	weight := 1
	if heartbeat.FencingToken == c.cache.view.Epoch {
		weight = tuning.RedirectCount
	}
	recent := c.views.redirects[heartbeat.Machine][:0]
	for _, earlier := range c.views.redirects[heartbeat.Machine] {
		if earlier.isRecent(owner, c.now) {
			recent = append(recent, earlier)
		}
	}
	c.views.redirects[heartbeat.Machine] = append(recent, redirect{c.now, owner, weight, heartbeat.Zone})
}

// withIncarnation returns a controller's name with its incarnation in the view.
func (c *cache) withIncarnation(controller string) string {
	return controller + "/" + c.view.Members[controller]
}

// isRecent reports whether the redirect still counts for an owner, given with its incarnation.
func (r redirect) isRecent(owner string, now time.Duration) bool {
	return now-r.at < tuning.RedirectWindow && r.owner == owner
}

// unreachableResult is what the redirects show about unreachable owners.
type unreachableResult struct {
	owners      map[string]bool // owners that many machines can't reach
	machines    map[string]bool // machines that this controller should own instead
	acrossZones []string        // machines of this zone that can't reach owners in other zones
}

// cutOffMachine is a machine that can't reach its owner.
type cutOffMachine struct{ name, zone string }

// unreachableOwners determines for each owner the consequence of the machines that can't reach
// it.
func (c *Controller) unreachableOwners() unreachableResult {
	isLarge := c.isLargeFleet()
	cutOff := c.cutOffMachines(isLarge)
	result := unreachableResult{owners: map[string]bool{}, machines: map[string]bool{}}
	for _, owner := range slices.Sorted(maps.Keys(cutOff)) {
		if owner == c.cfg.Controller || owner == "" {
			continue
		}
		machines := cutOff[owner]
		slices.SortFunc(machines, func(a, b cutOffMachine) int { return cmp.Compare(a.name, b.name) })
		// If all these machines are in another zone than the owner, those in the owner's zone may
		// still reach it.
		acrossZones := isLarge && c.areAcrossZones(owner, machines)
		switch {
		case !acrossZones && c.peers.isUnreachableForMany(owner, len(machines)):
			result.owners[owner] = true
		case acrossZones && !c.isPeerFresh(owner):
			for _, machine := range machines {
				result.acrossZones = append(result.acrossZones, machine.name)
			}
		default:
			for _, machine := range machines {
				result.machines[machine.name] = true
			}
		}
	}
	return result
}

// cutOffMachines returns the machines that can't reach their owners, by owner. It also removes
// machines all of whose redirects no longer count.
func (c *Controller) cutOffMachines(isLarge bool) map[string][]cutOffMachine {
	cutOff := map[string][]cutOffMachine{}
	for machine, redirects := range c.views.redirects {
		owner := c.ownerIn(machine, redirects[len(redirects)-1].zone)
		recent := c.recentRedirects(redirects, c.cache.withIncarnation(owner))
		if recent.weight == 0 {
			delete(c.views.redirects, machine)
		}
		if recent.weight >= tuning.RedirectCount && (!isLarge || recent.arePersistent(c.now)) {
			cutOff[owner] = append(cutOff[owner], cutOffMachine{machine, recent.zone})
		}
	}
	return cutOff
}

// redirectSum summarizes the redirects of one machine that still count.
type redirectSum struct {
	weight      int
	first, last time.Duration
	zone        string // zone in the machine's newest heartbeat among them
}

// recentRedirects summarizes those redirects of a machine that still count for an owner, given
// with its incarnation.
func (c *Controller) recentRedirects(redirects []redirect, owner string) redirectSum {
	sum := redirectSum{first: c.now}
	for _, earlier := range redirects {
		if earlier.isRecent(owner, c.now) {
			sum.weight += earlier.weight
			sum.first, sum.last = min(sum.first, earlier.at), max(sum.last, earlier.at)
			sum.zone = earlier.zone
		}
	}
	return sum
}

// arePersistent reports whether a machine's redirects have gone on long enough to show, in a large
// fleet, that it can't reach its owner. There are two other causes of redirects:
//
//   - After a controller ends, all machines of its shard try other controllers before its lease
//     expires, and the view without it follows shortly. Moving the machines one by one before that
//     would change the view repeatedly and leave their tasks in other shards' packs.
//   - Controllers see a new view at different times and redirect a machine to each other meanwhile.
//
// Redirects therefore count only if the machine came back after it tried its owner without success.
func (s redirectSum) arePersistent(now time.Duration) bool {
	return now-s.first >= tuning.RedirectPersistence && s.last-s.first >= tuning.MinRedirectSpan
}

// areAcrossZones reports whether the owner is in another zone than this controller, and all the
// machines are in this controller's zone.
func (c *Controller) areAcrossZones(owner string, machines []cutOffMachine) bool {
	ownZone := c.cfg.ZoneOf[c.cfg.Controller]
	return c.cfg.ZoneOf[owner] != ownZone &&
		!slices.ContainsFunc(machines, func(machine cutOffMachine) bool { return machine.zone != ownZone })
}

// isUnreachableForMany reports whether the owner should not serve because count machines can't
// reach it: it compares count with the number of machines in the owner's last message.
func (p *peers) isUnreachableForMany(owner string, count int) bool {
	owned := 0
	if peer := p.byName[owner]; peer != nil {
		owned = len(peer.machines)
	}
	return count >= tuning.UnreachableMachines && 100*count > tuning.UnreachablePercent*owned
}

// isPeerFresh reports whether this controller received a message from the given controller
// recently.
func (c *Controller) isPeerFresh(controller string) bool {
	peer := c.peers.byName[controller]
	return peer != nil && c.now-peer.receivedAt <= tuning.PeerFresh
}

// chooseOverrides keeps the present overrides that still have a reason, and makes this controller
// the owner of the machines in wanted. The view must stay below the size limit of a value, or it
// could never change again. The number of overrides is therefore limited, and machines beyond the
// limit wait. Overrides beyond it in a view written under larger limits are dropped: any
// controller may own a machine after a change of epoch.
func (c *Controller) chooseOverrides(proposal *viewProposal, wanted map[string]bool) {
	maxOverrides := max(8, (c.cfg.ValueLimit-tuning.ViewBytes)/tuning.OverrideBytes)
	if len(proposal.present.OwnerOverrides) > maxOverrides && (c.cache.isFormatOn() || c.formats.limitsLowered) {
		proposal.changed = true
	}
	overrides := proposal.next.OwnerOverrides
	if !proposal.next.OwnedByZone {
		for _, machine := range slices.Sorted(maps.Keys(proposal.present.OwnerOverrides)) {
			if len(overrides) >= maxOverrides {
				break
			}
			if owner := proposal.present.OwnerOverrides[machine]; c.keepsOverride(proposal.next, machine, owner) {
				overrides[machine] = owner
			}
		}
	}
	for _, machine := range slices.Sorted(maps.Keys(wanted)) {
		if _, present := overrides[machine]; !present && len(overrides) >= maxOverrides {
			continue
		}
		if overrides[machine] != c.cfg.Controller {
			overrides[machine] = c.cfg.Controller
			proposal.overridesChanged = true
			delete(c.views.redirects, machine)
		}
	}
	if proposal.next.OwnedByZone && !proposal.present.OwnedByZone {
		clear(c.views.redirects)
	}
}

// keepsOverride reports whether a present override is kept in the next view. In a large fleet it
// expires after tuning.OverrideLifetime; if its cause persists, redirects lead to a new one.
func (c *Controller) keepsOverride(next *domain.View, machine, owner string) bool {
	if c.isLargeFleet() && c.now-c.views.overrideSeenAt[machine] > tuning.OverrideLifetime {
		return false
	}
	_, isMember := next.Members[owner]
	return isMember && !c.cache.isReturned(machine) && ownership.Rendezvous(machine, next.Serving) != owner
}

// mayChangeOverrides reports whether a view may be proposed for a change of overrides alone. In a
// large fleet there is a pause after each view, since each new view fails all commits under way.
func (c *Controller) mayChangeOverrides() bool {
	return !c.isLargeFleet() || c.now-c.views.adoptedAt >= tuning.OverridePause
}
