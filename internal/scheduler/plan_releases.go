package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"brassglade/internal/domain"
)

// provenRelease is the release of a booking whose attempt is proven stopped (isProvenStopped).
type provenRelease struct {
	machine  *Machine
	task     domain.TaskID
	report   domain.TaskReport // the machine's last report on the task
	reported bool              // the report is on this attempt
	done     bool
}

// planReleases records the ends of tasks on this controller's machines and releases their bookings.
func (c *Controller) planReleases(d *draft) {
	releases, byValue := c.provenReleases()
	if c.takeLargestReleasesTurn(d, len(byValue)) {
		slices.SortStableFunc(releases, func(a, b provenRelease) int {
			return cmp.Compare(byValue[c.cache.valueOf(b.task)], byValue[c.cache.valueOf(a.task)])
		})
	}
	full := false
	for _, proven := range releases {
		j := c.cache.jobs[proven.task.Job]
		done := proven.done || j.isGangDone(d) // the end of another task of the gang may be in this draft
		if d.hasRoomToEnd(j, proven.task.Index, done) {
			c.release(d, j, proven, done)
			continue // others may be in values that the draft writes already
		}
		c.planner.dirty = true
		if !full {
			full = true
			c.planner.firstReleaseMachine = proven.machine.Name
		}
	}
	c.planCancelledJobs(d)
}

// provenReleases returns the bookings on this controller's machines that can be released, machine
// by machine, and their number in each value, by key. It begins with the machine at which the last
// full draft stopped, so that none is left out every time.
func (c *Controller) provenReleases() (releases []provenRelease, byValue map[string]int) {
	byValue = map[string]int{}
	names := c.heartbeats.machineNames()
	first, _ := slices.BinarySearch(names, c.planner.firstReleaseMachine)
	for _, name := range slices.Concat(names[first:], names[:first]) {
		if len(c.cache.bookedOn[name]) == 0 || !c.owns(name) {
			continue
		}
		m := c.heartbeats.machines[name]
		for _, id := range c.provenStoppedTasks(m) {
			j := c.cache.jobs[id.Job]
			proven := c.releaseOf(m, j, id)
			if !proven.reported && c.willResendStart(m, j, id) {
				continue
			}
			if c.isTaskAvoided(j, id.Index) {
				continue
			}
			byValue[j.Header.ValueKey(j.ID, id.Index)]++
			releases = append(releases, proven)
		}
	}
	return releases, byValue
}

// provenStoppedTasks returns the tasks booked on a machine that are proven stopped, sorted.
func (c *Controller) provenStoppedTasks(m *Machine) []domain.TaskID {
	var ids []domain.TaskID
	for id := range c.cache.bookedOn[m.Name] {
		if j := c.cache.jobs[id.Job]; j.Header.Spec != nil && c.isProvenStopped(m, id, j.task(id.Index)) {
			ids = append(ids, id)
		}
	}
	return sortTasks(ids)
}

// releaseOf returns the release of a task that is proven stopped, with the machine's last report on
// it.
func (c *Controller) releaseOf(m *Machine, j *Job, id domain.TaskID) provenRelease {
	task := j.task(id.Index)
	report, known := m.reported[id]
	reported := known && report.Attempt == task.Attempt && m.agentEpoch == task.AgentEpoch
	ended := reported && report.State == domain.ReportedEnded
	return provenRelease{
		machine:  m,
		task:     id,
		report:   report,
		reported: reported,
		done:     ended && report.Cause == domain.CauseDone || j.isGangDone(nil),
	}
}

// willResendStart reports whether the start of a booking that the machine does not know of was
// lost on the way and will be sent again: the agent that it was for is still there and has room for
// it in its report, no commit releases the booking, and the booking is still needed.
func (c *Controller) willResendStart(m *Machine, j *Job, id domain.TaskID) bool {
	task := j.task(id.Index)
	attempt := attemptID{id, task.Attempt}
	isForThisAgent := m.agentEpoch == task.AgentEpoch && m.abandonedEpoch < task.AgentEpoch
	return isForThisAgent && !m.unlistable[attempt] && c.cache.cordons[m.Name].State == "" &&
		!c.planner.pendingReleases[attempt] && c.isStillWanted(m, j, id)
}

// isStillWanted reports whether a booking is still needed: its job is open, its gang was neither
// stopped nor broken, or is still forming, its machine is not about to be taken away or emptied, and the task is not
// being preempted.
func (c *Controller) isStillWanted(m *Machine, j *Job, id domain.TaskID) bool {
	task := j.task(id.Index)
	switch {
	case j.Header.State != domain.StateOpen,
		j.isStopped(task),
		!isGangIntact(j, task) && !j.isForming():
		return false
	case m.preemptionAt >= 0,
		c.isEvictedFrom(m, j.Header.Spec),
		c.planner.preempted[attemptID{id, task.Attempt}]:
		return false
	}
	return true
}

// takeLargestReleasesTurn reports whether the values with the most releases go first in this plan.
// They do in every second plan of a large fleet if more values wait for releases than one commit
// can change: in the order of machines, a backlog that is spread over many values would use up all
// changes of a second with two or three releases for each. The plans in between follow the order of
// machines, so that no value is left out.
func (c *Controller) takeLargestReleasesTurn(d *draft, values int) bool {
	c.planner.largestReleasesTurn = !c.planner.largestReleasesTurn
	return c.planner.largestReleasesTurn && values > d.maxChanges-d.changes() && c.isLargeFleet()
}

// valueOf returns the key of the value that holds a task.
func (c *cache) valueOf(id domain.TaskID) string {
	return c.jobs[id.Job].Header.ValueKey(id.Job, id.Index)
}

// release adds a release to the draft. A task whose job was cancelled in the meantime is not
// recorded as done.
func (c *Controller) release(d *draft, j *Job, proven provenRelease, done bool) {
	attempt := j.task(proven.task.Index).Attempt
	d.release(j, proven.task.Index, done && j.Header.State == domain.StateOpen)
	if proven.reported && proven.report.State == domain.ReportedEnded {
		c.recordTaskEnd(d, proven.machine, j, proven.task, proven.report)
		return
	}
	d.onCommit = append(d.onCommit, func() {
		c.debug("task released", "task", proven.task, "machine", proven.machine.Name, "attempt", attempt)
	})
}

// isGangDone reports whether the job is a gang of which one task is done, in the draft or, with a
// nil draft, as committed. All its tasks then count as done.
func (j *Job) isGangDone(d *draft) bool {
	return j.Header.Spec.Shape == domain.Gang && placementOf(j, d).done > 0
}

// planCancelledJobs records the end of cancelled jobs whose last booking was released, and removes
// their tasks. Nothing more has to be done for such jobs.
func (c *Controller) planCancelledJobs(d *draft) {
	for _, id := range slices.Sorted(maps.Keys(c.cache.awaitingRelease)) {
		j := c.cache.awaitingRelease[id]
		if j.counts.booked > 0 || c.cache.shardOf(j) != c.cfg.Controller || j.Header.Spec == nil {
			continue
		}
		if d.coversValueOf(j) && d.hasRoomForEndOf(j) {
			d.finishCancelledJob(j)
		}
	}
}

// coversValueOf reports whether the draft may change the value that holds the job's tasks. If it is
// another shard's value and the draft is not for it, it is remembered for a later draft.
func (d *draft) coversValueOf(j *Job) bool {
	if !d.c.isForeign(j) {
		return d.foreignKey == ""
	}
	key := j.Header.ValueKey(j.ID, 0)
	if d.foreignKey != key {
		d.c.planner.foreignValues[key] = true
		return false
	}
	return true
}

// hasRoomForEndOf reports whether the draft has room for the end of a cancelled job and has no copy
// of its tasks. For a job with many values, room for half a transaction is enough.
func (d *draft) hasRoomForEndOf(j *Job) bool {
	limit := d.c.maxPlanChanges()
	return len(d.copiedCells[j.ID]) == 0 && d.changes()+1+min(j.Header.CellCount(), limit/2) <= limit && d.hasRoomForConditions(8)
}

// finishCancelledJob records the end of a cancelled job, and removes its tasks from as many values
// as there are changes left for.
func (d *draft) finishCancelledJob(j *Job) {
	c := d.c
	header := d.header(j)
	d.finished[j.ID] = true
	for i := 0; i < j.Header.TaskCount && d.changes() < c.maxPlanChanges(); i = j.Header.CellEnd(i) {
		key := j.Header.ValueKey(j.ID, i)
		if j.Header.Inline || j.Tasks == nil || c.cache.modRevisions[key] == 0 || d.keys[key] || c.mustShrinkValueInPlan(key) {
			continue
		}
		d.addRewrite(key)
		d.bytes += c.valueLimit()
	}
	if key := j.Header.ValueKey(j.ID, 0); c.cache.oversized[key] {
		d.addCondition(key)
	}
	header.State = domain.StateCancelled
	header.Released, header.Spec, header.SplitChunks, header.CellSize = true, nil, nil, 0
}
