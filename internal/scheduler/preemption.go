package scheduler

import (
	"slices"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// preemptible tells whether tasks of the job may be stopped for any task that doesn't
// yield itself: single tasks of idle priority.
func preemptible(sp *domain.JobSpec) bool {
	return sp.Priority == tuning.PriorityIdle && sp.Shape == domain.Array
}

// roomBeside is the room that a task can have on a machine: what is free, and for tasks
// that don't yield themselves what those hold that do.
func roomBeside(free, idle domain.Resources, yields bool) domain.Resources {
	if yields {
		return free
	}
	return free.Plus(idle, 1)
}

// planPreemptions chooses the tasks to be stopped for those that wait in the queues of
// their machines. A stop is only asked for by halts, which change no record: the
// booking is released when the machine reports that the task ended.
func (c *Controller) planPreemptions(mine []*Machine) {
	for b := range c.planner.preempted {
		if !c.isBooked(b) {
			delete(c.planner.preempted, b)
		}
	}
	for _, m := range mine {
		if c.cache.occupancy[m.Name].preemptible.tasks == 0 || len(m.queue) == 0 {
			continue
		}
		c.preemptOn(m)
	}
}

// isBooked tells whether an attempt is still the booking of its task.
func (c *Controller) isBooked(b attemptID) bool {
	j := c.cache.jobs[b.Task.Job]
	if j == nil || j.final() {
		return false
	}
	t := j.task(b.Task.Index)
	return t.State == domain.Booked && t.Attempt == b.Attempt
}

// preemptOn stops as many idle tasks on a machine as its queue needs to start, beside
// those that are being stopped. Tasks that save their progress go first, then those
// booked last.
func (c *Controller) preemptOn(m *Machine) {
	lack := c.missingRoomOn(m)
	if lack == (domain.Resources{}) {
		return
	}
	for _, id := range c.preemptibleOn(m) {
		j := c.cache.jobs[id.Job]
		attempt := j.task(id.Index).Attempt
		if !c.planner.preempted[attemptID{id, attempt}] {
			c.planner.preempted[attemptID{id, attempt}] = true
			m.nextDirectStopAt = c.now // at once, by a direct command
			c.debug("task yields", "task", id, "machine", m.Name, "attempt", attempt)
		}
		if lack = lack.Plus(j.Header.Spec.Request, -1); (domain.Resources{}).Fits(lack) {
			return
		}
	}
}

// missingRoomOn is what the tasks that wait in a machine's queue, up to the first that would
// wait for others than idle ones, need beyond the free room.
func (c *Controller) missingRoomOn(m *Machine) domain.Resources {
	size := c.machineType(m.Type).Capacity
	free, idle := c.freeOn(m.Name, size, nil), c.cache.occupancy[m.Name].preemptible.used
	var need domain.Resources
	for _, id := range c.queueByPriority(m) {
		j := c.cache.jobs[id.Job]
		if c.queues.machineOf[id] != m.Name || j == nil || j.Header.Spec == nil || preemptible(j.Header.Spec) {
			continue
		}
		next := need.Plus(j.Header.Spec.Request, 1)
		if !free.Plus(idle, 1).Fits(next) {
			break
		}
		need = next
	}
	lack := need.Plus(free, -1)
	return domain.Resources{CPU: max(lack.CPU, 0), GPU: max(lack.GPU, 0), Memory: max(lack.Memory, 0)}
}

// preemptibleOn lists the tasks on a machine that yield, those first that are being stopped.
func (c *Controller) preemptibleOn(m *Machine) []domain.TaskID {
	ids := slices.DeleteFunc(sortedTasks(c.cache.bookedOn[m.Name]), func(id domain.TaskID) bool {
		j := c.cache.jobs[id.Job]
		return j.Header.Spec == nil || !preemptible(j.Header.Spec) || j.priority > tuning.PriorityIdle
	})
	rank := func(id domain.TaskID) int {
		j := c.cache.jobs[id.Job]
		switch {
		case c.planner.preempted[attemptID{id, j.task(id.Index).Attempt}]:
			return 0
		case j.Header.Spec.CheckpointInterval > 0:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ids, func(a, b domain.TaskID) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			return ra - rb
		}
		return int(c.cache.bookings[b].seenAt - c.cache.bookings[a].seenAt)
	})
	return ids
}
