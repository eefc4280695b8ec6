package scheduler

import (
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// preemptible reports whether tasks of the job may be stopped to make room for any task that
// isn't preemptible itself. This holds for arrays of idle priority.
func preemptible(spec *domain.JobSpec) bool {
	return spec.Priority == tuning.PriorityIdle && spec.Shape == domain.Array
}

// roomWithPreemption returns the room that a task can get on a machine: what is free and, unless
// the task is preemptible itself, what preemptible tasks hold.
func roomWithPreemption(free, heldByPreemptible machineRoom, isPreemptible bool) machineRoom {
	if isPreemptible {
		return free
	}
	return free.plus(heldByPreemptible, 1)
}

// planPreemptions chooses the preemptible tasks to stop for tasks that wait in the queue of the
// same machine. A stop is only a command to the machine and changes no record: the booking is
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

// isBooked reports whether the task is still booked for this attempt.
func (c *cache) isBooked(attempt attemptID) bool {
	j := c.jobs[attempt.Task.Job]
	if j == nil || j.isFinal() {
		return false
	}
	task := j.task(attempt.Task.Index)
	return task.State == domain.Booked && task.Attempt == attempt.Attempt
}

// preemptOn stops as many preemptible tasks on a machine as are needed for the tasks in its queue
// to start. Tasks that are already being stopped count first, then come tasks that write
// checkpoints, then the others; within each group those booked last come first.
func (c *Controller) preemptOn(m *Machine) {
	missing := c.missingRoomOn(m)
	if missing == (machineRoom{}) {
		return
	}
	for _, id := range c.preemptibleOn(m) {
		j := c.cache.jobs[id.Job]
		c.preempt(m, attemptID{id, j.task(id.Index).Attempt})
		if missing = missing.plus(roomForTask(j.Header.Spec), -1); (machineRoom{}).fits(missing) {
			return
		}
	}
}

// preempt marks an attempt on m to be stopped and has the stop command sent to the machine
// immediately. It does nothing if the attempt is already being stopped.
func (c *Controller) preempt(m *Machine, attempt attemptID) {
	if c.planner.preempted[attempt] {
		return
	}
	c.planner.preempted[attempt] = true
	m.nextDirectStop.Set(c.now)
	c.debug("preempting task for tasks queued on the machine", "task", attempt.Task, "machine", m.Name, "attempt", attempt.Attempt)
}

// missingRoomOn returns the room beyond the free one that the tasks in a machine's queue need to
// start. It counts them in queue order, up to the first task that would not fit even if
// all preemptible tasks were stopped.
func (c *Controller) missingRoomOn(m *Machine) machineRoom {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil)
	room := roomWithPreemption(free, c.cache.occupancy[m.Name].preemptible.used, false)
	var needed machineRoom
	for _, id := range c.cache.queueByPriority(m) {
		j := c.cache.jobs[id.Job]
		if c.queues.machineOf[id] != m.Name || j == nil || j.Header.Spec == nil || preemptible(j.Header.Spec) {
			continue
		}
		next := needed.plus(roomForTask(j.Header.Spec), 1)
		if !room.fits(next) {
			break
		}
		needed = next
	}
	return free.shortfall(needed)
}

// preemptibleOn returns the preemptible tasks on a machine in the order in which they are to be
// stopped, beginning with those that are already being stopped. Tasks whose job has a higher
// effective priority, because a more urgent job depends on it, are left out.
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

// preemptionRank returns the rank of a preemptible task; tasks of lower rank are stopped first.
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
