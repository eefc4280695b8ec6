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

// machineKind is a type, zone and price model of machines that can be rented.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// rentalPause is a pause in renting a kind of which the cloud had fewer machines than were
// requested.
type rentalPause struct {
	until    time.Duration
	failures int // consecutive rentals with too few machines
}

// rental is a rental request without a final answer.
type rental struct {
	request RentMachines
	sentAt  time.Duration
}

// pendingWork is either unbooked tasks of one job that its team's limit allows to run, or
// machines to be kept ready for a class of jobs.
type pendingWork struct {
	spec  *domain.JobSpec
	tasks int
	job   *Job          // nil for machines to be kept ready
	zones zoneAllowance // how many of the tasks each zone may take; nil: any number
}

// pendingWork returns the work that waits, given the machines that are running or booting. It
// also records which classes reserve machines, and the rate at which their tasks were submitted
// recently.
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

// claimForPending returns how many queued tasks of a job its team's limit allows to run in
// addition to what the team uses, and adds these tasks to used.
func (c *Controller) claimForPending(j *Job, used map[string]domain.Resources, claim quotaClaim) int {
	spec := j.Header.Spec
	limit := c.cfg.Teams[spec.Team].Limit
	claimed, most := 0, tuning.MaxPendingTasks
	if spec.Shape == domain.Gang {
		most = spec.TaskCount // all of them start together
	}
	for claimed < min(j.counts.queued, most) {
		if !claim.admits(spec, used[spec.Team], limit) {
			break
		}
		used[spec.Team] = used[spec.Team].Plus(spec.Request, 1)
		claimed++
	}
	return claimed
}

// scaleOutPlan assigns pending work to machines that exist, are booting or are to be rented.
type scaleOutPlan struct {
	existing       []existingRoom
	planned        []plannedMachine
	turnoverCredit int // tasks that need no new machine, since busy slots become free soon
}

// existingRoom is the room that a scaleOutPlan leaves on a machine that is running or booting.
type existingRoom struct {
	machine     *machineState
	free        machineRoom
	preemptible machineRoom // held by preemptible tasks
}

// plannedMachine is a machine to be rented, with the room that a scaleOutPlan leaves on it.
type plannedMachine struct {
	kind machineKind
	free machineRoom
}

// unplacedWork is pending work with the part of it that a scaleOutPlan has not placed yet.
type unplacedWork struct {
	pendingWork
	remaining int64
	zonesLeft zoneAllowance // the part of pendingWork.zones that remains
}

// recordPlaced counts n tasks as placed in a zone.
func (w *unplacedWork) recordPlaced(zone string, n int64) {
	w.zonesLeft.take(zone, n)
	w.remaining -= n
}

// countFitting returns how many of the remaining tasks fit into the given room in a zone.
func (w *unplacedWork) countFitting(room machineRoom, zone string) int64 {
	return room.countFitting(roomForTask(w.spec), w.zonesLeft.left(zone, w.remaining))
}

// planScaleOut assigns pending work to machines that are running or booting, and rents machines
// for the rest: of the kinds that fit, the one with the lowest price per task. It plans nothing
// while a rental request is open, since the machines that it yields aren't known yet.
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

// resendRentals repeats rental requests that the cloud left unanswered for too long. The
// request's name stays the same, so that a repetition rents no further machines.
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

// usableRoom lists the room on the machines that are running or booting and will stay.
func (c *Controller) usableRoom(machines []machineState) []existingRoom {
	var rooms []existingRoom
	leaving := c.leavingMachines()
	for i := range machines {
		m := &machines[i]
		isLost := !m.isReporting && m.Status == domain.InstanceRunning && m.tasks > 0
		if m.cordon.State != "" || leaving[m.Name] || m.Status == domain.InstanceFailed || isLost {
			continue
		}
		rooms = append(rooms, existingRoom{m, m.free, c.cache.occupancy[m.Name].preemptible.used})
	}
	return rooms
}

// turnoverCredit returns how many tasks need no new machine, since busy slots become free before
// a new machine could start these tasks.
func (s *scaling) turnoverCredit(rooms []existingRoom) int {
	busy := 0
	for i := range rooms {
		if m := rooms[i].machine; m.isReporting && !s.reserved[m.Name] {
			busy += m.tasks
		}
	}
	return int(float64(busy) * tuning.TurnoverCredit)
}

// workToPlace returns the pending work and the machines to be kept ready in the order of
// placement. Work that needs whole machines comes first, since small tasks can use the room that
// remains, and preemptible work comes last.
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

// packingRank returns the position of the work in the order of placement; lower ranks come first.
func (p *pendingWork) packingRank() int {
	switch {
	case preemptible(p.spec):
		return 2
	case reservesMachines(p.spec):
		return 0
	}
	return 1
}

// packExisting places work on machines that are running or booting.
func (c *Controller) packExisting(plan *scaleOutPlan, unplaced *unplacedWork) {
	mayUseReserved := reservesMachines(unplaced.spec)
	for i := range plan.existing {
		if unplaced.remaining == 0 {
			return
		}
		room := &plan.existing[i]
		m := room.machine
		if !allowsMachine(unplaced.spec, m.Type, m.Zone, m.Spot) || c.scaling.reserved[m.Name] && !mayUseReserved {
			continue
		}
		placed := unplaced.countFitting(roomWithPreemption(room.free, room.preemptible, preemptible(unplaced.spec)), m.Zone)
		room.free = room.free.plus(roomForTask(unplaced.spec), -placed)
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
		machine.free = machine.free.plus(roomForTask(unplaced.spec), -placed)
		unplaced.recordPlaced(machine.kind.zone, placed)
	}
}

// creditTurnover leaves tasks to the busy slots that become free soon, unless the tasks need a
// whole machine or their job has waited for too long.
func (c *Controller) creditTurnover(plan *scaleOutPlan, unplaced *unplacedWork) {
	if reservesMachines(unplaced.spec) || unplaced.job != nil && c.isStarving(unplaced.job, placementOf(unplaced.job, nil)) {
		return
	}
	n := min(unplaced.remaining, int64(plan.turnoverCredit))
	plan.turnoverCredit -= int(n)
	unplaced.remaining -= n
}

// planMachines adds machines to the plan for the remaining work.
func (c *Controller) planMachines(plan *scaleOutPlan, unplaced *unplacedWork) {
	for unplaced.remaining > 0 && len(plan.planned) < tuning.MaxRentalPlans {
		kind, ok := c.cheapestKind(unplaced.spec, int(unplaced.remaining), unplaced.zonesLeft)
		if !ok {
			return
		}
		empty := c.cache.emptyRoom(c.cache.machineType(kind.machineType).Capacity)
		placed := max(unplaced.countFitting(empty, kind.zone), 1)
		plan.planned = append(plan.planned, plannedMachine{kind, empty.plus(roomForTask(unplaced.spec), -placed)})
		unplaced.recordPlaced(kind.zone, placed)
	}
}

// rentPlanned requests the planned machines from the cloud, kind by kind in the order in which
// the kinds entered the plan. For a kind of which the cloud last had too few machines it sends
// only one request, to find out whether any are available.
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

// rent requests machines of a kind from the cloud.
func (c *Controller) rent(kind machineKind, count int) {
	scaling := &c.scaling
	scaling.rentalCount++
	id := fmt.Sprintf("%s-%s-%d", c.cfg.Controller, c.membership.Incarnation(), scaling.rentalCount)
	request := RentMachines{RentalID: id, Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: count}
	scaling.rentals[id] = rental{request, c.now}
	c.info("machine rental requested", "type", kind.machineType, "zone", kind.zone, "spot", kind.spot, "count", count)
	c.emit(request)
}

// leavingMachines returns the machines that the cloud takes back soon, and those that their
// owners report as taking no bookings for another reason.
func (c *Controller) leavingMachines() map[string]bool {
	leaving := map[string]bool{}
	for name, m := range c.heartbeats.machines {
		if c.owns(name) && m.preemptionAt >= 0 {
			leaving[name] = true
		}
	}
	for _, peer := range c.peers.byName {
		if c.now-peer.receivedAt > 4*tuning.DrawInterval {
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

// cheapestKind returns the kind of machine with the lowest price per task for up to tasksLeft
// tasks, among the zones that may take more tasks. It returns false if no suitable kind may be
// rented now.
func (c *Controller) cheapestKind(spec *domain.JobSpec, tasksLeft int, zones zoneAllowance) (machineKind, bool) {
	best, bestPrice, found := machineKind{}, math.Inf(1), false
	for i := range c.cache.machineTypes {
		machineType := &c.cache.machineTypes[i]
		if !machineTypeFits(spec, machineType) {
			continue
		}
		tasks := float64(c.cache.emptyRoom(machineType.Capacity).countFitting(roomForTask(spec), int64(max(tasksLeft, 1))))
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

// mayRent reports whether a kind of machine may be rented for a job now. If preemptible work may
// run on spot machines, no other machines are rented for it: on those it uses only the room that
// other work leaves.
func (s *scaling) mayRent(spec *domain.JobSpec, kind machineKind, now time.Duration) bool {
	if spec.Zone != "" && kind.zone != spec.Zone || now < s.rentalPauses[kind].until {
		return false
	}
	if kind.spot {
		return spec.Spot
	}
	return !spec.Spot || !preemptible(spec)
}

// pricePerTask returns the price per task if a machine of the kind runs the given number of tasks
// of a job. A small factor that depends on job and zone spreads jobs over zones of equal price.
func pricePerTask(spec *domain.JobSpec, machineType *domain.MachineType, kind machineKind, tasks float64) float64 {
	price := machineType.Price / tasks
	if kind.spot {
		price = machineType.SpotPrice / tasks
	}
	return price * (1 + 0.001*float64(ownership.Hash(kind.zone, spec.ID)%16))
}

// onRentalAnswered records the machines that a rental request yielded.
func (c *Controller) onRentalAnswered(answer RentalAnswered) {
	scaling := &c.scaling
	rental, ok := scaling.rentals[answer.RentalID]
	if !ok {
		return // requested in an earlier term as leader; the cloud's list will show its machines
	}
	if !answer.OK && !answer.NoCapacity {
		// The outcome is unknown, or the request was refused for the moment: it is sent again
		// later under the same name.
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
	c.info("machine rental answered", "type", kind.machineType, "zone", kind.zone, "spot", kind.spot, "requested", rental.request.Count, "received", len(answer.Names))
}

// updateRentalPause pauses rentals of a kind when an answer contained fewer machines than
// requested, for longer each time, and ends the pause when none were missing.
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
