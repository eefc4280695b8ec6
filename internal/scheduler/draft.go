package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// cellRef identifies a cell of a job by its first task.
type cellRef struct {
	job  string
	from int
}

// draft collects the changes of one task commit in copies of the records. The stages of a plan
// add to it (draft_tasks.go) while there is room (hasRoomFor); transaction turns it into a
// transaction (draft_transaction.go).
type draft struct {
	c *Controller

	// What the transaction writes.

	headers  map[string]*codec.JobHeader // by job, copies
	cells    map[cellRef][]domain.Task   // copies of the records, cell by cell
	keys     map[string]bool             // keys of the packs, chunks and cells to write, which contain them
	shares   map[string]codec.TeamShares // by team, shares of its limit to write
	rawPuts  []domain.Put                // cells of a value that is being split, already encoded
	finished map[string]bool             // jobs that are over, whose tasks are removed
	leaving  map[string]string           // by job in an oversized pack: the pack to which it moves once this draft changes one of its tasks
	moved    map[string]string           // by job that this draft moves to another pack: that pack

	conditions map[string]bool // keys whose values must not change before the commit

	// What later stages of the plan need to know.

	changed        map[domain.TaskID]bool      // tasks whose copies were changed
	copiedCells    map[string][]int            // by job, first tasks of those of its cells that the draft has copied
	usageByTeam    map[string]domain.Resources // by team, change of the resources booked by this controller
	usageByMachine map[string]machineRoom      // by machine, change of what its bookings use; negative after releases

	// The budget of the transaction, of which each stage may use a part.

	foreignKey string         // key of the only value that may change, if it is another shard's; "": this shard's values
	maxChanges int            // number of changes up to which the present stage may fill the draft
	maxBytes   int            // number of bytes up to which the present stage may fill the draft
	bytes      int            // upper bound of the size of all values to write
	growth     map[string]int // by key, bytes by which the draft's changes may make the value grow

	// What to do when the draft is sent and once it is committed.

	machines map[string]bool // machines whose bookings change
	releases []attemptID     // attempts for which no start may be sent any more
	onCommit []func()        // called in this order
}

// newDraft returns a draft that is empty except for the value that excludes an in-doubt commit
// (in_doubt.go), if there is one.
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
		usageByMachine: map[string]machineRoom{},
		maxChanges:     c.maxPlanChanges(),
		maxBytes:       tuning.TxnBytes,
		growth:         map[string]int{},
		machines:       map[string]bool{},
	}
	d.excludeInDoubt()
	return d
}

// Contents of the draft.

// changes returns the number of values that the transaction will write.
func (d *draft) changes() int { return len(d.headers) + len(d.keys) + len(d.shares) + len(d.rawPuts) }

// keyOf returns the key of the value to which the draft writes task i of a job.
func (d *draft) keyOf(j *Job, i int) string {
	if pack, ok := d.moved[j.ID]; ok {
		return codec.PrefixPack + pack
	}
	return j.Header.ValueKey(j.ID, i)
}

// addCondition makes the commit fail if the key's value changes before it.
func (d *draft) addCondition(key string) { d.conditions[key] = true }

// addValue adds a pack, chunk or cell to the values to write, on the condition that it has not
// changed.
func (d *draft) addValue(key string) {
	if d.keys[key] {
		return
	}
	d.keys[key] = true
	d.bytes += d.c.maxValueBytes(key)
	d.addCondition(key)
}

// header returns the draft's copy of a job's header, for the caller to change.
func (d *draft) header(j *Job) *codec.JobHeader {
	header := d.headers[j.ID]
	if header == nil {
		clone := *j.Header
		header = &clone
		d.c.shortenHeader(header)
		d.headers[j.ID] = header
		d.addCondition(codec.KeyJob(j.ID))
		d.bytes += tuning.HeaderBytes
	}
	return header
}

// cellRef returns the reference of the cell that has task i.
func (j *Job) cellRef(i int) cellRef {
	from, _ := j.Header.CellRange(i)
	return cellRef{j.ID, from}
}

// copyOfCell returns a copy of the records of the cell that has task i.
func (j *Job) copyOfCell(i int) []domain.Task {
	from, to := j.Header.CellRange(i)
	tasks := make([]domain.Task, to-from)
	if j.Tasks != nil {
		copy(tasks, j.Tasks[from:to])
	}
	return tasks
}

// copyCell puts a copy of the records of the cell that has task i into the draft.
func (d *draft) copyCell(j *Job, i int) {
	ref := j.cellRef(i)
	if d.cells[ref] == nil {
		d.copiedCells[j.ID] = append(d.copiedCells[j.ID], ref.from)
	}
	d.cells[ref] = j.copyOfCell(i)
}

// peek returns task i with the draft's changes, without adding its cell to the draft.
func (d *draft) peek(j *Job, i int) domain.Task {
	if ref := j.cellRef(i); d.cells[ref] != nil {
		return d.cells[ref][i-ref.from]
	}
	return j.task(i)
}

// Checks whether the draft has room for a change.

// hasRoomForConditions reports whether the transaction may have n further conditions.
func (d *draft) hasRoomForConditions(n int) bool {
	return len(d.conditions)+n <= tuning.ConditionsPerChange*d.c.cfg.TransactionLimit
}

// roomRefusal is the reason why a draft does not take a change of a task.
type roomRefusal int

const (
	notRefused           roomRefusal = iota
	refusedForeignValue              // the value belongs to another shard, and the draft is not for it
	refusedOwnValue                  // the value belongs to this shard, the draft is for another shard
	refusedOversized                 // the value is too large to be written, and the job cannot leave it now
	refusedFullValue                 // the value has no room for another booking until some of its tasks end
	refusedFullDraft                 // this stage has no changes or bytes left
	refusedForConditions             // the transaction has no conditions left
)

// taskChange is a change of one task that is to be added to a draft.
type taskChange struct {
	job     *Job
	source  string // key of the value that has the task now
	key     string // key of the value that will be written
	header  bool   // the job's header is written, too
	grows   bool   // the value may get longer
	newPack string // pack to which the job moves with this change; "": none
}

// hasRoomToGrow reports whether the draft has room for a change of task i that may make its
// value longer, such as a booking or a handover.
func (d *draft) hasRoomToGrow(j *Job, i int) bool {
	key := j.Header.ValueKey(j.ID, i)
	return d.hasRoomFor(taskChange{job: j, source: key, key: key, grows: true})
}

// hasRoomToEnd reports whether the draft has room for the release or the end of task i. A task
// that is done may also need a change of the job's header.
func (d *draft) hasRoomToEnd(j *Job, i int, done bool) bool {
	key := j.Header.ValueKey(j.ID, i)
	return d.hasRoomFor(taskChange{job: j, source: key, key: key, header: done})
}

// hasRoomFor reports whether the draft has room for the change of one more task, which changes at
// most one value, one header and one team's key. If another commit has to come first, to split the
// value or to change another shard's value, it requests that commit.
func (d *draft) hasRoomFor(change taskChange) bool {
	refusal := d.checkChange(&change)
	switch refusal {
	case refusedForeignValue:
		d.c.planner.foreignValues[change.key] = true
	case refusedOversized:
		d.c.planner.dirty = true // the value has to be split first
	case refusedFullValue:
		d.c.commits.fullValues[change.key] = true
	case notRefused:
		if change.newPack != "" {
			d.leaving[change.job.ID] = change.newPack
		}
	}
	return refusal == notRefused
}

// checkChange returns the first reason against a change, or notRefused. If the job has to leave its
// pack with this change, it changes the key of the change to the job's new pack.
func (d *draft) checkChange(change *taskChange) roomRefusal {
	if refusal := d.checkShard(change); refusal != notRefused {
		return refusal
	}
	if refusal := d.checkValueSize(change); refusal != notRefused {
		return refusal
	}
	return d.checkBudget(change)
}

// checkShard refuses changes of other shards' values in a draft for this shard's values, and all
// changes but those of foreignKey in a draft for another shard's value. planCommit says why the two
// are kept apart.
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

// checkValueSize refuses a change that would make a value too large to be written. If a pack is
// already too large, the job moves to another pack with this change; a chunk that is already too
// large has to be split first.
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
		pack, ok := d.moveTarget(change.job)
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

// isUnwritable reports whether the value of a change is so large that it can't be written any more,
// or that it must not grow and the change may make it grow.
func (d *draft) isUnwritable(change *taskChange) bool {
	return (d.c.formats.limitsLowered || change.grows && d.c.cache.isFormatOn()) && d.c.mustShrinkValueInPlan(change.key)
}

// isFullValue reports whether the value has no room for one more booking.
func (d *draft) isFullValue(change *taskChange) bool {
	bound := d.c.valueLimit()
	if d.c.cache.isFormatOn() {
		bound = d.c.cfg.ValueLimit
	}
	return d.c.cache.valueSizes[change.key]+d.growth[change.key]+2*tuning.TaskBytes+len(change.job.ID) > bound-tuning.PackSlack
}

// checkBudget refuses a change for which the transaction has no changes, bytes or conditions left.
func (d *draft) checkBudget(change *taskChange) roomRefusal {
	j, changes, bytes := change.job, d.changes(), d.bytes
	if !d.keys[change.key] && !j.Header.Inline {
		changes++
		bytes += d.c.maxValueBytes(change.key)
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

// newConditions returns the number of conditions that a change adds, including one for the page of
// the machine's cordon. The caller adds one for the view. Conditions are counted exactly, since a
// transaction that may have few changes may also have few conditions.
func (d *draft) newConditions(change *taskChange) int {
	j, count := change.job, 1
	for _, key := range [4]string{change.key, change.source, codec.KeyJob(j.ID), codec.PrefixTeam + j.Header.Spec.Team} {
		if !d.conditions[key] {
			count++
		}
	}
	return count
}
