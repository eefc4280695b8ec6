package scheduler

import (
	"cmp"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// bookingCandidate is the first startable task in a machine's queue; the machine has room for it.
type bookingCandidate struct {
	machine         *Machine
	task            domain.TaskID
	job             *Job
	withinGuarantee bool // the task is within its team's guarantee
}

// compareBookingCandidates orders candidates: those within their team's guarantee first, then by
// priority, then in the order of acceptance.
func compareBookingCandidates(a, b bookingCandidate) int {
	return cmp.Or(
		trueFirst(a.withinGuarantee, b.withinGuarantee),
		cmp.Compare(b.job.priority, a.job.priority),
		cmp.Compare(a.job.Header.AcceptOrder, b.job.Header.AcceptOrder),
	)
}

// planBookings books tasks from the machines' queues, at most one per machine in each round.
func (c *Controller) planBookings(d *draft) {
	if !c.isGuardEnabled(GuardBook) {
		return
	}
	claims := c.claims(d)
	machines := c.machinesToBook()
	for range tuning.MaxBookingRounds {
		var candidates []bookingCandidate
		for _, m := range machines {
			if candidate, ok := c.firstBookable(d, m, claims); ok {
				candidates = append(candidates, candidate)
			}
		}
		if len(candidates) == 0 {
			return
		}
		slices.SortStableFunc(candidates, compareBookingCandidates)
		if !c.bookCandidates(d, candidates, claims) {
			return
		}
	}
}

// machinesToBook returns this controller's machines that have a queue, take bookings, and are not
// reserved for jobs that the leader places.
func (c *Controller) machinesToBook() []*Machine {
	var machines []*Machine
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if len(m.queue) > 0 && c.owns(name) && c.isBookable(m) && !c.isReserved(name) {
			machines = append(machines, m)
		}
	}
	return machines
}

// firstBookable returns the first task in a machine's queue that could start now. It returns false
// if there is none, or if a task does not fit on the machine yet: those behind it then wait, too.
func (c *Controller) firstBookable(d *draft, m *Machine, claims map[string]quotaClaim) (bookingCandidate, bool) {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, d)
	for _, id := range c.cache.queueByPriority(m) {
		j := c.cache.jobs[id.Job]
		if !c.waitsOn(d, m, j, id) || c.planner.isPostponed(j, id, c.now) {
			continue
		}
		if m.hasOnlyFailuresOf(j) {
			c.dequeue(id)
			c.planner.dirty = true
			continue
		}
		if c.isTaskAvoided(j, id.Index) {
			continue
		}
		spec := j.Header.Spec
		if !c.quotaAllows(j, d, claims) {
			continue // it waits for its team's quota without blocking others
		}
		if !free.fits(roomForTask(spec)) {
			c.recordWaitReason(j, WaitsForMachine, claims, d.teamUsed(spec.Team))
			return bookingCandidate{}, false // the tasks behind it wait, too
		}
		return bookingCandidate{machine: m, task: id, job: j, withinGuarantee: d.isWithinGuarantee(spec)}, true
	}
	return bookingCandidate{}, false
}

// waitsOn reports whether a task in a machine's queue is still to be started there. The queue may
// be older than the cache.
func (c *Controller) waitsOn(d *draft, m *Machine, j *Job, id domain.TaskID) bool {
	if c.queues.machineOf[id] != m.Name || j == nil || j.phase != phaseOpen || d.changed[id] {
		return false
	}
	task := j.task(id.Index)
	return task.State == domain.Queued && c.cache.taskShard(j, task) == c.cfg.Controller
}

// isPostponed reports whether a task must not start now: its job pauses after a failure, or the
// task is about to be handed over.
func (p *planner) isPostponed(j *Job, id domain.TaskID, now time.Duration) bool {
	return j.isPaused(now) || p.taskHandovers[id] != "" || p.jobHandovers[id.Job] != ""
}

// bookCandidates books the candidates that the draft and their teams' limits have room for. It
// reports whether another round may book more: not if none was booked or the draft is full.
func (c *Controller) bookCandidates(d *draft, candidates []bookingCandidate, claims map[string]quotaClaim) bool {
	anyBooked := false
	for _, candidate := range candidates {
		j := candidate.job
		if !c.quotaAllows(j, d, claims) {
			continue
		}
		if !d.hasRoomToGrow(j, candidate.task.Index) {
			c.planner.dirty = true
			if d.isNearlyFull() {
				return false
			}
			continue // its value is full; others may still have room
		}
		attempt := j.task(candidate.task.Index).Attempt + 1
		place := candidate.machine.place()
		d.book(j, candidate.task.Index, place, attempt)
		d.recordBooking(candidate.task, place, attempt, PassQueue)
		anyBooked = true
	}
	return anyBooked
}

// isNearlyFull reports whether the draft has so little room left that trying all remaining bookings
// is not worth the time.
func (d *draft) isNearlyFull() bool {
	limit := d.c.maxPlanChanges()
	return d.changes() >= limit-2 && limit > tuning.SmallTransaction || !d.hasRoomForConditions(3)
}

// queueByPriority returns a machine's queue, sorted by priority and, within a priority, in the
// order of arrival. A small urgent task that fits must not wait behind a large one that does
// not: in a scenario with pipelines, their last jobs waited 30 s that way.
func (c *cache) queueByPriority(m *Machine) []domain.TaskID {
	for i := 1; i < len(m.queue); i++ {
		if c.priorityOf(m.queue[i]) > c.priorityOf(m.queue[i-1]) {
			slices.SortStableFunc(m.queue, func(a, b domain.TaskID) int { return cmp.Compare(c.priorityOf(b), c.priorityOf(a)) })
			break
		}
	}
	return m.queue
}

// priorityOf returns the priority of a task's job, or 0 if the cache no longer has the job.
func (c *cache) priorityOf(id domain.TaskID) domain.Priority {
	if j := c.jobs[id.Job]; j != nil {
		return j.priority
	}
	return 0
}
