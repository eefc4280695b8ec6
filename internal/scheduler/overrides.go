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

// A machine that can't reach its owner comes to other controllers, which send it on: a
// redirect. Redirects that repeat show that the machine can't reach its owner, and whoever sees
// them proposes a view that gives the machine to itself (an override), takes an owner that
// many machines miss out of service, or keeps machines in their own zones.

// redirect is a heartbeat that was sent on to the machine's owner.
type redirect struct {
	at     time.Duration
	owner  string // and its incarnation: a new one starts afresh
	weight int
	zone   string // the machine's
}

// redirectMark names a heartbeat of one machine.
type redirectMark struct{ agentEpoch, sequence uint64 }

// overrideChange counts a machine's changes of override.
type overrideChange struct {
	count  int
	lastAt time.Duration
}

// isRestless tells whether the machine's override changed so often lately that it must
// not change again for now.
func (o overrideChange) isRestless(now time.Duration) bool {
	return o.count >= tuning.MaxOverrideChanges && now-o.lastAt < tuning.OverrideChangeMemory
}

// noteOverrides remembers which overrides a new view brings and changes. old is the view
// before, nil for none.
func (v *views) noteOverrides(old, view *domain.View, now time.Duration) {
	for machine := range v.overrideSeenAt {
		if _, ok := view.OwnerOverrides[machine]; !ok {
			delete(v.overrideSeenAt, machine)
		}
	}
	for machine, owner := range view.OwnerOverrides {
		if old == nil {
			v.overrideSeenAt[machine] = now
			continue
		}
		if old.OwnerOverrides[machine] == owner {
			continue
		}
		v.overrideSeenAt[machine] = now
		changes := v.overrideChanges[machine]
		if now-changes.lastAt > tuning.OverrideChangeMemory {
			changes.count = 0
		}
		v.overrideChanges[machine] = overrideChange{changes.count + 1, now}
	}
}

// recordRedirect remembers that a heartbeat was sent on to the machine's owner. A machine
// that had an answer in this epoch has lost its owner for certain; another may only just
// be looking for it.
func (c *Controller) recordRedirect(heartbeat *domain.Heartbeat, owner string) {
	// A late copy of a heartbeat says nothing about the machine now, and a machine that
	// answers don't reach comes round to all controllers: neither may move it again and
	// again.
	last := c.views.lastRedirect[heartbeat.Machine]
	if heartbeat.AgentEpoch < last.agentEpoch || heartbeat.AgentEpoch == last.agentEpoch && heartbeat.Sequence <= last.sequence {
		return
	}
	c.views.lastRedirect[heartbeat.Machine] = redirectMark{heartbeat.AgentEpoch, heartbeat.Sequence}
	if c.views.overrideChanges[heartbeat.Machine].isRestless(c.now) {
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

// withIncarnation is a controller's name together with its incarnation in the view.
func (c *cache) withIncarnation(node string) string {
	return node + "/" + c.view.Members[node]
}

// isRecent tells whether the redirect still counts, for an owner with its incarnation.
func (r redirect) isRecent(owner string, now time.Duration) bool {
	return now-r.at < tuning.RedirectWindow && r.owner == owner
}

// lostOwners is what redirects tell.
type lostOwners struct {
	owners   map[string]bool // that many machines can't reach
	machines map[string]bool // that this controller should rather own
	apart    []string        // machines of this zone that reach none of another zone's owners
}

// strandedMachine can't reach its owner.
type strandedMachine struct{ name, zone string }

// unreachableOwners judges each owner by the machines that can't reach it.
func (c *Controller) unreachableOwners() lostOwners {
	isLarge := c.isLargeFleet()
	stranded := c.strandedMachines(isLarge)
	lost := lostOwners{owners: map[string]bool{}, machines: map[string]bool{}}
	for _, owner := range slices.Sorted(maps.Keys(stranded)) {
		if owner == c.cfg.Controller || owner == "" {
			continue
		}
		machines := stranded[owner]
		slices.SortFunc(machines, func(a, b strandedMachine) int { return cmp.Compare(a.name, b.name) })
		// Machines of its own zone may well reach it, if all these are of another.
		across := isLarge && c.areAcrossZones(owner, machines)
		switch {
		case !across && c.peers.isMissedByMany(owner, len(machines)):
			lost.owners[owner] = true
		case across && !c.hearsPeer(owner):
			for _, machine := range machines {
				lost.apart = append(lost.apart, machine.name)
			}
		default:
			for _, machine := range machines {
				lost.machines[machine.name] = true
			}
		}
	}
	return lost
}

// strandedMachines are the machines that can't reach their owners, by owner. Redirects
// that no longer count are forgotten.
func (c *Controller) strandedMachines(isLarge bool) map[string][]strandedMachine {
	stranded := map[string][]strandedMachine{}
	for machine, redirects := range c.views.redirects {
		owner := c.ownerIn(machine, redirects[len(redirects)-1].zone)
		recent := c.recentRedirects(redirects, c.cache.withIncarnation(owner))
		if recent.weight == 0 {
			delete(c.views.redirects, machine)
		}
		if recent.weight >= tuning.RedirectCount && (!isLarge || recent.areSettled(c.now)) {
			stranded[owner] = append(stranded[owner], strandedMachine{machine, recent.zone})
		}
	}
	return stranded
}

// redirectSum is what the redirects of one machine that still count amount to.
type redirectSum struct {
	weight      int
	first, last time.Duration
	zone        string // the machine's, as it last named it
}

// recentRedirects sums up those redirects of a machine that still count for an owner, which is
// given with its incarnation.
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

// areSettled tells whether the redirects count in a large fleet. There the machines of a
// controller that ended come round before its lease expires, its whole shard: the view
// without it is on its way, and moving them one by one would change the view again and
// again, and leave their tasks in other shards' packs. Controllers also see a new view one
// after the other, and send a machine to and fro meanwhile: only one that came back after
// trying its owner in vain has lost it.
func (s redirectSum) areSettled(now time.Duration) bool {
	return now-s.first >= tuning.RedirectSettle && s.last-s.first >= tuning.RedirectReturn
}

// areAcrossZones tells whether the owner is in another zone than this controller, and all
// the machines are in this controller's.
func (c *Controller) areAcrossZones(owner string, machines []strandedMachine) bool {
	own := c.cfg.ZoneOf[c.cfg.Controller]
	return c.cfg.ZoneOf[owner] != own &&
		!slices.ContainsFunc(machines, func(machine strandedMachine) bool { return machine.zone != own })
}

// isMissedByMany tells whether so many machines can't reach the owner, of those that it
// last said to hear, that it should not serve.
func (p *peers) isMissedByMany(owner string, count int) bool {
	owned := 0
	if peer := p.byName[owner]; peer != nil {
		owned = len(peer.machines)
	}
	return count >= tuning.UnreachableMachines && 100*count > tuning.UnreachablePercent*owned
}

// hearsPeer tells whether this controller heard another lately.
func (c *Controller) hearsPeer(node string) bool {
	peer := c.peers.byName[node]
	return peer != nil && c.now-peer.receivedAt <= tuning.PeerFresh
}

// chooseOverrides keeps what overrides still have a reason, and gives this controller the
// machines that should rather be its own. The view must stay under the size of a value, or
// it could never change again: overrides have room up to a bound, and machines beyond it
// wait. Those of a view written under larger limits are dropped beyond it: any controller
// may own a machine after a change of epoch.
func (c *Controller) chooseOverrides(proposal *viewProposal, wanted map[string]bool) {
	most := max(8, (c.cfg.ValueLimit-tuning.ViewBytes)/tuning.OverrideBytes)
	if len(proposal.present.OwnerOverrides) > most && (c.cache.isFormatOn() || c.formats.limitsLowered) {
		proposal.changed = true
	}
	overrides := proposal.next.OwnerOverrides
	if !proposal.next.OwnedByZone {
		for _, machine := range slices.Sorted(maps.Keys(proposal.present.OwnerOverrides)) {
			if len(overrides) >= most {
				break
			}
			if owner := proposal.present.OwnerOverrides[machine]; c.keepsOverride(proposal.next, machine, owner) {
				overrides[machine] = owner
			}
		}
	}
	for _, machine := range slices.Sorted(maps.Keys(wanted)) {
		if _, was := overrides[machine]; !was && len(overrides) >= most {
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

// keepsOverride tells whether a present override goes into the next view. In a large fleet
// it ends after a while: the machine comes back if the reason is still there.
func (c *Controller) keepsOverride(next *domain.View, machine, owner string) bool {
	if c.isLargeFleet() && c.now-c.views.overrideSeenAt[machine] > tuning.OverrideLifetime {
		return false
	}
	_, isMember := next.Members[owner]
	return isMember && !c.cache.isReturned(machine) && ownership.Rendezvous(machine, next.Serving) != owner
}

// mayChangeOverrides tells whether overrides alone are reason enough for a view. In a
// large fleet there is a pause between such views, since each fails all commits under way.
func (c *Controller) mayChangeOverrides() bool {
	return !c.isLargeFleet() || c.now-c.views.adoptedAt >= tuning.OverridePause
}
