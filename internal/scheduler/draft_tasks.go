package scheduler

import (
	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// task returns the copy of task i to change.
func (d *draft) task(j *Job, i int) *domain.Task {
	ref := j.ref(i)
	if d.cells[ref] == nil {
		d.openCell(j, i)
	}
	d.changed[domain.TaskID{Job: j.ID, Index: i}] = true
	return &d.cells[ref][i-ref.from]
}

// openCell takes the cell with task i into the draft, to be written with its value.
func (d *draft) openCell(j *Job, i int) {
	source := j.Header.KeyOf(j.ID, i)
	if pack, ok := d.leaving[j.ID]; ok {
		d.move(j, pack)
	}
	if d.cells[j.ref(i)] == nil {
		d.copyCell(j, i)
	}
	// While a value is too large, jobs may leave it without a change of its
	// revision (move, splitCell): only their headers show it.
	if d.c.cache.oversized[source] {
		d.addCondition(codec.KeyJob(j.ID))
	}
	key := d.keyOf(j, i)
	if j.Header.Inline {
		d.header(j)
	} else {
		d.addValue(key)
	}
	if j.Tasks == nil {
		d.growth[key] += tuning.TaskBytes + len(j.ID)
	}
}

// book puts task i of j on a machine within the draft.
func (d *draft) book(j *Job, i int, machine, zone string, agentEpoch, attempt uint64) {
	if !d.c.mayStart(j) {
		panic("booking " + j.ID + " before its dependencies are done") // no list of open jobs has it
	}
	t := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // it may have been cancelled or handed over
	*t = domain.Task{State: domain.Booked, Attempt: attempt, Machine: machine, AgentEpoch: agentEpoch, Zone: zone, Shard: d.c.cfg.Node}
	if d.c.guard(GuardGone) {
		d.addCondition(codec.PrefixCordons + d.c.cordonPageOf(machine))
	}
	d.machines[machine] = true
	d.growth[d.keyOf(j, i)] += d.c.bookBytes()
	d.countUsage(j.Header.Spec, 1)
	d.usedOn[machine] = d.usedOn[machine].Plus(j.Header.Spec.Request, 1)
}

// countUsage counts n tasks into what this controller's bookings take of their team's
// limit; n < 0: out of it.
func (d *draft) countUsage(sp *domain.JobSpec, n int64) {
	d.usage[sp.Team] = d.usage[sp.Team].Plus(sp.Request, n)
	d.settleShare(sp.Team, sp.Request)
}

// bookBytes is what a booking is planned to add to its value: what it mostly takes,
// or, when a draft came out too large by that, the most that it may take.
func (c *Controller) bookBytes() int {
	if c.cache.formatOn() && !c.planner.reserveLongestTexts {
		return tuning.TaskBytesShort
	}
	return tuning.TaskBytes
}

// recordBooking counts and logs a booking once it is committed.
func (d *draft) recordBooking(id domain.TaskID, machine, zone string, attempt uint64, pass PlanningPass) {
	d.onCommit = append(d.onCommit, func() {
		d.c.Work.Bookings[pass]++
		d.c.debug("task booked", "task", id, "machine", machine, "zone", zone, "attempt", attempt, "pass", pass)
	})
}

// release takes a task that is proven off its machine off its booking, and finishes it if
// it is done. No start of the attempt may go out any more, since this transaction may be
// carried out late.
func (d *draft) release(j *Job, i int, done bool) {
	sp, t := j.Header.Spec, d.task(j, i)
	d.releases = append(d.releases, attemptID{domain.TaskID{Job: j.ID, Index: i}, t.Attempt})
	d.machines[t.Machine] = true
	d.usedOn[t.Machine] = d.usedOn[t.Machine].Plus(sp.Request, -1) // the same commit may book there again
	if t.Shard == d.c.cfg.Node {
		d.countUsage(sp, -1)
	}
	t.Machine, t.AgentEpoch, t.Zone = "", 0, ""
	t.State, t.Shard = domain.Queued, ""
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	if !done {
		return
	}
	d.finish(j, i)
	if sp.Shape == domain.Gang {
		d.finishMates(j)
	}
}

// finishMates finishes the queued tasks of a gang of which one is done. They complete
// together: a mate whose own report was lost is done, too.
func (d *draft) finishMates(j *Job) {
	for i := 0; i < j.Header.TaskCount; i++ {
		if d.peek(j, i).State == domain.Queued {
			d.finish(j, i)
		}
	}
}

// finish marks a task done. The last task of a cell moves the header; the last cell
// ends the job.
func (d *draft) finish(j *Job, i int) {
	*d.task(j, i) = domain.Task{State: domain.Done}
	cell := d.cells[j.ref(i)]
	if doneTasks(cell) < len(cell) {
		return
	}
	h := d.header(j)
	if countDoneCell(h, len(cell)) {
		d.finishJob(j, h)
	}
}

// countDoneCell counts a cell of which all tasks are done, and tells whether it was the
// job's last one.
func countDoneCell(h *codec.JobHeader, tasks int) bool {
	if h.CellSize > 0 { // some chunk is split: cells are of two sizes
		h.DoneTasks += tasks
		return h.DoneTasks >= h.TaskCount
	}
	h.DoneChunks++
	return h.DoneChunks*h.ChunkSize >= h.TaskCount
}

// finishJob ends a job of which all tasks are done. Its header says all there is to know.
func (d *draft) finishJob(j *Job, h *codec.JobHeader) {
	h.State, h.Spec, h.SplitChunks, h.CellSize = domain.StateDone, nil, nil, 0
	if d.c.cache.formatOn() {
		h.DoneAtMS = d.c.wallMS()
	}
	d.finished[j.ID] = true
}

// handOver gives a queued task to another shard.
func (d *draft) handOver(j *Job, i int, to string) {
	t := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // it may have been cancelled, or handed over whole
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	t.Shard = to
}

// handOverJob gives an untouched job to another shard, in a pack of that shard where one
// has room for it.
func (d *draft) handOverJob(j *Job, to string) {
	h := d.header(j)
	h.Shard, h.Handovers = to, h.Handovers+1
	if h.Pack == "" {
		return
	}
	if pack, ok := d.c.packFor(j.Header.Spec, to); ok {
		h.Pack = pack
	}
}
