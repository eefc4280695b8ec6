package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// Job is a job in the cache: its records in the key-value store, and what this controller derives
// from them. Times are of the monotonic clock of this controller.
type Job struct {
	ID     string
	Header *codec.JobHeader // the last committed one; never changed in place
	Tasks  []domain.Task    // as committed; nil: none was written yet, so all are queued, or the job is over

	counts     placement // tasks by state
	queuedHere int       // tasks in queues of this controller's machines

	gangAttempts gangAttempts    // see attempts
	forming      formingProgress // see hasStalled

	phase phase // changed by setPhase only

	waitReason WaitReason // what kept its tasks from starting when that was last determined

	submittedAt int64 // when it was accepted or first seen; ns
	readyAt     int64 // when it could first start, once all its dependencies were done; ns

	// Pause after tasks of the job failed.
	failures    int
	pausedUntil int64 // no start before this time, ns

	// Dependencies.
	dependenciesDoneAt     int64 // when the last dependency was done, as far as known; ns
	unfinishedDependencies int   // dependencies that are not done
	missingPieces          int   // pieces of its list of dependencies that the cache lacks
	dependencyFailed       bool  // a dependency was cancelled, which cancels this job, too

	// Urgency of the job itself, or inherited from a job that depends on it.
	priority         domain.Priority
	deadlineAt       int64   // when it should be done to meet the deadline, if deadlineSeconds > 0; ns
	deadlineSeconds  float64 // length of the deadline that deadlineAt is derived from, s
	beyondObjectives bool    // too late for all its objectives when the jobs were last ordered
}

// task returns the committed record of task i.
func (j *Job) task(i int) domain.Task {
	if j.Tasks == nil {
		return domain.Task{}
	}
	return j.Tasks[i]
}

// age returns how long ago the job could first start.
func (j *Job) age(now time.Duration) time.Duration { return now - time.Duration(j.readyAt) }

// isFinal reports whether the job is over, done or cancelled, so that its outcome can't change
// any more.
func (j *Job) isFinal() bool { return j.Header.State != domain.StateOpen || j.dependencyFailed }

// cancelled reports whether the job was cancelled by its user or because a dependency was.
func (j *Job) cancelled() bool { return j.Header.State == domain.StateCancelled || j.dependencyFailed }

// isPaused reports whether no task of the job may start yet because earlier ones failed.
func (j *Job) isPaused(now time.Duration) bool { return int64(now) < j.pausedUntil }
