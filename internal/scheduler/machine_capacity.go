package scheduler

import (
	"time"

	"brassglade/internal/domain"
)

// freeOn is the room on a machine of a size as committed, less what the draft (nil: none)
// books.
func (c *cache) freeOn(name string, size domain.Resources, d *draft) domain.Resources {
	free := size.Plus(c.occupancy[name].used, -1)
	if d != nil {
		free = free.Plus(d.usedOn[name], -1)
	}
	return free
}

// machineType is the cloud's type of a name; nil: it has none such, or was not asked yet.
func (c *cache) machineType(name string) *domain.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// isBookable tells whether the machine takes new bookings: its agent is there and stays, it
// isn't cordoned, and it didn't refuse or fail a task just now.
func (c *Controller) isBookable(m *Machine) bool {
	hasLiveAgent := m.hasReported && m.agentEpoch > m.abandonedEpoch && c.now-m.lastReportAt < 2*c.cfg.HeartbeatInterval+time.Second
	stays := m.preemptionAt < 0 && c.cache.cordons[m.Name].State == ""
	return hasLiveAgent && stays && c.now >= m.noBookingsUntil && c.cache.machineType(m.Type) != nil
}

// allowsMachine tells whether a machine of the type and zone may take a task of the job, room
// aside.
func allowsMachine(spec *domain.JobSpec, machineType, zone string, spot bool) bool {
	return listAllows(spec.MachineTypes, machineType) && (spec.Zone == "" || spec.Zone == zone) && (spec.Spot || !spot)
}

// fitsOn tells whether a machine may take one more task of a job and has room for it
// beside the draft's bookings and others that are only chosen so far.
func (c *cache) fitsOn(spec *domain.JobSpec, m *inventoryMachine, chosen domain.Resources, d *draft) bool {
	machineType := c.machineType(m.machineType)
	return machineType != nil && allowsMachine(spec, m.machineType, m.zone, m.spot) &&
		c.freeOn(m.name, machineType.Capacity, d).Plus(chosen, -1).Fits(spec.Request)
}
