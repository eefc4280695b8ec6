package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// requests are the users' requests that have no answer yet.
type requests struct {
	waiting         []waiter                // for a read index, in the order in which they asked
	accepting       map[string]bool         // jobs whose submission is being committed
	lookups         map[uint64]JobSubmitted // submissions that wait for a read, by its ID
	dependencyLists int                     // lists of dependencies written in pieces so far
}

func newRequests() requests {
	return requests{accepting: map[string]bool{}, lookups: map[uint64]JobSubmitted{}}
}

// refusal is why a request is not carried out, in the words that users get.
type refusal string

// The user may come back with the same request (status 503).
const (
	notReady           refusal = "not ready"
	stateUnreachable   refusal = "state service unreachable"
	stateSlow          refusal = "state service slow"
	commitFailed       refusal = "state service"
	beingAccepted      refusal = "being accepted"
	dependenciesNotYet refusal = "not all controllers know Awaits yet"
)

// The request is wrong: as it is written (status 400), or for what it asks (422).
const (
	malformed           refusal = "malformed"
	unknownTeam         refusal = "unknown team"
	overTeamLimit       refusal = "over the team's limit"
	fitsNoMachineType   refusal = "a task fits no allowed machine type"
	dependencyUnknown   refusal = "awaits a job that was never accepted"
	dependencyNeverEnds refusal = "awaits a service, which never ends"
)

// --- answers ---

// retryLater asks the user to come back.
func (c *Controller) retryLater(requestID uint64, why refusal) {
	c.emit(UserReply{RequestID: requestID, Status: StatusUnavailable, Reason: string(why)})
}

// refuse tells the user that the request will never do.
func (c *Controller) refuse(requestID uint64, status int, id string, why refusal) {
	c.emit(UserReply{RequestID: requestID, Status: status, ID: id, Reason: string(why)})
}

// replyUnknown tells the user that there is no such job.
func (c *Controller) replyUnknown(requestID uint64, id string) {
	c.emit(UserReply{RequestID: requestID, Status: StatusUnknownJob, ID: id})
}

// replyState answers with the job's state as the cache has it.
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
// before it came. Until then the cache may lack the job, or have it in an older state.
type waiter struct {
	requestID uint64
	id        string // of the job
	askedAt   time.Duration
	submit    *JobSubmitted // the submission; nil: a query or cancellation
	refusal   refusal       // of the submission, unless it repeats an accepted one
	cancel    bool
}

// awaitReadIndex keeps a request until the cache has everything committed before now.
func (c *Controller) awaitReadIndex(request waiter) {
	if !c.membership.IsSynced() || !c.membership.IsStateReachable() {
		c.retryLater(request.requestID, stateUnreachable)
		return
	}
	request.askedAt = c.now
	if !c.guard(GuardReadIndex) {
		request.askedAt = c.membership.ReadIndex().Time()
	}
	c.requests.waiting = append(c.requests.waiting, request)
	if !c.guard(GuardReadIndex) {
		c.wakeWaiters()
	}
}

// wakeWaiters answers those whose read index the cache has reached.
func (c *Controller) wakeWaiters() {
	if len(c.requests.waiting) == 0 {
		return
	}
	waiting := c.requests.waiting
	c.requests.waiting = nil
	for _, request := range waiting {
		if !c.membership.HasReadIndex(request.askedAt) {
			c.requests.waiting = append(c.requests.waiting, request)
			continue
		}
		c.answerWaiter(request)
	}
}

// answerWaiter answers a request by the cache, which has everything committed before it.
func (c *Controller) answerWaiter(request waiter) {
	j := c.cache.jobs[request.id]
	switch {
	case request.cancel:
		c.cancel(request.requestID, request.id)
	case j != nil: // a query, or a submission that repeats an accepted one
		c.replyState(request.requestID, StatusOK, j)
	case request.submit == nil:
		c.replyUnknown(request.requestID, request.id)
	case request.submit.Spec == nil:
		c.refuse(request.requestID, StatusMalformed, request.id, request.refusal)
	case request.refusal != "":
		c.refuse(request.requestID, StatusRefused, request.id, request.refusal)
	default:
		c.accept(*request.submit, nil)
	}
}

// failWaiters sends all who wait away: the state service doesn't answer.
func (c *Controller) failWaiters() {
	for _, request := range c.requests.waiting {
		c.retryLater(request.requestID, stateUnreachable)
	}
	c.requests.waiting = nil
}

// expireWaiters sends those away who waited too long.
func (c *Controller) expireWaiters() {
	patient := c.requests.waiting[:0]
	for _, request := range c.requests.waiting {
		if c.now-request.askedAt > tuning.QueryTimeout {
			c.retryLater(request.requestID, stateSlow)
			continue
		}
		patient = append(patient, request)
	}
	c.requests.waiting = patient
}

// --- queries and cancellations ---

// onJobQueried answers a query. A final state never changes, so it needs no read index.
func (c *Controller) onJobQueried(query JobQueried) {
	if j := c.cache.jobs[query.ID]; j != nil && j.final() {
		c.replyState(query.RequestID, StatusOK, j)
		return
	}
	c.awaitReadIndex(waiter{requestID: query.RequestID, id: query.ID})
}

// onJobCancelled cancels a job, once a read index shows whether there is one.
func (c *Controller) onJobCancelled(cancellation JobCancelled) {
	if c.cache.jobs[cancellation.ID] == nil {
		c.awaitReadIndex(waiter{requestID: cancellation.RequestID, id: cancellation.ID, cancel: true})
		return
	}
	c.cancel(cancellation.RequestID, cancellation.ID)
}

// cancel commits the cancellation of a job that the cache has, and answers the user.
func (c *Controller) cancel(requestID uint64, id string) {
	j := c.cache.jobs[id]
	if j == nil {
		c.replyUnknown(requestID, id)
		return
	}
	if j.final() {
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
		case domain.Conflict: // the job changed meanwhile: once more, on what it is now
			c.awaitReadIndex(waiter{requestID: requestID, id: id, cancel: true})
		default:
			c.retryLater(requestID, commitFailed)
		}
	})
}
