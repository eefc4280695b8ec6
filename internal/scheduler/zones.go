package scheduler

import (
	"cmp"
	"slices"

	"brassglade/internal/domain"
)

// zoneBound tells whether a task's place depends on where the job's other tasks are.
func zoneBound(spec *domain.JobSpec) bool { return spec.TaskCount > 1 && (spec.OneZone || spec.Spread) }

// spreadOverZones tells whether each zone takes only some of the job's tasks.
func spreadOverZones(spec *domain.JobSpec) bool { return zoneBound(spec) && spec.Spread }

// bindingZones counts a job's booked tasks by zone as the draft would leave them. The map
// is empty, never nil, for a job whose tasks don't depend on each other's zones.
func bindingZones(j *Job, d *draft) map[string]int {
	if !zoneBound(j.Header.Spec) {
		return map[string]int{}
	}
	return bookedZones(j, d)
}

// zoneAllowance is how many further tasks of a job may go to each zone; nil: any number
// to any. Room in a zone that the job can't use is no room for it: counted as such, it
// kept the leader from scaling out where the job could have run, for ever.
type zoneAllowance map[string]int64

// left is how many of n tasks the zone may take.
func (a zoneAllowance) left(zone string, n int64) int64 {
	if a == nil {
		return n
	}
	return min(n, a[zone])
}

// take counts n tasks into a zone.
func (a zoneAllowance) take(zone string, n int64) {
	if a != nil {
		a[zone] -= n
	}
}

// zoneAllowance is that of a job of which some tasks wait, given the machines that are there
// or boot. Arrays are left out, since their tasks end one by one and make room for those
// left: counted strictly, too, five days of zone-bound arrays scored 0.68 in place of 0.71
// (docs/incidents/production-wrong-place.md).
func (c *Controller) zoneAllowance(j *Job, waiting int, machines []machineState) zoneAllowance {
	spec := j.Header.Spec
	if !zoneBound(spec) || spec.Shape == domain.Array {
		return nil
	}
	booked, allowed := bookedZones(j, nil), zoneAllowance{}
	if spec.OneZone {
		if zone, ok := c.chooseZone(spec, int64(waiting), machines, oneZoneChoices(booked, c.cfg.Zones)); ok {
			allowed[zone] = int64(waiting)
		}
		return allowed
	}
	for _, zone := range c.cfg.Zones {
		allowed[zone] = int64(max(0, mostPerZone(spec)-booked[zone]))
	}
	return allowed
}

// chooseZone is the zone to gather room in for tasks that must be together: one that has
// it already, else of those where machines can be had now, or of all if there are none,
// the one with most room, and of these the cheapest. False: there are no choices.
func (c *Controller) chooseZone(spec *domain.JobSpec, tasks int64, machines []machineState, choices []string) (string, bool) {
	if len(choices) == 0 {
		return "", false
	}
	room := roomByZone(spec, tasks, machines)
	cheapest := c.cheapestZone(spec, tasks, choices)
	compare := func(a, b string) int {
		roomA, roomB := min(room[a], tasks), min(room[b], tasks)
		return cmp.Or(
			trueFirst(roomA == tasks || c.isRentable(spec, tasks, a), roomB == tasks || c.isRentable(spec, tasks, b)),
			cmp.Compare(roomB, roomA),
			trueFirst(a == cheapest, b == cheapest),
		)
	}
	return slices.MinFunc(choices, compare), true
}

// roomByZone is how many tasks of the job the machines that are there have room for, each
// of them counted for a given number at most.
func roomByZone(spec *domain.JobSpec, most int64, machines []machineState) map[string]int64 {
	room := map[string]int64{}
	for i := range machines {
		m := &machines[i]
		if m.cordon.State == "" && allowsMachine(spec, m.Type, m.Zone, m.Spot) {
			room[m.Zone] += m.free.CountFitting(spec.Request, most)
		}
	}
	return room
}

// cheapestZone is the zone of the cheapest machines for some tasks of the job; "": none can be
// had now.
func (c *Controller) cheapestZone(spec *domain.JobSpec, tasks int64, zones []string) string {
	allowed := zoneAllowance{}
	for _, zone := range zones {
		allowed[zone] = tasks
	}
	kind, _ := c.cheapestKind(spec, int(tasks), allowed)
	return kind.zone
}

// isRentable tells whether a machine for the job's tasks may be asked for in the zone now.
func (c *Controller) isRentable(spec *domain.JobSpec, tasks int64, zone string) bool {
	_, ok := c.cheapestKind(spec, int(tasks), zoneAllowance{zone: tasks})
	return ok
}

// trueFirst orders what holds before what doesn't.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
