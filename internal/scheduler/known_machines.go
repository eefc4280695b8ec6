package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/tuning"
)

// machineNames returns the names of the machines that this controller knows, sorted. The result
// is cached, since the set changes far less often than it is read.
func (h *heartbeats) machineNames() []string {
	if h.sortedNames == nil {
		h.sortedNames = slices.Sorted(maps.Keys(h.machines))
	}
	return h.sortedNames
}

// addMachine adds a machine. Only addMachine and dropMachine may change the set of machines: they
// discard the cached names, which would otherwise be outdated.
func (h *heartbeats) addMachine(name string) *Machine {
	m := newMachine(name)
	h.machines[name], h.sortedNames = m, nil
	return m
}

func (h *heartbeats) dropMachine(name string) {
	delete(h.machines, name)
	h.sortedNames = nil
}

// acceptsTasks reports whether this controller may queue tasks on a machine now: it owns the
// machine, which is bookable and not reserved.
func (c *Controller) acceptsTasks(m *Machine) bool {
	return c.owns(m.Name) && c.isBookable(m) && !c.isReserved(m.Name)
}

// isReserved reports whether the leader reserves a machine for jobs that it places, or lets it
// rest. No controller queues tasks on it.
func (c *Controller) isReserved(name string) bool {
	if c.isLeader() {
		return c.scaling.reserved[name] || c.scaling.resting[name]
	}
	leader := c.leaderGossip(tuning.ReservationMaxAge)
	return leader != nil && leader.reserved[name]
}

// isEvicting reports whether the leader has marked a machine to be emptied for work of higher
// priority.
func (c *Controller) isEvicting(name string) bool {
	if c.isLeader() {
		return c.scaling.evicting[name]
	}
	leader := c.leaderGossip(3 * tuning.DrawInterval)
	return leader != nil && leader.evicting[name]
}

// leaderGossip returns the state that the leader, if it is another controller, sent less than age
// ago, or nil if there is none.
func (c *Controller) leaderGossip(age time.Duration) *peerState {
	if c.cache.view == nil {
		return nil
	}
	leader := c.peers.byName[c.cache.view.Leader]
	if leader == nil || c.now-leader.receivedAt >= age {
		return nil
	}
	return leader
}
