package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// requests holds the users' requests that have not been answered yet.
type requests struct {
	waiting         []waiter                // for a read index, in the order in which they came
	accepting       map[string]bool         // IDs of jobs whose submission is being committed
	lookups         map[uint64]JobSubmitted // submissions whose dependencies are being read, by ID of the read
	dependencyLists int                     // number of the latest list of dependencies stored in pieces
}

func newRequests() requests {
	return requests{accepting: map[string]bool{}, lookups: map[uint64]JobSubmitted{}}
}

// refusal is the reason why a request is not carried out, as users read it.
type refusal string

// Refusals for now, with status 503: the user may repeat the same request.
const (
	notReady               refusal = "not ready"
	stateUnreachable       refusal = "state service unreachable"
	stateSlow              refusal = "state service slow"
	commitFailed           refusal = "state service"
	beingAccepted          refusal = "being accepted"
	dependenciesNotEnabled refusal = "not all controllers know Awaits yet"
)

// Refusals for good: the request can't be read (status 400), or asks for something that is not
// possible (status 422).
const (
	malformed           refusal = "malformed"
	unknownTeam         refusal = "unknown team"
	overTeamLimit       refusal = "over the team's limit"
	fitsNoMachineType   refusal = "a task fits no allowed machine type"
	dependencyUnknown   refusal = "awaits a job that was never accepted"
	dependencyNeverEnds refusal = "awaits a service, which never ends"
)

// --- answers ---

// retryLater answers that the user should repeat the request later.
func (c *Controller) retryLater(requestID uint64, reason refusal) {
	c.emit(UserReply{RequestID: requestID, Status: StatusUnavailable, Reason: string(reason)})
}

// refuse answers that the request can never be carried out.
func (c *Controller) refuse(requestID uint64, status int, id string, reason refusal) {
	c.emit(UserReply{RequestID: requestID, Status: status, ID: id, Reason: string(reason)})
}

// replyUnknown answers that there is no such job.
func (c *Controller) replyUnknown(requestID uint64, id string) {
	c.emit(UserReply{RequestID: requestID, Status: StatusUnknownJob, ID: id})
}

// replyState answers with the state that the job has in the cache.
func (c *Controller) replyState(requestID uint64, status int, j *Job) {
	reply := UserReply{RequestID: requestID, Status: status, ID: j.ID, Done: j.counts.done, Running: j.counts.booked, State: "pending"}
	switch {
	case j.Header.State == domain.StateDone:
		reply.State, reply.Done, reply.Running = "done", j.Header.TaskCount, 0
	case j.cancelled():
		reply.State, reply.Running = "cancelled", 0
	case j.counts.booked > 0:
		reply.State = "running"
	}
	c.emit(reply)
}

// --- waiting for a read index ---

// waiter is a request that is answered once the cache has everything that was committed
// before the request came. Until then the cache may lack the job, or have an older state of
// it.
type waiter struct {
	requestID  uint64
	jobID      string
	receivedAt time.Duration // when the request came
	submission *JobSubmitted // nil for a query or a cancellation
	refusal    refusal       // answer to the submission unless it repeats an accepted one; "": none
	cancel     bool          // the request is a cancellation
}

// awaitReadIndex keeps a request until the cache has everything that was committed before
// now. It asks the user to retry later if the state service can't be reached or the cache is
// not loaded yet.
func (c *Controller) awaitReadIndex(request waiter) {
	if !c.membership.IsSynced() || !c.membership.IsStateReachable() {
		c.retryLater(request.requestID, stateUnreachable)
		return
	}
	request.receivedAt = c.now
	if !c.isGuardEnabled(GuardReadIndex) {
		request.receivedAt = c.membership.ReadIndex().Time()
	}
	c.requests.waiting = append(c.requests.waiting, request)
	if !c.isGuardEnabled(GuardReadIndex) {
		c.answerWaiters()
	}
}

// answerWaiters answers the requests whose read index the cache has reached.
func (c *Controller) answerWaiters() {
	if len(c.requests.waiting) == 0 {
		return
	}
	waiting := c.requests.waiting
	c.requests.waiting = nil
	for _, request := range waiting {
		if !c.membership.HasReadIndex(request.receivedAt) {
			c.requests.waiting = append(c.requests.waiting, request)
			continue
		}
		c.answerWaiter(request)
	}
}

// answerWaiter answers a request by the cache, which has everything that was committed before
// the request came.
func (c *Controller) answerWaiter(request waiter) {
	j := c.cache.job(request.jobID)
	switch {
	case request.cancel:
		c.cancelJob(request.requestID, request.jobID)
	case j != nil: // a query, or a submission that repeats an accepted one
		c.replyState(request.requestID, StatusOK, j)
	case request.submission == nil:
		c.replyUnknown(request.requestID, request.jobID)
	case request.submission.Spec == nil:
		c.refuse(request.requestID, StatusMalformed, request.jobID, request.refusal)
	case request.refusal != "":
		c.refuse(request.requestID, StatusRefused, request.jobID, request.refusal)
	default:
		c.acceptWithDependencies(*request.submission, nil)
	}
}

// failWaiters answers all waiting requests that the state service can't be reached.
func (c *Controller) failWaiters() {
	for _, request := range c.requests.waiting {
		c.retryLater(request.requestID, stateUnreachable)
	}
	c.requests.waiting = nil
}

// expireWaiters answers the requests that have waited longer than tuning.QueryTimeout that
// the state service is slow.
func (c *Controller) expireWaiters() {
	remaining := c.requests.waiting[:0]
	for _, request := range c.requests.waiting {
		if c.now-request.receivedAt > tuning.QueryTimeout {
			c.retryLater(request.requestID, stateSlow)
			continue
		}
		remaining = append(remaining, request)
	}
	c.requests.waiting = remaining
}

// --- queries and cancellations ---

// onJobQueried answers a query for a job's state. A final state never changes, so it needs no
// read index.
func (c *Controller) onJobQueried(query JobQueried) {
	if j := c.cache.job(query.ID); j != nil && j.isFinal() {
		c.replyState(query.RequestID, StatusOK, j)
		return
	}
	c.awaitReadIndex(waiter{requestID: query.RequestID, jobID: query.ID})
}

// onJobCancelled cancels a job. If the cache lacks the job, a read index has to show first
// whether it exists.
func (c *Controller) onJobCancelled(cancellation JobCancelled) {
	if c.cache.job(cancellation.ID) == nil {
		c.awaitReadIndex(waiter{requestID: cancellation.RequestID, jobID: cancellation.ID, cancel: true})
		return
	}
	c.cancelJob(cancellation.RequestID, cancellation.ID)
}

// cancelJob commits the cancellation of a job and answers the user. For a job that the cache
// lacks it answers that there is none, so it may be called for such a job only after a read
// index.
func (c *Controller) cancelJob(requestID uint64, id string) {
	j := c.cache.job(id)
	if j == nil {
		c.replyUnknown(requestID, id)
		return
	}
	if j.isFinal() {
		c.replyState(requestID, StatusOK, j)
		return
	}
	header := *j.Header
	header.State = domain.StateCancelled
	key := codec.KeyJob(id)
	c.commit(LaneUser, domain.Transaction{
		Conditions: []domain.Condition{{Key: key, ModRevision: c.cache.modRevisions[key]}},
		Puts:       []domain.Put{{Key: key, Value: codec.Encode(&header)}},
	}, func(result domain.CommitResult, _ CommitAnswered) {
		switch result {
		case domain.Committed:
			c.debug("job cancelled", "job", id)
			c.replyState(requestID, StatusOK, j)
		case domain.Conflict: // the job changed meanwhile: try again with its new state
			c.awaitReadIndex(waiter{requestID: requestID, jobID: id, cancel: true})
		default:
			c.retryLater(requestID, commitFailed)
		}
	})
}
