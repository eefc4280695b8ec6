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

// reservationCandidate is a machine that may be kept for a class of jobs.
type reservationCandidate struct {
	machine         *machineState
	wait            float64 // seconds until it is empty; less for those kept already
	isLowerPriority bool    // all that runs on it has lower priority than the class
}

// classDemand is how many machines a class of jobs needs.
type classDemand struct {
	spec    *domain.JobSpec
	waiting int // for tasks that wait
	needed  int // with those to be kept ready
}

// planReservations keeps machines for jobs that need a whole one: idle ones first; if more
// jobs wait than are idle, those that will be empty soonest, and where all that runs there
// has lower priority, they are emptied.
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
		idle := scaling.keepAfterGang(candidates, c.now)
		scaling.reserve(demand, candidates, idle)
	}
}

// classDemand counts the machines that the class of a job needs.
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

// reservationCandidates lists the machines that may be kept for jobs like this one, those
// first that are empty soonest.
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

// mayReserve tells whether a machine is in use, not yet kept for another class, and could take
// a task of the job if it were empty.
func (c *Controller) mayReserve(m *machineState, spec *domain.JobSpec) bool {
	return m.isReporting && m.cordon.State == "" && !c.scaling.reserved[m.Name] &&
		allowsMachine(spec, m.Type, m.Zone, m.Spot) && c.cache.machineType(m.Type).Capacity.Fits(spec.Request)
}

// reservationCandidate tells when a machine will be empty, and whether it may be emptied for
// the job; false: something on it is not to be waited for, a service or another such job.
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

// keepAfterGang reserves the idle candidates where a job that needs whole machines ran lately:
// they have the image, and the next such job is likely soon. It returns how many these are.
func (s *scaling) keepAfterGang(candidates []reservationCandidate, now time.Duration) int {
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

// reserve keeps as many of the candidates as the class needs, of which idle ones are kept
// already. It empties those with work of lower priority if fewer are idle than tasks wait.
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

// restCandidate is a machine that may rest.
type restCandidate struct {
	machine *machineState
	price   float64 // per thousandth of its GPU, or else CPU; higher for those that rest
	shard   string  // whose jobs it serves; "": all, where the fleet isn't large
	free    domain.Resources
}

// shardWork is waiting work of a shard that machines may have to end their rest for.
type shardWork struct {
	spec  *domain.JobSpec
	shard string // "": any, where the fleet isn't large
	left  int64  // tasks not yet placed
}

// planResting lets the dearest machines run empty while the cheaper ones have room for all
// that runs and waits, with some headroom: draws by load alone would spread tasks over all
// machines, and none could ever be returned. In a large fleet each shard needs the room for
// its own jobs: those that wait in one can't use what another one keeps free.
func (c *Controller) planResting(machines []machineState, pending []pendingWork) {
	before := c.scaling.resting
	c.scaling.resting = map[string]bool{}
	candidates := c.restCandidates(machines, before)
	wanted := c.wantedByShard(candidates, pending)
	c.logMachines(machines, wanted, before)
	kept := map[string]domain.Resources{}
	for i := range candidates {
		candidate := &candidates[i]
		if kept[candidate.shard].Fits(wanted[candidate.shard]) {
			c.scaling.resting[candidate.machine.Name] = true
			continue
		}
		capacity := c.cache.machineType(candidate.machine.Type).Capacity
		kept[candidate.shard] = kept[candidate.shard].Plus(capacity, 1)
	}
	c.endRestFor(candidates, pending)
}

// restCandidates lists the machines that may rest, the cheapest first.
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

// restPrice is the price by which machines are compared to choose those that rest.
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
	// Among equals those with little to run go empty first.
	return price * (1.1 - 0.1*min(float64(m.tasks), 10)/10)
}

// wantedByShard is the room that each shard wants for what runs and waits, with headroom; what
// may wait in any shard is under "".
func (c *Controller) wantedByShard(candidates []restCandidate, pending []pendingWork) map[string]domain.Resources {
	wanted := map[string]domain.Resources{}
	for i := range candidates {
		candidate := &candidates[i]
		wanted[candidate.shard] = wanted[candidate.shard].Plus(c.cache.occupancy[candidate.machine.Name].used, 1)
	}
	isLarge := c.isLargeFleet()
	for i := range pending {
		work := &pending[i]
		if reservesMachines(work.spec) {
			continue
		}
		shard := ""
		if isLarge && work.job != nil && !largeArray(work.spec) {
			shard = c.cache.shardOf(work.job)
		}
		wanted[shard] = wanted[shard].Plus(work.spec.Request, int64(work.tasks))
	}
	for shard, room := range wanted {
		wanted[shard] = withHeadroom(room)
	}
	return wanted
}

// withHeadroom adds the headroom to what is wanted.
func withHeadroom(room domain.Resources) domain.Resources {
	grow := func(x int64) int64 { return x + x*tuning.HeadroomPercent/100 }
	return domain.Resources{CPU: grow(room.CPU), GPU: grow(room.GPU), Memory: grow(room.Memory)}
}

// logMachines adds a debug line about all machines once a while: how many tasks each has, with
// letters for (h) reserved, (r) rested before, (d) cordoned, (-) unheard and (s) spot.
func (c *Controller) logMachines(machines []machineState, wantedByShard map[string]domain.Resources, rested map[string]bool) {
	if !c.scaling.nextLog.IsOpen(c.now) {
		return
	}
	c.scaling.nextLog.Close(c.now + tuning.ScalingLogInterval)
	var wanted domain.Resources
	for _, room := range wantedByShard {
		wanted = wanted.Plus(room, 1)
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
	c.debug("fleet", "want", wanted, "tasks_by_machine", tasks.String())
}

// endRestFor ends the rest of machines that waiting tasks need: sums of room say nothing of
// tasks that fit no single hole, or that their zone or kind keeps from the cheaper machines.
// Such jobs waited beside empty machines until those were returned, and their claim on the
// team's limit kept the others waiting, too.
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
		unplaced := shardWork{spec: work.spec, left: int64(work.tasks)}
		if isLarge {
			unplaced.shard = c.cache.shardOf(work.job)
		}
		c.packAmong(candidates, &unplaced, false)
		c.packAmong(candidates, &unplaced, true)
	}
}

// packAmong places work on the candidates that rest, or on those that don't, and ends the rest
// of those that it uses.
func (c *Controller) packAmong(candidates []restCandidate, unplaced *shardWork, resting bool) {
	for i := range candidates {
		if unplaced.left == 0 {
			return
		}
		candidate := &candidates[i]
		m := candidate.machine
		if c.scaling.resting[m.Name] != resting || candidate.shard != unplaced.shard || !allowsMachine(unplaced.spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		placed := candidate.free.CountFitting(unplaced.spec.Request, unplaced.left)
		if placed > 0 && resting {
			delete(c.scaling.resting, m.Name)
		}
		candidate.free = candidate.free.Plus(unplaced.spec.Request, -placed)
		unplaced.left -= placed
	}
}

// spareMachines is how many machines are kept ready for the class of a job, whose tasks should
// start sooner than a machine boots and fetches their image.
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
