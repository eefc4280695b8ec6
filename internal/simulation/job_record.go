package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/domain"
)

// jobRecord is what really became of a job, and what its user asked and was told.
type jobRecord struct {
	spec             domain.JobSpec
	runtime          time.Duration // of each task, on a machine that neither hangs nor fails
	done             map[int]bool  // tasks that ran to their end, by index
	accepted         bool          // its user was told so
	acceptedAt       time.Duration
	isSubmitted      bool          // submitted by a user
	cancelRequested  bool          // its user asked to cancel it
	cancelReportedAt time.Duration // when its user was told that it is cancelled; < 0: not
	finalState       string        // the final state that its user was told; "": none yet
	finalStateAt     time.Duration
	answeredAt       time.Duration // when a question about it was last answered
	hasStarted       bool          // one of its tasks ran
	isInvalid        bool          // submitted wrongly on purpose
	failsEverywhere  bool          // its tasks fail on every machine
	readyAt          time.Duration // when all its dependencies were done; < 0: not yet
}

func newJobRecord(spec domain.JobSpec, runtime time.Duration) *jobRecord {
	return &jobRecord{spec: spec, runtime: runtime, done: map[int]bool{}, cancelReportedAt: -1, readyAt: -1}
}

// isDone tells whether all tasks ran to their end.
func (j *jobRecord) isDone() bool { return len(j.done) >= j.spec.TaskCount }

// hasViolation tells whether the trace already says that the job broke a rule.
func (j *jobRecord) hasViolation(c *Cluster, rule string) bool {
	return slices.ContainsFunc(c.Violations, func(s string) bool {
		return strings.HasPrefix(s, rule) && strings.Contains(s, j.spec.ID)
	})
}

// dependenciesDone tells whether all that a job depends on is done.
func (c *Cluster) dependenciesDone(job *jobRecord) bool {
	for _, id := range job.spec.Dependencies {
		if earlier := c.jobs[id]; earlier == nil || !earlier.isDone() {
			return false
		}
	}
	return true
}

// anyDependency tells whether the condition holds for a job that one depends on, directly or not.
func (c *Cluster) anyDependency(job *jobRecord, holds func(*jobRecord) bool) bool {
	seen := map[string]bool{}
	left := append([]string(nil), job.spec.Dependencies...)
	for len(left) > 0 {
		id := left[len(left)-1]
		left = left[:len(left)-1]
		earlier := c.jobs[id]
		if earlier == nil || seen[id] {
			continue
		}
		seen[id] = true
		if holds(earlier) {
			return true
		}
		left = append(left, earlier.spec.Dependencies...)
	}
	return false
}

// wasCancelRequested tells whether a user asked to cancel a job, or one that it depends on.
func (c *Cluster) wasCancelRequested(job *jobRecord) bool {
	return job.cancelRequested ||
		c.anyDependency(job, func(earlier *jobRecord) bool { return earlier.cancelRequested })
}

// Unfinished lists accepted jobs that are not over, services aside.
func (c *Cluster) Unfinished() []string {
	var unfinished []string
	for id, job := range c.jobs {
		if job.accepted && job.finalState == "" && job.spec.Shape != domain.Service {
			unfinished = append(unfinished, id)
		}
	}
	sort.Strings(unfinished)
	return unfinished
}

// jobIDs lists all jobs in order.
func (c *Cluster) jobIDs() []string { return sortedKeys(c.jobs) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
