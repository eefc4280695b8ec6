package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/tuning"
)

// machineNames are the machines that this controller knows, in order. They change far
// less often than they are walked.
func (h *heartbeats) machineNames() []string {
	if h.sortedNames == nil {
		h.sortedNames = slices.Sorted(maps.Keys(h.machines))
	}
	return h.sortedNames
}

// addMachine and dropMachine are the only changes of the set of machines.
func (h *heartbeats) addMachine(name string) *Machine {
	m := newMachine(name)
	h.machines[name], h.sortedNames = m, nil
	return m
}

func (h *heartbeats) dropMachine(name string) {
	delete(h.machines, name)
	h.sortedNames = nil
}

// acceptsTasks tells whether tasks may be queued on one of this controller's machines now.
func (c *Controller) acceptsTasks(m *Machine) bool {
	return c.owns(m.Name) && c.isBookable(m) && !c.isReserved(m.Name)
}

// isReserved tells whether the leader keeps a machine for jobs that it places; no
// controller queues anything on it.
func (c *Controller) isReserved(name string) bool {
	if c.isLeader() {
		return c.scaling.reserved[name] || c.scaling.resting[name]
	}
	leader := c.leaderGossip(tuning.ReservationMaxAge)
	return leader != nil && leader.reserved[name]
}

// isEvicting tells whether the leader wants a machine emptied for work of higher priority.
func (c *Controller) isEvicting(name string) bool {
	if c.isLeader() {
		return c.scaling.evicting[name]
	}
	leader := c.leaderGossip(3 * tuning.DrawInterval)
	return leader != nil && leader.evicting[name]
}

// leaderGossip is what the leader, another controller, told less than age ago; nil: nothing.
func (c *Controller) leaderGossip(age time.Duration) *peerState {
	if c.cache.view == nil {
		return nil
	}
	leader := c.peers.byName[c.cache.view.Leader]
	if leader == nil || c.now-leader.heardAt >= age {
		return nil
	}
	return leader
}
