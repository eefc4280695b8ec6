package core

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"brassglade/internal/tuning"
)

// draft gathers the changes of one task commit on copies of the records.
type draft struct {
	c       *Core
	heads   map[string]*Header
	chunks  map[string][]Task // chunk key -> copy
	chunkOf map[string]TaskID // chunk key -> its first task
	teams   map[string]Res
	conds   map[string]bool
	deletes map[string]bool
	machs   map[string]bool
	dooms   []doom
	bytes   int
	notes   []func()
	used    map[string]Res // bookings of this draft, by machine
	changed map[TaskID]bool
}

func (c *Core) newDraft() *draft {
	return &draft{
		c: c, heads: map[string]*Header{}, chunks: map[string][]Task{}, chunkOf: map[string]TaskID{},
		teams: map[string]Res{}, conds: map[string]bool{}, deletes: map[string]bool{},
		machs: map[string]bool{}, used: map[string]Res{}, changed: map[TaskID]bool{},
	}
}

func (d *draft) ops() int { return len(d.heads) + len(d.chunks) + len(d.teams) + len(d.deletes) }

// room tells whether the change of one more task of j may still go in: one
// chunk, one header and one team at most.
func (d *draft) room(j *Job, i int, header bool) bool {
	n, b := d.ops(), d.bytes
	if k := keyChunk(j.ID, i/j.H.Chunk); d.chunks[k] == nil {
		n++
		b += j.H.Chunk * tuning.TaskBytes
	}
	if header && d.heads[j.ID] == nil {
		n++
		b += tuning.HeaderBytes
	}
	if _, ok := d.teams[j.H.Spec.Team]; !ok {
		n++
	}
	return n <= d.c.cfg.TxnOps && b <= tuning.TxnBytes && len(d.conds)+6 <= 4*d.c.cfg.TxnOps
}

func (d *draft) cond(key string) { d.conds[key] = true }

// task returns the copy of task i to change.
func (d *draft) task(j *Job, i int) *Task {
	k := i / j.H.Chunk
	key := keyChunk(j.ID, k)
	ch := d.chunks[key]
	if ch == nil {
		from, to := k*j.H.Chunk, min((k+1)*j.H.Chunk, j.H.N)
		ch = make([]Task, to-from)
		if j.Tasks != nil {
			copy(ch, j.Tasks[from:to])
		}
		d.chunks[key] = ch
		d.chunkOf[key] = TaskID{j.ID, from}
		d.bytes += len(ch) * tuning.TaskBytes
		d.cond(key)
		d.cond(keyJob(j.ID))
	}
	d.changed[TaskID{j.ID, i}] = true
	return &ch[i-k*j.H.Chunk]
}

func (d *draft) team(name string, need Res, k int64) {
	u, ok := d.teams[name]
	if !ok {
		u = d.c.st.teams[name].Used
		d.cond(preTeam + name)
	}
	d.teams[name] = u.Plus(need, k)
}

func (d *draft) teamUsed(name string) Res {
	if u, ok := d.teams[name]; ok {
		return u
	}
	return d.c.st.teams[name].Used
}

// release unbooks a task proven off its machine. The attempt is doomed: no
// run of it may go out any more, since this transaction may land late.
func (d *draft) release(j *Job, i int, done bool) {
	t := d.task(j, i)
	d.dooms = append(d.dooms, doom{TaskID{j.ID, i}, t.Attempt})
	d.machs[t.Machine] = true
	d.team(j.H.Spec.Team, j.H.Spec.Need, -1)
	t.Machine, t.Shift, t.Zone = "", 0, ""
	t.State, t.Part = Queued, ""
	if !done {
		return
	}
	d.finish(j, i)
	if j.H.Spec.Shape == Gang {
		// They complete together: a mate whose own report was lost is done too.
		for k := 0; k < j.H.N; k++ {
			if o := d.peek(j, k); o.State == Queued {
				d.finish(j, k)
			}
		}
	}
}

// peek reads task i as the draft has it, without touching its chunk.
func (d *draft) peek(j *Job, i int) Task {
	if ch := d.chunks[keyChunk(j.ID, i/j.H.Chunk)]; ch != nil {
		return ch[i%j.H.Chunk]
	}
	return j.task(i)
}

// finish marks a task done. The last task of a chunk moves the header; the
// last chunk ends the job.
func (d *draft) finish(j *Job, i int) {
	t := d.task(j, i)
	t.State = Done
	for _, o := range d.chunks[keyChunk(j.ID, i/j.H.Chunk)] {
		if o.State != Done {
			return
		}
	}
	h := d.head(j)
	h.Chunks++
	if h.Chunks*h.Chunk >= h.N {
		h.State, h.Spec = JobDone, nil
		for key, first := range d.chunkOf {
			if first.Job == j.ID && d.c.st.stamps[key] != 0 {
				d.deletes[key] = true // the header says all there is to know
			}
		}
	}
}

// gangDone: one of the gang's tasks is done, hence all are.
func gangDone(j *Job) bool {
	return j.H.Spec.Shape == Gang && j.nD > 0
}

func (d *draft) head(j *Job) *Header {
	h := d.heads[j.ID]
	if h == nil {
		cp := *j.H
		h = &cp
		d.heads[j.ID] = h
		d.cond(keyJob(j.ID))
		d.bytes += tuning.HeaderBytes
	}
	return h
}

// drivePlan sends the next task commit if there is something to commit.
func (c *Core) drivePlan() {
	if c.task != nil || !c.dirty || !c.fenceOK() || c.now < c.blocked || c.st.ledger < c.needRead {
		return
	}
	c.dirty = false
	d := c.newDraft()
	c.planReleases(d)
	c.planHalts(d)
	c.planGangs(d)
	c.planBookings(d)
	c.planHandover(d)
	if d.ops() == 0 {
		c.giveTo = map[TaskID]string{}
		return
	}
	t := Txn{When: []Cond{{keyView, c.st.stamps[keyView]}}}
	for _, k := range slices.Sorted(maps.Keys(d.conds)) {
		t.When = append(t.When, Cond{k, c.st.stamps[k]})
	}
	// Headers first: a cache takes a chunk only below a header.
	for _, id := range slices.Sorted(maps.Keys(d.heads)) {
		t.Apply = append(t.Apply, Put{Key: keyJob(id), Value: enc(d.heads[id])})
	}
	for _, k := range slices.Sorted(maps.Keys(d.chunks)) {
		if d.deletes[k] {
			t.Apply = append(t.Apply, Put{Key: k})
			continue
		}
		t.Apply = append(t.Apply, Put{Key: k, Value: enc(Chunk{d.chunks[k]})})
	}
	for _, k := range slices.Sorted(maps.Keys(d.deletes)) {
		if d.chunks[k] == nil {
			t.Apply = append(t.Apply, Put{Key: k})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(d.teams)) {
		t.Apply = append(t.Apply, Put{Key: preTeam + n, Value: enc(Team{d.teams[n]})})
	}
	for _, k := range d.dooms {
		c.doomed[k] = true
	}
	c.planMach = d.machs
	c.task = c.commit(LaneTask, t, func(r CommitResult, e EvCommit) {
		c.task = nil
		c.dirty = true
		switch r {
		case Committed:
			for _, f := range d.notes {
				f()
			}
		case Conflict:
			c.log(2, "task commit conflict", "failed", e.Failed)
			c.needRead = max(c.needRead, e.Ledger)
		default:
			c.log(2, "task commit not confirmed", "result", int(r))
			c.blocked = c.now + tuning.ConfirmRetry
		}
	})
}

// planReleases commits outcomes and releases of this node's machines.
func (c *Core) planReleases(d *draft) {
	for _, name := range slices.Sorted(maps.Keys(c.st.byMach)) {
		if !c.owns(name) {
			continue
		}
		m := c.mach[name]
		if m == nil {
			continue
		}
		mark := c.st.marks[name]
		for _, id := range sortedTasks(c.st.byMach[name]) {
			j := c.st.jobs[id.Job]
			if j.H.Spec == nil {
				continue
			}
			t := j.task(id.I)
			if !c.offProof(m, id, t) {
				continue
			}
			s, there := m.tasks[id]
			there = there && s.Attempt == t.Attempt && m.shift == t.Shift
			done := there && s.State == SeenEnded && s.Cause == CauseDone || gangDone(j)
			// An undelivered run is simply sent again, unless the booking
			// has lost its sense.
			if !there && !c.doomed[doom{id, t.Attempt}] && m.shift == t.Shift && m.deadShift < t.Shift && mark.State != MarkGone &&
				j.H.State == JobOpen && m.recallAt < 0 && mark.State == "" && c.gangWhole(j, t) &&
				!(c.evicted(name) && !whole(j.H.Spec)) && (j.H.Halt == 0 || j.H.Halt < t.Attempt) {
				continue
			}
			if !d.room(j, id.I, done) {
				c.dirty = true
				return
			}
			d.release(j, id.I, done && j.H.State == JobOpen)
			if there && s.State == SeenEnded {
				c.noteEnd(d, m, j, id, s)
			} else {
				d.notes = append(d.notes, func() {
					c.log(2, "task released", "task", id, "machine", m.Name, "attempt", t.Attempt)
				})
			}
		}
	}
	// A cancelled job whose last booking is gone needs no further care.
	for _, id := range slices.Sorted(maps.Keys(c.st.cleaning)) {
		j := c.st.cleaning[id]
		if j.nB > 0 || c.partOf(j, Task{}) != c.cfg.Node || j.H.Spec == nil {
			continue
		}
		touched := false
		for k := range d.chunkOf {
			touched = touched || d.chunkOf[k].Job == id
		}
		if touched || d.ops()+1 > c.cfg.TxnOps {
			continue
		}
		h := d.head(j)
		for k := 0; k*h.Chunk < h.N && d.ops() < c.cfg.TxnOps; k++ {
			if key := keyChunk(id, k); c.st.stamps[key] != 0 {
				d.deletes[key] = true
				d.cond(key)
			}
		}
		h.Clean, h.Spec = true, nil
	}
}

// planHalts asks for the orderly stop of gangs that have a task on a machine
// about to be taken away: the header carries it to all owners, which halt
// their tasks well within gang_peer_s of each other.
func (c *Core) planHalts(d *draft) {
	for _, name := range slices.Sorted(maps.Keys(c.st.byMach)) {
		m := c.mach[name]
		if m == nil || !c.owns(name) {
			continue
		}
		mark := c.st.marks[name]
		if m.recallAt < 0 && !(mark.State == MarkDrain && mark.Why == WhySick) {
			continue
		}
		for _, id := range sortedTasks(c.st.byMach[name]) {
			j := c.st.jobs[id.Job]
			sp := j.H.Spec
			t := j.task(id.I)
			if sp == nil || sp.Shape != Gang || sp.N == 1 || j.H.State != JobOpen || j.H.Halt >= t.Attempt ||
				d.ops() >= c.cfg.TxnOps {
				continue
			}
			d.head(j).Halt = t.Attempt
		}
	}
}

// noteEnd learns from a task's end once it is committed.
func (c *Core) noteEnd(d *draft, m *Machine, j *Job, id TaskID, s Seen) {
	sp := j.H.Spec
	k := doom{id, s.Attempt}
	from, ran := m.firstRun[k]
	d.notes = append(d.notes, func() {
		c.log(2, "task ended", "task", id, "machine", m.Name, "attempt", s.Attempt, "cause", s.Cause, "saved", s.Saved)
		switch s.Cause {
		case CauseDone:
			m.errs = 0
			clear(m.errJobs)
			j.errs, j.hold = 0, 0
			if ran {
				c.learnRun(m, sp, (c.now - from).Seconds())
			}
		case CauseError:
			m.errs++
			m.errJobs[j.ID] = true
			j.errs++
			p := min(tuning.ErrorPause<<min(j.errs-1, 10), tuning.ErrorPauseMost)
			j.hold = int64(c.now + p)
		case CauseNoRoom, CauseBusy:
			m.fullTill = c.now + tuning.RefusedPause
		case CauseUnknown:
			j.errs++
			j.hold = int64(c.now + min(tuning.ErrorPause<<min(j.errs, 10), tuning.ErrorPauseMost))
		}
		c.learnFinish(m)
	})
}

// free is the room on a machine as committed, less what the draft books.
func (c *Core) free(name string, size Res, d *draft) Res {
	r := size
	for id := range c.st.byMach[name] {
		if sp := c.st.jobs[id.Job].H.Spec; sp != nil {
			r = r.Plus(sp.Need, -1)
		}
	}
	if d != nil {
		r = r.Plus(d.used[name], -1)
	}
	return r
}

func (c *Core) flavor(name string) *Flavor {
	for i := range c.st.flavors {
		if c.st.flavors[i].Name == name {
			return &c.st.flavors[i]
		}
	}
	return nil
}

// bookable: the machine takes new bookings.
func (c *Core) bookable(m *Machine) bool {
	return m.heardOnce && m.shift > m.deadShift && m.recallAt < 0 && c.st.marks[m.Name].State == "" &&
		c.now >= m.fullTill && c.now-m.heard < 2*c.cfg.Report+time.Second && c.flavor(m.Type) != nil
}

// fits: the machine may take a task of the job, room aside.
func (c *Core) fits(sp *Spec, typ, zone string, spot bool) bool {
	return allowed(sp.Types, typ) && (sp.Zone == "" || sp.Zone == zone) && (sp.Spot || !spot)
}

// book puts task i of j on a machine within the draft.
func (d *draft) book(j *Job, i int, m, zone string, shift, attempt uint64) {
	t := d.task(j, i)
	*t = Task{State: Booked, Attempt: attempt, Machine: m, Shift: shift, Zone: zone}
	d.cond(preMach + m)
	d.machs[m] = true
	d.team(j.H.Spec.Team, j.H.Spec.Need, 1)
	d.used[m] = d.used[m].Plus(j.H.Spec.Need, 1)
}

// priority orders heads of queues: what the team is owed first, then the
// job's priority, then first come.
func (c *Core) owed(sp *Spec, d *draft) bool {
	lim := c.cfg.Teams[sp.Team]
	if lim.Guar == (Res{}) {
		return false
	}
	return within(d.teamUsed(sp.Team).Plus(sp.Need, 1), lim.Guar)
}

// planBookings starts heads of queues where there is room.
func (c *Core) planBookings(d *draft) {
	type cand struct {
		m  *Machine
		id TaskID
		j  *Job
		o  bool
	}
	claims := c.claims()
	for round := 0; round < 64; round++ {
		var cs []cand
		for _, name := range c.machNames() {
			m := c.mach[name]
			if len(m.queue) == 0 || !c.owns(name) || !c.bookable(m) || c.kept(name) {
				continue
			}
			free := c.free(name, c.flavor(m.Type).Size, d)
			for _, id := range m.queue {
				j := c.st.jobs[id.Job]
				if c.placed[id] != name || j == nil || j.H.State != JobOpen || d.changed[id] ||
					j.task(id.I).State != Queued || c.partOf(j, j.task(id.I)) != c.cfg.Node {
					continue
				}
				if int64(c.now) < j.hold || c.giveTo[id] != "" {
					continue
				}
				sp := j.H.Spec
				if !c.teamAllows(sp, d, claims) {
					continue // waits for its team without blocking others
				}
				if !free.Holds(sp.Need) {
					break // first come, first served
				}
				cs = append(cs, cand{m, id, j, c.owed(sp, d)})
				break
			}
		}
		if len(cs) == 0 {
			return
		}
		sort.SliceStable(cs, func(a, b int) bool {
			x, y := cs[a], cs[b]
			if x.o != y.o {
				return x.o
			}
			if x.j.H.Spec.Prio != y.j.H.Spec.Prio {
				return x.j.H.Spec.Prio > y.j.H.Spec.Prio
			}
			return x.j.H.Order < y.j.H.Order
		})
		any := false
		for _, x := range cs {
			sp := x.j.H.Spec
			if !c.teamAllows(sp, d, claims) {
				continue
			}
			if !d.room(x.j, x.id.I, false) {
				c.dirty = true
				return
			}
			at := x.j.task(x.id.I).Attempt + 1
			d.book(x.j, x.id.I, x.m.Name, x.m.Zone, x.m.shift, at)
			m, id := x.m, x.id
			d.notes = append(d.notes, func() {
				c.log(2, "task booked", "task", id, "machine", m.Name, "attempt", at)
			})
			any = true
		}
		if !any {
			return
		}
	}
}

// claim is what waiting whole jobs want of their team's limit.
type claim struct {
	unit  Res // one job
	jobs  int // waiting
	whole Res // booked by whole jobs
}

func (c *Core) claims() map[string]claim {
	r := map[string]claim{}
	for _, j := range c.st.open {
		sp := j.H.Spec
		if !whole(sp) {
			continue
		}
		x := r[sp.Team]
		if j.nQ > 0 && sp.Shape == Gang {
			if x.jobs == 0 {
				x.unit = Res{}.Plus(sp.Need, int64(sp.N))
			}
			x.jobs++
		}
		x.whole = x.whole.Plus(sp.Need, int64(j.nB))
		r[sp.Team] = x
	}
	return r
}

// teamAllows tells whether a small task may start within its team's limit: it
// must fit, and must not take the room that a waiting whole job needs. What no
// whole job can use, small tasks may.
func (c *Core) teamAllows(sp *Spec, d *draft, claims map[string]claim) bool {
	lim, used := c.cfg.Teams[sp.Team].Max, d.teamUsed(sp.Team)
	if !c.guard(GuardQuota) {
		return true
	}
	if !within(used.Plus(sp.Need, 1), lim) {
		return false
	}
	return claims[sp.Team].allows(sp, used, lim)
}

// allows tells whether one more small task leaves the waiting whole jobs all
// that they could have of the team's limit.
func (x claim) allows(sp *Spec, used, lim Res) bool {
	if x.jobs == 0 || whole(sp) {
		return true
	}
	fit := func(small Res) int64 {
		room := Res{math.MaxInt32, math.MaxInt32, math.MaxInt32}
		if lim.CPU > 0 {
			room.CPU = lim.CPU - small.CPU
		}
		if lim.GPU > 0 {
			room.GPU = lim.GPU - small.GPU
		}
		return room.Times(x.unit, 1000)
	}
	small := used.Plus(x.whole, -1)
	want := x.whole.Times(x.unit, 1000) + int64(x.jobs)
	return fit(small.Plus(sp.Need, 1)) >= min(want, fit(Res{}))
}

// planHandover writes the parts of tasks passed or stolen.
func (c *Core) planHandover(d *draft) {
	for _, id := range sortedTasks(c.giveTo) {
		to := c.giveTo[id]
		j := c.st.jobs[id.Job]
		delete(c.giveTo, id)
		if j == nil || j.H.State != JobOpen || d.changed[id] || j.task(id.I).State != Queued ||
			!slices.Contains(c.st.view.Serving, to) || c.partOf(j, j.task(id.I)) != c.cfg.Node {
			continue
		}
		if !d.room(j, id.I, false) {
			c.dirty = true
			return
		}
		t := d.task(j, id.I)
		t.Part = to
		c.unplace(id)
		d.notes = append(d.notes, func() {
			c.learn.passes++
			c.log(2, "task handed over", "task", id, "to", to)
		})
	}
}

// learnRun keeps smoothed run times per machine, class and type.
func (c *Core) learnRun(m *Machine, sp *Spec, run float64) {
	if run <= 0 || math.IsNaN(run) {
		return
	}
	m.rate.add(run)
	if c.runs[sp.Class] == nil {
		c.runs[sp.Class] = &runStat{}
	}
	c.runs[sp.Class].add(run / max(sp.Est, 1))
}

// runStat is a smoothed value.
type runStat struct {
	v float64
	n int
}

func (r *runStat) add(x float64) {
	if r.n == 0 {
		r.v = x
	} else {
		r.v += tuning.RateSmooth * (x - r.v)
	}
	r.n++
}
