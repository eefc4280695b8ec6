package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// cellRef names a cell of a job by its first task.
type cellRef struct {
	job  string
	from int
}

// draft gathers the changes of one task commit on copies of the records.
type draft struct {
	c           *Controller
	headers     map[string]*codec.JobHeader
	cells       map[cellRef][]domain.Task   // copies
	copiedCells map[string][]int            // first tasks of the cells of each job that chunks has
	keys        map[string]bool             // that hold them
	growth      map[string]int              // bytes by which packs may grow
	shares      map[string]codec.TeamShares // reservations to write
	usage       map[string]domain.Resources // what the draft adds to this node's bookings
	conditions  map[string]bool
	finished    map[string]bool // jobs that are over: their tasks go
	machines    map[string]bool
	releases    []attemptID
	foreignKey  string // the one value of another part that this draft may change; "": none, but its own
	maxChanges  int    // changes that the present stage may fill the draft up to
	bytes       int
	maxBytes    int // bytes that the present stage may fill the draft up to
	onCommit    []func()
	usedOn      map[string]domain.Resources // bookings of this draft, by machine
	changed     map[domain.TaskID]bool
	leaving     map[string]string // jobs that leave a pack that is too large with their next change, and where to
	moved       map[string]string // those that did
	rawPuts     []domain.Put      // cells of a value being cut
}

func (c *Controller) newDraft() *draft {
	d := &draft{
		c: c, maxChanges: c.cfg.TransactionLimit, maxBytes: tuning.TxnBytes, headers: map[string]*codec.JobHeader{}, cells: map[cellRef][]domain.Task{}, copiedCells: map[string][]int{}, keys: map[string]bool{}, growth: map[string]int{},
		shares: map[string]codec.TeamShares{}, usage: map[string]domain.Resources{}, conditions: map[string]bool{}, finished: map[string]bool{},
		machines: map[string]bool{}, usedOn: map[string]domain.Resources{}, changed: map[domain.TaskID]bool{}, moved: map[string]string{}, leaving: map[string]string{},
	}
	d.excludeInDoubt()
	return d
}

// inDoubtCommit is the value by which later task commits exclude one whose outcome is
// unknown.
type inDoubtCommit struct {
	key         string
	modRevision uint64
}

// markInDoubt remembers a commit without an answer: it may be carried out late, after
// newer ones of this node. Until that is settled every task commit writes one of
// its values again, under the condition that it hasn't changed; so of all these
// commits one at most is ever carried out, and no two of them can together book
// more than this node's share of a team's limit, or more than a machine holds.
func (c *Controller) markInDoubt(t domain.Transaction) {
	if c.commits.inDoubt.key != "" {
		return // this one, too, excludes the first
	}
	rank := func(key string) int {
		switch {
		case strings.HasPrefix(key, codec.PrefixPack):
			return 1
		case strings.HasPrefix(key, codec.PrefixTask), strings.HasPrefix(key, codec.PrefixJob):
			return 2
		case strings.HasPrefix(key, codec.PrefixTeam):
			return 3
		}
		return 4
	}
	had := map[string]uint64{}
	for _, k := range t.Conditions {
		if had[k.Key] = k.ModRevision; c.cache.modRevisions[k.Key] != k.ModRevision {
			return // carried out, or never to be
		}
	}
	for _, a := range t.Puts {
		if rank(a.Key) < 4 && (c.commits.inDoubt.key == "" || rank(a.Key) < rank(c.commits.inDoubt.key)) {
			c.commits.inDoubt = inDoubtCommit{a.Key, had[a.Key]}
		}
	}
}

// excludeInDoubt puts the tied value into a draft as it is.
func (d *draft) excludeInDoubt() {
	c := d.c
	key := c.commits.inDoubt.key
	if key == "" {
		return
	}
	if c.cache.modRevisions[key] != c.commits.inDoubt.modRevision {
		c.commits.inDoubt = inDoubtCommit{} // carried out, or never to be
		return
	}
	switch {
	case strings.HasPrefix(key, codec.PrefixPack):
		d.keys[key] = true
		d.bytes += c.valueBytes(key)
		d.addCondition(key)
	case strings.HasPrefix(key, codec.PrefixTeam):
		d.keepShare(key[len(codec.PrefixTeam):])
	case strings.HasPrefix(key, codec.PrefixJob):
		if j := c.cache.jobs[key[len(codec.PrefixJob):]]; j != nil {
			d.header(j)
		}
	default:
		f := strings.Split(key[len(codec.PrefixTask):], "/")
		j := c.cache.jobs[f[0]]
		if j == nil || j.Header.Spec == nil {
			return
		}
		if i, ok := j.firstTaskOf(f[1:]); ok && keyOf(j, i) == key {
			d.copyCell(j, i)
			d.keys[key] = true
			d.bytes += c.valueBytes(key)
			d.addCondition(key)
		}
	}
}

func (d *draft) changes() int { return len(d.headers) + len(d.keys) + len(d.shares) + len(d.rawPuts) }

// keyOf is where the draft keeps task i of a job.
func (d *draft) keyOf(j *Job, i int) string {
	if q, ok := d.moved[j.ID]; ok {
		return codec.PrefixPack + q
	}
	return keyOf(j, i)
}

// ref of the cell with task i.
func (j *Job) ref(i int) cellRef {
	from, _ := j.cell(i)
	return cellRef{j.ID, from}
}

// copyOfCell copies the records of the cell with task i.
func (j *Job) copyOfCell(i int) []domain.Task {
	from, to := j.cell(i)
	ch := make([]domain.Task, to-from)
	if j.Tasks != nil {
		copy(ch, j.Tasks[from:to])
	}
	return ch
}

// copyCell takes a copy of the records of the cell with task i into the draft.
func (d *draft) copyCell(j *Job, i int) []domain.Task {
	r := j.ref(i)
	if d.cells[r] == nil {
		d.copiedCells[j.ID] = append(d.copiedCells[j.ID], r.from)
	}
	d.cells[r] = j.copyOfCell(i)
	return d.cells[r]
}

// hasRoomFor tells whether the change of one more task of j may still go in: one
// chunk, one header and one team at most. grows: the value may get longer.
func (d *draft) hasRoomFor(j *Job, i int, header, grows bool) bool {
	n, b := d.changes(), d.bytes
	key := keyOf(j, i)
	if foreign := d.c.isForeign(j); foreign && key != d.foreignKey {
		d.c.planner.foreignValues[key] = true
		return false
	} else if !foreign && d.foreignKey != "" {
		return false
	}
	leave := ""
	if (d.c.formats.limitsFell || grows && d.c.formatOn()) && !j.Header.Inline && d.c.isOversizedInPlan(key) {
		// The value can't be written any more, or must not grow. A pack's job leaves
		// it with this change; a chunk is cut first.
		ok := false
		if j.Header.Pack != "" {
			leave, ok = d.target(j)
		}
		if !ok {
			d.c.planner.dirty = true
			return false
		}
		key, header = codec.PrefixPack+leave, true
	}
	header = header || j.Header.Inline
	if !d.keys[key] && !j.Header.Inline {
		n++
		b += d.c.valueBytes(key)
	}
	if header && d.headers[j.ID] == nil {
		n++
		b += tuning.HeaderBytes
	}
	if _, ok := d.shares[j.Header.Spec.Team]; !ok {
		n++
	}
	// A value that is full takes no more bookings until others of it end.
	most := d.c.valueBound()
	if d.c.formatOn() {
		most = d.c.cfg.ValueLimit
	}
	if grows && !j.Header.Inline && d.c.cache.valueSizes[key]+d.growth[key]+2*tuning.TaskBytes+len(j.ID) > most-tuning.PackSlack {
		d.c.commits.fullValues[key] = true
		return false
	}
	// Conditions are few where transactions are small: counted as they are, the
	// view's among them, with one for the page of the machine's mark.
	more := 1
	for _, k := range [4]string{key, keyOf(j, i), codec.KeyJob(j.ID), codec.PrefixTeam + j.Header.Spec.Team} {
		if !d.conditions[k] {
			more++
		}
	}
	if n > d.maxChanges || b > d.maxBytes || 1+len(d.conditions)+more > 4*d.c.cfg.TransactionLimit {
		return false
	}
	if leave != "" {
		d.leaving[j.ID] = leave
	}
	return true
}

// bookBytes is what a booking is planned to add to its value: what it mostly takes,
// or, when a draft came out too large by that, the most that it may take.
func (c *Controller) bookBytes() int {
	if c.formatOn() && !c.planner.reserveLongestTexts {
		return tuning.TaskBytesShort
	}
	return tuning.TaskBytes
}

// tooLarge tells whether a transaction has a value that outgrew its bound in this
// draft: estimates are for what is usual.
func (c *Controller) tooLarge(t domain.Transaction) bool {
	for _, a := range t.Puts {
		if len(a.Value) > c.cfg.ValueLimit && !c.cache.oversized[a.Key] {
			return true
		}
	}
	return false
}

// isOversizedInPlan asks stuck once a plan.
func (c *Controller) isOversizedInPlan(key string) bool {
	if !c.cache.oversized[key] {
		return false
	}
	x, ok := c.commits.oversizedInPlan[key]
	if !ok {
		x = c.isOversized(key)
		c.commits.oversizedInPlan[key] = x
	}
	return x
}

// isAvoided tells whether a task's chunk lost a conflict just now.
func (c *Controller) isAvoided(j *Job, i int) bool {
	if len(c.commits.avoidUntil) == 0 {
		return false
	}
	k := keyOf(j, i)
	if till, ok := c.commits.avoidUntil[k]; ok && c.now < till {
		c.planner.dirty = true
		return true
	}
	delete(c.commits.avoidUntil, k)
	return false
}

// valueBytes is what a chunk's key may take in a transaction.
func (c *Controller) valueBytes(key string) int {
	return min(c.valueBound(), c.cache.valueSizes[key]+tuning.ValueGrow)
}

func (d *draft) addCondition(key string) { d.conditions[key] = true }

// task returns the copy of task i to change.
func (d *draft) task(j *Job, i int) *domain.Task {
	r := j.ref(i)
	ch := d.cells[r]
	if ch == nil {
		key := keyOf(j, i)
		if q, ok := d.leaving[j.ID]; ok {
			d.move(j, q)
		}
		if ch = d.cells[r]; ch == nil {
			ch = d.copyCell(j, i)
		}
		// While a value is too large, jobs may leave it without a change of its
		// stamp (move, cut): only their headers show it.
		if d.c.cache.oversized[key] {
			d.addCondition(codec.KeyJob(j.ID))
		}
		key = d.keyOf(j, i)
		if j.Header.Inline {
			d.header(j)
		} else if !d.keys[key] {
			d.keys[key] = true
			d.bytes += d.c.valueBytes(key)
			d.addCondition(key)
		}
		if j.Tasks == nil {
			d.growth[key] += tuning.TaskBytes + len(j.ID)
		}
	}
	d.changed[domain.TaskID{Job: j.ID, Index: i}] = true
	return &ch[i-r.from]
}

// release unbooks a task proven off its machine. The attempt is doomed: no
// run of it may go out any more, since this transaction may land late.
func (d *draft) release(j *Job, i int, done bool) {
	t := d.task(j, i)
	d.releases = append(d.releases, attemptID{domain.TaskID{Job: j.ID, Index: i}, t.Attempt})
	d.machines[t.Machine] = true
	d.usedOn[t.Machine] = d.usedOn[t.Machine].Plus(j.Header.Spec.Request, -1) // the same commit may book there again
	if t.Shard == d.c.cfg.Node {
		d.usage[j.Header.Spec.Team] = d.usage[j.Header.Spec.Team].Plus(j.Header.Spec.Request, -1)
		d.settleShare(j.Header.Spec.Team, j.Header.Spec.Request)
	}
	t.Machine, t.AgentEpoch, t.Zone = "", 0, ""
	t.State, t.Shard = domain.Queued, ""
	d.growth[d.keyOf(j, i)] += tuning.ReleaseBytes
	if !done {
		return
	}
	d.finish(j, i)
	if j.Header.Spec.Shape == domain.Gang {
		// They complete together: a mate whose own report was lost is done too.
		for k := 0; k < j.Header.TaskCount; k++ {
			if o := d.peek(j, k); o.State == domain.Queued {
				d.finish(j, k)
			}
		}
	}
}

// peek reads task i as the draft has it, without touching its chunk.
func (d *draft) peek(j *Job, i int) domain.Task {
	if r := j.ref(i); d.cells[r] != nil {
		return d.cells[r][i-r.from]
	}
	return j.task(i)
}

// finish marks a task done. The last task of a chunk moves the header; the
// last chunk ends the job.
func (d *draft) finish(j *Job, i int) {
	t := d.task(j, i)
	*t = domain.Task{State: domain.Done}
	cell := d.cells[j.ref(i)]
	for _, o := range cell {
		if o.State != domain.Done {
			return
		}
	}
	h := d.header(j)
	over := false
	if h.CellSize > 0 {
		h.DoneTasks += len(cell)
		over = h.DoneTasks >= h.TaskCount
	} else {
		h.DoneChunks++
		over = h.DoneChunks*h.ChunkSize >= h.TaskCount
	}
	if over {
		h.State, h.Spec, h.SplitChunks, h.CellSize = domain.StateDone, nil, nil, 0
		if d.c.formatOn() {
			h.DoneAtMS = d.c.wallMS()
		}
		d.finished[j.ID] = true // the header says all there is to know
	}
}

// gangDone tells whether one of a gang's tasks is done, and hence all are.
func (c *Controller) gangDone(j *Job, d *draft) bool {
	return j.Header.Spec.Shape == domain.Gang && c.placementOf(j, d).done > 0
}

func (d *draft) header(j *Job) *codec.JobHeader {
	h := d.headers[j.ID]
	if h == nil {
		cp := *j.Header
		h = &cp
		d.c.fitHeader(h)
		d.headers[j.ID] = h
		d.addCondition(codec.KeyJob(j.ID))
		d.bytes += tuning.HeaderBytes
	}
	return h
}

// transaction writes the draft as one transaction, conditional on all that it read.
func (d *draft) transaction() domain.Transaction {
	c := d.c
	t := domain.Transaction{Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}}}
	for _, k := range slices.Sorted(maps.Keys(d.conditions)) {
		t.Conditions = append(t.Conditions, domain.Condition{Key: k, ModRevision: c.cache.modRevisions[k]})
	}
	// Headers first: a cache takes a chunk only below a header.
	for _, id := range slices.Sorted(maps.Keys(d.headers)) {
		h := d.headers[id]
		if h.Inline {
			h.InlineTasks = nil
			if j := c.cache.jobs[id]; !d.finished[id] && h.Spec != nil {
				ts := d.cells[cellRef{id, 0}]
				if ts == nil {
					ts = j.Tasks
				}
				if ts != nil {
					h.InlineTasks = c.chunkOf(map[string][]domain.Task{id: ts})
				}
			}
		}
		t.Puts = append(t.Puts, domain.Put{Key: codec.KeyJob(id), Value: codec.Encode(h)})
	}
	vals := map[string]map[string][]domain.Task{}
	for key := range d.keys {
		vals[key] = map[string][]domain.Task{}
		if !strings.HasPrefix(key, codec.PrefixPack) {
			continue
		}
		jobs := c.cache.jobsByPack[key[len(codec.PrefixPack):]]
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			if j := jobs[id]; j.Tasks != nil && !d.finished[id] && d.cells[cellRef{id, 0}] == nil && d.moved[id] == "" {
				vals[key][id] = j.Tasks
			}
		}
	}
	refs := slices.SortedFunc(maps.Keys(d.cells), func(a, b cellRef) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.from, b.from))
	})
	for _, r := range refs {
		if j := c.cache.jobs[r.job]; !d.finished[r.job] && !j.Header.Inline {
			vals[d.keyOf(j, r.from)][r.job] = d.cells[r]
		}
	}
	t.Puts = append(t.Puts, d.rawPuts...)
	for _, key := range slices.Sorted(maps.Keys(d.keys)) {
		switch {
		case len(vals[key]) > 0 || strings.HasPrefix(key, codec.PrefixPack):
			t.Puts = append(t.Puts, domain.Put{Key: key, Value: codec.Encode(c.chunkOf(vals[key]))})
		case c.cache.modRevisions[key] != 0:
			t.Puts = append(t.Puts, domain.Put{Key: key})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(d.shares)) {
		t.Puts = append(t.Puts, domain.Put{Key: codec.PrefixTeam + n, Value: codec.Encode(d.shares[n])})
	}
	return t
}

// book puts task i of j on a machine within the draft.
func (d *draft) book(j *Job, i int, m, zone string, shift, attempt uint64) {
	if !d.c.mayStart(j) {
		panic("booking " + j.ID + " before what it awaits") // no list of open jobs has it
	}
	t := d.task(j, i)
	d.addCondition(codec.KeyJob(j.ID)) // it may have been cancelled or passed on
	*t = domain.Task{State: domain.Booked, Attempt: attempt, Machine: m, AgentEpoch: shift, Zone: zone, Shard: d.c.cfg.Node}
	if d.c.guard(GuardGone) {
		d.addCondition(codec.PrefixCordons + d.c.cordonPageOf(m))
	}
	d.machines[m] = true
	d.growth[d.keyOf(j, i)] += d.c.bookBytes()
	d.usage[j.Header.Spec.Team] = d.usage[j.Header.Spec.Team].Plus(j.Header.Spec.Request, 1)
	d.settleShare(j.Header.Spec.Team, j.Header.Spec.Request)
	d.usedOn[m] = d.usedOn[m].Plus(j.Header.Spec.Request, 1)
}

// recordBooking counts and logs a booking once it is committed.
func (d *draft) recordBooking(id domain.TaskID, machine, zone string, attempt uint64, pass PlanningPass) {
	d.onCommit = append(d.onCommit, func() {
		d.c.Work.Bookings[pass]++
		d.c.debug("task booked", "task", id, "machine", machine, "zone", zone, "attempt", attempt, "pass", pass)
	})
}

// transactionBytes is what a transaction's values take.
func transactionBytes(t domain.Transaction) int {
	n := 0
	for _, a := range t.Puts {
		n += len(a.Value)
	}
	return n
}
