package core

import (
	"slices"

	"brassglade/internal/tuning"
)

// yields tells whether tasks of the job may be stopped for any task that doesn't
// yield itself: single tasks of idle priority.
func yields(sp *Spec) bool { return sp.Prio == tuning.PrioIdle && sp.Shape == Array }

// roomBeside is the room that a task can have on a machine: what is free, and for tasks
// that don't yield themselves what those hold that do.
func roomBeside(free, idle Res, yields bool) Res {
	if yields {
		return free
	}
	return free.Plus(idle, 1)
}

// decideYields chooses the tasks to be stopped for those that wait in the queues of
// their machines. A stop is only asked for by halts, which change no record: the
// booking is released when the machine reports that the task ended.
func (c *Core) decideYields(mine []*Machine) {
	for b := range c.yielded {
		if !c.isBooked(b) {
			delete(c.yielded, b)
		}
	}
	for _, m := range mine {
		if c.st.occ[m.Name].idle.n == 0 || len(m.queue) == 0 {
			continue
		}
		c.yieldOn(m)
	}
}

// isBooked tells whether an attempt is still the booking of its task.
func (c *Core) isBooked(b doom) bool {
	j := c.st.jobs[b.T.Job]
	if j == nil || j.final() {
		return false
	}
	t := j.task(b.T.I)
	return t.State == Booked && t.Attempt == b.A
}

// yieldOn stops as many idle tasks on a machine as its queue needs to start, beside
// those that are being stopped. Tasks that save their progress go first, then those
// booked last.
func (c *Core) yieldOn(m *Machine) {
	lack := c.lackOn(m)
	if lack == (Res{}) {
		return
	}
	for _, id := range c.idleOn(m) {
		j := c.st.jobs[id.Job]
		attempt := j.task(id.I).Attempt
		if !c.yielded[doom{id, attempt}] {
			c.yielded[doom{id, attempt}] = true
			m.haltAt = c.now // at once, by a direct command
			c.log(2, "task yields", "task", id, "machine", m.Name, "attempt", attempt)
		}
		if lack = lack.Plus(j.H.Spec.Need, -1); (Res{}).Holds(lack) {
			return
		}
	}
}

// lackOn is what the tasks that wait in a machine's queue, up to the first that would
// wait for others than idle ones, need beyond the free room.
func (c *Core) lackOn(m *Machine) Res {
	size := c.flavor(m.Type).Size
	free, idle := c.free(m.Name, size, nil), c.st.occ[m.Name].idle.used
	var need Res
	for _, id := range c.byPriority(m) {
		j := c.st.jobs[id.Job]
		if c.placed[id] != m.Name || j == nil || j.H.Spec == nil || yields(j.H.Spec) {
			continue
		}
		next := need.Plus(j.H.Spec.Need, 1)
		if !free.Plus(idle, 1).Holds(next) {
			break
		}
		need = next
	}
	lack := need.Plus(free, -1)
	return Res{max(lack.CPU, 0), max(lack.GPU, 0), max(lack.Mem, 0)}
}

// idleOn lists the tasks on a machine that yield, those first that are being stopped.
func (c *Core) idleOn(m *Machine) []TaskID {
	ids := slices.DeleteFunc(sortedTasks(c.st.byMach[m.Name]), func(id TaskID) bool {
		j := c.st.jobs[id.Job]
		return j.H.Spec == nil || !yields(j.H.Spec) || j.prio > tuning.PrioIdle
	})
	rank := func(id TaskID) int {
		j := c.st.jobs[id.Job]
		switch {
		case c.yielded[doom{id, j.task(id.I).Attempt}]:
			return 0
		case j.H.Spec.Ckpt > 0:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ids, func(a, b TaskID) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			return ra - rb
		}
		return int(c.booked[b].at - c.booked[a].at)
	})
	return ids
}
