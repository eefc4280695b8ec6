package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// applyJob records a job's header. Headers are never deleted.
func (c *Controller) applyJob(id string, value []byte) (matters bool, err error) {
	if value == nil {
		return false, nil
	}
	if c.cache.jobs[id] == nil && c.cache.finalJobs.Has(id) {
		delete(c.cache.modRevisions, codec.KeyJob(id))
		return false, nil // an old value: a final header never changes
	}
	header, err := codec.Decode[codec.JobHeader](value)
	if err != nil {
		return false, err
	}
	c.applyHeader(id, header)
	return true, nil
}

// applyHeader replaces a job's header, or adds the job if it is new.
func (c *Controller) applyHeader(id string, header *codec.JobHeader) {
	j := c.cache.jobs[id]
	isNew := j == nil
	if isNew {
		j = c.addJob(id, header)
	}
	c.carryOverSpec(j, header, isNew)
	switch {
	case header.State == domain.StateOpen && header.Pack != j.Header.Pack:
		c.cache.changePack(j, header)
	case header.Shard != j.Header.Shard:
		c.dequeueTasks(j, header.TaskCount)
	}
	j.Header = header
	if isNew {
		c.linkDependencies(j)
	}
	if header.InlineTasks != nil {
		if err := c.applyText(j, 0, header.InlineTasks, header.InlineTasks.Texts[id]); err != nil {
			c.reportUnreadable(codec.KeyJob(id), err)
		}
	}
	c.updatePhases(j)
	if j.isFinal() && header.Spec == nil {
		c.cache.forgetTasks(j)
		c.cache.ended = append(c.cache.ended, endedJob{id, c.now})
	}
}

// addJob adds a job that the cache doesn't have yet. Its age counts from now or, if the header
// comes with a snapshot, from its acceptance.
func (c *Controller) addJob(id string, header *codec.JobHeader) *Job {
	j := &Job{ID: id, Header: header, counts: placement{queued: header.TaskCount}, submittedAt: int64(c.now)}
	if c.cache.loadingSnapshot && header.AcceptedAtMS > 0 {
		j.submittedAt = min(j.submittedAt, c.monotonicTime(header.AcceptedAtMS))
	}
	j.dependenciesDoneAt = j.submittedAt
	c.cache.jobs[id] = j
	if header.Spec != nil {
		c.cache.indexPack(j)
	}
	return j
}

// carryOverSpec fills in the fields of the new header's spec that are not stored with it: the
// job's name, and the list of dependencies, which it copies from the previous header. If the new
// header has no spec any more, it removes the job's bookings from the cache instead.
func (c *Controller) carryOverSpec(j *Job, header *codec.JobHeader, isNew bool) {
	if header.Spec != nil {
		header.Spec.ID = j.ID
		if j.Header.Spec != nil && !isNew {
			header.Spec.Dependencies = j.Header.Spec.Dependencies
		}
		return
	}
	if j.Header.Spec == nil || j.counts.booked == 0 {
		return
	}
	// The final header drops the spec only when nothing is booked any more, but the cache may
	// still hold a chunk that is older than that header.
	for i := range j.Tasks {
		if j.Tasks[i].State == domain.Booked {
			c.setTask(j, i, domain.Task{State: domain.Queued})
		}
	}
}

// changePack replaces the header of a job whose pack changed, because the job was handed over to
// another shard or moved to another pack of its shard.
func (c *cache) changePack(j *Job, header *codec.JobHeader) {
	c.unindexPack(j)
	j.Header = header
	c.indexPack(j)
}

// dequeueTasks removes all tasks of a job from the queues of this controller's machines.
func (c *Controller) dequeueTasks(j *Job, taskCount int) {
	for i := 0; i < taskCount && j.queuedHere > 0; i++ {
		c.dequeue(domain.TaskID{Job: j.ID, Index: i})
	}
}

// forgetTasks drops the task records of a job that is over. Its header holds all that is still
// needed.
func (c *cache) forgetTasks(j *Job) {
	c.unindexPack(j)
	j.Tasks = nil
	delete(c.awaitingRelease, j.ID)
}

// setTask sets a cached task and updates the counts and indexes. Cached tasks are changed nowhere
// else. Machines whose bookings change are added to heartbeats.toReview.
func (c *Controller) setTask(j *Job, i int, task domain.Task) {
	old := j.task(i)
	if old == task {
		return
	}
	if j.Tasks == nil {
		j.Tasks = make([]domain.Task, j.Header.TaskCount)
		j.counts.queued = j.Header.TaskCount
	}
	id := domain.TaskID{Job: j.ID, Index: i}
	j.gangAttempts.isKnown = false
	j.counts.count(old.State, -1)
	j.counts.count(task.State, 1)
	if old.State == domain.Booked {
		c.heartbeats.toReview[old.Machine] = true
		c.cache.removeBooking(j, id, old)
	}
	if task.State == domain.Booked {
		c.heartbeats.toReview[task.Machine] = true
		c.cache.addBooking(j, id, task, c.queues.bookingInfo(j, c.now))
		delete(c.queues.tasksDrawnToStay, id)
	}
	j.Tasks[i] = task
	if j.counts.queued == 0 {
		j.waitReason = WaitsForNothing
	}
	if task.State != domain.Queued || c.cache.taskShard(j, task) != c.cfg.Controller {
		c.dequeue(id)
	}
}

// bookingInfo returns what to record about a booking of one of the job's tasks that is first seen
// now.
func (q *queues) bookingInfo(j *Job, now time.Duration) bookingInfo {
	info := bookingInfo{seenAt: now}
	if j.Header.Spec != nil {
		info.runTimeMS = int64(1000 * q.runTime(j.Header.Spec))
	}
	return info
}

// addBooking adds a booking to the indexes.
func (c *cache) addBooking(j *Job, id domain.TaskID, task domain.Task, info bookingInfo) {
	tasks := c.bookedOn[task.Machine]
	if tasks == nil {
		tasks = map[domain.TaskID]bool{}
		c.bookedOn[task.Machine] = tasks
	}
	tasks[id] = true
	c.bookings[id] = info
	c.countBooking(j, id, task, 1)
}

// removeBooking removes a booking from the indexes.
func (c *cache) removeBooking(j *Job, id domain.TaskID, task domain.Task) {
	c.countBooking(j, id, task, -1)
	delete(c.bookedOn[task.Machine], id)
	delete(c.bookings, id)
	if len(c.bookedOn[task.Machine]) == 0 {
		delete(c.bookedOn, task.Machine)
		delete(c.occupancy, task.Machine)
	}
}

// countBooking adds a booking (times 1) to the totals of its machine and of the controller that
// booked it, or subtracts it (times -1). A job without a spec is skipped: what its tasks take is
// unknown.
func (c *cache) countBooking(j *Job, id domain.TaskID, task domain.Task, times int64) {
	spec := j.Header.Spec
	if spec == nil {
		return
	}
	runTimeMS := c.bookings[id].runTimeMS
	sums := c.occupancy[task.Machine]
	room := roomForTask(spec)
	sums.add(room, runTimeMS, times)
	if reservesMachines(spec) {
		sums.gangTasks += int(times)
	}
	if preemptible(spec) {
		sums.preemptible.add(room, runTimeMS, times)
	}
	sums.zone = task.Zone
	c.occupancy[task.Machine] = sums
	byController := c.usage[spec.Team]
	if byController == nil {
		byController = map[string]domain.Resources{}
		c.usage[spec.Team] = byController
	}
	byController[task.Shard] = byController[task.Shard].Plus(spec.Request, times)
}
