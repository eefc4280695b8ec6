package scheduler

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// Jobs that await others. A final state never changes, so a committed header that
// says done is proof enough for all that comes after it, and one that says cancelled
// cancels all that needs it: nothing of these has started. Both follow from what
// every node reads in the same ledger; no write stands between a cancellation and
// its consequences.

// phase is where a job in the cache stands.
type phase int

const (
	phaseNew       phase = iota // just met
	phaseWaiting                // a job that it awaits is not done: in no queue, in no count
	phaseOpen                   // its tasks may start
	phaseDone                   // all tasks done
	phaseCancelled              // by its user, or for a job that it awaits
)

// mayStart is the one place that says whether tasks of a job may start at all.
func (c *Controller) mayStart(j *Job) bool {
	return j.missingPieces == 0 && j.unfinishedDependencies == 0 && !j.dependencyFailed || !c.guard(GuardNeeds)
}

func (c *Controller) phaseOf(j *Job) phase {
	switch {
	case j.Header.State == domain.StateDone:
		return phaseDone
	case j.Header.State == domain.StateCancelled || j.dependencyFailed:
		return phaseCancelled
	case c.mayStart(j):
		return phaseOpen
	}
	return phaseWaiting
}

// settlePhase puts a job into the phase that its header and those before it call for,
// and all after it: from one to the next over a list, however long the users'
// pipelines are, each edge once.
func (c *Controller) settlePhase(j *Job) {
	work := []*Job{j}
	for len(work) > 0 {
		x := work[len(work)-1]
		work = work[:len(work)-1]
		was := x.phase
		c.setPhase(x, c.phaseOf(x))
		if x.phase == was || x.phase < phaseDone {
			continue
		}
		for _, d := range c.cache.dependents[x.ID] {
			if x.phase == phaseDone {
				d.unfinishedDependencies--
				d.dependenciesDoneAt = max(d.dependenciesDoneAt, c.endOf(x))
			} else if c.guard(GuardCascade) {
				d.dependencyFailed = true
			}
			work = append(work, d)
		}
		delete(c.cache.dependents, x.ID)
	}
}

// setPhase is the one change of a job's phase.
func (c *Controller) setPhase(j *Job, p phase) {
	old := j.phase
	if old == phaseOpen && p != old {
		for k, o := range c.cache.openJobs {
			if o == j {
				c.cache.openJobs = append(c.cache.openJobs[:k:k], c.cache.openJobs[k+1:]...)
				break
			}
		}
		for i := 0; i < j.Header.TaskCount && j.queuedHere > 0; i++ {
			c.dequeue(domain.TaskID{Job: j.ID, Index: i})
		}
	}
	if p == phaseOpen && p != old {
		// Order and ages count from the last job before it; after a restart from
		// the times that the headers tell.
		j.readyAt = int64(c.now)
		if c.cache.loadingSnapshot {
			j.readyAt = max(j.submittedAt, j.dependenciesDoneAt)
		}
		c.insertOpen(j)
		if j.Header.Spec != nil && len(j.Header.Spec.Dependencies) > 0 && old == phaseWaiting {
			c.debug("job may start", "job", j.ID, "waited_s", (c.now - time.Duration(j.submittedAt)).Seconds())
		}
	}
	if p == phaseCancelled && !j.Header.Released {
		c.cache.awaitingRelease[j.ID] = j
	} else if p >= phaseDone {
		delete(c.cache.awaitingRelease, j.ID)
	}
	j.phase = p
	if p >= phaseDone && p != old {
		c.wakeWaiters()
	}
}

// endOf is when a job was done, as its header tells or, if it doesn't, now.
func (c *Controller) endOf(j *Job) int64 {
	if c.cache.loadingSnapshot && j.Header.DoneAtMS > 0 {
		return min(int64(c.now), c.steadyTime(j.Header.DoneAtMS))
	}
	return int64(c.now)
}

// linkDependencies reads what a job just met awaits and joins it to those jobs.
func (c *Controller) linkDependencies(j *Job) {
	sp := j.Header.Spec
	if sp == nil {
		return
	}
	j.priority, j.deadlineSeconds = sp.Priority, sp.Deadline
	j.deadlineAt = j.submittedAt + int64(sp.Deadline*float64(time.Second))
	if j.missingPieces = sp.DependencyListPieces; j.missingPieces > 0 {
		c.countMissingPieces(j)
	}
	sp.Dependencies = codec.ParseNames(sp.DependencyText)
	c.dependOn(j, sp.Dependencies)
	if j.missingPieces == 0 {
		for k := 0; k < sp.DependencyListPieces; k++ {
			c.takeDependencyPiece(j, k)
		}
	}
	for _, d := range c.cache.dependents[j.ID] {
		c.inheritUrgency(j, d)
	}
	c.propagateUrgency(j)
}

func (c *Controller) dependOn(j *Job, ids []string) {
	for _, id := range ids {
		n := c.cache.jobs[id]
		switch {
		case n != nil && n.phase == phaseDone:
			j.dependenciesDoneAt = max(j.dependenciesDoneAt, c.endOf(n))
		case n != nil && n.phase == phaseCancelled:
			j.dependencyFailed = c.guard(GuardCascade)
			if !j.dependencyFailed {
				j.unfinishedDependencies++
			}
		default:
			j.unfinishedDependencies++
			c.cache.dependents[id] = append(c.cache.dependents[id], j)
		}
	}
}

// inheritUrgency makes n as urgent as d, which needs it. True: it became more so.
func (c *Controller) inheritUrgency(n, d *Job) bool {
	if d.Header.Spec == nil || d.phase >= phaseDone {
		return false
	}
	more := d.priority > n.priority
	n.priority = max(n.priority, d.priority)
	if d.deadlineSeconds > 0 {
		at := d.deadlineAt - int64((c.runTime(d.Header.Spec)+tuning.StartLag)*float64(time.Second))
		if n.deadlineSeconds == 0 || at < n.deadlineAt {
			n.deadlineAt, n.deadlineSeconds, more = at, d.deadlineSeconds, true
		}
	}
	return more
}

// latest is a heap of jobs, the latest accepted first. A job is accepted after
// all that it awaits, so each comes up once, with all that it has to pass on.
type latest []*Job

func (l latest) Len() int           { return len(l) }
func (l latest) Less(a, b int) bool { return l[a].Header.AcceptOrder > l[b].Header.AcceptOrder }
func (l latest) Swap(a, b int)      { l[a], l[b] = l[b], l[a] }
func (l *latest) Push(x any)        { *l = append(*l, x.(*Job)) }
func (l *latest) Pop() any {
	o := *l
	x := o[len(o)-1]
	*l = o[:len(o)-1]
	return x
}

// propagateUrgency passes a job's priority and deadline on to all before it that are not
// over: the latest finish of each is the least, over those that need it, of theirs
// less their own time.
func (c *Controller) propagateUrgency(j *Job) {
	l := latest{j}
	in := map[*Job]bool{j: true}
	for len(l) > 0 {
		x := heap.Pop(&l).(*Job)
		delete(in, x)
		if x.Header.Spec == nil {
			continue
		}
		for _, id := range x.Header.Spec.Dependencies {
			if n := c.cache.jobs[id]; n != nil && n.phase < phaseDone && c.inheritUrgency(n, x) && !in[n] {
				in[n] = true
				heap.Push(&l, n)
			}
		}
	}
}

// --- how the names are kept ---

// Only jobs that are not done need to be named; most submissions name a few. Longer
// lists lie in pieces beside the header, written before it under a name of their
// own, so that a header never refers to a list that is not there.

// applyDependencyPiece takes a piece of a list. Its header mostly comes later.
func (c *Controller) applyDependencyPiece(key string, v []byte) {
	var text string
	if v == nil || json.Unmarshal(v, &text) != nil {
		delete(c.cache.dependencyPieces, key)
		return
	}
	c.cache.dependencyPieces[key] = text
	id, _, _ := strings.Cut(key[len(codec.PrefixDependencies):], "/")
	if j := c.cache.jobs[id]; j != nil && j.missingPieces > 0 && j.Header.Spec != nil {
		if c.countMissingPieces(j); j.missingPieces == 0 {
			for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
				c.takeDependencyPiece(j, k)
			}
			c.propagateUrgency(j)
			c.settlePhase(j)
		}
	}
}

// countMissingPieces counts the pieces of a job's list that are not here yet.
func (c *Controller) countMissingPieces(j *Job) {
	j.missingPieces = 0
	for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
		if _, ok := c.cache.dependencyPieces[codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)]; !ok {
			j.missingPieces++
		}
	}
}

func (c *Controller) takeDependencyPiece(j *Job, k int) {
	key := codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)
	ids := codec.ParseNames(c.cache.dependencyPieces[key])
	delete(c.cache.dependencyPieces, key)
	j.Header.Spec.Dependencies = append(j.Header.Spec.Dependencies, ids...)
	c.dependOn(j, ids)
}

// lookUpDependencies finds the jobs that a submission names. What the cache has was accepted;
// what it lacks another node may have accepted a moment ago, so the state service
// is asked for those, if they are few. Only a read index shows that a job was never
// accepted: by then everything accepted before the submission came is in the cache.
func (c *Controller) lookUpDependencies(e JobSubmitted) {
	var keys []string
	for _, id := range e.Spec.Dependencies {
		if c.cache.jobs[id] == nil && !slices.Contains(keys, codec.KeyJob(id)) {
			if keys = append(keys, codec.KeyJob(id)); len(keys) > tuning.MaxLookups {
				c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID, submit: &e})
				return
			}
		}
	}
	if len(keys) == 0 {
		c.accept(e, nil)
		return
	}
	c.commits.nextID++
	c.requests.lookups[c.commits.nextID] = e
	c.emit(ReadKeys{c.commits.nextID, keys})
}

func (c *Controller) onRead(ev KeysRead) {
	e, ok := c.requests.lookups[ev.ID]
	if !ok {
		return
	}
	delete(c.requests.lookups, ev.ID)
	found := map[string]*codec.JobHeader{}
	for _, kv := range ev.Items {
		h := &codec.JobHeader{}
		if json.Unmarshal(kv.Value, h) == nil {
			found[strings.TrimPrefix(kv.Key, codec.PrefixJob)] = h
		}
	}
	for _, id := range e.Spec.Dependencies {
		if c.cache.jobs[id] == nil && found[id] == nil {
			c.awaitReadIndex(waiter{requestID: e.RequestID, id: e.ID, submit: &e})
			return
		}
	}
	c.accept(e, found)
}

// accept takes a submission that names jobs; found are those that the cache may
// lack, as the state service had them a moment ago.
func (c *Controller) accept(e JobSubmitted, found map[string]*codec.JobHeader) {
	refuse := func(why string) { c.emit(UserReply{RequestID: e.RequestID, Status: 422, ID: e.ID, Reason: why}) }
	sp := *e.Spec
	ids := slices.Clone(sp.Dependencies)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	var open []string
	state := domain.StateOpen
	for _, id := range ids {
		n := c.cache.jobs[id]
		if h := found[id]; n == nil && h != nil {
			n = &Job{ID: id, Header: h}
		}
		switch {
		case n == nil:
			refuse("awaits a job that was never accepted")
			return
		case n.Header.Spec != nil && n.Header.Spec.Shape == domain.Service:
			refuse("awaits a service, which never ends")
			return
		case n.cancelled():
			state = domain.StateCancelled
		case n.Header.State != domain.StateDone:
			open = append(open, id)
		}
	}
	if !c.canTakeRequests() {
		c.retryLater(e.RequestID, "not ready")
		return
	}
	if c.requests.accepting[e.ID] {
		c.retryLater(e.RequestID, "being accepted")
		return
	}
	c.requests.accepting[e.ID] = true
	sp.Dependencies = nil
	if state == domain.StateCancelled {
		// Accepted all the same, and over.
		c.putJob(e, &codec.JobHeader{State: state, TaskCount: sp.TaskCount, Released: true})
		return
	}
	h := c.newHeader(&sp)
	if t := codec.JoinNames(open, tuning.DependenciesInHeader); len(t) <= 1 {
		if len(t) == 1 {
			sp.DependencyText = t[0]
		}
		c.putJob(e, h)
		return
	}
	c.requests.dependencyLists++
	sp.DependencyListName = fmt.Sprintf("%s-%d", c.membership.Incarnation(), c.requests.dependencyLists)
	var puts []domain.Put
	for k, t := range codec.JoinNames(open, c.cfg.ValueLimit-tuning.PackSlack) {
		puts = append(puts, domain.Put{Key: codec.KeyDependencyPiece(e.ID, sp.DependencyListName, k), Value: codec.Encode(t)})
	}
	sp.DependencyListPieces = len(puts)
	c.putPieces(e, h, puts)
}

// putPieces writes the pieces of a list, some in each commit, then the header.
func (c *Controller) putPieces(e JobSubmitted, h *codec.JobHeader, puts []domain.Put) {
	if len(puts) == 0 {
		c.putJob(e, h)
		return
	}
	n := min(len(puts), c.cfg.TransactionLimit)
	t := domain.Transaction{Puts: puts[:n]}
	for _, p := range t.Puts {
		t.Conditions = append(t.Conditions, domain.Condition{Key: p.Key, ModRevision: 0})
	}
	c.commit(LaneUser, t, func(r domain.CommitResult, _ CommitAnswered) {
		if r != domain.Committed { // a later try uses another name
			delete(c.requests.accepting, e.ID)
			c.retryLater(e.RequestID, "state service")
			return
		}
		c.putPieces(e, h, puts[n:])
	})
}
