package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"brassglade/internal/domain"
)

// provenRelease is a booking whose attempt is proven off its machine.
type provenRelease struct {
	machine  *Machine
	task     domain.TaskID
	report   domain.TaskReport // the machine's last one of the task
	reported bool              // of this very attempt
	done     bool
}

// planReleases commits outcomes and releases of this controller's machines.
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
		done := proven.done || j.isGangDone(d) // a mate's end may stand in this very draft
		if d.hasRoomToEnd(j, proven.task.Index, done) {
			c.release(d, j, proven, done)
			continue // others may change values that are in already
		}
		c.planner.dirty = true
		if !full {
			full = true
			c.planner.releasesFrom = proven.machine.Name
		}
	}
	c.planCancelledJobs(d)
}

// provenReleases are the bookings on this controller's machines that are over, machine by
// machine, and how many there are of each value. They begin where the last full draft
// stopped, so that none is always left out.
func (c *Controller) provenReleases() (releases []provenRelease, byValue map[string]int) {
	byValue = map[string]int{}
	names := c.heartbeats.machineNames()
	first, _ := slices.BinarySearch(names, c.planner.releasesFrom)
	for _, name := range slices.Concat(names[first:], names[:first]) {
		if len(c.cache.bookedOn[name]) == 0 || !c.owns(name) {
			continue
		}
		m := c.heartbeats.machines[name]
		for _, id := range c.provenOffTasks(m) {
			j := c.cache.jobs[id.Job]
			proven := c.releaseOf(m, j, id)
			if !proven.reported && c.willSendStartAgain(m, j, id) {
				continue
			}
			if c.isAvoided(j, id.Index) {
				continue
			}
			byValue[j.Header.KeyOf(j.ID, id.Index)]++
			releases = append(releases, proven)
		}
	}
	return releases, byValue
}

// provenOffTasks are the tasks booked on a machine that are proven off it, in order.
func (c *Controller) provenOffTasks(m *Machine) []domain.TaskID {
	var ids []domain.TaskID
	for id := range c.cache.bookedOn[m.Name] {
		if j := c.cache.jobs[id.Job]; j.Header.Spec != nil && c.isProvenStopped(m, id, j.task(id.Index)) {
			ids = append(ids, id)
		}
	}
	return sortTasks(ids)
}

// releaseOf is the release of a task that is proven off its machine, with what the
// machine said of it.
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

// willSendStartAgain tells whether the start of a booking that the machine doesn't know of
// was lost on the way and is simply sent again: the agent that it is for is there, no commit
// releases it, and the booking still has a purpose.
func (c *Controller) willSendStartAgain(m *Machine, j *Job, id domain.TaskID) bool {
	task := j.task(id.Index)
	isForThisAgent := m.agentEpoch == task.AgentEpoch && m.abandonedEpoch < task.AgentEpoch
	return isForThisAgent && c.cache.cordons[m.Name].State == "" &&
		!c.planner.pendingReleases[attemptID{id, task.Attempt}] && c.isStillWanted(m, j, id)
}

// isStillWanted tells whether a booking still has a purpose: its job is open and neither
// its gang was stopped or broken nor its machine is about to be taken away, to be emptied,
// or to make room for a task that waits there.
func (c *Controller) isStillWanted(m *Machine, j *Job, id domain.TaskID) bool {
	task := j.task(id.Index)
	switch {
	case j.Header.State != domain.StateOpen,
		j.isStopped(task),
		!isGangIntact(j, task):
		return false
	case m.preemptionAt >= 0,
		c.isEvictedFrom(m, j.Header.Spec),
		c.planner.preempted[attemptID{id, task.Attempt}]:
		return false
	}
	return true
}

// takeLargestReleasesTurn tells whether those values go first that have most to change.
// Where more wait for a change than go into one commit, a backlog with many values takes
// all changes a second for two or three releases each otherwise. In turns with the order of
// machines, so that none is left out.
func (c *Controller) takeLargestReleasesTurn(d *draft, values int) bool {
	c.planner.largestReleasesTurn = !c.planner.largestReleasesTurn
	return c.planner.largestReleasesTurn && values > d.maxChanges-d.changes() && c.isLargeFleet()
}

// valueOf is the key of the value that holds a task.
func (c *cache) valueOf(id domain.TaskID) string {
	return c.jobs[id.Job].Header.KeyOf(id.Job, id.Index)
}

// release puts a release into the draft. A task of a job that was cancelled meanwhile isn't
// finished any more.
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

// isGangDone tells whether the job is a gang of which one task is done, in the draft or (nil)
// as committed, and hence all are.
func (j *Job) isGangDone(d *draft) bool {
	return j.Header.Spec.Shape == domain.Gang && placementOf(j, d).done > 0
}

// planCancelledJobs takes away the tasks of cancelled jobs whose last booking is gone: they
// need no further care.
func (c *Controller) planCancelledJobs(d *draft) {
	for _, id := range slices.Sorted(maps.Keys(c.cache.awaitingRelease)) {
		j := c.cache.awaitingRelease[id]
		if j.counts.booked > 0 || c.cache.shardOf(j) != c.cfg.Node || j.Header.Spec == nil {
			continue
		}
		if d.isTurnOf(j) && d.takesEndOf(j) {
			d.endCancelled(j)
		}
	}
}

// isTurnOf tells whether the draft is for the value that holds the job's tasks; another
// shard's value is remembered to get its turn.
func (d *draft) isTurnOf(j *Job) bool {
	if !d.c.isForeign(j) {
		return d.foreignKey == ""
	}
	key := j.Header.KeyOf(j.ID, 0)
	if d.foreignKey != key {
		d.c.planner.foreignValues[key] = true
		return false
	}
	return true
}

// takesEndOf tells whether the draft has room for the end of a cancelled job and doesn't
// change its tasks otherwise. Of a job with many values it needs room for half a transaction.
func (d *draft) takesEndOf(j *Job) bool {
	most := d.c.cfg.TransactionLimit
	return len(d.copiedCells[j.ID]) == 0 && d.changes()+1+min(j.Header.CellCount(), most/2) <= most && d.takesConditions(8)
}

// endCancelled writes that a cancelled job is over, and drops its tasks from as many values
// as there are changes left for.
func (d *draft) endCancelled(j *Job) {
	c := d.c
	header := d.header(j)
	d.finished[j.ID] = true
	for i := 0; i < j.Header.TaskCount && d.changes() < c.cfg.TransactionLimit; i = j.Header.CellEnd(i) {
		key := j.Header.KeyOf(j.ID, i)
		if j.Header.Inline || j.Tasks == nil || c.cache.modRevisions[key] == 0 || d.keys[key] || c.isOversizedInPlan(key) {
			continue
		}
		d.rewrite(key)
		d.bytes += c.valueBound()
	}
	if key := j.Header.KeyOf(j.ID, 0); c.cache.oversized[key] {
		d.addCondition(key)
	}
	header.State = domain.StateCancelled
	header.Released, header.Spec, header.SplitChunks, header.CellSize = true, nil, nil, 0
}
