package scheduler

import (
	"brassglade/internal/tuning"
)

// bookGang books the tasks of a gang that are not booked yet, under one attempt number. If no draft
// has room for all of them, it books as many as this one has room for, and later plans book the
// others. It returns false if the draft is full, or if later gangs have to wait until this one is
// booked.
func (c *Controller) bookGang(d *draft, j *Job, picks []assignment, pass PlanningPass) bool {
	cells := cellsOf(j, picks)
	isWhole := d.cellsWithRoom(j) >= cells
	if !isWhole {
		c.planner.dirty = true
		if d.fitsEmptyDraft(j, cells) {
			return false
		}
		picks = firstCells(j, picks, d.cellsWithRoom(j))
	}
	attempt, isForming := j.formingAttempt()
	if !isForming {
		attempts := j.attempts()
		attempt = 1 + max(j.Header.StopUpTo, attempts.highestBooked, attempts.highestQueued)
		j.forming = formingProgress{}
	}
	for _, picked := range picks {
		d.hasRoomToGrow(j, picked.task) // always true here; called since it lets the job leave an oversized pack
		d.bookAssignment(j, picked, attempt, pass)
	}
	return isWhole
}

// cellsOf returns the number of cells that have the tasks of the assignments, which are in order.
func cellsOf(j *Job, picks []assignment) int {
	cells, end := 0, 0
	for _, picked := range picks {
		if picked.task >= end {
			cells, end = cells+1, j.Header.CellEnd(picked.task)
		}
	}
	return cells
}

// firstCells returns the assignments of tasks in the first cells, as many as given.
func firstCells(j *Job, picks []assignment, cells int) []assignment {
	end := 0
	for i, picked := range picks {
		if picked.task < end {
			continue
		}
		if cells == 0 {
			return picks[:i]
		}
		cells, end = cells-1, j.Header.CellEnd(picked.task)
	}
	return picks
}

// cellsWithRoom returns how many cells of a gang, at their largest, the draft has room for, with
// conditions on these, its header, its team's key and the cordons of its machines.
func (d *draft) cellsWithRoom(j *Job) int {
	return max(0, min(
		d.maxChanges-d.changes()-1,
		(tuning.TxnBytes-d.bytes)/d.c.gangCellBytes(j),
		tuning.ConditionsPerChange*d.c.cfg.TransactionLimit-len(d.conditions)-2-d.c.cordonPagesOfGang(j),
	))
}

// fitsEmptyDraft reports whether a draft of this stage without any change has room for so many cells
// of a gang.
func (d *draft) fitsEmptyDraft(j *Job, cells int) bool {
	conditions := tuning.ConditionsPerChange * d.c.cfg.TransactionLimit
	return cells+1 <= d.maxChanges && cells*d.c.gangCellBytes(j) <= tuning.TxnBytes && cells+3+d.c.cordonPagesOfGang(j) <= conditions
}

// gangCellBytes returns the most bytes that a value with tasks of a gang takes.
func (c *Controller) gangCellBytes(j *Job) int {
	from, to := j.Header.CellRange(0)
	longest := tuning.PackSlack + (to-from)*tuning.TaskBytes
	if j.Header.Inline {
		longest += tuning.HeaderBytes
	}
	return min(c.cfg.ValueLimit, longest)
}

// cordonPagesOfGang returns the most pages of cordons that the machines of a gang may be on.
func (c *Controller) cordonPagesOfGang(j *Job) int {
	return min(j.Header.Spec.TaskCount, len(c.cfg.Controllers))
}

// stopForming gives up the bookings of a gang that is forming and finds no room for its other tasks.
// It returns false if the draft is full.
func (d *draft) stopForming(j *Job) bool {
	if d.changes() >= d.maxChanges || !d.hasRoomForConditions(1) {
		d.c.planner.dirty = true
		return false
	}
	attempt, _ := j.formingAttempt()
	d.header(j).StopUpTo = attempt
	d.c.info("gang given up that was booked in part", "job", j.ID, "attempt", attempt, "booked", j.counts.booked, "queued", j.counts.queued)
	return true
}
