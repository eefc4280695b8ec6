package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// task returns the draft's copy of task i, for the caller to change.
func (d *draft) task(j *Job, i int) *domain.Task {
	ref := j.cellRef(i)
	if d.cells[ref] == nil {
		d.openCell(j, i)
	}
	d.changed[domain.TaskID{Job: j.ID, Index: i}] = true
	return &d.cells[ref][i-ref.from]
}

// openCell copies the cell that has task i into the draft and has its value written.
func (d *draft) openCell(j *Job, i int) {
	source := j.Header.ValueKey(j.ID, i)
	if pack, ok := d.leaving[j.ID]; ok {
		d.move(j, pack)
	}
	if d.cells[j.cellRef(i)] == nil {
		d.copyCell(j, i)
	}
	// While a value is too large, jobs may leave it without a change of its revision (move,
	// splitCell). Only their headers show it, so the commit is conditional on the header, too.
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

// bookingPlace is the machine that a task is booked on, with its zone and the epoch of its agent.
type bookingPlace struct {
	machine, zone string
	agentEpoch    uint64
}

// place returns the machine's name, zone and agent epoch, for a booking on the machine.
func (m *Machine) place() bookingPlace { return bookingPlace{m.Name, m.Zone, m.agentEpoch} }

// place returns the machine's name, zone and agent epoch, for a booking on the machine.
func (m *inventoryMachine) place() bookingPlace { return bookingPlace{m.name, m.zone, m.agentEpoch} }

// book adds the booking of an attempt of task i to the draft.
func (d *draft) book(j *Job, i int, place bookingPlace, attempt uint64) {
	if !d.c.mayStart(j) {
		panic("booking " + j.ID + " before its dependencies are done") // can't happen: such a job is not among the open jobs
	}
	task := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // fails the commit if the job was cancelled or handed over
	*task = domain.Task{State: domain.Booked, Attempt: attempt, Machine: place.machine, AgentEpoch: place.agentEpoch, Zone: place.zone, Shard: d.c.cfg.Controller}
	if d.c.isGuardEnabled(GuardCordons) {
		d.addCondition(codec.PrefixCordons + d.c.cordonPageOf(place.machine))
	}
	d.machines[place.machine] = true
	d.growth[d.keyOf(j, i)] += d.c.bookingBytes()
	d.addUsage(j.Header.Spec, 1)
	d.usageByMachine[place.machine] = d.usageByMachine[place.machine].plus(roomForTask(j.Header.Spec), 1)
}

// addUsage adds the requests of a number of tasks to the usage of their team by this
// controller's bookings; a negative number subtracts them.
func (d *draft) addUsage(spec *domain.JobSpec, tasks int64) {
	d.usageByTeam[spec.Team] = d.usageByTeam[spec.Team].Plus(spec.Request, tasks)
	d.adjustShare(spec.Team, spec.Request)
}

// bookingBytes returns the number of bytes that a booking is assumed to add to its value: the usual
// size, or the largest one if the shorter format is not in use yet or the last draft, planned with
// the usual size, came out too large.
func (c *Controller) bookingBytes() int {
	if c.cache.isFormatOn() && !c.planner.assumeMaxBookingBytes {
		return tuning.CompactTaskBytes
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

// release removes the booking of a task that is proven stopped (isProvenStopped), and finishes the
// task if it is done. Once the transaction is sent, no start of the attempt may be sent any more,
// since the transaction may be carried out late.
func (d *draft) release(j *Job, i int, done bool) {
	spec, task := j.Header.Spec, d.task(j, i)
	d.releases = append(d.releases, attemptID{domain.TaskID{Job: j.ID, Index: i}, task.Attempt})
	d.machines[task.Machine] = true
	d.usageByMachine[task.Machine] = d.usageByMachine[task.Machine].plus(roomForTask(spec), -1) // this commit may book there again
	if task.Shard == d.c.cfg.Controller {
		d.addUsage(spec, -1)
	}
	task.Machine, task.AgentEpoch, task.Zone = "", 0, ""
	task.State, task.Shard = domain.Queued, ""
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	if !done {
		return
	}
	d.finish(j, i)
	if spec.Shape == domain.Gang {
		d.finishRestOfGang(j)
	}
}

// finishRestOfGang finishes the queued tasks of a gang of which one task is done. The tasks of a
// gang complete together: a task whose own end was never reported is done, too.
func (d *draft) finishRestOfGang(j *Job) {
	if placementOf(j, d).queued == 0 {
		return
	}
	for i := 0; i < j.Header.TaskCount; i++ {
		if d.peek(j, i).State == domain.Queued {
			d.finish(j, i)
		}
	}
}

// finish records that a task is done. If it is the last one of its cell, the header is changed;
// if the cell is the last one of the job, the job is done.
func (d *draft) finish(j *Job, i int) {
	*d.task(j, i) = domain.Task{State: domain.Done}
	cell := d.cells[j.cellRef(i)]
	if doneTasks(cell) < len(cell) {
		return
	}
	header := d.header(j)
	if countDoneCell(header, len(cell)) {
		d.finishJob(j, header)
	}
}

// countDoneCell counts a cell whose tasks are all done. It reports whether it was the job's last.
func countDoneCell(header *codec.JobHeader, tasks int) bool {
	if header.CellSize > 0 { // a chunk was split, so that cells differ in size
		header.DoneTasks += tasks
		return header.DoneTasks >= header.TaskCount
	}
	header.DoneChunks++
	return header.DoneChunks*header.ChunkSize >= header.TaskCount
}

// finishJob records the end of a job whose tasks are all done. From then on its header alone
// describes it.
func (d *draft) finishJob(j *Job, header *codec.JobHeader) {
	header.State, header.Spec, header.SplitChunks, header.CellSize = domain.StateDone, nil, nil, 0
	if d.c.cache.isFormatOn() {
		header.DoneAtMS = d.c.wallMS()
	}
	d.finished[j.ID] = true
}

// handOver moves a queued task to another shard.
func (d *draft) handOver(j *Job, i int, to string) {
	task := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // fails the commit if the job was cancelled or handed over
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	task.Shard = to
}

// handOverJob moves a whole job to another shard, and to a pack of that shard if one has room for
// it. None of the job's tasks may have been booked or handed over.
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
