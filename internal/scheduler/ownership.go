package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// zoneOf a machine, as its heartbeats or its bookings name it; "" if neither does.
func (c *Controller) zoneOf(machine string) string {
	if m := c.heartbeats.machines[machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return c.cache.occupancy[machine].zone
}

// ownerOf a machine under the current view, "" for none.
func (c *Controller) ownerOf(machine string) string { return c.ownerIn(machine, "") }

// ownerIn is ownerOf where the machine's zone is at hand.
func (c *Controller) ownerIn(machine, zone string) string {
	view := c.cache.view
	if view == nil {
		return ""
	}
	if c.views.ownersView != view {
		c.views.ownersView, c.views.ownerByMachine = view, map[string]string{}
	}
	owner, ok := c.views.ownerByMachine[machine]
	if !ok {
		if view.OwnedByZone && zone == "" {
			zone = c.zoneOf(machine)
		}
		if owner = ownership.OfMachine(view, c.cfg.ZoneOf, machine, zone); owner != "" {
			c.views.ownerByMachine[machine] = owner
		}
	}
	return owner
}

// owns tells whether this controller owns a machine under the current view.
func (c *Controller) owns(machine string) bool {
	return c.isMemberOf(c.cache.view) && c.ownerOf(machine) == c.cfg.Controller
}

// isLeader tells whether this process leads under the current view.
func (c *Controller) isLeader() bool {
	return c.isMemberOf(c.cache.view) && c.cache.view.Leader == c.cfg.Controller
}

// taskShard tells in whose shard a queued task waits. A shard whose controller doesn't
// serve falls to a hash over the view without any write.
func (c *cache) taskShard(j *Job, task domain.Task) string {
	shard := task.Shard
	if shard == "" {
		shard = j.Header.Shard
	}
	if c.view == nil {
		return shard
	}
	return ownership.OfShard(c.view, shard, j.ID)
}

// shardOf is the shard of a job, where its tasks wait unless they were passed on.
func (c *cache) shardOf(j *Job) string { return c.taskShard(j, domain.Task{}) }

// settleOwnership settles from when on this controller owns each machine, now that the
// view is no longer the old one, nil for none.
func (c *Controller) settleOwnership(old *domain.View) {
	// Continuous: this incarnation saw the view just before this one.
	continuous := c.isMemberOf(old) && old.Epoch+1 == c.cache.view.Epoch
	for machine := range c.knownMachines() {
		switch {
		case !c.owns(machine):
			c.endOwnership(machine)
		case continuous && ownership.OfMachine(old, c.cfg.ZoneOf, machine, c.zoneOf(machine)) == c.cfg.Controller:
		default:
			c.takeOwnership(machine)
		}
	}
}

// knownMachines are those heard and those with bookings.
func (c *Controller) knownMachines() map[string]bool {
	known := map[string]bool{}
	for machine := range c.heartbeats.machines {
		known[machine] = true
	}
	for machine := range c.cache.bookedOn {
		known[machine] = true
	}
	return known
}

// endOwnership lets go of a machine that another controller owns, if this one had it.
func (c *Controller) endOwnership(machine string) {
	c.dequeueAll(machine)
	// Known by its bookings alone: should its zone show again later in a zoned view,
	// ownership must begin then, not when it once began.
	if m := c.heartbeats.machines[machine]; m != nil && m.Zone == "" {
		c.heartbeats.dropMachine(machine)
	}
}

// takeOwnership starts this controller's ownership of a machine.
func (c *Controller) takeOwnership(machine string) {
	m := c.heartbeats.machines[machine]
	if m == nil {
		m = c.heartbeats.addMachine(machine)
	}
	m.ownedEpoch, m.ownedSince, m.answeredAt = c.cache.view.Epoch, c.now, -1
	m.heardAt = c.now + tuning.TakeoverSilence
	m.unheededReplies, m.sentToken, m.heartbeatAt = 0, 0, -1
	m.abandonedEpoch = 0 // another owner may have known better meanwhile
	clear(m.startsSent)
}
