package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// detectLostReplies notices a machine whose heartbeats arrive while answers don't reach it: a
// heartbeat newer than an answer must show the answer's token and tasks.
func (c *Controller) detectLostReplies(m *Machine, heartbeat *domain.Heartbeat) {
	if !m.shouldReflectReply(heartbeat, c.now) {
		return
	}
	unheeded := heartbeat.FencingToken < m.sentToken
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
			unheeded = true
		}
	}
	m.countLostReplies(unheeded, c.now)
}

// shouldReflectReply tells whether a heartbeat would show the last answer had it arrived. Those
// that a cut held back come all at once, and none of them can show an answer given a moment ago.
func (m *Machine) shouldReflectReply(heartbeat *domain.Heartbeat, now time.Duration) bool {
	return m.isInEpoch(heartbeat.AgentEpoch) && m.answeredAt >= 0 && now-m.answeredAt >= tuning.ReplyEffectDelay
}

// countLostReplies counts heartbeats in a row that show that an answer had no effect.
func (m *Machine) countLostReplies(unheeded bool, now time.Duration) {
	if !unheeded {
		m.lostReplies = 0
		return
	}
	if m.lostReplies == 0 {
		m.lostRepliesSince = now
	}
	m.lostReplies++
}

// isMissingReplies tells whether answers to m had no effect, twice in a row. In large fleets it
// takes two heartbeat intervals as well: after a cut hundreds of machines are answered late,
// and each that gave an answer up would be returned, while one that really hears nothing
// loses its tasks with its lease anyway.
func (c *Controller) isMissingReplies(m *Machine) bool {
	if m.lostReplies < tuning.MaxLostReplies {
		return false
	}
	return !c.isLargeFleet() || c.now-m.lostRepliesSince >= 2*c.cfg.HeartbeatInterval
}

// failureCount counts a job's errors on a machine, from the first on.
type failureCount struct {
	count   int
	firstAt time.Duration
}

// isFaulty tells whether tasks keep failing on m for the machine's sake: errors of two jobs,
// or twice as many of one. A job that was submitted with a mistake fails on every machine. On
// a day of the users with such jobs 196 of 1,160 machines were returned as faulty when all
// errors counted.
func (c *Controller) isFaulty(m *Machine) bool {
	count, jobs := 0, 0
	for id, failures := range m.failures {
		if c.countsAgainstMachine(c.cache.jobs[id], failures) {
			count += failures.count
			jobs++
		}
	}
	return count >= tuning.FaultyErrors && (jobs >= 2 || count >= 2*tuning.FaultyErrors)
}

// countsAgainstMachine tells whether a job's errors on a machine may be the machine's fault
// (j nil: the job isn't known any more). They may at once if a task of the job was done
// somewhere, and else when it had time to be tried elsewhere and doesn't fail there.
func (c *Controller) countsAgainstMachine(j *Job, failures failureCount) bool {
	if j == nil || j.cancelled() {
		return false
	}
	if j.counts.done > 0 || j.Header.State == domain.StateDone {
		return true
	}
	return c.now-failures.firstAt >= tuning.FaultyGracePeriod && !j.failsElsewhere(failures.count)
}

// hasOnlyFailuresOf tells whether tasks of the job failed on m, and none was ever done. It is tried
// elsewhere next, which shows whose fault it is.
func (m *Machine) hasOnlyFailuresOf(j *Job) bool {
	return j.counts.done == 0 && m.failures[j.ID].count >= tuning.FaultyErrors
}

// failsElsewhere tells of a job of which nothing was ever done whether a good many of its
// attempts came to nothing beside the errors here. The records say so to all controllers alike.
func (j *Job) failsElsewhere(errorsHere int) bool {
	elsewhere := -errorsHere
	for i := range j.Tasks {
		task := &j.Tasks[i]
		elsewhere += int(task.Attempt)
		if task.State == domain.Booked {
			elsewhere-- // this one may still succeed
		}
		isGang := j.Header.Spec != nil && j.Header.Spec.Shape == domain.Gang
		if isGang || elsewhere >= max(2, errorsHere) { // an attempt of a gang is one for all its tasks
			break
		}
	}
	return elsewhere >= 2 && 2*elsewhere >= errorsHere
}
