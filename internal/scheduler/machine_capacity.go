package scheduler

import (
	"time"

	"brassglade/internal/domain"
)

// freeOn returns the free room on a machine of the given capacity: that of an empty one less its
// committed bookings and those of the draft (nil: none).
func (c *cache) freeOn(name string, capacity domain.Resources, d *draft) machineRoom {
	free := c.emptyRoom(capacity).plus(c.occupancy[name].used, -1)
	if d != nil {
		free = free.plus(d.usageByMachine[name], -1)
	}
	return free
}

// machineType returns the machine type of the given name, or nil if the cloud has none such or
// its types aren't known yet.
func (c *cache) machineType(name string) *domain.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// isBookable reports whether the machine takes new bookings: its agent is alive and stays, it
// isn't cordoned, and it didn't refuse or fail a task recently.
func (c *Controller) isBookable(m *Machine) bool {
	hasLiveAgent := m.hasReported && m.agentEpoch > m.abandonedEpoch && c.now-m.lastReportAt < 2*c.cfg.HeartbeatInterval+time.Second
	stays := m.preemptionAt < 0 && c.cache.cordons[m.Name].State == ""
	return hasLiveAgent && stays && c.now >= m.noBookingsUntil && c.cache.machineType(m.Type) != nil
}

// allowsMachine reports whether the job's constraints admit a machine of the type, zone and price
// model, regardless of room.
func allowsMachine(spec *domain.JobSpec, machineType, zone string, spot bool) bool {
	return listAllows(spec.MachineTypes, machineType) && (spec.Zone == "" || spec.Zone == zone) && (spec.Spot || !spot)
}

// fitsOn reports whether a machine is allowed for a job and has room for one more of its tasks,
// in addition to the draft's bookings and to the room of tasks that are chosen but not yet in the
// draft.
func (c *cache) fitsOn(spec *domain.JobSpec, m *inventoryMachine, chosen machineRoom, d *draft) bool {
	machineType := c.machineType(m.machineType)
	return machineType != nil && allowsMachine(spec, m.machineType, m.zone, m.spot) &&
		c.freeOn(m.name, machineType.Capacity, d).plus(chosen, -1).fits(roomForTask(spec))
}
