package core

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/tuning"
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
func (c *Core) mayStart(j *Job) bool {
	return j.lack == 0 && j.unmet == 0 && !j.lost || !c.guard(GuardNeeds)
}

func (c *Core) phaseOf(j *Job) phase {
	switch {
	case j.H.State == JobDone:
		return phaseDone
	case j.H.State == JobCancelled || j.lost:
		return phaseCancelled
	case c.mayStart(j):
		return phaseOpen
	}
	return phaseWaiting
}

// settle puts a job into the phase that its header and those before it call for,
// and all after it: from one to the next over a list, however long the users'
// pipelines are, each edge once.
func (c *Core) settle(j *Job) {
	work := []*Job{j}
	for len(work) > 0 {
		x := work[len(work)-1]
		work = work[:len(work)-1]
		was := x.phase
		c.setPhase(x, c.phaseOf(x))
		if x.phase == was || x.phase < phaseDone {
			continue
		}
		for _, d := range c.st.needed[x.ID] {
			if x.phase == phaseDone {
				d.unmet--
				d.doneAt = max(d.doneAt, c.endOf(x))
			} else if c.guard(GuardCascade) {
				d.lost = true
			}
			work = append(work, d)
		}
		delete(c.st.needed, x.ID)
	}
}

// setPhase is the one change of a job's phase.
func (c *Core) setPhase(j *Job, p phase) {
	old := j.phase
	if old == phaseOpen && p != old {
		for k, o := range c.st.open {
			if o == j {
				c.st.open = append(c.st.open[:k:k], c.st.open[k+1:]...)
				break
			}
		}
		for i := 0; i < j.H.N && j.queued > 0; i++ {
			c.unplace(TaskID{j.ID, i})
		}
	}
	if p == phaseOpen && p != old {
		// Order and ages count from the last job before it; after a restart from
		// the times that the headers tell.
		j.seenAt = int64(c.now)
		if c.st.reading {
			j.seenAt = max(j.bornAt, j.doneAt)
		}
		c.insertOpen(j)
		if j.H.Spec != nil && len(j.H.Spec.Needs) > 0 && old == phaseWaiting {
			c.log(2, "job may start", "job", j.ID, "waited_s", (c.now - time.Duration(j.bornAt)).Seconds())
		}
	}
	if p == phaseCancelled && !j.H.Clean {
		c.st.cleaning[j.ID] = j
	} else if p >= phaseDone {
		delete(c.st.cleaning, j.ID)
	}
	j.phase = p
	if p >= phaseDone && p != old {
		c.wakeWaiters()
	}
}

// endOf is when a job was done, as its header tells or, if it doesn't, now.
func (c *Core) endOf(j *Job) int64 {
	if c.st.reading && j.H.End > 0 {
		return min(int64(c.now), c.steady(j.H.End))
	}
	return int64(c.now)
}

// link reads what a job just met awaits and joins it to those jobs.
func (c *Core) link(j *Job) {
	sp := j.H.Spec
	if sp == nil {
		return
	}
	j.prio, j.dueLen = sp.Prio, sp.Due
	j.dueAt = j.bornAt + int64(sp.Due*float64(time.Second))
	if j.lack = sp.AwaitN; j.lack > 0 {
		c.takePieces(j)
	}
	sp.Needs = names(sp.Await)
	c.joinTo(j, sp.Needs)
	if j.lack == 0 {
		for k := 0; k < sp.AwaitN; k++ {
			c.takePiece(j, k)
		}
	}
	for _, d := range c.st.needed[j.ID] {
		c.inherit(j, d)
	}
	c.passBack(j)
}

func (c *Core) joinTo(j *Job, ids []string) {
	for _, id := range ids {
		n := c.st.jobs[id]
		switch {
		case n != nil && n.phase == phaseDone:
			j.doneAt = max(j.doneAt, c.endOf(n))
		case n != nil && n.phase == phaseCancelled:
			j.lost = c.guard(GuardCascade)
			if !j.lost {
				j.unmet++
			}
		default:
			j.unmet++
			c.st.needed[id] = append(c.st.needed[id], j)
		}
	}
}

// inherit makes n as urgent as d, which needs it. True: it became more so.
func (c *Core) inherit(n, d *Job) bool {
	if d.H.Spec == nil || d.phase >= phaseDone {
		return false
	}
	more := d.prio > n.prio
	n.prio = max(n.prio, d.prio)
	if d.dueLen > 0 {
		at := d.dueAt - int64((c.runTime(d.H.Spec)+tuning.StartLag)*float64(time.Second))
		if n.dueLen == 0 || at < n.dueAt {
			n.dueAt, n.dueLen, more = at, d.dueLen, true
		}
	}
	return more
}

// latest is a heap of jobs, the latest accepted first. A job is accepted after
// all that it awaits, so each comes up once, with all that it has to pass on.
type latest []*Job

func (l latest) Len() int           { return len(l) }
func (l latest) Less(a, b int) bool { return l[a].H.Order > l[b].H.Order }
func (l latest) Swap(a, b int)      { l[a], l[b] = l[b], l[a] }
func (l *latest) Push(x any)        { *l = append(*l, x.(*Job)) }
func (l *latest) Pop() any {
	o := *l
	x := o[len(o)-1]
	*l = o[:len(o)-1]
	return x
}

// passBack passes a job's priority and deadline on to all before it that are not
// over: the latest finish of each is the least, over those that need it, of theirs
// less their own time.
func (c *Core) passBack(j *Job) {
	l := latest{j}
	in := map[*Job]bool{j: true}
	for len(l) > 0 {
		x := heap.Pop(&l).(*Job)
		delete(in, x)
		if x.H.Spec == nil {
			continue
		}
		for _, id := range x.H.Spec.Needs {
			if n := c.st.jobs[id]; n != nil && n.phase < phaseDone && c.inherit(n, x) && !in[n] {
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

const namePrefix = "job-"

func names(text string) []string {
	l := strings.Fields(text)
	for i := range l {
		l[i] = namePrefix + l[i]
	}
	return l
}

// texts joins names to texts of at most the given bytes each.
func texts(ids []string, most int) []string {
	var l []string
	for _, id := range ids {
		s := strings.TrimPrefix(id, namePrefix)
		if n := len(l); n > 0 && len(l[n-1])+1+len(s) <= most {
			l[n-1] += " " + s
		} else {
			l = append(l, s)
		}
	}
	return l
}

func keyPiece(id, tag string, k int) string { return fmt.Sprintf("%s%s/%s/%d", preNeed, id, tag, k) }

// applyPiece takes a piece of a list. Its header mostly comes later.
func (c *Core) applyPiece(key string, v []byte) {
	var text string
	if v == nil || json.Unmarshal(v, &text) != nil {
		delete(c.st.pieces, key)
		return
	}
	c.st.pieces[key] = text
	id, _, _ := strings.Cut(key[len(preNeed):], "/")
	if j := c.st.jobs[id]; j != nil && j.lack > 0 && j.H.Spec != nil {
		if c.takePieces(j); j.lack == 0 {
			for k := 0; k < j.H.Spec.AwaitN; k++ {
				c.takePiece(j, k)
			}
			c.passBack(j)
			c.settle(j)
		}
	}
}

// takePieces counts the pieces of a job's list that are not here yet.
func (c *Core) takePieces(j *Job) {
	j.lack = 0
	for k := 0; k < j.H.Spec.AwaitN; k++ {
		if _, ok := c.st.pieces[keyPiece(j.ID, j.H.Spec.AwaitAt, k)]; !ok {
			j.lack++
		}
	}
}

func (c *Core) takePiece(j *Job, k int) {
	key := keyPiece(j.ID, j.H.Spec.AwaitAt, k)
	ids := names(c.st.pieces[key])
	delete(c.st.pieces, key)
	j.H.Spec.Needs = append(j.H.Spec.Needs, ids...)
	c.joinTo(j, ids)
}

// lookUp finds the jobs that a submission names. What the cache has was accepted;
// what it lacks another node may have accepted a moment ago, so the state service
// is asked for those, if they are few. Only a read index shows that a job was never
// accepted: by then everything accepted before the submission came is in the cache.
func (c *Core) lookUp(e EvSubmit) {
	var keys []string
	for _, id := range e.Spec.Needs {
		if c.st.jobs[id] == nil && !slices.Contains(keys, keyJob(id)) {
			if keys = append(keys, keyJob(id)); len(keys) > tuning.LookUps {
				c.wait(waiter{req: e.Req, id: e.ID, submit: &e})
				return
			}
		}
	}
	if len(keys) == 0 {
		c.accept(e, nil)
		return
	}
	c.nextID++
	c.reads[c.nextID] = e
	c.emit(EfRead{c.nextID, keys})
}

func (c *Core) onRead(ev EvRead) {
	e, ok := c.reads[ev.ID]
	if !ok {
		return
	}
	delete(c.reads, ev.ID)
	found := map[string]*Header{}
	for _, kv := range ev.Items {
		h := &Header{}
		if json.Unmarshal(kv.Value, h) == nil {
			found[strings.TrimPrefix(kv.Key, preJob)] = h
		}
	}
	for _, id := range e.Spec.Needs {
		if c.st.jobs[id] == nil && found[id] == nil {
			c.wait(waiter{req: e.Req, id: e.ID, submit: &e})
			return
		}
	}
	c.accept(e, found)
}

// accept takes a submission that names jobs; found are those that the cache may
// lack, as the state service had them a moment ago.
func (c *Core) accept(e EvSubmit, found map[string]*Header) {
	refuse := func(why string) { c.emit(EfUser{Req: e.Req, Status: 422, ID: e.ID, Reason: why}) }
	sp := *e.Spec
	ids := slices.Clone(sp.Needs)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	var open []string
	state := JobOpen
	for _, id := range ids {
		n := c.st.jobs[id]
		if h := found[id]; n == nil && h != nil {
			n = &Job{ID: id, H: h}
		}
		switch {
		case n == nil:
			refuse("awaits a job that was never accepted")
			return
		case n.H.Spec != nil && n.H.Spec.Shape == Service:
			refuse("awaits a service, which never ends")
			return
		case n.cancelled():
			state = JobCancelled
		case n.H.State != JobDone:
			open = append(open, id)
		}
	}
	if !c.ready() {
		c.later(e.Req, "not ready")
		return
	}
	if c.subs[e.ID] {
		c.later(e.Req, "being accepted")
		return
	}
	c.subs[e.ID] = true
	sp.Needs = nil
	if state == JobCancelled {
		// Accepted all the same, and over.
		c.put(e, &Header{State: state, N: sp.N, Clean: true})
		return
	}
	h := c.header(&sp)
	if t := texts(open, tuning.NeedsInHeader); len(t) <= 1 {
		if len(t) == 1 {
			sp.Await = t[0]
		}
		c.put(e, h)
		return
	}
	c.nextNeed++
	sp.AwaitAt = fmt.Sprintf("%s-%d", c.inc, c.nextNeed)
	var puts []Put
	for k, t := range texts(open, c.cfg.ValueB-tuning.PackSlack) {
		puts = append(puts, Put{Key: keyPiece(e.ID, sp.AwaitAt, k), Value: enc(t)})
	}
	sp.AwaitN = len(puts)
	c.putPieces(e, h, puts)
}

// putPieces writes the pieces of a list, some in each commit, then the header.
func (c *Core) putPieces(e EvSubmit, h *Header, puts []Put) {
	if len(puts) == 0 {
		c.put(e, h)
		return
	}
	n := min(len(puts), c.cfg.TxnOps)
	t := Txn{Apply: puts[:n]}
	for _, p := range t.Apply {
		t.When = append(t.When, Cond{p.Key, 0})
	}
	c.commit(LaneUser, t, func(r CommitResult, _ EvCommit) {
		if r != Committed { // a later try uses another name
			delete(c.subs, e.ID)
			c.later(e.Req, "state service")
			return
		}
		c.putPieces(e, h, puts[n:])
	})
}
