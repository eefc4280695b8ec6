package scheduler

import (
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// preemptible tells whether tasks of the job may be stopped for any task that isn't
// preemptible itself: single tasks of idle priority are.
func preemptible(spec *domain.JobSpec) bool {
	return spec.Priority == tuning.PriorityIdle && spec.Shape == domain.Array
}

// roomWithPreemption is the room that a task can have on a machine: what is free and, unless the task
// is preemptible itself, what preemptible tasks hold.
func roomWithPreemption(free, heldByPreemptible domain.Resources, isPreemptible bool) domain.Resources {
	if isPreemptible {
		return free
	}
	return free.Plus(heldByPreemptible, 1)
}

// planPreemptions chooses the tasks to be stopped for those that wait in the queues of their
// machines. A stop is only asked for by commands, which change no record: the booking is
// released when the machine reports that the task ended.
func (c *Controller) planPreemptions(machines []*Machine) {
	for attempt := range c.planner.preempted {
		if !c.cache.isBooked(attempt) {
			delete(c.planner.preempted, attempt)
		}
	}
	for _, m := range machines {
		if len(m.queue) > 0 && c.cache.occupancy[m.Name].preemptible.tasks > 0 {
			c.preemptOn(m)
		}
	}
}

// isBooked tells whether an attempt is still the booking of its task.
func (c *cache) isBooked(attempt attemptID) bool {
	j := c.jobs[attempt.Task.Job]
	if j == nil || j.final() {
		return false
	}
	task := j.task(attempt.Task.Index)
	return task.State == domain.Booked && task.Attempt == attempt.Attempt
}

// preemptOn stops as many preemptible tasks on a machine as its queue needs to start, beside
// those that are being stopped. Tasks that save their progress go first, then those booked
// last.
func (c *Controller) preemptOn(m *Machine) {
	missing := c.missingRoomOn(m)
	if missing == (domain.Resources{}) {
		return
	}
	for _, id := range c.preemptibleOn(m) {
		j := c.cache.jobs[id.Job]
		c.preempt(m, attemptID{id, j.task(id.Index).Attempt})
		if missing = missing.Plus(j.Header.Spec.Request, -1); (domain.Resources{}).Fits(missing) {
			return
		}
	}
}

// preempt has an attempt on m stopped, by a direct command at once, unless it is being stopped.
func (c *Controller) preempt(m *Machine, attempt attemptID) {
	if c.planner.preempted[attempt] {
		return
	}
	c.planner.preempted[attempt] = true
	m.nextDirectStop.Close(c.now)
	c.debug("task preempted", "task", attempt.Task, "machine", m.Name, "attempt", attempt.Attempt)
}

// missingRoomOn is what the tasks that wait in a machine's queue need beyond the free room, up
// to the first that would have to wait for others than preemptible ones.
func (c *Controller) missingRoomOn(m *Machine) domain.Resources {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil)
	room := roomWithPreemption(free, c.cache.occupancy[m.Name].preemptible.used, false)
	var needed domain.Resources
	for _, id := range c.cache.queueByPriority(m) {
		j := c.cache.jobs[id.Job]
		if c.queues.machineOf[id] != m.Name || j == nil || j.Header.Spec == nil || preemptible(j.Header.Spec) {
			continue
		}
		next := needed.Plus(j.Header.Spec.Request, 1)
		if !room.Fits(next) {
			break
		}
		needed = next
	}
	missing := needed.Plus(free, -1)
	return domain.Resources{CPU: max(missing.CPU, 0), GPU: max(missing.GPU, 0), Memory: max(missing.Memory, 0)}
}

// preemptibleOn lists the preemptible tasks on a machine in the order in which they are to be
// stopped: those first that already are being stopped.
func (c *Controller) preemptibleOn(m *Machine) []domain.TaskID {
	ids := slices.DeleteFunc(sortedTasks(c.cache.bookedOn[m.Name]), func(id domain.TaskID) bool {
		j := c.cache.jobs[id.Job]
		return j.Header.Spec == nil || !preemptible(j.Header.Spec) || j.priority > tuning.PriorityIdle
	})
	slices.SortStableFunc(ids, func(a, b domain.TaskID) int {
		if rankA, rankB := c.preemptionRank(a), c.preemptionRank(b); rankA != rankB {
			return rankA - rankB
		}
		return int(c.cache.bookings[b].seenAt - c.cache.bookings[a].seenAt)
	})
	return ids
}

// preemptionRank orders the preemptible tasks of a machine; lower ones are stopped first.
func (c *Controller) preemptionRank(id domain.TaskID) int {
	j := c.cache.jobs[id.Job]
	switch {
	case c.planner.preempted[attemptID{id, j.task(id.Index).Attempt}]:
		return 0
	case j.Header.Spec.CheckpointInterval > 0:
		return 1
	}
	return 2
}
