package simulation

import (
	"net/http"
	"time"

	"brassglade/internal/scheduler"
)

// The final states of a job, as users are told.
const (
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// checkReply checks an answer against the rules that concern users. A request that was under
// way when its user was told otherwise may still bring the older state.
func (c *Cluster) checkReply(id string, reply scheduler.UserReply, asked time.Duration) {
	job := c.jobs[id]
	switch reply.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		c.checkKnown(id, job, reply, asked)
		c.checkRefusal(id, job, reply)
	case http.StatusOK, http.StatusCreated:
		c.checkAcceptable(id, job, reply)
		isNews := !job.accepted
		if isNews {
			job.acceptedAt = c.Now
		}
		job.accepted, job.answeredAt = true, c.Now
		c.checkState(id, job, reply, asked)
		if isNews {
			c.sendQueryBurst(id)
		}
	}
}

// checkKnown (forgotten): an accepted job stays known.
func (c *Cluster) checkKnown(id string, job *jobRecord, reply scheduler.UserReply, asked time.Duration) {
	if job.accepted && asked >= job.acceptedAt {
		c.violated(ruleForgotten, "%s got %d", id, reply.Status)
	}
}

// checkRefusal (refused): only what can't run is refused.
func (c *Cluster) checkRefusal(id string, job *jobRecord, reply scheduler.UserReply) {
	if reply.Status != http.StatusNotFound && !job.isInvalid {
		c.violated(ruleRefused, "%s got %d: %s", id, reply.Status, reply.Reason)
	}
}

// checkAcceptable (invented, taken): only what was submitted and can run is accepted.
func (c *Cluster) checkAcceptable(id string, job *jobRecord, reply scheduler.UserReply) {
	if !job.isSubmitted {
		c.violated(ruleInvented, "%s", id)
	}
	if job.isInvalid {
		c.violated(ruleTaken, "%s can't run, yet it got %d", id, reply.Status)
	}
}

// checkState checks the state of a job that its user is told, and notes the final one.
func (c *Cluster) checkState(id string, job *jobRecord, reply scheduler.UserReply, asked time.Duration) {
	c.checkFinalStateStays(id, job, reply, asked)
	switch reply.State {
	case stateDone:
		c.checkDone(id, job)
	case stateCancelled:
		c.checkCancelAsked(id, job)
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

// checkFinalStateStays (went_back): what was told as final stays.
func (c *Cluster) checkFinalStateStays(id string, job *jobRecord, reply scheduler.UserReply, asked time.Duration) {
	if job.finalState != "" && reply.State != job.finalState && asked >= job.finalStateAt {
		c.violated(ruleWentBack, "%s: %s after %s", id, reply.State, job.finalState)
	}
}

// checkDone (not_done): all tasks of a job that is told done ran to their end.
func (c *Cluster) checkDone(id string, job *jobRecord) {
	if !job.isDone() {
		c.violated(ruleNotDone, "%s: %d of %d", id, len(job.done), job.spec.TaskCount)
	}
}

// checkCancelAsked (went_back): a job is cancelled only if somebody asked for that.
func (c *Cluster) checkCancelAsked(id string, job *jobRecord) {
	if !c.wasCancelRequested(job) {
		c.violated(ruleWentBack, "%s cancelled though nobody asked", id)
	}
}

// checkCancelledWithDependency (orphaned): a job is cancelled soon after one that it depends on.
func (c *Cluster) checkCancelledWithDependency(id string, job *jobRecord, reply scheduler.UserReply) {
	c.anyDependency(job, func(earlier *jobRecord) bool {
		isOverdue := c.isCancelOverdue(earlier)
		if isOverdue && !job.hasViolation(c, ruleOrphaned) {
			c.violated(ruleOrphaned, "%s is %s though %s is cancelled", id, reply.State, earlier.spec.ID)
		}
		return isOverdue
	})
}
