package simulation

import (
	"brassglade/internal/domain"
)

// checkRunningTasks checks what is on the machines; called every second, and whenever a task
// comes on a machine of a small fleet.
func (c *Cluster) checkRunningTasks() {
	c.checkCancelledTasks()
	c.checkQuota()
}

// checkCancelledTasks (ran_cancelled): nothing of a job is on machines longer than a
// cancellation may take after its user was told.
func (c *Cluster) checkCancelledTasks() {
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for _, id := range w.taskIDs() {
			job := c.jobs[id.Job]
			if w.tasks[id].isOnMachine() && c.isCancelOverdue(job) && !job.hasViolation(c, ruleRanCancelled) {
				c.violated(ruleRanCancelled, "%v on %s", id, w.name)
			}
		}
	}
}

// isCancelOverdue: a job's user was told cancelled longer ago than its tasks may stay.
func (c *Cluster) isCancelOverdue(job *jobRecord) bool {
	return job.cancelReportedAt >= 0 && c.Now-job.cancelReportedAt > c.settings.CancelWithin
}

// checkQuota (quota): what is on the machines is within the teams' limits.
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
			c.violated(ruleQuota, "%s uses %d of %d", team, used[team].GPU, limit.GPU)
		}
	}
}

// usedByTeam sums up what the tasks that count take up.
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

// checkNoOtherAttempt (busy): no attempt comes beside another one that has not ended.
func (w *worker) checkNoOtherAttempt(t *task, command domain.Command) {
	if t.attempt != command.Attempt && t.hasNotEnded() {
		w.cluster.violated(ruleBusy, "%v try %d on %s beside try %d", command.Task, command.Attempt, w.name, t.attempt)
	}
}

// checkDependenciesDone (too_early): all dependencies of a job that starts are done.
func (w *worker) checkDependenciesDone(id domain.TaskID, job *jobRecord) {
	if !w.cluster.dependenciesDone(job) {
		w.cluster.violated(ruleTooEarly, "%s/%d on %s before what it awaits is done", id.Job, id.Index, w.name)
	}
}

// checkNotLateStart (late_start): an answer that was given under the fence may still bring a
// start a little after the cancellation; not after that. Starts go out in answers alone, which
// a machine drops when they are too old.
func (w *worker) checkNotLateStart(id domain.TaskID, job *jobRecord) {
	c := w.cluster
	late := c.Now - job.cancelReportedAt
	if job.cancelReportedAt < 0 || late <= 0 {
		return
	}
	c.occurred("start after a cancellation was told")
	if late > c.settings.FenceAge+replyAgeLimit {
		c.violated(ruleLateStart, "%s/%d on %s %.1f s after its user was told cancelled", id.Job, id.Index, w.name, late.Seconds())
	}
}

// checkRunsOnce (ran_twice): a task that comes on a machine is on no other one.
func (w *worker) checkRunsOnce(id domain.TaskID, t *task) {
	for _, other := range w.cluster.workers {
		if x := other.tasks[id]; other != w && x != nil && x.isOnMachine() && !other.isGone {
			w.cluster.violated(ruleRanTwice, "%s/%d try %d on %s while try %d is on %s", id.Job, id.Index, t.attempt, w.name, x.attempt, other.name)
		}
	}
}

// checkPlace (wrong_place): a job is on spot machines only if it allows these, and in its zone
// if it names one.
func (w *worker) checkPlace(id domain.TaskID, job *jobRecord) {
	if !w.isAllowed(&job.spec) {
		w.cluster.violated(ruleWrongPlace, "%s/%d on %s", id.Job, id.Index, w.name)
	}
}

// isAllowed: the job's rules on kind and zone, each machine by itself, admit this one.
func (w *worker) isAllowed(spec *domain.JobSpec) bool {
	return (!w.isSpot || spec.Spot) && (spec.Zone == "" || spec.Zone == w.zone)
}

// checkNotCancelled (ran_cancelled): nothing starts of a job whose cancellation is overdue.
func (w *worker) checkNotCancelled(id domain.TaskID, job *jobRecord) {
	if w.cluster.isCancelOverdue(job) {
		w.cluster.violated(ruleRanCancelled, "%s/%d starts on %s", id.Job, id.Index, w.name)
	}
}

// checkZoneRules (wrong_place) checks the rules on a job's zones as one of its tasks comes on a
// machine, given the others that are on machines: all in one zone, or at most half in each.
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
				w.cluster.violated(ruleWrongPlace, "%s/%d in zone %s, %d in %s", id.Job, id.Index, w.zone, otherID.Index, other.zone)
			}
		}
	}
	if most := mostInZone(&job.spec); job.spec.Spread && int64(here) > most {
		w.cluster.violated(ruleWrongPlace, "%s/%d is number %d in zone %s, of %d allowed", id.Job, id.Index, here, w.zone, most)
	}
}

// mostInZone is how many tasks of a job that is spread over zones may be in one.
func mostInZone(spec *domain.JobSpec) int64 { return int64(spec.TaskCount+1) / 2 }
