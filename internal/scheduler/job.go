package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// Job is a job in the cache: what the key-value store says of it, and what this controller works
// out from that. Times are of this controller's steady clock.
type Job struct {
	ID     string
	Header *codec.JobHeader // as committed last; never changed in place
	Tasks  []domain.Task    // as committed; nil until a chunk was written: all are queued

	counts     placement // of Tasks
	queuedHere int       // tasks now in queues of machines of this controller
	phase      phase     // set by setPhase alone

	waitReason WaitReason // what kept its tasks from starting when they were last looked at

	submittedAt int64 // ns
	readyAt     int64 // when it could first start: all that it depends on was done; ns

	// Pause after failures of its tasks.
	failures    int
	pausedUntil int64 // no start before this time, ns

	// What it depends on.
	dependenciesDoneAt     int64 // when the last job that it depends on was done, as far as known, ns
	unfinishedDependencies int   // jobs that it depends on and that are not done
	missingPieces          int   // pieces of its list of dependencies that are not here yet
	dependencyFailed       bool  // a job that it depends on is cancelled, and so is it

	// What it is urgent for: itself, or a job that depends on it.
	priority         domain.Priority
	deadlineAt       int64   // when it should be done for the deadline, if deadlineSeconds > 0; ns
	deadlineSeconds  float64 // the deadline that this comes from, s
	beyondObjectives bool    // too late for any objective, as it was when the jobs were last ordered
}

// task returns the committed record of task i.
func (j *Job) task(i int) domain.Task {
	if j.Tasks == nil {
		return domain.Task{}
	}
	return j.Tasks[i]
}

// age is how long ago the job could first start.
func (j *Job) age(now time.Duration) time.Duration { return now - time.Duration(j.readyAt) }

// isFinal: nothing will change any more about how the job ended.
func (j *Job) isFinal() bool { return j.Header.State != domain.StateOpen || j.dependencyFailed }

// cancelled by its user, or for a job that it depends on.
func (j *Job) cancelled() bool { return j.Header.State == domain.StateCancelled || j.dependencyFailed }

// isPaused tells whether none of the job's tasks may start yet, after errors of others.
func (j *Job) isPaused(now time.Duration) bool { return int64(now) < j.pausedUntil }
