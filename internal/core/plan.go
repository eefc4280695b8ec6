package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"
)

// ref names a cell of a job by its first task.
type ref struct {
	job  string
	from int
}

// draft gathers the changes of one task commit on copies of the records.
type draft struct {
	c       *Core
	heads   map[string]*Header
	chunks  map[ref][]Task  // copies
	keys    map[string]bool // that hold them
	add     map[string]int  // bytes by which packs may grow
	teams   map[string]Team // reservations to write
	mine    map[string]Res  // what the draft adds to this node's bookings
	conds   map[string]bool
	drop    map[string]bool // jobs that are over: their tasks go
	machs   map[string]bool
	dooms   []doom
	only    string // the one value of another part that this draft may change; "": none, but its own
	most    int    // changes that the present stage may fill the draft up to
	bytes   int
	maxB    int // bytes that the present stage may fill the draft up to
	notes   []func()
	used    map[string]Res // bookings of this draft, by machine
	changed map[TaskID]bool
	leave   map[string]string // jobs that leave a pack that is too large with their next change, and where to
	moved   map[string]string // those that did
	raw     []Put             // cells of a value being cut
}

func (c *Core) newDraft() *draft {
	d := &draft{
		c: c, most: c.cfg.TxnOps, maxB: tuning.TxnBytes, heads: map[string]*Header{}, chunks: map[ref][]Task{}, keys: map[string]bool{}, add: map[string]int{},
		teams: map[string]Team{}, mine: map[string]Res{}, conds: map[string]bool{}, drop: map[string]bool{},
		machs: map[string]bool{}, used: map[string]Res{}, changed: map[TaskID]bool{}, moved: map[string]string{}, leave: map[string]string{},
	}
	d.tie()
	return d
}

// tie is the value by which later task commits exclude one whose outcome is
// unknown.
type tie struct {
	key   string
	stamp uint64
}

// tieTo remembers a commit without an answer: it may be carried out late, after
// newer ones of this node. Until that is settled every task commit writes one of
// its values again, under the condition that it hasn't changed; so of all these
// commits one at most is ever carried out, and no two of them can together book
// more than this node's share of a team's limit, or more than a machine holds.
func (c *Core) tieTo(t Txn) {
	if c.tied.key != "" {
		return // this one, too, excludes the first
	}
	rank := func(key string) int {
		switch {
		case strings.HasPrefix(key, prePack):
			return 1
		case strings.HasPrefix(key, preTask), strings.HasPrefix(key, preJob):
			return 2
		case strings.HasPrefix(key, preTeam):
			return 3
		}
		return 4
	}
	had := map[string]uint64{}
	for _, k := range t.When {
		if had[k.Key] = k.Stamp; c.st.stamps[k.Key] != k.Stamp {
			return // carried out, or never to be
		}
	}
	for _, a := range t.Apply {
		if rank(a.Key) < 4 && (c.tied.key == "" || rank(a.Key) < rank(c.tied.key)) {
			c.tied = tie{a.Key, had[a.Key]}
		}
	}
}

// tie puts the tied value into a draft as it is.
func (d *draft) tie() {
	c := d.c
	key := c.tied.key
	if key == "" {
		return
	}
	if c.st.stamps[key] != c.tied.stamp {
		c.tied = tie{} // carried out, or never to be
		return
	}
	switch {
	case strings.HasPrefix(key, prePack):
		d.keys[key] = true
		d.bytes += c.valueBytes(key)
		d.cond(key)
	case strings.HasPrefix(key, preTeam):
		d.keepTeam(key[len(preTeam):])
	case strings.HasPrefix(key, preJob):
		if j := c.st.jobs[key[len(preJob):]]; j != nil {
			d.head(j)
		}
	default:
		f := strings.Split(key[len(preTask):], "/")
		j := c.st.jobs[f[0]]
		if j == nil || j.H.Spec == nil {
			return
		}
		if i, ok := j.first(f[1:]); ok && keyOf(j, i) == key {
			d.chunks[j.ref(i)] = j.cellTasks(i)
			d.keys[key] = true
			d.bytes += c.valueBytes(key)
			d.cond(key)
		}
	}
}

// keepTeam drops a change of a team's key, or writes it as it is if it is tied.
func (d *draft) keepTeam(name string) {
	if d.c.tied.key != preTeam+name {
		delete(d.teams, name)
		return
	}
	d.teams[name] = Team{Res: maps.Clone(d.c.st.teams[name].Res)}
	d.cond(preTeam + name)
}

func (d *draft) ops() int { return len(d.heads) + len(d.keys) + len(d.teams) + len(d.raw) }

// keyOf is where the draft keeps task i of a job.
func (d *draft) keyOf(j *Job, i int) string {
	if q, ok := d.moved[j.ID]; ok {
		return prePack + q
	}
	return keyOf(j, i)
}

// ref of the cell with task i.
func (j *Job) ref(i int) ref {
	from, _ := j.cell(i)
	return ref{j.ID, from}
}

// cellTasks copies the records of the cell with task i.
func (j *Job) cellTasks(i int) []Task {
	from, to := j.cell(i)
	ch := make([]Task, to-from)
	if j.Tasks != nil {
		copy(ch, j.Tasks[from:to])
	}
	return ch
}

// room tells whether the change of one more task of j may still go in: one
// chunk, one header and one team at most. grows: the value may get longer.
func (d *draft) room(j *Job, i int, header, grows bool) bool {
	n, b := d.ops(), d.bytes
	key := keyOf(j, i)
	if foreign := d.c.foreign(j); foreign && key != d.only {
		d.c.others[key] = true
		return false
	} else if !foreign && d.only != "" {
		return false
	}
	leave := ""
	if (d.c.fell || grows && d.c.formatOn()) && !j.H.In && d.c.isStuck(key) {
		// The value can't be written any more, or must not grow. A pack's job leaves
		// it with this change; a chunk is cut first.
		ok := false
		if j.H.Pack != "" {
			leave, ok = d.target(j)
		}
		if !ok {
			d.c.dirty = true
			return false
		}
		key, header = prePack+leave, true
	}
	header = header || j.H.In
	if !d.keys[key] && !j.H.In {
		n++
		b += d.c.valueBytes(key)
	}
	if header && d.heads[j.ID] == nil {
		n++
		b += tuning.HeaderBytes
	}
	if _, ok := d.teams[j.H.Spec.Team]; !ok {
		n++
	}
	// A value that is full takes no more bookings until others of it end.
	most := d.c.bound()
	if d.c.formatOn() {
		most = d.c.cfg.ValueB
	}
	if grows && !j.H.In && d.c.st.sizes[key]+d.add[key]+2*tuning.TaskBytes+len(j.ID) > most-tuning.PackSlack {
		d.c.full[key] = true
		return false
	}
	// Conditions are few where transactions are small: counted as they are, the
	// view's among them, with one for the page of the machine's mark.
	more := 1
	for _, k := range [4]string{key, keyOf(j, i), keyJob(j.ID), preTeam + j.H.Spec.Team} {
		if !d.conds[k] {
			more++
		}
	}
	if n > d.most || b > d.maxB || 1+len(d.conds)+more > 4*d.c.cfg.TxnOps {
		return false
	}
	if leave != "" {
		d.leave[j.ID] = leave
	}
	return true
}

// bookBytes is what a booking is planned to add to its value: what it mostly takes,
// or, when a draft came out too large by that, the most that it may take.
func (c *Core) bookBytes() int {
	if c.formatOn() && !c.strict {
		return tuning.TaskBytesShort
	}
	return tuning.TaskBytes
}

// tooLarge tells whether a transaction has a value that outgrew its bound in this
// draft: estimates are for what is usual.
func (c *Core) tooLarge(t Txn) bool {
	for _, a := range t.Apply {
		if len(a.Value) > c.cfg.ValueB && !c.st.large[a.Key] {
			return true
		}
	}
	return false
}

// isStuck asks stuck once a plan.
func (c *Core) isStuck(key string) bool {
	if !c.st.large[key] {
		return false
	}
	x, ok := c.stuckNow[key]
	if !ok {
		x = c.stuck(key)
		c.stuckNow[key] = x
	}
	return x
}

// foreign: the value that holds the job's tasks belongs to another part, which
// writes it a few times a second. Tasks of such a job run on machines of this
// part after their owners changed: when a zone was cut off, by the hundred.
func (c *Core) foreign(j *Job) bool {
	if j.H.In || whole(j.H.Spec) || !c.wide() {
		return false
	}
	if j.H.Pack != "" {
		return !strings.HasPrefix(j.H.Pack, c.cfg.Node+"/")
	}
	return c.homeOf(j) != c.cfg.Node
}

// nextOther is the other part's value to be changed next, in turn.
func (c *Core) nextOther() string {
	next, first := "", ""
	for k := range c.others {
		if till, ok := c.avoid[k]; ok && c.now < till {
			continue
		}
		if first == "" || k < first {
			first = k
		}
		if k > c.lastOther && (next == "" || k < next) {
			next = k
		}
	}
	if next == "" {
		next = first
	}
	return next
}

// shun tells whether a task's chunk lost a conflict just now.
func (c *Core) shun(j *Job, i int) bool {
	if len(c.avoid) == 0 {
		return false
	}
	k := keyOf(j, i)
	if till, ok := c.avoid[k]; ok && c.now < till {
		c.dirty = true
		return true
	}
	delete(c.avoid, k)
	return false
}

// valueBytes is what a chunk's key may take in a transaction.
func (c *Core) valueBytes(key string) int {
	return min(c.bound(), c.st.sizes[key]+tuning.ValueGrow)
}

func (d *draft) cond(key string) { d.conds[key] = true }

// task returns the copy of task i to change.
func (d *draft) task(j *Job, i int) *Task {
	r := j.ref(i)
	ch := d.chunks[r]
	if ch == nil {
		key := keyOf(j, i)
		if q, ok := d.leave[j.ID]; ok {
			d.move(j, q)
		}
		if ch = d.chunks[r]; ch == nil {
			ch = j.cellTasks(i)
			d.chunks[r] = ch
		}
		// While a value is too large, jobs may leave it without a change of its
		// stamp (move, cut): only their headers show it.
		if d.c.st.large[key] {
			d.cond(keyJob(j.ID))
		}
		key = d.keyOf(j, i)
		if j.H.In {
			d.head(j)
		} else if !d.keys[key] {
			d.keys[key] = true
			d.bytes += d.c.valueBytes(key)
			d.cond(key)
		}
		if j.Tasks == nil {
			d.add[key] += tuning.TaskBytes + len(j.ID)
		}
	}
	d.changed[TaskID{j.ID, i}] = true
	return &ch[i-r.from]
}

// teamUsed is what counts against a team's limit: what the others have set
// aside, and this node's bookings, with those of the draft.
func (c *Core) teamUsed(name string, d *draft) Res {
	u := c.st.sums[name][c.cfg.Node]
	if d != nil {
		u = u.Plus(d.mine[name], 1)
	}
	for n, r := range c.st.teams[name].Res {
		if n != c.cfg.Node {
			u = u.Plus(r, 1)
		}
	}
	return u
}

func (d *draft) teamUsed(name string) Res { return d.c.teamUsed(name, d) }

// slack is how much of a team's limit a node sets aside beyond its bookings, so
// that at size hardly any commit has to change a team's key; nothing where the
// limit is only a few tasks, and less the less is left.
func (c *Core) slack(name string, need Res) Res {
	lim := c.cfg.Teams[name].Max
	left := lim
	for _, r := range c.st.teams[name].Res {
		left = left.Plus(r, -1)
	}
	n := int64(len(c.cfg.Nodes))
	part := func(lim, left, need int64) int64 {
		s := max(0, min(lim/(tuning.SlackShare*n), left/(2*n)))
		if s < tuning.SlackTasks*need {
			return 0
		}
		return s
	}
	return Res{part(lim.CPU, left.CPU, need.CPU), part(lim.GPU, left.GPU, need.GPU), part(lim.Mem, left.Mem, need.Mem)}
}

// avoidsTeam: the team's key lost a conflict just now, and is only changed for
// what can't do without.
func (c *Core) avoidsTeam(name string) bool {
	till, ok := c.avoid[preTeam+name]
	if ok && c.now >= till {
		delete(c.avoid, preTeam+name)
	}
	return ok && c.now < till
}

// limited leaves out what a team's limit does not bound.
func limited(r, lim Res) Res {
	if lim.CPU == 0 {
		r.CPU = 0
	}
	if lim.GPU == 0 {
		r.GPU = 0
	}
	if lim.Mem == 0 {
		r.Mem = 0
	}
	return r
}

// reserved is this node's share of a team's limit.
func (c *Core) reserved(name string) Res { return c.st.teams[name].Res[c.cfg.Node] }

// settleTeam writes the team's key if this node's bookings no longer fit its
// share, or leave much of it unused.
func (d *draft) settleTeam(name string, need Res) {
	c := d.c
	if _, ok := d.teams[name]; ok && need == (Res{}) {
		return
	}
	use := limited(c.st.sums[name][c.cfg.Node].Plus(d.mine[name], 1), c.cfg.Teams[name].Max)
	have := c.reserved(name)
	slack := c.slack(name, need)
	fits := have.Holds(use)
	if fits && (c.avoidsTeam(name) || use.Plus(slack, 2).Holds(have)) {
		d.keepTeam(name)
		return
	}
	want := use.Plus(slack, 1)
	if lim := c.cfg.Teams[name].Max; !within(d.teamUsed(name).Plus(slack, 1), lim) {
		want = use
	}
	t := Team{Res: maps.Clone(c.st.teams[name].Res)}
	if t.Res == nil {
		t.Res = map[string]Res{}
	}
	t.Res[c.cfg.Node] = want
	d.teams[name] = t
	d.cond(preTeam + name)
}

// settleTeams gives back what others' releases left unused of this node's
// shares, and, as the leader, of those of nodes that are not members.
func (d *draft) settleTeams() {
	c := d.c
	for _, name := range slices.Sorted(maps.Keys(c.st.teams)) {
		if d.ops() >= c.cfg.TxnOps || len(d.conds)+4 > 4*c.cfg.TxnOps {
			return
		}
		if _, ok := d.teams[name]; !ok {
			d.settleTeam(name, Res{GPU: 1000})
		}
		if !c.isLeader() || d.ops() >= c.cfg.TxnOps {
			continue
		}
		for n, r := range c.st.teams[name].Res {
			use := limited(c.st.sums[name][n], c.cfg.Teams[name].Max)
			if _, member := c.st.view.Members[n]; member || use == r {
				continue
			}
			t, ok := d.teams[name]
			if !ok {
				t = Team{Res: maps.Clone(c.st.teams[name].Res)}
				d.teams[name] = t
				d.cond(preTeam + name)
			}
			t.Res[n] = use
			if t.Res[n] == (Res{}) {
				delete(t.Res, n)
			}
		}
	}
}

// release unbooks a task proven off its machine. The attempt is doomed: no
// run of it may go out any more, since this transaction may land late.
func (d *draft) release(j *Job, i int, done bool) {
	t := d.task(j, i)
	d.dooms = append(d.dooms, doom{TaskID{j.ID, i}, t.Attempt})
	d.machs[t.Machine] = true
	d.used[t.Machine] = d.used[t.Machine].Plus(j.H.Spec.Need, -1) // the same commit may book there again
	if t.Part == d.c.cfg.Node {
		d.mine[j.H.Spec.Team] = d.mine[j.H.Spec.Team].Plus(j.H.Spec.Need, -1)
		d.settleTeam(j.H.Spec.Team, j.H.Spec.Need)
	}
	t.Machine, t.Shift, t.Zone = "", 0, ""
	t.State, t.Part = Queued, ""
	d.add[d.keyOf(j, i)] += tuning.ReleaseBytes
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
	if r := j.ref(i); d.chunks[r] != nil {
		return d.chunks[r][i-r.from]
	}
	return j.task(i)
}

// finish marks a task done. The last task of a chunk moves the header; the
// last chunk ends the job.
func (d *draft) finish(j *Job, i int) {
	t := d.task(j, i)
	*t = Task{State: Done}
	cell := d.chunks[j.ref(i)]
	for _, o := range cell {
		if o.State != Done {
			return
		}
	}
	h := d.head(j)
	over := false
	if h.Sub > 0 {
		h.Fin += len(cell)
		over = h.Fin >= h.N
	} else {
		h.Chunks++
		over = h.Chunks*h.Chunk >= h.N
	}
	if over {
		h.State, h.Spec, h.Cut, h.Sub = JobDone, nil, nil, 0
		if d.c.formatOn() {
			h.End = d.c.wallMS()
		}
		d.drop[j.ID] = true // the header says all there is to know
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
		d.c.fit(h)
		d.heads[j.ID] = h
		d.cond(keyJob(j.ID))
		d.bytes += tuning.HeaderBytes
	}
	return h
}

// drivePlan sends the next task commit if there is something to commit. It is
// planned only once it can go out: what waits for credit meanwhile is outrun by
// others' commits.
func (c *Core) drivePlan() {
	if c.task != nil || !c.dirty || !c.fenceOK() || c.now < c.blocked || c.st.ledger < c.needRead || c.now < c.planAt ||
		c.cfg.WriteRate > 0 && c.tokens < min(float64(c.lastOps), tuning.TaskCredit*c.cfg.WriteRate) {
		return
	}
	c.planAt = c.now + c.pace()
	c.dirty = false
	// Own values and one of another part's go in turns, never together: any
	// change of the other part's fails the whole commit, and with several of them
	// in each a node can lose every time, for minutes.
	clear(c.stuckNow)
	d := c.newDraft()
	// A value is not cut while a commit that may still change it is unsettled.
	if c.splitTurn = !c.splitTurn; c.splitTurn && c.tied.key == "" && len(c.st.large)+len(c.full) > 0 && (c.formatOn() || c.fell) {
		c.planSplit(d)
		if d.ops() > 0 {
			c.lastOps = d.ops()
			c.sendPlan(d)
			return
		}
		d = c.newDraft()
	}
	if only := c.nextOther(); only != "" && c.otherTurn {
		d.only, c.lastOther = only, only
		delete(c.others, only)
		c.planTasks(d)
	}
	c.otherTurn = !c.otherTurn
	if d.ops() == 0 {
		d = c.newDraft()
		clear(c.others)
		c.planTasks(d)
		c.dirty = c.dirty || len(c.others) > 0
	}
	c.lastOps = d.ops()
	if d.ops() == 0 {
		c.giveTo = map[TaskID]string{}
		return
	}
	if c.formatOn() && !c.strict && c.tooLarge(d.txn()) {
		c.strict, c.dirty, c.planAt = true, true, c.now // the same again, with room for the worst
		return
	}
	c.strict = false
	c.sendPlan(d)
}

// planTasks fills a draft stage by stage.
func (c *Core) planTasks(d *draft) {
	if d.only != "" {
		c.planReleases(d)
		c.planBookings(d)
		return
	}
	// A transaction takes few changes and bytes. Each stage leaves some to those
	// after it: finishes alone, of many jobs, would fill one after the other. Large
	// arrays go before other jobs' tasks and after them in turns.
	c.planHalts(d)
	d.most = min(c.cfg.TxnOps, max(4, c.cfg.TxnOps-2))
	c.planGangs(d)
	if c.largeTurn = !c.largeTurn; c.largeTurn {
		c.planLargeArrays(d)
	}
	d.most = min(c.cfg.TxnOps, max(d.ops()+2, c.cfg.TxnOps-c.cfg.TxnOps/4))
	d.maxB = max(d.bytes, tuning.TxnBytes-tuning.TxnBytes/4)
	c.planReleases(d)
	d.most, d.maxB = c.cfg.TxnOps, tuning.TxnBytes
	c.planBookings(d)
	if !c.largeTurn {
		c.planLargeArrays(d)
	}
	c.planHandover(d)
	d.settleTeams()
}

// sendPlan commits a draft and settles what comes of it.
func (c *Core) sendPlan(d *draft) {
	t := d.txn()
	for _, k := range d.dooms {
		c.doomed[k] = true
	}
	c.planMach = d.machs
	c.log(2, "task commit", "headers", len(d.heads), "values", len(d.keys)+len(d.raw), "teams", len(d.teams), "tasks", len(d.changed),
		"released", len(d.dooms), "conditions", len(t.When), "bytes", txnBytes(t))
	c.task = c.commit(LaneTask, t, func(r CommitResult, e EvCommit) {
		c.task = nil
		c.dirty = true
		for n := range d.machs {
			c.touched[n] = true
		}
		switch r {
		case Committed:
			for _, f := range d.notes {
				f()
			}
		case Conflict:
			c.log(2, "task commit conflict", "failed", e.Failed)
			c.needRead = max(c.needRead, e.Ledger)
			// One contested value must not keep failing all else that this node
			// has to write: it waits a little, of random length.
			for _, k := range e.Failed {
				if strings.HasPrefix(k, preTeam) || strings.HasPrefix(k, prePack) || strings.HasPrefix(k, preTask) {
					c.avoid[k] = c.now + tuning.AvoidLeast + time.Duration(c.rng.Int64N(int64(tuning.AvoidSpread)))
				}
			}
		default:
			c.log(2, "task commit not confirmed", "result", int(r))
			// All nodes together want more than the state service takes, and it
			// refuses users' submissions as well: each goes back towards its part.
			if r == Refused && c.stateOK {
				c.rate = max(min(c.cfg.WriteFair*c.weight(), c.rate), c.rate*tuning.RateCut)
			}
			c.blocked = c.now + tuning.RefusedLeast + time.Duration(c.rng.Int64N(int64(tuning.RefusedSpread)))
			if r == Unknown {
				c.tieTo(t)
			} else if e.Bad {
				c.tied = tie{} // it may be the tied value that is too large by now
			}
		}
	})
}

// txn writes the draft as one transaction, conditional on all that it read.
func (d *draft) txn() Txn {
	c := d.c
	t := Txn{When: []Cond{{keyView, c.st.stamps[keyView]}}}
	for _, k := range slices.Sorted(maps.Keys(d.conds)) {
		t.When = append(t.When, Cond{k, c.st.stamps[k]})
	}
	// Headers first: a cache takes a chunk only below a header.
	for _, id := range slices.Sorted(maps.Keys(d.heads)) {
		h := d.heads[id]
		if h.In {
			h.T = nil
			if j := c.st.jobs[id]; !d.drop[id] && h.Spec != nil {
				ts := d.chunks[ref{id, 0}]
				if ts == nil {
					ts = j.Tasks
				}
				if ts != nil {
					h.T = c.chunkOf(map[string][]Task{id: ts})
				}
			}
		}
		t.Apply = append(t.Apply, Put{Key: keyJob(id), Value: enc(h)})
	}
	vals := map[string]map[string][]Task{}
	for key := range d.keys {
		vals[key] = map[string][]Task{}
		if !strings.HasPrefix(key, prePack) {
			continue
		}
		jobs := c.st.packs[key[len(prePack):]]
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			if j := jobs[id]; j.Tasks != nil && !d.drop[id] && d.chunks[ref{id, 0}] == nil && d.moved[id] == "" {
				vals[key][id] = j.Tasks
			}
		}
	}
	refs := slices.SortedFunc(maps.Keys(d.chunks), func(a, b ref) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.from, b.from))
	})
	for _, r := range refs {
		if j := c.st.jobs[r.job]; !d.drop[r.job] && !j.H.In {
			vals[d.keyOf(j, r.from)][r.job] = d.chunks[r]
		}
	}
	t.Apply = append(t.Apply, d.raw...)
	for _, key := range slices.Sorted(maps.Keys(d.keys)) {
		switch {
		case len(vals[key]) > 0 || strings.HasPrefix(key, prePack):
			t.Apply = append(t.Apply, Put{Key: key, Value: enc(c.chunkOf(vals[key]))})
		case c.st.stamps[key] != 0:
			t.Apply = append(t.Apply, Put{Key: key})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(d.teams)) {
		t.Apply = append(t.Apply, Put{Key: preTeam + n, Value: enc(d.teams[n])})
	}
	return t
}

// planReleases commits outcomes and releases of this node's machines.
func (c *Core) planReleases(d *draft) {
	names := c.machNames()
	// Begin where the last full draft stopped, so that none is always left out.
	k, _ := slices.BinarySearch(names, c.relFrom)
	names = append(slices.Clone(names[k:]), names[:k]...)
	type off struct {
		m           *Machine
		id          TaskID
		s           Seen
		there, done bool
	}
	var offs []off
	count := map[string]int{} // by value
	for _, name := range names {
		m := c.mach[name]
		if len(c.st.byMach[name]) == 0 || !c.owns(name) {
			continue
		}
		mark := c.st.marks[name]
		var ids []TaskID
		for id := range c.st.byMach[name] {
			if j := c.st.jobs[id.Job]; j.H.Spec != nil && c.offProof(m, id, j.task(id.I)) {
				ids = append(ids, id)
			}
		}
		for _, id := range inOrder(ids) {
			j := c.st.jobs[id.Job]
			t := j.task(id.I)
			s, there := m.tasks[id]
			there = there && s.Attempt == t.Attempt && m.shift == t.Shift
			done := there && s.State == SeenEnded && s.Cause == CauseDone || gangDone(j)
			// An undelivered run is simply sent again, unless the booking
			// has lost its sense.
			if !there && !c.doomed[doom{id, t.Attempt}] && m.shift == t.Shift && m.deadShift < t.Shift && mark.State != MarkGone &&
				j.H.State == JobOpen && m.recallAt < 0 && mark.State == "" && c.gangWhole(j, t) &&
				!c.yielded[doom{id, t.Attempt}] && !(c.evicted(name) && !holdsMachines(j.H.Spec)) && (j.H.Halt == 0 || j.H.Halt < t.Attempt) {
				continue
			}
			if c.shun(j, id.I) {
				continue
			}
			count[keyOf(j, id.I)]++
			offs = append(offs, off{m, id, s, there, done})
		}
	}
	// Where more values wait for a change than go into one commit, those with most
	// to change go first, or a backlog with many values takes all changes a second
	// for two or three releases each. In turns with the order of machines, so that
	// none is left out.
	if c.relTurn = !c.relTurn; c.relTurn && len(count) > d.most-d.ops() && c.wide() {
		slices.SortStableFunc(offs, func(a, b off) int {
			return cmp.Compare(count[keyOf(c.st.jobs[b.id.Job], b.id.I)], count[keyOf(c.st.jobs[a.id.Job], a.id.I)])
		})
	}
	full := false
	for _, o := range offs {
		m, id, s := o.m, o.id, o.s
		j := c.st.jobs[id.Job]
		t := j.task(id.I)
		if !d.room(j, id.I, o.done, false) {
			c.dirty = true
			if !full {
				full, c.relFrom = true, m.Name
			}
			continue // others may change values that are in already
		}
		d.release(j, id.I, o.done && j.H.State == JobOpen)
		if o.there && s.State == SeenEnded {
			c.noteEnd(d, m, j, id, s)
		} else {
			d.notes = append(d.notes, func() {
				c.log(2, "task released", "task", id, "machine", m.Name, "attempt", t.Attempt)
			})
		}
	}
	// A cancelled job whose last booking is gone needs no further care.
	for _, id := range slices.Sorted(maps.Keys(c.st.cleaning)) {
		j := c.st.cleaning[id]
		if j.nB > 0 || c.homeOf(j) != c.cfg.Node || j.H.Spec == nil {
			continue
		}
		if foreign := c.foreign(j); foreign && d.only != keyOf(j, 0) {
			c.others[keyOf(j, 0)] = true
			continue
		} else if !foreign && d.only != "" {
			continue
		}
		touched := false
		for r := range d.chunks {
			touched = touched || r.job == id
		}
		chunks := j.cells()
		if touched || d.ops()+1+min(chunks, c.cfg.TxnOps/2) > c.cfg.TxnOps || len(d.conds)+8 > 4*c.cfg.TxnOps {
			continue
		}
		h := d.head(j)
		d.drop[id] = true
		for i := 0; i < j.H.N && d.ops() < c.cfg.TxnOps; i = j.cellEnd(i) {
			if key := keyOf(j, i); !j.H.In && c.st.stamps[key] != 0 && !d.keys[key] && j.Tasks != nil && !c.isStuck(key) {
				d.keys[key] = true
				d.bytes += c.bound()
				d.cond(key)
			}
		}
		if c.st.large[keyOf(j, 0)] {
			d.cond(keyOf(j, 0))
		}
		h.State = JobCancelled
		h.Clean, h.Spec, h.Cut, h.Sub = true, nil, nil, 0
	}
}

// planHalts asks for the orderly stop of gangs that have a task on a machine
// about to be taken away: the header carries it to all owners, which halt
// their tasks well within gang_peer_s of each other.
func (c *Core) planHalts(d *draft) {
	for _, name := range c.machNames() {
		m := c.mach[name]
		if len(c.st.byMach[name]) == 0 {
			continue
		}
		mark := c.st.marks[name]
		if m.recallAt < 0 && !(mark.State == MarkDrain && mark.Why == WhySick) {
			continue
		}
		if !c.owns(name) {
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
			clear(m.errs)
			j.errs, j.hold = 0, 0
			if ran {
				c.learnRun(m, sp, (c.now - from).Seconds())
			}
		case CauseError:
			e, was := m.errs[j.ID]
			if !was {
				e.at = c.now
			}
			e.n++
			m.errs[j.ID] = e
			row := 0
			for _, x := range m.errs {
				row += x.n
			}
			// Until it shows whose fault it is, the machine is given less to fail.
			m.fullTill = c.now + min(time.Duration(row)*tuning.RefusedPause, tuning.ErrorRowMost)
			if int64(c.now) >= j.hold { // its tasks that fail together count as one try
				j.errs++
			}
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
	r := size.Plus(c.st.occ[name].used, -1)
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
	if !d.c.mayStart(j) {
		panic("booking " + j.ID + " before what it awaits") // no list of open jobs has it
	}
	t := d.task(j, i)
	d.cond(keyJob(j.ID)) // it may have been cancelled or passed on
	*t = Task{State: Booked, Attempt: attempt, Machine: m, Shift: shift, Zone: zone, Part: d.c.cfg.Node}
	if d.c.guard(GuardGone) {
		d.cond(preMach + d.c.markHome(m))
	}
	d.machs[m] = true
	d.add[d.keyOf(j, i)] += d.c.bookBytes()
	d.mine[j.H.Spec.Team] = d.mine[j.H.Spec.Team].Plus(j.H.Spec.Need, 1)
	d.settleTeam(j.H.Spec.Team, j.H.Spec.Need)
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
	if !c.guard(GuardBook) {
		return
	}
	claims := c.claims()
	var ms []*Machine
	for _, name := range c.machNames() {
		if m := c.mach[name]; len(m.queue) > 0 && c.owns(name) && c.bookable(m) && !c.kept(name) {
			ms = append(ms, m)
		}
	}
	for round := 0; round < 64; round++ {
		var cs []cand
		for _, m := range ms {
			name := m.Name
			free := c.free(name, c.flavor(m.Type).Size, d)
			for _, id := range c.byPriority(m) {
				j := c.st.jobs[id.Job]
				if c.placed[id] != name || j == nil || j.phase != phaseOpen || d.changed[id] ||
					j.task(id.I).State != Queued || c.partOf(j, j.task(id.I)) != c.cfg.Node {
					continue
				}
				if int64(c.now) < j.hold || c.giveTo[id] != "" || c.giveJob[id.Job] != "" {
					continue
				}
				if m.failed(j) {
					c.unplace(id)
					c.dirty = true
					continue
				}
				if c.shun(j, id.I) {
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
			if x.j.prio != y.j.prio {
				return x.j.prio > y.j.prio
			}
			return x.j.H.Order < y.j.H.Order
		})
		any := false
		for _, x := range cs {
			sp := x.j.H.Spec
			if !c.teamAllows(sp, d, claims) {
				continue
			}
			if !d.room(x.j, x.id.I, false, true) {
				c.dirty = true
				if d.ops() >= c.cfg.TxnOps-2 && c.cfg.TxnOps > 4 || len(d.conds)+3 > 4*c.cfg.TxnOps {
					return
				}
				continue // its pack is full; others may still go in
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

// byPriority is a machine's queue, first come, first served among tasks of the same
// priority. A small urgent task that fits must not wait behind a large one that
// doesn't: on a day of pipelines their last jobs waited 30 s so.
func (c *Core) byPriority(m *Machine) []TaskID {
	prio := func(id TaskID) int {
		if j := c.st.jobs[id.Job]; j != nil {
			return j.prio
		}
		return 0
	}
	for i := 1; i < len(m.queue); i++ {
		if prio(m.queue[i]) > prio(m.queue[i-1]) {
			slices.SortStableFunc(m.queue, func(a, b TaskID) int { return prio(b) - prio(a) })
			break
		}
	}
	return m.queue
}

// claim is what waiting whole jobs want of their team's limit.
type claim struct {
	unit  Res // one job
	jobs  int // waiting
	whole Res // booked by whole jobs
	// A job of which nothing began for long, what one of its tasks takes, and
	// whether gangs wait for it, too: not for ever, it may not be possible.
	first string
	need  Res
	gangs bool
	// Jobs that have waited for long with nothing on don't wait for gangs any
	// more, unless one of those starves itself.
	long   map[string]bool
	starve bool
}

func (c *Core) claims() map[string]claim {
	r := map[string]claim{}
	for _, j := range c.st.open {
		sp := j.H.Spec
		x := r[sp.Team]
		if !whole(sp) {
			// Large tasks at a limit: each small one of the team that ends would
			// make room for another small one, for as long as those come.
			if j.nB+j.nD == 0 && c.now-time.Duration(j.seenAt) > tuning.ClaimMost {
				if x.long == nil {
					x.long = map[string]bool{}
				}
				x.long[j.ID] = true
				r[sp.Team] = x
			}
			if x.first == "" && c.starves(j) && int64(c.now) >= j.hold {
				x.first, x.need = j.ID, sp.Need
				x.gangs = c.now-time.Duration(j.seenAt) < tuning.StarveAfter+tuning.GangBlock
				r[sp.Team] = x
			}
			continue
		}
		if j.nQ > 0 && sp.Shape == Gang {
			age := c.now - time.Duration(j.seenAt)
			x.starve = x.starve || age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock
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
	if c.avoidsTeam(sp.Team) {
		own := c.st.sums[sp.Team][c.cfg.Node].Plus(d.mine[sp.Team], 1).Plus(sp.Need, 1)
		if !c.reserved(sp.Team).Holds(limited(own, lim)) {
			c.dirty = true
			return false
		}
	}
	return claims[sp.Team].allows(sp, used, lim)
}

// leavesFirst tells whether the team's limit keeps room, beside what is used, for a
// task of the job that has waited longest.
func (x claim) leavesFirst(id string, used, lim Res) bool {
	return x.first == "" || x.first == id || within(used.Plus(x.need, 1), lim)
}

// allows tells whether one more small task leaves the waiting whole jobs all
// that they could have of the team's limit.
func (x claim) allows(sp *Spec, used, lim Res) bool {
	if !x.leavesFirst(sp.ID, used.Plus(sp.Need, 1), lim) {
		return false
	}
	if x.first == sp.ID || x.long[sp.ID] && !x.starve || x.jobs == 0 || whole(sp) {
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

// planHandover writes the parts of jobs and tasks passed or stolen.
func (c *Core) planHandover(d *draft) {
	for _, id := range slices.Sorted(maps.Keys(c.giveJob)) {
		to, j := c.giveJob[id], c.st.jobs[id]
		if d.ops() >= c.cfg.TxnOps || len(d.conds)+4 > 4*c.cfg.TxnOps {
			c.dirty = true
			return
		}
		delete(c.giveJob, id)
		if j == nil || j.H.State != JobOpen || !untouched(j) || j.queued > 0 || !slices.Contains(c.st.view.Serving, to) ||
			c.homeOf(j) != c.cfg.Node {
			continue
		}
		h := d.head(j)
		h.Part, h.Hops = to, h.Hops+1
		if h.Pack != "" {
			pack, ok := c.packFor(j.H.Spec, to)
			if !ok {
				pack = h.Pack
			}
			h.Pack = pack
		}
		d.notes = append(d.notes, func() {
			c.learn.passes += j.H.N
			c.log(2, "job handed over", "job", id, "to", to)
		})
	}
	for _, id := range sortedTasks(c.giveTo) {
		to := c.giveTo[id]
		j := c.st.jobs[id.Job]
		delete(c.giveTo, id)
		if j == nil || j.H.State != JobOpen || d.changed[id] || j.task(id.I).State != Queued ||
			!slices.Contains(c.st.view.Serving, to) || c.partOf(j, j.task(id.I)) != c.cfg.Node {
			continue
		}
		if c.shun(j, id.I) {
			continue
		}
		if !d.room(j, id.I, false, true) {
			c.dirty = true
			return
		}
		t := d.task(j, id.I)
		d.cond(keyJob(j.ID))
		d.add[d.keyOf(j, id.I)] += tuning.ReleaseBytes
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

// txnBytes is what a transaction's values take.
func txnBytes(t Txn) int {
	n := 0
	for _, a := range t.Apply {
		n += len(a.Value)
	}
	return n
}
