package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// A gang is booked by one commit if it fits into one. The bookings of a larger one are made by
// several, all for the same attempt. Until the last of them the gang is forming: some of its tasks
// are booked, and none of the others was booked for that attempt before. No task of it is started,
// since the gang isn't intact, and owners don't release the bookings that they are not told to
// start. Once any of them is released, the gang no longer counts as forming, and the others are
// released, too.

// gangAttempts sums up the attempts of a gang's tasks, as committed.
type gangAttempts struct {
	isKnown       bool // false: a task has changed since
	lowestBooked  uint64
	highestBooked uint64
	highestQueued uint64 // of the attempts so far of queued tasks
}

// attempts returns the sum of the attempts of the job's tasks. It is computed anew only after a
// change, since gangs may have very many tasks.
func (j *Job) attempts() gangAttempts {
	if j.gangAttempts.isKnown {
		return j.gangAttempts
	}
	sum := gangAttempts{isKnown: true}
	for i := range j.Tasks {
		switch attempt := j.Tasks[i].Attempt; j.Tasks[i].State {
		case domain.Booked:
			if sum.highestBooked == 0 || attempt < sum.lowestBooked {
				sum.lowestBooked = attempt
			}
			sum.highestBooked = max(sum.highestBooked, attempt)
		case domain.Queued:
			sum.highestQueued = max(sum.highestQueued, attempt)
		}
	}
	j.gangAttempts = sum
	return sum
}

// isMultiTaskGang reports whether the job is a gang of several tasks, which start and end
// together.
func isMultiTaskGang(spec *domain.JobSpec) bool {
	return spec.Shape == domain.Gang && spec.TaskCount > 1
}

// isGangIntact reports whether each task of a gang is done or booked for the same attempt as
// the given task, which is booked. It returns true for jobs that are not a gang of several tasks. A
// task of a gang runs only while its gang is intact; otherwise the remaining tasks are stopped, and a
// new attempt starts all of them.
func isGangIntact(j *Job, task domain.Task) bool {
	if !isMultiTaskGang(j.Header.Spec) {
		return true
	}
	if j.counts.queued > 0 {
		return false
	}
	attempts := j.attempts()
	return j.counts.booked == 0 || attempts.lowestBooked == task.Attempt && attempts.highestBooked == task.Attempt
}

// formingAttempt returns the attempt that a gang is being booked for by several commits. It returns
// false for jobs that are not forming.
func (j *Job) formingAttempt() (attempt uint64, isForming bool) {
	spec := j.Header.Spec
	if spec == nil || !isMultiTaskGang(spec) || j.counts.done > 0 || j.counts.booked == 0 || j.counts.queued == 0 {
		return 0, false
	}
	attempts := j.attempts()
	isOneAttempt := attempts.lowestBooked == attempts.highestBooked
	isNew := attempts.highestQueued < attempts.lowestBooked && j.Header.StopUpTo < attempts.lowestBooked
	return attempts.lowestBooked, isOneAttempt && isNew
}

// isForming reports whether the job is a gang that is being booked by several commits.
func (j *Job) isForming() bool {
	_, isForming := j.formingAttempt()
	return isForming
}

// formingProgress is what the leader records of a gang that is forming.
type formingProgress struct {
	queued int           // number of tasks that were not booked yet
	since  time.Duration // when it became that number
}

// hasStalled records the progress of a gang that is forming. It reports whether there was none for
// tuning.GangFormingTimeout.
func (j *Job) hasStalled(now time.Duration) bool {
	if j.forming.queued != j.counts.queued {
		j.forming = formingProgress{j.counts.queued, now}
	}
	return now-j.forming.since > tuning.GangFormingTimeout
}
