package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// machineKind is a kind of machine that can be rented.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// rentalPause is the pause of a kind of which the cloud had fewer than were asked for.
type rentalPause struct {
	until    time.Duration
	failures int // in a row
}

// rental is a request without a final answer.
type rental struct {
	request RentMachines
	sentAt  time.Duration
}

// pendingWork is unbooked work of one job that its team's limit lets run, or machines to be
// kept ready for a class of jobs.
type pendingWork struct {
	spec  *domain.JobSpec
	tasks int
	job   *Job          // nil: none yet
	zones zoneAllowance // how many of them each zone may take; nil: any number
}

// pendingWork is the work that waits, given the machines that are there or boot. It also notes
// which classes reserve machines, and how many of their tasks came lately.
func (c *Controller) pendingWork(machines []machineState) []pendingWork {
	used := map[string]domain.Resources{}
	for team := range c.cfg.Teams {
		used[team] = c.teamUsed(team, nil)
	}
	claims := c.claims(nil)
	var pending []pendingWork
	arrived := map[string]int{}
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		if reservesMachines(spec) {
			c.scaling.gangClasses[spec.Class] = gangClass{spec, c.now}
			if c.now-time.Duration(j.readyAt) < tuning.RateWindow {
				arrived[spec.Class] += j.Header.TaskCount
			}
		}
		if j.counts.queued == 0 || j.failures > tuning.MaxPendingFailures {
			continue
		}
		tasks := c.claimForPending(j, used, claims[spec.Team])
		if tasks == 0 || spec.Shape == domain.Gang && tasks < spec.TaskCount {
			continue
		}
		pending = append(pending, pendingWork{spec: spec, tasks: tasks, job: j, zones: c.zoneAllowance(j, tasks, machines)})
	}
	c.scaling.gangTaskRate = map[string]float64{}
	for class, tasks := range arrived {
		c.scaling.gangTaskRate[class] = float64(tasks) / tuning.RateWindow.Seconds()
	}
	return pending
}

// claimForPending counts the queued tasks of a job that its team's limit lets run beside what
// the team uses, and adds them to that.
func (c *Controller) claimForPending(j *Job, used map[string]domain.Resources, claim quotaClaim) int {
	spec := j.Header.Spec
	limit := c.cfg.Teams[spec.Team].Limit
	claimed := 0
	for claimed < j.counts.queued && claimed < tuning.MaxPendingTasks {
		if !claim.admits(spec, used[spec.Team], limit) {
			break
		}
		used[spec.Team] = used[spec.Team].Plus(spec.Request, 1)
		claimed++
	}
	return claimed
}

// scaleOutPlan packs what waits on what is there, boots or is to be rented.
type scaleOutPlan struct {
	existing       []existingRoom
	planned        []plannedMachine
	turnoverCredit int // tasks that need no new machine, since slots fall free soon
}

// existingRoom is what a scaleOutPlan leaves free on a machine that is there or boots.
type existingRoom struct {
	machine     *machineState
	free        domain.Resources
	preemptible domain.Resources // held by preemptible tasks
}

// plannedMachine is a machine to be rented, and what a scaleOutPlan leaves free on it.
type plannedMachine struct {
	kind machineKind
	free domain.Resources
}

// unplacedWork is what a scaleOutPlan has not yet placed of some pending work.
type unplacedWork struct {
	pendingWork
	remaining int64
	zonesLeft zoneAllowance // what remains of the work's
}

// recordPlaced counts tasks as placed in a zone.
func (w *unplacedWork) recordPlaced(zone string, n int64) {
	w.zonesLeft.take(zone, n)
	w.remaining -= n
}

// countFitting is how many of the tasks that are left have room in a zone.
func (w *unplacedWork) countFitting(room domain.Resources, zone string) int64 {
	return room.CountFitting(w.spec.Request, w.zonesLeft.left(zone, w.remaining))
}

// planScaleOut packs what is pending on what is there or boots, and rents for the rest the
// kind with the least price per task that fits. Nothing is planned while a request is open:
// what it brings isn't known yet.
func (c *Controller) planScaleOut(machines []machineState, pending []pendingWork) {
	c.resendRentals()
	if len(c.scaling.rentals) > 0 {
		return
	}
	plan := scaleOutPlan{existing: c.usableRoom(machines)}
	plan.turnoverCredit = c.scaling.turnoverCredit(plan.existing)
	for _, work := range c.workToPlace(pending) {
		unplaced := unplacedWork{pendingWork: work, remaining: int64(work.tasks), zonesLeft: maps.Clone(work.zones)}
		c.packExisting(&plan, &unplaced)
		c.packPlanned(&plan, &unplaced)
		c.creditTurnover(&plan, &unplaced)
		c.planMachines(&plan, &unplaced)
	}
	c.rentPlanned(plan.planned)
}

// resendRentals asks again for what the cloud left unanswered for too long. The request's name
// is the same, so that a repeat rents nothing more.
func (c *Controller) resendRentals() {
	scaling := &c.scaling
	for _, id := range slices.Sorted(maps.Keys(scaling.rentals)) {
		rental := scaling.rentals[id]
		if c.now-rental.sentAt > tuning.CloudTimeout+tuning.RentalAnswerMargin {
			rental.sentAt = c.now
			scaling.rentals[id] = rental
			c.emit(rental.request)
		}
	}
}

// usableRoom lists the room on the machines that are there or to come and stay.
func (c *Controller) usableRoom(machines []machineState) []existingRoom {
	var there []existingRoom
	leaving := c.leavingMachines()
	for i := range machines {
		m := &machines[i]
		isLost := !m.isReporting && m.Status == domain.InstanceRunning && m.tasks > 0
		if m.cordon.State != "" || leaving[m.Name] || m.Status == domain.InstanceFailed || isLost {
			continue
		}
		there = append(there, existingRoom{m, m.free, c.cache.occupancy[m.Name].preemptible.used})
	}
	return there
}

// turnoverCredit is how many tasks need no new machine since slots fall free before such a one
// could start them.
func (s *scaling) turnoverCredit(there []existingRoom) int {
	busy := 0
	for i := range there {
		if m := there[i].machine; m.isReporting && !s.reserved[m.Name] {
			busy += m.tasks
		}
	}
	return int(float64(busy) * tuning.TurnoverCredit)
}

// workToPlace is the pending work and the machines to be kept ready, in the order in which it
// is to be placed: what needs whole machines first, since small tasks find room in what that
// leaves, and preemptible ones in what these leave.
func (c *Controller) workToPlace(pending []pendingWork) []pendingWork {
	work := slices.Clone(pending)
	classes := c.scaling.gangClasses
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		if spare := c.spareMachines(classes[class].spec); spare > 0 {
			work = append(work, pendingWork{spec: classes[class].spec, tasks: spare})
		}
	}
	slices.SortStableFunc(work, func(a, b pendingWork) int { return a.packingRank() - b.packingRank() })
	return work
}

// packingRank orders work by what is to be placed first.
func (p *pendingWork) packingRank() int {
	switch {
	case preemptible(p.spec):
		return 2
	case reservesMachines(p.spec):
		return 0
	}
	return 1
}

// packExisting places work on machines that are there or boot.
func (c *Controller) packExisting(plan *scaleOutPlan, unplaced *unplacedWork) {
	mayUseReserved := reservesMachines(unplaced.spec)
	for i := range plan.existing {
		if unplaced.remaining == 0 {
			return
		}
		slot := &plan.existing[i]
		m := slot.machine
		if !allowsMachine(unplaced.spec, m.Type, m.Zone, m.Spot) || c.scaling.reserved[m.Name] && !mayUseReserved {
			continue
		}
		placed := unplaced.countFitting(roomBeside(slot.free, slot.preemptible, preemptible(unplaced.spec)), m.Zone)
		slot.free = slot.free.Plus(unplaced.spec.Request, -placed)
		unplaced.recordPlaced(m.Zone, placed)
	}
}

// packPlanned places work on machines that are to be rented for other work.
func (c *Controller) packPlanned(plan *scaleOutPlan, unplaced *unplacedWork) {
	for i := range plan.planned {
		if unplaced.remaining == 0 {
			return
		}
		machine := &plan.planned[i]
		if !allowsMachine(unplaced.spec, machine.kind.machineType, machine.kind.zone, machine.kind.spot) {
			continue
		}
		placed := unplaced.countFitting(machine.free, machine.kind.zone)
		machine.free = machine.free.Plus(unplaced.spec.Request, -placed)
		unplaced.recordPlaced(machine.kind.zone, placed)
	}
}

// creditTurnover leaves work to the slots that fall free soon, unless it needs a whole machine
// or its job waits for too long.
func (c *Controller) creditTurnover(plan *scaleOutPlan, unplaced *unplacedWork) {
	if reservesMachines(unplaced.spec) || unplaced.job != nil && c.isStarving(unplaced.job, placementOf(unplaced.job, nil)) {
		return
	}
	n := min(unplaced.remaining, int64(plan.turnoverCredit))
	plan.turnoverCredit -= int(n)
	unplaced.remaining -= n
}

// planMachines adds machines to the plan for the work that is left.
func (c *Controller) planMachines(plan *scaleOutPlan, unplaced *unplacedWork) {
	for unplaced.remaining > 0 && len(plan.planned) < tuning.MaxRentalPlans {
		kind, ok := c.cheapestKind(unplaced.spec, int(unplaced.remaining), unplaced.zonesLeft)
		if !ok {
			return
		}
		capacity := c.cache.machineType(kind.machineType).Capacity
		placed := max(unplaced.countFitting(capacity, kind.zone), 1)
		plan.planned = append(plan.planned, plannedMachine{kind, capacity.Plus(unplaced.spec.Request, -placed)})
		unplaced.recordPlaced(kind.zone, placed)
	}
}

// rentPlanned asks the cloud for the planned machines, by kind in the order in which the kinds
// came into the plan. Of a kind that was short the last time one request tells whether there
// are any.
func (c *Controller) rentPlanned(planned []plannedMachine) {
	count := map[machineKind]int{}
	var kinds []machineKind
	for _, machine := range planned {
		if count[machine.kind] == 0 {
			kinds = append(kinds, machine.kind)
		}
		count[machine.kind]++
	}
	requests := 0
	for _, kind := range kinds {
		wasShort := c.scaling.rentalPauses[kind].failures > 0
		for left := count[kind]; left > 0 && requests < tuning.MaxRentalsAtOnce; left -= tuning.MaxMachinesPerRental {
			if wasShort && left < count[kind] {
				break
			}
			requests++
			c.rent(kind, min(left, tuning.MaxMachinesPerRental))
		}
	}
}

// rent asks the cloud for machines of a kind.
func (c *Controller) rent(kind machineKind, count int) {
	scaling := &c.scaling
	scaling.rentalCount++
	id := fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.membership.Incarnation(), scaling.rentalCount)
	request := RentMachines{RentalID: id, Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: count}
	scaling.rentals[id] = rental{request, c.now}
	c.info("renting", "type", kind.machineType, "zone", kind.zone, "spot", kind.spot, "count", count)
	c.emit(request)
}

// leavingMachines are the machines that the cloud takes back soon, or that take no bookings for
// another reason that their owners see.
func (c *Controller) leavingMachines() map[string]bool {
	leaving := map[string]bool{}
	for name, m := range c.heartbeats.machines {
		if c.owns(name) && m.preemptionAt >= 0 {
			leaving[name] = true
		}
	}
	for _, peer := range c.peers.byName {
		if c.now-peer.heardAt > 4*tuning.DrawInterval {
			continue
		}
		for i := range peer.machines {
			if peer.machines[i].Leaving {
				leaving[peer.machines[i].Name] = true
			}
		}
	}
	return leaving
}

// cheapestKind is the kind of machine with the least price per task, of which tasksLeft are left,
// in the zones that may take any; false: none may be rented now.
func (c *Controller) cheapestKind(spec *domain.JobSpec, tasksLeft int, zones zoneAllowance) (machineKind, bool) {
	best, bestPrice, found := machineKind{}, math.Inf(1), false
	for i := range c.cache.machineTypes {
		machineType := &c.cache.machineTypes[i]
		if !machineTypeFits(spec, machineType) {
			continue
		}
		tasks := float64(machineType.Capacity.CountFitting(spec.Request, int64(max(tasksLeft, 1))))
		if tasks < 1 {
			continue
		}
		for _, zone := range machineType.Zones {
			if zones.left(zone, 1) < 1 {
				continue
			}
			for _, spot := range [2]bool{true, false} {
				kind := machineKind{machineType.Name, zone, spot}
				if !c.scaling.mayRent(spec, kind, c.now) {
					continue
				}
				if price := pricePerTask(spec, machineType, kind, tasks); price < bestPrice {
					best, bestPrice, found = kind, price, true
				}
			}
		}
	}
	return best, found
}

// mayRent tells whether a kind of machine may be rented for a job now. Preemptible work takes
// ordinary machines only while others leave them empty.
func (s *scaling) mayRent(spec *domain.JobSpec, kind machineKind, now time.Duration) bool {
	if spec.Zone != "" && kind.zone != spec.Zone || now < s.rentalPauses[kind].until {
		return false
	}
	if kind.spot {
		return spec.Spot
	}
	return !spec.Spot || !preemptible(spec)
}

// pricePerTask is what a machine of the kind costs per task of a job if it has that many. Among
// equals it spreads jobs over zones.
func pricePerTask(spec *domain.JobSpec, machineType *domain.MachineType, kind machineKind, tasks float64) float64 {
	price := machineType.Price / tasks
	if kind.spot {
		price = machineType.SpotPrice / tasks
	}
	return price * (1 + 0.001*float64(ownership.Hash(kind.zone, spec.ID)%16))
}

// onRentalAnswered takes in what a request brought.
func (c *Controller) onRentalAnswered(answer RentalAnswered) {
	scaling := &c.scaling
	rental, ok := scaling.rentals[answer.RentalID]
	if !ok {
		return // an earlier leadership's; the list will show what came of it
	}
	if !answer.OK && !answer.NoCapacity {
		// Unknown or refused for now: the same name again, later.
		rental.sentAt = c.now + tuning.RentalRetry - (tuning.CloudTimeout + tuning.RentalAnswerMargin)
		scaling.rentals[answer.RentalID] = rental
		return
	}
	delete(scaling.rentals, answer.RentalID)
	kind := machineKind{rental.request.Type, rental.request.Zone, rental.request.Spot}
	scaling.updateRentalPause(kind, rental.request.Count-len(answer.Names), c.now)
	for _, name := range answer.Names {
		scaling.unlisted[name] = domain.Instance{
			Name: name, Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, Status: domain.InstanceBooting,
		}
		scaling.knownSince[name] = c.now
	}
	c.info("rented", "type", kind.machineType, "zone", kind.zone, "spot", kind.spot, "asked", rental.request.Count, "got", len(answer.Names))
}

// updateRentalPause keeps a kind from being rented for a while, longer each time, when machines of
// it were missing in an answer, and ends the pause when none were.
func (s *scaling) updateRentalPause(kind machineKind, missing int, now time.Duration) {
	pause := s.rentalPauses[kind]
	switch {
	case missing > 0 && now >= pause.until:
		length := min(tuning.NoCapacityPause<<min(pause.failures, 8), tuning.MaxNoCapacityPause)
		s.rentalPauses[kind] = rentalPause{now + length, pause.failures + 1}
	case missing == 0:
		delete(s.rentalPauses, kind)
	}
}
