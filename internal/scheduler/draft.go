package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// cellRef names a cell of a job by its first task.
type cellRef struct {
	job  string
	from int
}

// draft gathers the changes of one task commit on copies of the records. Stages of a plan
// add to it (draft_tasks.go) as long as there is room (hasRoomFor); transaction writes it
// (draft_transaction.go).
type draft struct {
	c *Controller

	// What the transaction writes.

	headers  map[string]*codec.JobHeader // by job, copies
	cells    map[cellRef][]domain.Task   // copies of the records, cell by cell
	keys     map[string]bool             // packs, chunks and cells to write, which contain them
	shares   map[string]codec.TeamShares // by team, shares of limits to write
	rawPuts  []domain.Put                // cells of a value that is being split, already encoded
	finished map[string]bool             // jobs that are over: their tasks go
	leaving  map[string]string           // jobs that leave a pack that is too large with their next change, by job the pack they go to
	moved    map[string]string           // those that did

	conditions map[string]bool // keys that must not have changed since the cache read them

	// What the stages of the plan after this one have to know.

	changed        map[domain.TaskID]bool      // tasks whose copies were changed
	copiedCells    map[string][]int            // first tasks of the cells of each job that cells has
	usageByTeam    map[string]domain.Resources // by team, what the draft adds to this controller's bookings
	usageByMachine map[string]domain.Resources // by machine, what it adds to the bookings there; negative after releases

	// The budget of the transaction, of which each stage may use some.

	foreignKey string         // the one value of another shard that this draft may change; "": none, but its own
	maxChanges int            // changes that the present stage may fill the draft up to
	maxBytes   int            // bytes that the present stage may fill the draft up to
	bytes      int            // that the values may take
	growth     map[string]int // by key, bytes by which the value may grow

	// What to do when it is sent and once it is committed.

	machines map[string]bool // whose bookings change
	releases []attemptID     // no start of these may be sent any more
	onCommit []func()        // in order
}

// newDraft is an empty draft but for the value by which it excludes a commit in doubt.
func (c *Controller) newDraft() *draft {
	d := &draft{
		c:              c,
		headers:        map[string]*codec.JobHeader{},
		cells:          map[cellRef][]domain.Task{},
		keys:           map[string]bool{},
		shares:         map[string]codec.TeamShares{},
		finished:       map[string]bool{},
		leaving:        map[string]string{},
		moved:          map[string]string{},
		conditions:     map[string]bool{},
		changed:        map[domain.TaskID]bool{},
		copiedCells:    map[string][]int{},
		usageByTeam:    map[string]domain.Resources{},
		usageByMachine: map[string]domain.Resources{},
		maxChanges:     c.cfg.TransactionLimit,
		maxBytes:       tuning.TxnBytes,
		growth:         map[string]int{},
		machines:       map[string]bool{},
	}
	d.excludeInDoubt()
	return d
}

// --- what is in the draft ---

// changes is how many values the transaction will write.
func (d *draft) changes() int { return len(d.headers) + len(d.keys) + len(d.shares) + len(d.rawPuts) }

// keyOf is where the draft keeps task i of a job.
func (d *draft) keyOf(j *Job, i int) string {
	if pack, ok := d.moved[j.ID]; ok {
		return codec.PrefixPack + pack
	}
	return j.Header.KeyOf(j.ID, i)
}

// addCondition makes the commit fail if the key's value changes before.
func (d *draft) addCondition(key string) { d.conditions[key] = true }

// addValue has a pack, chunk or cell written, on the condition that it didn't change.
func (d *draft) addValue(key string) {
	if d.keys[key] {
		return
	}
	d.keys[key] = true
	d.bytes += d.c.valueBytes(key)
	d.addCondition(key)
}

// header is the copy of a job's header to change.
func (d *draft) header(j *Job) *codec.JobHeader {
	header := d.headers[j.ID]
	if header == nil {
		clone := *j.Header
		header = &clone
		d.c.fitHeader(header)
		d.headers[j.ID] = header
		d.addCondition(codec.KeyJob(j.ID))
		d.bytes += tuning.HeaderBytes
	}
	return header
}

// cellRef names the cell with task i.
func (j *Job) cellRef(i int) cellRef {
	from, _ := j.Header.Cell(i)
	return cellRef{j.ID, from}
}

// copyOfCell copies the records of the cell with task i.
func (j *Job) copyOfCell(i int) []domain.Task {
	from, to := j.Header.Cell(i)
	tasks := make([]domain.Task, to-from)
	if j.Tasks != nil {
		copy(tasks, j.Tasks[from:to])
	}
	return tasks
}

// copyCell takes a copy of the records of the cell with task i into the draft.
func (d *draft) copyCell(j *Job, i int) {
	ref := j.cellRef(i)
	if d.cells[ref] == nil {
		d.copiedCells[j.ID] = append(d.copiedCells[j.ID], ref.from)
	}
	d.cells[ref] = j.copyOfCell(i)
}

// peek reads task i as the draft has it, without touching its cell.
func (d *draft) peek(j *Job, i int) domain.Task {
	if ref := j.cellRef(i); d.cells[ref] != nil {
		return d.cells[ref][i-ref.from]
	}
	return j.task(i)
}

// --- its budget ---

// hasRoomForConditions tells whether the transaction may have n further conditions.
func (d *draft) hasRoomForConditions(n int) bool {
	return len(d.conditions)+n <= tuning.ConditionsPerChange*d.c.cfg.TransactionLimit
}

// roomRefusal is why a draft doesn't take a change of a task.
type roomRefusal int

const (
	notRefused           roomRefusal = iota
	refusedForeignValue              // the value is another shard's, and not the one whose turn it is
	refusedOwnValue                  // the draft is for a value of another shard alone
	refusedOversized                 // the value is too large to be written, and the job can't leave it now
	refusedFullValue                 // the value takes no more bookings until others of it end
	refusedFullDraft                 // no changes or bytes are left to this stage
	refusedForConditions             // no conditions are left
)

// taskChange is a change of one task that a draft is asked to take.
type taskChange struct {
	job     *Job
	source  string // key of the value that has the task now
	key     string // of the value that is written
	header  bool   // the job's header is written
	grows   bool   // the value may get longer
	newPack string // pack to which the job goes with this change; "": it stays
}

// hasRoomToGrow tells whether a change of task i that may make its value longer, as a
// booking or a handover does, may still go in.
func (d *draft) hasRoomToGrow(j *Job, i int) bool {
	key := j.Header.KeyOf(j.ID, i)
	return d.hasRoomFor(taskChange{job: j, source: key, key: key, grows: true})
}

// hasRoomToEnd tells whether the release or the end of task i may still go in. done: it ends
// well, which the job's header may have to say.
func (d *draft) hasRoomToEnd(j *Job, i int, done bool) bool {
	key := j.Header.KeyOf(j.ID, i)
	return d.hasRoomFor(taskChange{job: j, source: key, key: key, header: done})
}

// hasRoomFor tells whether the change of one more task may still go in: one value, one header
// and one team at most. What can't be changed for a reason that another commit takes away is
// remembered for that commit.
func (d *draft) hasRoomFor(change taskChange) bool {
	refusal := d.checkChange(&change)
	switch refusal {
	case refusedForeignValue:
		d.c.planner.foreignValues[change.key] = true
	case refusedOversized:
		d.c.planner.dirty = true // a split comes first
	case refusedFullValue:
		d.c.commits.fullValues[change.key] = true
	case notRefused:
		if change.newPack != "" {
			d.leaving[change.job.ID] = change.newPack
		}
	}
	return refusal == notRefused
}

// checkChange is the first reason that speaks against a change, which it leads to another value
// where the task's job has to leave its own.
func (d *draft) checkChange(change *taskChange) roomRefusal {
	if refusal := d.checkShard(change); refusal != notRefused {
		return refusal
	}
	if refusal := d.checkValueSize(change); refusal != notRefused {
		return refusal
	}
	return d.checkBudget(change)
}

// checkShard keeps own values and one of another shard apart (planCommit says why).
func (d *draft) checkShard(change *taskChange) roomRefusal {
	foreign := d.c.isForeign(change.job)
	switch {
	case foreign && change.key != d.foreignKey:
		return refusedForeignValue
	case !foreign && d.foreignKey != "":
		return refusedOwnValue
	}
	return notRefused
}

// checkValueSize refuses what would make a value too large to be written. A pack's job leaves
// a value that is so already with this change; a chunk is split first.
func (d *draft) checkValueSize(change *taskChange) roomRefusal {
	header := change.job.Header
	if header.Inline {
		change.header = true
		return notRefused
	}
	if d.isUnwritable(change) {
		if header.Pack == "" {
			return refusedOversized
		}
		pack, ok := d.target(change.job)
		if !ok {
			return refusedOversized
		}
		change.newPack, change.key, change.header = pack, codec.PrefixPack+pack, true
	}
	if change.grows && d.isFullValue(change) {
		return refusedFullValue
	}
	return notRefused
}

// isUnwritable tells whether the value of a change can't be written any more as it is, or
// must not grow.
func (d *draft) isUnwritable(change *taskChange) bool {
	return (d.c.formats.limitsFell || change.grows && d.c.cache.formatOn()) && d.c.isOversizedInPlan(change.key)
}

// isFullValue tells whether the value has no room for one more booking.
func (d *draft) isFullValue(change *taskChange) bool {
	bound := d.c.valueBound()
	if d.c.cache.formatOn() {
		bound = d.c.cfg.ValueLimit
	}
	return d.c.cache.valueSizes[change.key]+d.growth[change.key]+2*tuning.TaskBytes+len(change.job.ID) > bound-tuning.PackSlack
}

// checkBudget refuses what the transaction has no changes, bytes or conditions for.
func (d *draft) checkBudget(change *taskChange) roomRefusal {
	j, changes, bytes := change.job, d.changes(), d.bytes
	if !d.keys[change.key] && !j.Header.Inline {
		changes++
		bytes += d.c.valueBytes(change.key)
	}
	if change.header && d.headers[j.ID] == nil {
		changes++
		bytes += tuning.HeaderBytes
	}
	if _, ok := d.shares[j.Header.Spec.Team]; !ok {
		changes++
	}
	if changes > d.maxChanges || bytes > d.maxBytes {
		return refusedFullDraft
	}
	if !d.hasRoomForConditions(1 + d.newConditions(change)) {
		return refusedForConditions
	}
	return notRefused
}

// newConditions is how many conditions a change adds. They are few where transactions are
// small: counted as they are, the view's among them, with one for the page of the machine's
// cordon.
func (d *draft) newConditions(change *taskChange) int {
	j, count := change.job, 1
	for _, key := range [4]string{change.key, change.source, codec.KeyJob(j.ID), codec.PrefixTeam + j.Header.Spec.Team} {
		if !d.conditions[key] {
			count++
		}
	}
	return count
}
