package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
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

// bookingPlace is where a task is booked: on a machine, with its agent of an epoch.
type bookingPlace struct {
	machine, zone string
	agentEpoch    uint64
}

// place is where a task on the machine is booked.
func (m *Machine) place() bookingPlace { return bookingPlace{m.Name, m.Zone, m.agentEpoch} }

// place is where a task on the machine is booked.
func (m *inventoryMachine) place() bookingPlace { return bookingPlace{m.name, m.zone, m.agentEpoch} }

// book books an attempt of task i of j within the draft.
func (d *draft) book(j *Job, i int, place bookingPlace, attempt uint64) {
	if !d.c.mayStart(j) {
		panic("booking " + j.ID + " before its dependencies are done") // no list of open jobs has it
	}
	task := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // it may have been cancelled or handed over
	*task = domain.Task{State: domain.Booked, Attempt: attempt, Machine: place.machine, AgentEpoch: place.agentEpoch, Zone: place.zone, Shard: d.c.cfg.Node}
	if d.c.guard(GuardCordons) {
		d.addCondition(codec.PrefixCordons + d.c.cordonPageOf(place.machine))
	}
	d.machines[place.machine] = true
	d.growth[d.keyOf(j, i)] += d.c.bookBytes()
	d.countUsage(j.Header.Spec, 1)
	d.usedOn[place.machine] = d.usedOn[place.machine].Plus(j.Header.Spec.Request, 1)
}

// countUsage counts tasks into what this controller's bookings take of their team's limit; a
// negative number: out of it.
func (d *draft) countUsage(spec *domain.JobSpec, tasks int64) {
	d.usage[spec.Team] = d.usage[spec.Team].Plus(spec.Request, tasks)
	d.adjustShare(spec.Team, spec.Request)
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
func (d *draft) recordBooking(id domain.TaskID, place bookingPlace, attempt uint64, pass PlanningPass) {
	d.onCommit = append(d.onCommit, func() {
		d.c.Work.Bookings[pass]++
		d.c.debug("task booked", "task", id, "machine", place.machine, "zone", place.zone, "attempt", attempt, "pass", pass)
	})
}

// release takes a task that is proven off its machine off its booking, and finishes it if
// it is done. No start of the attempt may go out any more, since this transaction may be
// carried out late.
func (d *draft) release(j *Job, i int, done bool) {
	spec, task := j.Header.Spec, d.task(j, i)
	d.releases = append(d.releases, attemptID{domain.TaskID{Job: j.ID, Index: i}, task.Attempt})
	d.machines[task.Machine] = true
	d.usedOn[task.Machine] = d.usedOn[task.Machine].Plus(spec.Request, -1) // the same commit may book there again
	if task.Shard == d.c.cfg.Node {
		d.countUsage(spec, -1)
	}
	task.Machine, task.AgentEpoch, task.Zone = "", 0, ""
	task.State, task.Shard = domain.Queued, ""
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	if !done {
		return
	}
	d.finish(j, i)
	if spec.Shape == domain.Gang {
		d.finishMates(j)
	}
}

// finishMates finishes the queued tasks of a gang of which one is done. They complete
// together: a mate whose own end was never reported is done, too.
func (d *draft) finishMates(j *Job) {
	for i := 0; i < j.Header.TaskCount; i++ {
		if d.peek(j, i).State == domain.Queued {
			d.finish(j, i)
		}
	}
}

// finish records that a task is done. The last task of a cell changes the header; the last
// cell ends the job.
func (d *draft) finish(j *Job, i int) {
	*d.task(j, i) = domain.Task{State: domain.Done}
	cell := d.cells[j.ref(i)]
	if doneTasks(cell) < len(cell) {
		return
	}
	header := d.header(j)
	if countDoneCell(header, len(cell)) {
		d.finishJob(j, header)
	}
}

// countDoneCell counts a cell of which all tasks are done, and tells whether it was the
// job's last one.
func countDoneCell(header *codec.JobHeader, tasks int) bool {
	if header.CellSize > 0 { // some chunk is split: cells are of two sizes
		header.DoneTasks += tasks
		return header.DoneTasks >= header.TaskCount
	}
	header.DoneChunks++
	return header.DoneChunks*header.ChunkSize >= header.TaskCount
}

// finishJob ends a job of which all tasks are done. Its header says all there is to know.
func (d *draft) finishJob(j *Job, header *codec.JobHeader) {
	header.State, header.Spec, header.SplitChunks, header.CellSize = domain.StateDone, nil, nil, 0
	if d.c.cache.formatOn() {
		header.DoneAtMS = d.c.wallMS()
	}
	d.finished[j.ID] = true
}

// handOver gives a queued task to another shard.
func (d *draft) handOver(j *Job, i int, to string) {
	task := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // it may have been cancelled, or handed over with its job
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	task.Shard = to
}

// handOverJob gives an untouched job to another shard, in a pack of that shard where one
// has room for it.
func (d *draft) handOverJob(j *Job, to string) {
	header := d.header(j)
	header.Shard, header.Handovers = to, header.Handovers+1
	if header.Pack == "" {
		return
	}
	if pack, ok := d.c.packFor(j.Header.Spec, to); ok {
		header.Pack = pack
	}
}
