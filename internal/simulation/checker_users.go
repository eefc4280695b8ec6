package simulation

import (
	"net/http"
	"time"

	"brassglade/internal/scheduler"
)

// The final states of a job, as reported to users.
const (
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// checkReply checks the response to a request about a job, sent at requestedAt, against the rules
// on responses to users. A response may still report an older state if the request was sent before
// the user learned of the newer one.
func (c *Cluster) checkReply(id string, reply scheduler.UserReply, requestedAt time.Duration) {
	job := c.jobs[id]
	switch reply.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		c.checkKnown(id, job, reply, requestedAt)
		c.checkRefusal(id, job, reply)
	case http.StatusOK, http.StatusCreated:
		c.checkAcceptable(id, job, reply)
		isNew := !job.accepted
		if isNew {
			job.acceptedAt = c.Now
		}
		job.accepted, job.answeredAt = true, c.Now
		c.checkState(id, job, reply, requestedAt)
		if isNew {
			c.sendQueryBurst(id)
		}
	}
}

// checkKnown (forgotten) checks that an accepted job is not rejected as unknown or invalid by a
// response requested after it was accepted.
func (c *Cluster) checkKnown(id string, job *jobRecord, reply scheduler.UserReply, requestedAt time.Duration) {
	if job.accepted && requestedAt >= job.acceptedAt {
		c.violated(ruleForgotten, "%s is accepted, but a request about it got %d", id, reply.Status)
	}
}

// checkRefusal (refused) checks that only jobs that can't run are refused; status 404 is no refusal.
func (c *Cluster) checkRefusal(id string, job *jobRecord, reply scheduler.UserReply) {
	if reply.Status != http.StatusNotFound && !job.isInvalid {
		c.violated(ruleRefused, "%s got %d: %s", id, reply.Status, reply.Reason)
	}
}

// checkAcceptable (invented, taken) checks that an accepted job was submitted and can run.
func (c *Cluster) checkAcceptable(id string, job *jobRecord, reply scheduler.UserReply) {
	if !job.isSubmitted {
		c.violated(ruleInvented, "%s is accepted, but no user submitted it", id)
	}
	if job.isInvalid {
		c.violated(ruleTaken, "%s can't run, but a request about it got %d", id, reply.Status)
	}
}

// checkState checks the state of a job reported to its user, and records the first final state.
func (c *Cluster) checkState(id string, job *jobRecord, reply scheduler.UserReply, requestedAt time.Duration) {
	c.checkFinalStateStays(id, job, reply, requestedAt)
	switch reply.State {
	case stateDone:
		c.checkDone(id, job)
	case stateCancelled:
		c.checkCancelRequested(id, job)
		if job.cancelReportedAt < 0 {
			job.cancelReportedAt = c.Now
		}
	default:
		c.checkCancelledWithDependency(id, job, reply)
		return
	}
	if job.finalState == "" {
		job.finalState, job.finalStateAt = reply.State, c.Now
		c.log("%s is told %s", id, reply.State)
		c.sendQueryBurst(id)
	}
}

// checkFinalStateStays (went_back) checks that no response requested after a final state was
// reported reports another state.
func (c *Cluster) checkFinalStateStays(id string, job *jobRecord, reply scheduler.UserReply, requestedAt time.Duration) {
	if job.finalState != "" && reply.State != job.finalState && requestedAt >= job.finalStateAt {
		c.violated(ruleWentBack, "%s reported %s after %s", id, reply.State, job.finalState)
	}
}

// checkDone (not_done) checks that all tasks of a job reported done ran to completion.
func (c *Cluster) checkDone(id string, job *jobRecord) {
	if !job.isDone() {
		c.violated(ruleNotDone, "%s reported done after %d of its %d tasks", id, len(job.done), job.spec.TaskCount)
	}
}

// checkCancelRequested (went_back) checks that a job reported cancelled was cancelled by a user,
// directly or through a dependency.
func (c *Cluster) checkCancelRequested(id string, job *jobRecord) {
	if !c.wasCancelRequested(job) {
		c.violated(ruleWentBack, "%s reported cancelled without a request", id)
	}
}

// checkCancelledWithDependency (orphaned) checks that a job is not reported open once the
// cancellation of a job that it depends on, directly or not, is overdue.
func (c *Cluster) checkCancelledWithDependency(id string, job *jobRecord, reply scheduler.UserReply) {
	c.anyDependency(job, func(dependency *jobRecord) bool {
		isOverdue := c.isCancelOverdue(dependency)
		if isOverdue && !job.hasViolation(c, ruleOrphaned) {
			c.violated(ruleOrphaned, "%s reported %s though its dependency %s is cancelled", id, reply.State, dependency.spec.ID)
		}
		return isOverdue
	})
}
