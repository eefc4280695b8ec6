package scheduler

import (
	"cmp"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// bookingCandidate is the head of a machine's queue, with room for it there.
type bookingCandidate struct {
	machine *Machine
	task    domain.TaskID
	job     *Job
	isOwed  bool // to its team, within the team's guarantee
}

// compareBookingCandidates orders heads of queues: what teams are owed first, then by
// priority, then first come, first served.
func compareBookingCandidates(a, b bookingCandidate) int {
	return cmp.Or(
		trueFirst(a.isOwed, b.isOwed),
		cmp.Compare(b.job.priority, a.job.priority),
		cmp.Compare(a.job.Header.AcceptOrder, b.job.Header.AcceptOrder),
	)
}

// planBookings starts heads of queues where there is room, one a machine in each round.
func (c *Controller) planBookings(d *draft) {
	if !c.guard(GuardBook) {
		return
	}
	claims := c.claims(d)
	machines := c.machinesToBook()
	for range tuning.MaxBookingRounds {
		var candidates []bookingCandidate
		for _, m := range machines {
			if head, ok := c.headOfQueue(d, m, claims); ok {
				candidates = append(candidates, head)
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

// machinesToBook are this controller's machines with a queue that take bookings and aren't
// reserved for jobs placed by the leader.
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

// headOfQueue is the first task in a machine's queue that could start now; false: none, or
// the first one has no room yet and is waited for.
func (c *Controller) headOfQueue(d *draft, m *Machine, claims map[string]quotaClaim) (bookingCandidate, bool) {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, d)
	for _, id := range c.cache.queueByPriority(m) {
		j := c.cache.jobs[id.Job]
		if !c.waitsOn(d, m, j, id) || c.planner.isHeldBack(j, id, c.now) {
			continue
		}
		if m.hasOnlyFailuresOf(j) {
			c.dequeue(id)
			c.planner.dirty = true
			continue
		}
		if c.isAvoided(j, id.Index) {
			continue
		}
		spec := j.Header.Spec
		if !c.quotaAllows(j, d, claims) {
			continue // waits for its team without blocking others
		}
		if !free.Fits(spec.Request) {
			c.noteWait(j, WaitsForMachine, claims, d.teamUsed(spec.Team))
			return bookingCandidate{}, false // first come, first served
		}
		return bookingCandidate{machine: m, task: id, job: j, isOwed: d.isOwed(spec)}, true
	}
	return bookingCandidate{}, false
}

// waitsOn tells whether a task in a machine's queue is still to be started there: the queue
// may be older than the cache.
func (c *Controller) waitsOn(d *draft, m *Machine, j *Job, id domain.TaskID) bool {
	if c.queues.machineOf[id] != m.Name || j == nil || j.phase != phaseOpen || d.changed[id] {
		return false
	}
	task := j.task(id.Index)
	return task.State == domain.Queued && c.cache.taskShard(j, task) == c.cfg.Node
}

// isHeldBack tells whether a task doesn't start now: its job pauses after an error, or it
// is about to be handed over.
func (p *planner) isHeldBack(j *Job, id domain.TaskID, now time.Duration) bool {
	return j.isPaused(now) || p.taskHandovers[id] != "" || p.jobHandovers[id.Job] != ""
}

// bookCandidates books those that the draft and their teams' limits take, and tells whether
// another round may book more: false if none was booked, or the draft is full.
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
			continue // its pack is full; others may still go in
		}
		attempt := j.task(candidate.task.Index).Attempt + 1
		place := candidate.machine.place()
		d.book(j, candidate.task.Index, place, attempt)
		d.recordBooking(candidate.task, place, attempt, PassQueue)
		anyBooked = true
	}
	return anyBooked
}

// isNearlyFull tells whether the draft takes hardly any further bookings, and trying them
// all isn't worth the time.
func (d *draft) isNearlyFull() bool {
	most := d.c.cfg.TransactionLimit
	return d.changes() >= most-2 && most > tuning.SmallTransaction || !d.takesConditions(3)
}

// queueByPriority is a machine's queue, first come, first served among tasks of the same
// priority. A small urgent task that fits must not wait behind a large one that
// doesn't: on a day of pipelines their last jobs waited 30 s so.
func (c *cache) queueByPriority(m *Machine) []domain.TaskID {
	for i := 1; i < len(m.queue); i++ {
		if c.priorityOf(m.queue[i]) > c.priorityOf(m.queue[i-1]) {
			slices.SortStableFunc(m.queue, func(a, b domain.TaskID) int { return cmp.Compare(c.priorityOf(b), c.priorityOf(a)) })
			break
		}
	}
	return m.queue
}

// priorityOf is the priority of a task's job; 0: the cache doesn't have it any more.
func (c *cache) priorityOf(id domain.TaskID) domain.Priority {
	if j := c.jobs[id.Job]; j != nil {
		return j.priority
	}
	return 0
}
