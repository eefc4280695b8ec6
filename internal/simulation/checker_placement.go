package simulation

import (
	"brassglade/internal/domain"
)

// checkRunningTasks checks the tasks on all machines. It is called every second and, in a small
// fleet, also whenever a task has fetched its image.
func (c *Cluster) checkRunningTasks() {
	c.checkCancelledTasks()
	c.checkQuota()
}

// checkCancelledTasks (ran_cancelled) checks that no task of a cancelled job is on a machine
// longer than Settings.CancelWithin after its user was told of the cancellation.
func (c *Cluster) checkCancelledTasks() {
	if !c.isAnyCancelOverdue() {
		return
	}
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for _, id := range w.taskIDs() {
			job := c.jobs[id.Job]
			if w.tasks[id].isOnMachine() && c.isCancelOverdue(job) && !job.hasViolation(c, ruleRanCancelled) {
				c.violated(ruleRanCancelled, "%v is on %s after the time limit of its cancellation", id, w.name)
			}
		}
	}
}

// isAnyCancelOverdue reports whether isCancelOverdue holds for any job.
func (c *Cluster) isAnyCancelOverdue() bool {
	for _, job := range c.jobs {
		if c.isCancelOverdue(job) {
			return true
		}
	}
	return false
}

// isCancelOverdue reports whether more than Settings.CancelWithin has passed since a job's user
// was told that it is cancelled, so that none of its tasks may be on a machine.
func (c *Cluster) isCancelOverdue(job *jobRecord) bool {
	return job.cancelReportedAt >= 0 && c.Now-job.cancelReportedAt > c.settings.CancelWithin
}

// checkQuota (quota) checks that the tasks on machines stay within their teams' GPU limits.
func (c *Cluster) checkQuota() {
	used := c.usedByTeam((*task).isOnMachine)
	for _, team := range []string{"red", "blue"} {
		limit := c.settings.Teams[team].Limit
		if limit.GPU <= 0 {
			continue
		}
		if used[team].GPU == limit.GPU {
			c.occurred("a team at its limit")
		}
		if used[team].GPU > limit.GPU {
			c.violated(ruleQuota, "%s uses %d thousandths of a GPU, limit %d", team, used[team].GPU, limit.GPU)
		}
	}
}

// usedByTeam returns the resources requested by the tasks for which counts holds, by team.
func (c *Cluster) usedByTeam(counts func(*task) bool) map[string]domain.Resources {
	used := map[string]domain.Resources{}
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for id, t := range w.tasks {
			if counts(t) {
				spec := &c.jobs[id.Job].spec
				used[spec.Team] = used[spec.Team].Plus(spec.Request, 1)
			}
		}
	}
	return used
}

// checkNoOtherAttempt (busy) checks that a start command does not arrive while another attempt at
// the same task, t, has not ended on this machine.
func (w *worker) checkNoOtherAttempt(t *task, command domain.Command) {
	if t.attempt != command.Attempt && t.hasNotEnded() {
		w.cluster.violated(ruleBusy, "%v try %d on %s beside try %d", command.Task, command.Attempt, w.name, t.attempt)
	}
}

// checkDependenciesDone (too_early) checks that all dependencies of a starting job are done.
func (w *worker) checkDependenciesDone(id domain.TaskID, job *jobRecord) {
	if !w.cluster.dependenciesDone(job) {
		w.cluster.violated(ruleTooEarly, "%s/%d starts on %s before its dependencies are done", id.Job, id.Index, w.name)
	}
}

// checkNotLateStart (late_start) checks that no task of a job starts too long after its user was
// told of the cancellation. Start commands are sent only in responses to heartbeats. A controller
// that does not know of the cancellation yet may send one for up to FenceAge after its last
// confirmation, and machines drop responses older than replyAgeLimit; so no task starts later
// than the sum of both.
func (w *worker) checkNotLateStart(id domain.TaskID, job *jobRecord) {
	c := w.cluster
	late := c.Now - job.cancelReportedAt
	if job.cancelReportedAt < 0 || late <= 0 {
		return
	}
	c.occurred("start after a cancellation was told")
	if late > c.settings.FenceAge+replyAgeLimit {
		c.violated(ruleLateStart, "%s/%d starts on %s %.1f s after its user was told of the cancellation", id.Job, id.Index, w.name, late.Seconds())
	}
}

// checkRunsOnce (ran_twice) checks that a task that has fetched its image is on no other machine.
func (w *worker) checkRunsOnce(id domain.TaskID, t *task) {
	for _, other := range w.cluster.workers {
		if x := other.tasks[id]; other != w && x != nil && x.isOnMachine() && !other.isGone {
			w.cluster.violated(ruleRanTwice, "%s/%d try %d on %s while try %d is on %s", id.Job, id.Index, t.attempt, w.name, x.attempt, other.name)
		}
	}
}

// checkPlace (wrong_place) checks that a task is on a spot machine only if its job allows that,
// and in the zone that the job names, if any.
func (w *worker) checkPlace(id domain.TaskID, job *jobRecord) {
	if !w.isAllowed(&job.spec) {
		w.cluster.violated(ruleWrongPlace, "%s/%d on %s, which its job's spot or zone rule excludes", id.Job, id.Index, w.name)
	}
}

// isAllowed reports whether a job may use this machine by its kind (spot or not) and zone. It
// ignores where the job's other tasks are.
func (w *worker) isAllowed(spec *domain.JobSpec) bool {
	return (!w.isSpot || spec.Spot) && (spec.Zone == "" || spec.Zone == w.zone)
}

// checkNotCancelled (ran_cancelled) checks that no task starts of a job whose cancellation is
// overdue.
func (w *worker) checkNotCancelled(id domain.TaskID, job *jobRecord) {
	if w.cluster.isCancelOverdue(job) {
		w.cluster.violated(ruleRanCancelled, "%s/%d starts on %s after the time limit of its cancellation", id.Job, id.Index, w.name)
	}
}

// checkZoneRules (wrong_place) checks the zone rule of a job when one of its tasks has fetched its
// image, given the job's other tasks on machines: all in one zone (OneZone), or at most half,
// rounded up, in each (Spread).
func (w *worker) checkZoneRules(id domain.TaskID, job *jobRecord) {
	if !job.spec.OneZone && !job.spec.Spread {
		return
	}
	here := 1
	for _, other := range w.cluster.workers {
		if other.isGone {
			continue
		}
		for _, otherID := range other.taskIDs() {
			if otherID.Job != id.Job || !other.tasks[otherID].isOnMachine() {
				continue
			}
			if other.zone == w.zone {
				here++
			} else if job.spec.OneZone {
				w.cluster.violated(ruleWrongPlace, "%s/%d in zone %s, but task %d in zone %s", id.Job, id.Index, w.zone, otherID.Index, other.zone)
			}
		}
	}
	if most := mostInZone(&job.spec); job.spec.Spread && int64(here) > most {
		w.cluster.violated(ruleWrongPlace, "%s/%d is task number %d of its job in zone %s, at most %d are allowed", id.Job, id.Index, here, w.zone, most)
	}
}

// mostInZone returns how many tasks of a job with the Spread rule may be in one zone: half of them,
// rounded up.
func mostInZone(spec *domain.JobSpec) int64 { return int64(spec.TaskCount+1) / 2 }
