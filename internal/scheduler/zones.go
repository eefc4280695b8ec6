package scheduler

import (
	"cmp"
	"slices"

	"brassglade/internal/domain"
)

// zoneBound reports whether the zones allowed for a task of the job depend on where its other tasks
// are booked.
func zoneBound(spec *domain.JobSpec) bool { return spec.TaskCount > 1 && (spec.OneZone || spec.Spread) }

// isSpreadOverZones reports whether the job's tasks must be spread over several zones.
func isSpreadOverZones(spec *domain.JobSpec) bool { return zoneBound(spec) && spec.Spread }

// constrainedZoneCounts returns the number of a job's booked tasks by zone, as the draft would leave
// them. For a job that is not zone-bound the map is empty, but never nil.
func constrainedZoneCounts(j *Job, d *draft) map[string]int {
	if !zoneBound(j.Header.Spec) {
		return map[string]int{}
	}
	return bookedZones(j, d)
}

// zoneAllowance is the number of further tasks of a job that each zone may take; nil sets no bound
// for any zone. Room in a zone that may take no further tasks must not count for the job: when it
// did, the leader never scaled out in the zones where the job could have run.
type zoneAllowance map[string]int64

// left returns how many of n tasks the zone may take.
func (a zoneAllowance) left(zone string, n int64) int64 {
	if a == nil {
		return n
	}
	return min(n, a[zone])
}

// take reduces the allowance of a zone by n tasks.
func (a zoneAllowance) take(zone string, n int64) {
	if a != nil {
		a[zone] -= n
	}
}

// zoneAllowance returns the allowance for the waiting tasks of a job, given the machines that run
// or boot. For arrays it is nil, since their tasks end one by one and make room for the waiting
// ones: with bounds for arrays, too, five scenarios of zone-bound arrays scored 0.68 instead of
// 0.71 (docs/incidents/production-wrong-place.md).
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

// chooseZone returns the zone in which to provide room for tasks that must be in one zone. It
// prefers zones that have room for all of them already or where machines can be rented now, then
// zones with more room, then the cheapest zone. The second result is false if there are no choices.
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

// roomByZone returns for how many tasks of the job the machines in each zone have room. Each machine
// counts for at most limit tasks.
func roomByZone(spec *domain.JobSpec, limit int64, machines []machineState) map[string]int64 {
	room := map[string]int64{}
	for i := range machines {
		m := &machines[i]
		if m.cordon.State == "" && allowsMachine(spec, m.Type, m.Zone, m.Spot) {
			room[m.Zone] += m.free.countFitting(roomForTask(spec), limit)
		}
	}
	return room
}

// cheapestZone returns the zone with the cheapest machines for a number of tasks of the job, or ""
// if no machines can be rented now.
func (c *Controller) cheapestZone(spec *domain.JobSpec, tasks int64, zones []string) string {
	allowed := zoneAllowance{}
	for _, zone := range zones {
		allowed[zone] = tasks
	}
	kind, _ := c.cheapestKind(spec, int(tasks), allowed)
	return kind.zone
}

// isRentable reports whether machines for a number of the job's tasks may be rented in the zone
// now.
func (c *Controller) isRentable(spec *domain.JobSpec, tasks int64, zone string) bool {
	_, ok := c.cheapestKind(spec, int(tasks), zoneAllowance{zone: tasks})
	return ok
}

// trueFirst compares two conditions for sorting: true comes before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
