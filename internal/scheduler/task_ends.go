package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// recordTaskEnd has the failure counts, pauses and run times updated for the end of a task on a
// machine, once the draft that contains the end is committed.
func (c *Controller) recordTaskEnd(d *draft, m *Machine, j *Job, id domain.TaskID, report domain.TaskReport) {
	spec := j.Header.Spec // taken now: once the job is over, the committed header has no spec
	startedAt, ran := m.runningSince[attemptID{id, report.Attempt}]
	d.onCommit = append(d.onCommit, func() {
		c.debug("task ended", "task", id, "machine", m.Name, "attempt", report.Attempt, "cause", report.Cause, "saved", report.Saved)
		switch report.Cause {
		case domain.CauseDone:
			clear(m.failures)
			j.failures, j.pausedUntil = 0, 0
			if ran {
				c.queues.recordRunTime(m, spec, (c.now - startedAt).Seconds())
			}
		case domain.CauseError:
			m.recordError(j, c.now)
		case domain.CauseNoRoom, domain.CauseBusy:
			m.noBookingsUntil = c.now + tuning.RefusedPause
		case domain.CauseUnknown:
			j.failures++
			j.pausedUntil = int64(c.now + min(tuning.ErrorPause<<min(j.failures, 10), tuning.MaxErrorPause))
		}
		if j.phase == phaseOpen && j.isPaused(c.now) {
			c.recordWaitReason(j, WaitsForPause, nil, c.teamUsed(spec.Team, nil))
		}
		c.learner.recordFinish()
	})
}

// recordError counts an error of a job's task on the machine against both the job and the
// machine, since the error doesn't show which of them is at fault.
func (m *Machine) recordError(j *Job, now time.Duration) {
	m.countFailure(j.ID, now)
	// Until it is known which of them is at fault, the machine gets fewer tasks, so that fewer
	// can fail there.
	m.noBookingsUntil = now + min(time.Duration(m.failureSum())*tuning.RefusedPause, tuning.MaxErrorRowPause)
	if !j.isPaused(now) { // errors of its tasks during a pause count as the same try
		j.failures++
	}
	j.pausedUntil = int64(now + min(tuning.ErrorPause<<min(j.failures-1, 10), tuning.MaxErrorPause))
}

// countFailure counts an error of a job's task on the machine.
func (m *Machine) countFailure(job string, now time.Duration) {
	failures, known := m.failures[job]
	if !known {
		failures.firstAt = now
	}
	failures.count++
	m.failures[job] = failures
}

// failureSum returns how many tasks have failed on the machine since one was last done there.
func (m *Machine) failureSum() int {
	sum := 0
	for _, failures := range m.failures {
		sum += failures.count
	}
	return sum
}
