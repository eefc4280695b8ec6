package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// reservationCandidate is a machine that may be reserved for a class of jobs.
type reservationCandidate struct {
	machine         *machineState
	wait            float64 // seconds until it is empty, less a bonus for machines already reserved
	isLowerPriority bool    // all tasks booked on it have lower priority than the job to reserve it for
}

// classDemand is the number of machines that a class of jobs needs.
type classDemand struct {
	spec    *domain.JobSpec
	waiting int // machines for waiting tasks
	needed  int // machines in all, with those that are kept ready
}

// planReservations reserves machines for jobs that need whole machines. Idle machines are taken
// first. If more tasks wait than machines are idle, it also reserves the machines that will be
// empty soonest, and evicts the tasks there if all of them have lower priority.
func (c *Controller) planReservations(machines []machineState, pending []pendingWork) {
	scaling := &c.scaling
	before := scaling.reserved
	scaling.reserved, scaling.evicting = map[string]bool{}, map[string]bool{}
	for _, class := range slices.Sorted(maps.Keys(scaling.gangClasses)) {
		known := scaling.gangClasses[class]
		if c.now-known.seenAt > tuning.GangClassRetention {
			delete(scaling.gangClasses, class)
			continue
		}
		demand := c.classDemand(known.spec, pending)
		candidates := c.reservationCandidates(known.spec, machines, before)
		idle := scaling.reserveAfterGang(candidates, c.now)
		scaling.reserve(demand, candidates, idle)
	}
}

// classDemand returns the number of machines that the class of a job needs.
func (c *Controller) classDemand(spec *domain.JobSpec, pending []pendingWork) classDemand {
	demand := classDemand{spec: spec}
	for i := range pending {
		if work := &pending[i]; work.spec.Class == spec.Class && placedByLeader(work.spec) {
			demand.waiting += work.tasks
		}
	}
	demand.needed = demand.waiting + c.spareMachines(spec)
	return demand
}

// reservationCandidates returns the machines that may be reserved for jobs of the same kind as this
// one, ordered by the time until they are empty. The machines in before, which were reserved last
// time, count as empty sooner by tuning.ReservationBonus seconds.
func (c *Controller) reservationCandidates(spec *domain.JobSpec, machines []machineState, before map[string]bool) []reservationCandidate {
	var candidates []reservationCandidate
	for i := range machines {
		m := &machines[i]
		if !c.mayReserve(m, spec) {
			continue
		}
		candidate, ok := c.reservationCandidate(m, spec)
		if !ok {
			continue
		}
		if before[m.Name] {
			candidate.wait -= tuning.ReservationBonus
		}
		candidates = append(candidates, candidate)
	}
	slices.SortStableFunc(candidates, func(a, b reservationCandidate) int {
		return trueFirst(a.wait < b.wait, b.wait < a.wait)
	})
	return candidates
}

// mayReserve reports whether a machine may be reserved for the job: it sent a heartbeat lately, is
// neither cordoned nor reserved for another class, and could take a task of the job if it were
// empty.
func (c *Controller) mayReserve(m *machineState, spec *domain.JobSpec) bool {
	return m.isReporting && m.cordon.State == "" && !c.scaling.reserved[m.Name] &&
		allowsMachine(spec, m.Type, m.Zone, m.Spot) && c.cache.machineType(m.Type).Capacity.Fits(spec.Request)
}

// reservationCandidate returns when a machine will be empty, and whether its tasks have lower
// priority than the job. The second result is false if the machine can't be a candidate: it runs
// a service, or another job that needs whole machines, whose end is not waited for.
func (c *Controller) reservationCandidate(m *machineState, spec *domain.JobSpec) (reservationCandidate, bool) {
	candidate := reservationCandidate{machine: m, isLowerPriority: true}
	for id := range c.cache.bookedOn[m.Name] {
		j := c.cache.jobs[id.Job]
		running := j.Header.Spec
		if running != nil && reservesMachines(running) {
			c.scaling.gangTaskSeenAt[m.Name] = c.now
		}
		if running == nil || reservesMachines(running) || running.Shape == domain.Service {
			return candidate, false
		}
		candidate.isLowerPriority = candidate.isLowerPriority && j.priority < spec.Priority
		left := c.queues.runTime(running) - (c.now - c.cache.bookings[id].seenAt).Seconds()
		candidate.wait = max(candidate.wait, left, tuning.ShortestRemainingRun)
	}
	return candidate, true
}

// reserveAfterGang reserves the idle candidates where a job that needs whole machines ran within
// tuning.KeepReservedAfterGang: they have the image, and another such job is likely to follow soon.
// It returns their number.
func (s *scaling) reserveAfterGang(candidates []reservationCandidate, now time.Duration) int {
	kept := 0
	for i := range candidates {
		m := candidates[i].machine
		if ranAt, ran := s.gangTaskSeenAt[m.Name]; ran && m.tasks == 0 && now-ranAt < tuning.KeepReservedAfterGang {
			s.reserved[m.Name] = true
			kept++
		}
	}
	return kept
}

// reserve reserves as many of the candidates as the class needs. The argument idle is the number
// of idle candidates that are reserved already. If fewer machines are idle than tasks wait, it also
// marks reserved machines to be emptied by eviction if all their tasks have lower priority.
func (s *scaling) reserve(demand classDemand, candidates []reservationCandidate, idle int) {
	for i := range candidates {
		candidate := &candidates[i]
		m := candidate.machine
		if s.reserved[m.Name] {
			continue
		}
		if len(s.reserved) >= demand.needed {
			return
		}
		if m.tasks > 0 && idle >= demand.waiting && !candidate.isLowerPriority {
			return
		}
		s.reserved[m.Name] = true
		switch {
		case m.tasks == 0:
			idle++
		case candidate.isLowerPriority && idle < demand.waiting:
			s.evicting[m.Name] = true
			idle++
		}
	}
}

// restCandidate is a machine that may rest: shards then queue no tasks on it, so that it becomes
// empty and can be returned to the cloud.
type restCandidate struct {
	machine *machineState
	price   float64 // per thousandth of a GPU, or of a CPU without GPUs; higher for machines already resting
	shard   string  // shard whose jobs it runs; "" (any) unless the fleet is large
	free    machineRoom
}

// shardWork is the part of one job's waiting tasks for which no candidate has room yet. Resting
// machines may be needed again for it.
type shardWork struct {
	spec      *domain.JobSpec
	shard     string // shard whose machines may run them; "" (any) unless the fleet is large
	remaining int64  // tasks not yet placed
}

// planResting chooses the machines that rest: the most expensive ones, as long as the cheaper ones
// have room for all running and waiting tasks plus some headroom. Draws by load alone would spread
// tasks over all machines, and no machine could ever be returned. In a large fleet each shard
// needs room for its own jobs, since jobs that wait in one shard can't use the room of another.
func (c *Controller) planResting(machines []machineState, pending []pendingWork) {
	before := c.scaling.resting
	c.scaling.resting = map[string]bool{}
	candidates := c.restCandidates(machines, before)
	wanted := c.wantedByShard(candidates, pending)
	c.logMachines(machines, wanted, before)
	kept := map[string]machineRoom{}
	for i := range candidates {
		candidate := &candidates[i]
		if kept[candidate.shard].fits(wanted[candidate.shard]) {
			c.scaling.resting[candidate.machine.Name] = true
			continue
		}
		capacity := c.cache.machineType(candidate.machine.Type).Capacity
		kept[candidate.shard] = kept[candidate.shard].plus(c.cache.emptyRoom(capacity), 1)
	}
	c.endRestFor(candidates, pending)
}

// restCandidates returns the machines that may rest, the cheapest first.
func (c *Controller) restCandidates(machines []machineState, before map[string]bool) []restCandidate {
	var candidates []restCandidate
	isLarge := c.isLargeFleet()
	for i := range machines {
		m := &machines[i]
		if !m.isReporting || m.cordon.State != "" || c.scaling.reserved[m.Name] || c.cache.occupancy[m.Name].gangTasks > 0 {
			continue
		}
		shard := ""
		if isLarge {
			shard = c.ownerIn(m.Name, m.Zone)
		}
		candidates = append(candidates, restCandidate{m, c.cache.restPrice(m, before[m.Name]), shard, m.free})
	}
	slices.SortStableFunc(candidates, func(a, b restCandidate) int {
		return trueFirst(a.price < b.price, b.price < a.price)
	})
	return candidates
}

// restPrice returns the price by which machines are compared to choose those that rest: the price
// per thousandth of a GPU, or of a CPU for machines without GPUs, increased if the machine rests
// already.
func (c *cache) restPrice(m *machineState, rested bool) float64 {
	machineType := c.machineType(m.Type)
	price := machineType.Price
	if m.Spot {
		price = machineType.SpotPrice
	}
	if machineType.Capacity.GPU > 0 {
		price /= float64(max(machineType.Capacity.GPU, tuning.MinPricedAmount))
	} else {
		price /= float64(max(machineType.Capacity.CPU, tuning.MinPricedAmount))
	}
	if rested {
		price *= tuning.RestingPriceFactor
	}
	// Of machines with equal prices those with the fewest tasks rest first.
	return price * (1.1 - 0.1*min(float64(m.tasks), 10)/10)
}

// wantedByShard returns the room that each shard needs for its running and waiting tasks, with
// headroom. Work that may run in any shard is counted under "".
func (c *Controller) wantedByShard(candidates []restCandidate, pending []pendingWork) map[string]machineRoom {
	wanted := map[string]machineRoom{}
	for i := range candidates {
		candidate := &candidates[i]
		wanted[candidate.shard] = wanted[candidate.shard].plus(c.cache.occupancy[candidate.machine.Name].used, 1)
	}
	isLarge := c.isLargeFleet()
	for i := range pending {
		work := &pending[i]
		if reservesMachines(work.spec) {
			continue
		}
		shard := ""
		if isLarge && work.job != nil && !isLargeArray(work.spec) {
			shard = c.cache.shardOf(work.job)
		}
		wanted[shard] = wanted[shard].plus(roomForTask(work.spec), int64(work.tasks))
	}
	for shard, room := range wanted {
		wanted[shard] = withHeadroom(room)
	}
	return wanted
}

// withHeadroom returns the room increased by tuning.HeadroomPercent.
func withHeadroom(room machineRoom) machineRoom {
	grow := func(x int64) int64 { return x + x*tuning.HeadroomPercent/100 }
	return machineRoom{
		resources:   domain.Resources{CPU: grow(room.resources.CPU), GPU: grow(room.resources.GPU), Memory: grow(room.resources.Memory)},
		reportBytes: grow(room.reportBytes),
	}
}

// logMachines logs a debug line, "machine states", about all machines every
// tuning.ScalingLogInterval. It gives the number of tasks of each machine, followed by the letters
// that apply to it:
//
//	h  reserved
//	r  resting before the present decision
//	d  cordoned (draining or gone)
//	-  no heartbeat received lately
//	s  spot machine
func (c *Controller) logMachines(machines []machineState, wantedByShard map[string]machineRoom, rested map[string]bool) {
	if !c.scaling.nextLog.HasPassed(c.now) {
		return
	}
	c.scaling.nextLog.Set(c.now + tuning.ScalingLogInterval)
	var wanted domain.Resources
	for _, room := range wantedByShard {
		wanted = wanted.Plus(room.resources, 1)
	}
	var tasks strings.Builder
	for i := range machines {
		m := &machines[i]
		fmt.Fprintf(&tasks, " %d", m.tasks)
		for _, tag := range []struct {
			letter string
			holds  bool
		}{
			{"h", c.scaling.reserved[m.Name]},
			{"r", rested[m.Name]},
			{"d", m.cordon.State != ""},
			{"-", !m.isReporting},
			{"s", m.Spot},
		} {
			if tag.holds {
				tasks.WriteString(tag.letter)
			}
		}
	}
	c.debug("machine states", "wanted_resources", wanted, "tasks_by_machine", tasks.String())
}

// endRestFor ends the rest of machines that waiting tasks need. The total of free resources is not
// enough: a task may fit none of the remaining machines, or may not be allowed on the cheaper ones
// because of its zone or machine type. Without this rule such jobs waited although machines were
// empty, until those were returned, and their claim on the team's limit delayed other jobs, too.
func (c *Controller) endRestFor(candidates []restCandidate, pending []pendingWork) {
	if len(c.scaling.resting) == 0 {
		return
	}
	isLarge := c.isLargeFleet()
	for i := range pending {
		work := &pending[i]
		if placedByLeader(work.spec) || work.job == nil {
			continue
		}
		unplaced := shardWork{spec: work.spec, remaining: int64(work.tasks)}
		if isLarge {
			unplaced.shard = c.cache.shardOf(work.job)
		}
		c.placeOnCandidates(candidates, &unplaced, false)
		c.placeOnCandidates(candidates, &unplaced, true)
	}
}

// placeOnCandidates places work on the candidates that rest if resting is true, else on those that
// don't rest. It ends the rest of the candidates that it uses, and reduces the candidates' free
// resources and the number of unplaced tasks.
func (c *Controller) placeOnCandidates(candidates []restCandidate, unplaced *shardWork, resting bool) {
	for i := range candidates {
		if unplaced.remaining == 0 {
			return
		}
		candidate := &candidates[i]
		m := candidate.machine
		if c.scaling.resting[m.Name] != resting || candidate.shard != unplaced.shard || !allowsMachine(unplaced.spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		placed := candidate.free.countFitting(roomForTask(unplaced.spec), unplaced.remaining)
		if placed > 0 && resting {
			delete(c.scaling.resting, m.Name)
		}
		candidate.free = candidate.free.plus(roomForTask(unplaced.spec), -placed)
		unplaced.remaining -= placed
	}
}

// spareMachines returns the number of machines that are kept ready for the class of a job if its
// tasks should start sooner than a new machine can boot and fetch their image; otherwise 0.
func (c *Controller) spareMachines(spec *domain.JobSpec) int {
	startWithin, ok := c.cfg.StartWithin[spec.Class]
	if !ok || c.cfg.SpareMachines == 0 {
		return 0
	}
	for i := range c.cache.machineTypes {
		machineType := &c.cache.machineTypes[i]
		if !machineTypeFits(spec, machineType) {
			continue
		}
		toStart := machineType.BootSeconds + spec.ImageGB/max(machineType.FetchGBPerS, 0.01)
		if startWithin < tuning.SpareStartFactor*toStart {
			arriving := c.scaling.gangTaskRate[spec.Class] * tuning.SpareSeconds
			return max(c.cfg.SpareMachines, int(math.Ceil(arriving)))
		}
	}
	return 0
}
