package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// detectLostReplies detects a machine whose heartbeats arrive while answers don't reach it: a
// heartbeat newer than an answer must contain the answer's fencing token and the tasks that it
// started.
func (c *Controller) detectLostReplies(m *Machine, heartbeat *domain.Heartbeat) {
	if !m.shouldReflectReply(heartbeat, c.now) {
		return
	}
	lost := heartbeat.FencingToken < m.sentToken
	listed := make(map[domain.TaskID]bool, len(heartbeat.Tasks))
	for _, report := range heartbeat.Tasks {
		listed[report.Task] = true
	}
	for attempt, sequence := range m.startsSent {
		if !c.cache.bookedOn[m.Name][attempt.Task] {
			delete(m.startsSent, attempt)
			continue
		}
		wasSentBefore := sequence > 0 && sequence < heartbeat.Sequence
		if wasSentBefore && !listed[attempt.Task] && c.cache.jobs[attempt.Task.Job].task(attempt.Task.Index).Attempt == attempt.Attempt {
			lost = true
		}
	}
	m.countLostReplies(lost, c.now)
}

// shouldReflectReply reports whether a heartbeat would show the effect of the last answer if that
// answer had arrived. Heartbeats that a network partition held back all arrive at the same time,
// and none of them can show an answer given a moment ago.
func (m *Machine) shouldReflectReply(heartbeat *domain.Heartbeat, now time.Duration) bool {
	return m.isInEpoch(heartbeat.AgentEpoch) && m.answeredAt >= 0 && now-m.answeredAt >= tuning.ReplyEffectDelay
}

// countLostReplies counts consecutive heartbeats that show that an answer had no effect.
func (m *Machine) countLostReplies(lost bool, now time.Duration) {
	if !lost {
		m.lostReplies = 0
		return
	}
	if m.lostReplies == 0 {
		m.lostRepliesSince = now
	}
	m.lostReplies++
}

// isMissingReplies reports whether at least tuning.MaxLostReplies consecutive heartbeats showed
// that answers to m had no effect. In a large fleet two heartbeat intervals must also have passed
// since the first of them: after a network partition hundreds of machines are answered late, and
// each that missed an answer would be returned, while a machine that receives nothing loses its
// tasks with its lease anyway.
func (c *Controller) isMissingReplies(m *Machine) bool {
	if m.lostReplies < tuning.MaxLostReplies {
		return false
	}
	return !c.isLargeFleet() || c.now-m.lostRepliesSince >= 2*c.cfg.HeartbeatInterval
}

// failureCount counts a job's errors on a machine since the first one.
type failureCount struct {
	count   int
	firstAt time.Duration
}

// isFaulty reports whether tasks keep failing on m because of the machine: there were at least
// tuning.FaultyErrors errors of two jobs, or twice as many of one job. Errors that may be the
// job's fault don't count, since a job that was submitted with a mistake fails on every machine:
// when all errors counted, 196 of 1,160 machines were returned as faulty in a scenario with such
// jobs.
func (c *Controller) isFaulty(m *Machine) bool {
	count, jobs := 0, 0
	for id, failures := range m.failures {
		if c.countsAgainstMachine(c.cache.job(id), failures) {
			count += failures.count
			jobs++
		}
	}
	return count >= tuning.FaultyErrors && (jobs >= 2 || count >= 2*tuning.FaultyErrors)
}

// countsAgainstMachine reports whether a job's errors on a machine may be the machine's fault. j
// is nil if the job isn't known any more. If some task of the job was done anywhere, the errors
// count immediately. Otherwise they count after the job had time for attempts elsewhere, unless it
// fails there too.
func (c *Controller) countsAgainstMachine(j *Job, failures failureCount) bool {
	if j == nil || j.cancelled() {
		return false
	}
	if j.counts.done > 0 || j.Header.State == domain.StateDone {
		return true
	}
	return c.now-failures.firstAt >= tuning.FaultyGracePeriod && !j.failsElsewhere(failures.count)
}

// hasOnlyFailuresOf reports whether tasks of the job failed repeatedly on m while no task of it
// was ever done. The job is then tried elsewhere, which shows whether the machine or the job is
// at fault.
func (m *Machine) hasOnlyFailuresOf(j *Job) bool {
	return j.counts.done == 0 && m.failures[j.ID].count >= tuning.FaultyErrors
}

// failsElsewhere reports, for a job of which no task was ever done, whether several of its
// attempts failed on other machines than the one with errorsHere errors. All controllers compute
// the same result, since the attempts are counted from the committed records.
func (j *Job) failsElsewhere(errorsHere int) bool {
	elsewhere := -errorsHere
	for i := range j.Tasks {
		task := &j.Tasks[i]
		elsewhere += int(task.Attempt)
		if task.State == domain.Booked {
			elsewhere-- // this attempt may still succeed
		}
		isGang := j.Header.Spec != nil && j.Header.Spec.Shape == domain.Gang
		if isGang || elsewhere >= max(2, errorsHere) { // all tasks of a gang share each attempt
			break
		}
	}
	return elsewhere >= 2 && 2*elsewhere >= errorsHere
}
