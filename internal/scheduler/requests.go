package scheduler

import (
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// requests are the users' requests that have no answer yet.
type requests struct {
	waiting         []waiter
	accepting       map[string]bool         // jobs whose submission is being committed
	lookups         map[uint64]JobSubmitted // submissions that wait for a read, by its ID
	dependencyLists int                     // lists of dependencies kept in pieces so far
}

func newRequests() requests {
	return requests{accepting: map[string]bool{}, lookups: map[uint64]JobSubmitted{}}
}

// waiter is a user request that needs a read index.
type waiter struct {
	requestID uint64
	id        string
	askedAt   time.Duration
	submit    *JobSubmitted // answered as a repeat, or refused with 422
	refusal   string
	cancel    bool
}

// canTakeRequests tells whether this node can take requests.
func (c *Controller) canTakeRequests() bool { return c.mayAct() && len(c.cache.machineTypes) > 0 }

// Ready is what GET /up answers.
func (c *Controller) Ready() bool { return c.membership.IsReady() }

// updateReadiness settles what GET /up says. A node that once was ready steps back
// only when another one can take requests. While the state service answers
// nobody, leaving the load balancer would help no user, and its pauses, which
// double, would keep all nodes out after the outage; users are told at once
// when to come back instead.
func (c *Controller) updateReadiness() {
	if c.canTakeRequests() && c.membership.StateAnswers(c.now) {
		c.membership.BecomeReady()
		return
	}
	if c.membership.IsReady() {
		c.membership.StepBack(c.now, c.anotherCanTakeRequests())
	}
}

// anotherCanTakeRequests tells whether users are better served by another controller
// while this one takes no requests.
func (c *Controller) anotherCanTakeRequests() bool {
	// Either a peer says that the state service answers it, or no peer is heard
	// at all: then it is this node that is cut off, since in an outage of the
	// state service alone the peers still talk.
	better, heard := false, false
	for _, p := range c.peers.byName {
		fresh := c.now-p.heardAt < tuning.PeerFresh
		heard = heard || fresh
		better = better || p.usable && fresh
	}
	return better || !heard && len(c.cfg.Nodes) > 1
}

func (c *Controller) retryLater(req uint64, why string) {
	c.emit(UserReply{RequestID: req, Status: 503, Reason: why})
}

// replyState answers with the job's state as the cache has it.
func (c *Controller) replyState(req uint64, status int, j *Job) {
	u := UserReply{RequestID: req, Status: status, ID: j.ID, Done: j.counts.done, Running: j.counts.booked, State: "pending"}
	switch {
	case j.Header.State == domain.StateDone:
		u.State, u.Done, u.Running = "done", j.Header.TaskCount, 0
	case j.cancelled():
		u.State, u.Running = "cancelled", 0
	case j.counts.booked > 0:
		u.State = "running"
	}
	c.emit(u)
}

func (c *Controller) awaitReadIndex(w waiter) {
	if !c.membership.IsSynced() || !c.membership.IsStateReachable() {
		c.retryLater(w.requestID, "state service unreachable")
		return
	}
	w.askedAt = c.now
	if !c.guard(GuardIndex) {
		w.askedAt = c.membership.ReadIndex().Time()
	}
	c.requests.waiting = append(c.requests.waiting, w)
	if !c.guard(GuardIndex) {
		c.wakeWaiters()
	}
}

func (c *Controller) onJobQueried(e JobQueried) {
	if j := c.cache.jobs[e.ID]; j != nil && j.final() {
		c.replyState(e.RequestID, 200, j)
		return
	}
	c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID})
}

// wakeWaiters answers those whose read index the cache has reached.
func (c *Controller) wakeWaiters() {
	if len(c.requests.waiting) == 0 {
		return
	}
	ws := c.requests.waiting
	c.requests.waiting = nil
	for _, w := range ws {
		if !c.membership.HasReadIndex(w.askedAt) {
			c.requests.waiting = append(c.requests.waiting, w)
			continue
		}
		j := c.cache.jobs[w.id]
		switch {
		case w.cancel:
			c.cancel(w.requestID, w.id)
		case j != nil:
			c.replyState(w.requestID, 200, j)
		case w.submit == nil:
			c.emit(UserReply{RequestID: w.requestID, Status: 404, ID: w.id})
		case w.submit.Spec == nil:
			c.emit(UserReply{RequestID: w.requestID, Status: 400, ID: w.id, Reason: w.refusal})
		case w.refusal == "":
			c.accept(*w.submit, nil)
		default:
			c.emit(UserReply{RequestID: w.requestID, Status: 422, ID: w.id, Reason: w.refusal})
		}
	}
}

func (c *Controller) failWaiters() {
	for _, w := range c.requests.waiting {
		c.retryLater(w.requestID, "state service unreachable")
	}
	c.requests.waiting = nil
}

func (c *Controller) expireWaiters() {
	keep := c.requests.waiting[:0]
	for _, w := range c.requests.waiting {
		if c.now-w.askedAt > tuning.PollPatience {
			c.retryLater(w.requestID, "state service slow")
			continue
		}
		keep = append(keep, w)
	}
	c.requests.waiting = keep
}

// whyNeverRuns tells why a job can never run, or "".
func (c *Controller) whyNeverRuns(s *domain.JobSpec) string {
	if !c.guard(GuardNever) {
		return ""
	}
	lim, ok := c.cfg.Teams[s.Team]
	if !ok {
		return "unknown team"
	}
	k := int64(s.TaskCount)
	if s.Shape == domain.Array {
		k = 1
	}
	if !withinLimit(domain.Resources{}.Plus(s.Request, k), lim.Limit) {
		return "over the team's limit"
	}
	for i := range c.cache.machineTypes {
		if c.machineTypeFits(s, &c.cache.machineTypes[i]) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

// withinLimit tells whether use stays in a limit, where 0 means none.
func withinLimit(use, lim domain.Resources) bool {
	return (lim.CPU == 0 || use.CPU <= lim.CPU) && (lim.GPU == 0 || use.GPU <= lim.GPU) &&
		(lim.Memory == 0 || use.Memory <= lim.Memory)
}

func (c *Controller) machineTypeFits(s *domain.JobSpec, f *domain.MachineType) bool {
	if !f.Capacity.Fits(s.Request) || s.ImageGB > f.ImageCacheGB && f.ImageCacheGB > 0 {
		return false
	}
	if !listAllows(s.MachineTypes, f.Name) {
		return false
	}
	if s.Zone == "" {
		return true
	}
	for _, z := range f.Zones {
		if z == s.Zone {
			return true
		}
	}
	return false
}

func listAllows(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return false
}

func (c *Controller) onJobSubmitted(e JobSubmitted) {
	if j := c.cache.jobs[e.ID]; j != nil && e.ID != "" {
		c.onJobQueried(JobQueried{e.RequestID, e.ID})
		return
	}
	if e.Spec == nil {
		if e.ID == "" {
			c.emit(UserReply{RequestID: e.RequestID, Status: 400, Reason: "malformed"})
			return
		}
		c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID, submit: &e, refusal: "malformed"})
		return
	}
	if !c.canTakeRequests() {
		c.retryLater(e.RequestID, "not ready")
		return
	}
	if why := c.whyNeverRuns(e.Spec); why != "" {
		c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID, submit: &e, refusal: why})
		return
	}
	if len(e.Spec.Dependencies) > 0 {
		// Until all controllers know what awaiting is, one that doesn't might start
		// the job; the user comes back.
		if !c.formatOn() {
			c.retryLater(e.RequestID, "not all controllers know Awaits yet")
			return
		}
		c.lookUpDependencies(e)
		return
	}
	if c.requests.accepting[e.ID] {
		c.retryLater(e.RequestID, "being accepted")
		return
	}
	c.requests.accepting[e.ID] = true
	c.putJob(e, c.newHeader(e.Spec))
}

// newHeader is that of a new job.
func (c *Controller) newHeader(sp *domain.JobSpec) *codec.JobHeader {
	sp.MachineTypes = c.knownTypes(sp.MachineTypes)
	h := &codec.JobHeader{State: domain.StateOpen, Spec: sp, TaskCount: sp.TaskCount, Shard: c.roomiest(sp), AcceptOrder: c.cache.revision + 1}
	if c.formatOn() {
		h.AcceptedAtMS = c.wallMS()
	}
	// The tasks of a gang are booked at once, so its chunks have room for all of
	// them; in others bookings wait where a chunk is full (draft.room).
	size := tuning.ChunkBytes
	if sp.Shape == domain.Gang {
		size = tuning.TaskBytes
	}
	h.ChunkSize = max(1, (c.cfg.ValueLimit-tuning.PackSlack)/size)
	if pack, ok := c.packFor(sp, h.Shard); ok {
		h.Pack, h.ChunkSize = pack, h.TaskCount
	} else if placedByLeader(sp) && h.TaskCount <= tuning.MaxInlineTasks {
		h.Inline, h.ChunkSize = true, h.TaskCount
	}
	return h
}

// putJob writes the header of a new job and tells its user.
func (c *Controller) putJob(e JobSubmitted, h *codec.JobHeader) {
	t := domain.Transaction{Conditions: []domain.Condition{{Key: codec.KeyJob(e.ID), ModRevision: 0}}, Puts: []domain.Put{{Key: codec.KeyJob(e.ID), Value: codec.Encode(h)}}}
	c.commit(LaneUser, t, func(r domain.CommitResult, _ CommitAnswered) {
		delete(c.requests.accepting, e.ID)
		switch r {
		case domain.Committed:
			c.debug("job accepted", "job", e.ID, "class", e.Spec.Class, "tasks", e.Spec.TaskCount, "part", h.Shard,
				"team", e.Spec.Team, "image", e.Spec.Image, "image_gb", e.Spec.ImageGB, "waiting", c.peers.waitingByShard, "est_s", e.Spec.EstimatedRuntime, "due_s", e.Spec.Deadline,
				"awaits", e.Spec.Dependencies)
			if j := c.cache.jobs[e.ID]; j != nil {
				c.replyState(e.RequestID, 201, j)
			}
		case domain.Conflict: // somebody else took it: a repeat
			c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID})
		default:
			c.retryLater(e.RequestID, "state service")
		}
	})
}

func (c *Controller) onJobCancelled(e JobCancelled) {
	if j := c.cache.jobs[e.ID]; j != nil && j.final() {
		c.replyState(e.RequestID, 200, j)
		return
	}
	if c.cache.jobs[e.ID] == nil {
		c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID, cancel: true})
		return
	}
	c.cancel(e.RequestID, e.ID)
}

func (c *Controller) cancel(req uint64, id string) {
	j := c.cache.jobs[id]
	if j == nil {
		c.emit(UserReply{RequestID: req, Status: 404, ID: id})
		return
	}
	if j.final() {
		c.replyState(req, 200, j)
		return
	}
	h := *j.Header
	h.State = domain.StateCancelled
	key := codec.KeyJob(id)
	c.commit(LaneUser, domain.Transaction{
		Conditions: []domain.Condition{{Key: key, ModRevision: c.cache.modRevisions[key]}},
		Puts:       []domain.Put{{Key: key, Value: codec.Encode(&h)}},
	}, func(r domain.CommitResult, _ CommitAnswered) {
		switch r {
		case domain.Committed:
			c.debug("job cancelled", "job", id)
			c.replyState(req, 200, j)
		case domain.Conflict:
			c.awaitReadIndex(waiter{requestID: req, id: id, cancel: true})
		default:
			c.retryLater(req, "state service")
		}
	})
}

// packFor is the pack of a part that a new job's tasks go to: the first with
// room for all of them booked. Two nodes may fill one at the same time; then
// some bookings wait until others end (draft.room).
func (c *Controller) packFor(sp *domain.JobSpec, part string) (string, bool) {
	each := tuning.BookedBytes
	if c.formatOn() {
		each = tuning.BookedBytesShort
	}
	cost := func(n int) int { return tuning.TaskBytes + n*each }
	most := c.cfg.ValueLimit * tuning.PackPercent / 100
	if placedByLeader(sp) || cost(sp.TaskCount) > most {
		return "", false
	}
	for k := 0; ; k++ {
		name := codec.PackName(part, k)
		if c.cache.oversized[codec.PrefixPack+name] {
			continue
		}
		sum := cost(sp.TaskCount)
		for _, j := range c.cache.jobsByPack[name] {
			sum += cost(j.counts.queued + j.counts.booked)
		}
		if sum <= most {
			return name, true
		}
	}
}
