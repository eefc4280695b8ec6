package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// zoneOf returns the zone of a machine according to its heartbeats or its bookings, or "" if
// neither names it.
func (c *Controller) zoneOf(machine string) string {
	if m := c.heartbeats.machines[machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return c.cache.occupancy[machine].zone
}

// ownerOf returns the owner of a machine under the current view, or "" if there is none.
func (c *Controller) ownerOf(machine string) string { return c.ownerIn(machine, "") }

// ownerIn is like ownerOf for a caller that knows the machine's zone ("": unknown).
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

// owns reports whether this controller owns a machine under the current view.
func (c *Controller) owns(machine string) bool {
	return c.isMemberOf(c.cache.view) && c.ownerOf(machine) == c.cfg.Controller
}

// isLeader reports whether this process leads under the current view.
func (c *Controller) isLeader() bool {
	return c.isMemberOf(c.cache.view) && c.cache.view.Leader == c.cfg.Controller
}

// taskShard returns the shard in which a queued task waits. If the shard's controller doesn't
// serve, a hash of the job over the serving controllers determines the shard, without any write.
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

// shardOf returns the shard of a job, in which its tasks wait unless they were passed on.
func (c *cache) shardOf(j *Job) string { return c.taskShard(j, domain.Task{}) }

// updateOwnership begins or ends this controller's ownership of each machine after a change of
// the view. previous is the view before the change, or nil if there was none.
func (c *Controller) updateOwnership(previous *domain.View) {
	// Ownership continues only if this incarnation saw the view just before this one.
	continuous := c.isMemberOf(previous) && previous.Epoch+1 == c.cache.view.Epoch
	for machine := range c.knownMachines() {
		switch {
		case !c.owns(machine):
			c.endOwnership(machine)
		case continuous && ownership.OfMachine(previous, c.cfg.ZoneOf, machine, c.zoneOf(machine)) == c.cfg.Controller:
		default:
			c.takeOwnership(machine)
		}
	}
}

// knownMachines returns the machines that have sent a heartbeat here and those with bookings.
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

// endOwnership handles a machine that another controller owns: its queue is emptied, and it is
// forgotten if its zone is unknown.
func (c *Controller) endOwnership(machine string) {
	c.dequeueAll(machine)
	// The machine is known only by its bookings. If its zone becomes known later in a zoned
	// view, ownership must begin at that time and not at its earlier beginning.
	if m := c.heartbeats.machines[machine]; m != nil && m.Zone == "" {
		c.heartbeats.dropMachine(machine)
	}
}

// takeOwnership begins this controller's ownership of a machine.
func (c *Controller) takeOwnership(machine string) {
	m := c.heartbeats.machines[machine]
	if m == nil {
		m = c.heartbeats.addMachine(machine)
	}
	m.ownedEpoch, m.ownedSince, m.answeredAt = c.cache.view.Epoch, c.now, -1
	m.lastReportAt = c.now + tuning.TakeoverSilence
	m.lostReplies, m.sentToken, m.ownedReportAt = 0, 0, -1
	m.abandonedEpoch = 0 // may be outdated, since another owner has acted meanwhile
	clear(m.startsSent)
}
