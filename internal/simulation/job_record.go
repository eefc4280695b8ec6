package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/domain"
)

// jobRecord records the actual progress of a job, what its user requested and what its user was
// told.
type jobRecord struct {
	spec             domain.JobSpec
	runtime          time.Duration // of each task, on a machine that neither hangs nor fails
	done             map[int]bool  // tasks that ran to completion, by index
	accepted         bool          // its user was told that it is accepted
	acceptedAt       time.Duration
	isSubmitted      bool          // submitted by a user
	cancelRequested  bool          // its user requested its cancellation
	cancelReportedAt time.Duration // when its user was first told that it is cancelled; < 0: not yet
	finalState       string        // the final state reported to its user; "": none yet
	finalStateAt     time.Duration
	answeredAt       time.Duration // when a request about it was last answered with 200 or 201
	hasStarted       bool          // at least one of its tasks has run
	isInvalid        bool          // deliberately invalid, so that it must be refused
	failsEverywhere  bool          // its tasks fail on every machine
	readyAt          time.Duration // when the checker saw that all its dependencies are done; < 0: not yet
}

func newJobRecord(spec domain.JobSpec, runtime time.Duration) *jobRecord {
	return &jobRecord{spec: spec, runtime: runtime, done: map[int]bool{}, cancelReportedAt: -1, readyAt: -1}
}

// isDone reports whether all tasks ran to completion.
func (j *jobRecord) isDone() bool { return len(j.done) >= j.spec.TaskCount }

// hasViolation reports whether a violation of the rule by this job is already recorded.
func (j *jobRecord) hasViolation(c *Cluster, rule string) bool {
	return slices.ContainsFunc(c.Violations, func(s string) bool {
		return strings.HasPrefix(s, rule) && strings.Contains(s, j.spec.ID)
	})
}

// dependenciesDone reports whether all direct dependencies of a job are done.
func (c *Cluster) dependenciesDone(job *jobRecord) bool {
	for _, id := range job.spec.Dependencies {
		if dependency := c.jobs[id]; dependency == nil || !dependency.isDone() {
			return false
		}
	}
	return true
}

// anyDependency reports whether the condition holds for a direct or indirect dependency of a job.
func (c *Cluster) anyDependency(job *jobRecord, holds func(*jobRecord) bool) bool {
	seen := map[string]bool{}
	remaining := append([]string(nil), job.spec.Dependencies...)
	for len(remaining) > 0 {
		id := remaining[len(remaining)-1]
		remaining = remaining[:len(remaining)-1]
		dependency := c.jobs[id]
		if dependency == nil || seen[id] {
			continue
		}
		seen[id] = true
		if holds(dependency) {
			return true
		}
		remaining = append(remaining, dependency.spec.Dependencies...)
	}
	return false
}

// wasCancelRequested reports whether a user requested the cancellation of a job or of one of its
// direct or indirect dependencies.
func (c *Cluster) wasCancelRequested(job *jobRecord) bool {
	return job.cancelRequested ||
		c.anyDependency(job, func(dependency *jobRecord) bool { return dependency.cancelRequested })
}

// Unfinished returns the IDs of the accepted jobs without a final state, except services, in order.
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

// jobIDs returns the IDs of all jobs in order.
func (c *Cluster) jobIDs() []string { return sortedKeys(c.jobs) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
