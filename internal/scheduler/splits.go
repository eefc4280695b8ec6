package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// planSplits plans to make one value of this shard smaller that is too large or full. Jobs are
// moved from a pack to other packs, the longest texts first, until the rest fits. A chunk, or a
// job that fits no other pack, is split into cells. All these transactions are within the lower
// limits, so this works even after the limits were lowered.
func (c *Controller) planSplits(d *draft) {
	defer clear(c.commits.fullValues)
	for _, key := range c.valuesToShrink() {
		if c.commits.isKeyAvoided(key, c.now) {
			continue
		}
		if c.shrinkValue(d, key) {
			return
		}
	}
}

// valuesToShrink returns the keys of values that are too large, then of those that had no room
// for a booking. The latter are made smaller in the same way, but are also written in the same
// commit, because others may go on changing them.
func (c *Controller) valuesToShrink() []string {
	keys := slices.Sorted(maps.Keys(c.cache.oversized))
	for _, key := range slices.Sorted(maps.Keys(c.commits.fullValues)) {
		if !c.cache.oversized[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// shrinkValue plans to make a value smaller. It reports whether the draft has anything to commit
// for that; if not, the caller may try the next value.
func (c *Controller) shrinkValue(d *draft, key string) (planned bool) {
	kind, name := codec.ParseKey(key)
	switch kind {
	case codec.KindTasks:
		id, _, _ := strings.Cut(name, "/")
		return c.shrinkChunk(d, key, c.cache.jobs[id])
	case codec.KindPack:
		if c.cache.packShard(name) != c.cfg.Controller {
			return false
		}
		if c.cache.oversized[key] {
			return c.shrinkPack(d, key, name)
		}
		return c.makeRoomInPack(d, key, name)
	}
	return false
}

// packShard returns the shard that a pack belongs to.
func (c *cache) packShard(pack string) string {
	shard, _, _ := strings.Cut(pack, "/")
	return ownership.OfShard(c.view, shard, pack)
}

// shrinkChunk plans to split a chunk that is too large. A value in which no job keeps tasks any
// more, because it was split or the job is over, is no longer counted as too large.
func (c *Controller) shrinkChunk(d *draft, key string, j *Job) (planned bool) {
	inUse := false
	if j != nil && j.Header.Spec != nil {
		for i := 0; i < j.Header.TaskCount; i = j.Header.CellEnd(i) {
			if j.Header.ValueKey(j.ID, i) != key {
				continue
			}
			inUse = true
			if c.cache.shardOf(j) == c.cfg.Controller && c.splitCell(d, j, i) {
				return true
			}
		}
	}
	if !inUse {
		delete(c.cache.oversized, key)
	}
	return false
}

// shrinkPack moves jobs out of a pack that is too large, the longest texts first, or splits the
// job that fits no other pack.
func (c *Controller) shrinkPack(d *draft, key, pack string) (planned bool) {
	if !c.mustShrinkValue(key) {
		d.addRewrite(key) // without the jobs that left it
		return true
	}
	for _, j := range c.cache.longestTexts(pack) {
		if c.moveOrSplit(d, key, j, slog.LevelInfo) {
			return true
		}
	}
	return d.keepIfHeaders(key)
}

// makeRoomInPack moves the job with the longest text out of a pack that had no room for a
// booking, or splits that job if it is alone in the pack or fits no other.
func (c *Controller) makeRoomInPack(d *draft, key, pack string) (planned bool) {
	jobs := c.cache.longestTexts(pack)
	if c.cache.valueSizes[key] < c.cfg.ValueLimit/2 {
		return false // it has room again
	}
	d.addRewrite(key)
	if len(jobs) == 0 {
		return d.keepIfHeaders(key)
	}
	_, isMovable := d.moveTarget(jobs[0])
	if isMovable && len(c.cache.jobsByPack[pack]) > 1 {
		if c.moveOrSplit(d, key, jobs[0], slog.LevelDebug) {
			return true
		}
	} else {
		d.keys, d.conditions = map[string]bool{}, map[string]bool{} // splitCell adds what the pack needs
		if c.splitCell(d, jobs[0], 0) {
			return true
		}
	}
	return d.keepIfHeaders(key)
}

// longestTexts returns the jobs that have tasks in a pack, the longest texts first.
func (c *cache) longestTexts(pack string) []*Job {
	jobs := c.jobsByPack[pack]
	bytes := map[string]int{}
	for id, j := range jobs {
		if j.Tasks != nil {
			bytes[id] = c.textBytes(j)
		}
	}
	ids := slices.SortedFunc(maps.Keys(bytes), func(a, b string) int {
		if bytes[a] != bytes[b] {
			return bytes[b] - bytes[a]
		}
		return strings.Compare(a, b)
	})
	longest := make([]*Job, len(ids))
	for i, id := range ids {
		longest[i] = jobs[id]
	}
	return longest
}

// moveOrSplit moves a job out of its pack, whose key is given. If no other pack has room for the
// job and the draft is empty, it splits the job instead. It reports whether nothing more may be
// added to the draft.
func (c *Controller) moveOrSplit(d *draft, key string, j *Job, level slog.Level) (isFull bool) {
	pack, ok := d.moveTarget(j)
	if !ok {
		return d.changes() == 0 && c.splitCell(d, j, 0)
	}
	if !d.hasRoomToMove(j, pack) {
		return true
	}
	d.move(j, pack)
	d.onCommit = append(d.onCommit, func() { c.log(level, "value made smaller", "key", key, "job", j.ID, "pack", pack) })
	return false
}

// addRewrite adds a pack to the draft, to be written with the tasks that belong there now.
func (d *draft) addRewrite(key string) {
	d.keys[key] = true
	d.addCondition(key)
}

// keepIfHeaders reports whether anything is to be committed for a pack, which is so if the draft
// has new headers of jobs that move. If not, it removes the pack from the draft.
func (d *draft) keepIfHeaders(key string) bool {
	if len(d.headers) > 0 {
		return true
	}
	delete(d.keys, key)
	return false
}

// moveTarget returns a pack with room for a job's text, to which the job can be moved. It returns
// false if the text is too long for any pack.
func (d *draft) moveTarget(j *Job) (pack string, ok bool) {
	if pack, ok := d.moved[j.ID]; ok {
		return pack, true
	}
	c := d.c
	need := c.cache.textBytes(j) + len(j.ID) + 3*tuning.TaskBytes
	most := min(c.cfg.ValueLimit*tuning.PackPercent/100, c.cfg.ValueLimit-2*tuning.PackSlack)
	if need > most {
		return "", false // not even an empty pack has room for it
	}
	shard, _, _ := strings.Cut(j.Header.Pack, "/")
	for number := 0; ; number++ {
		pack := codec.PackName(shard, number)
		if pack == j.Header.Pack || !c.canGrow(codec.PrefixPack+pack) {
			continue
		}
		key := codec.PrefixPack + pack
		if c.cache.valueSizes[key]+d.growth[key]+need <= most {
			return pack, true
		}
	}
}

// canGrow reports whether a value is neither too large nor left out after a conflict.
func (c *Controller) canGrow(key string) bool {
	return !c.cache.oversized[key] && !c.commits.isKeyAvoided(key, c.now)
}

// hasRoomToMove reports whether the draft has room for moving a job to a pack.
func (d *draft) hasRoomToMove(j *Job, pack string) bool {
	return d.changes()+d.changesOfMove(j, pack) <= d.c.maxPlanChanges() && d.hasRoomForConditions(4)
}

// changesOfMove returns how many changes moving a job adds to the draft.
func (d *draft) changesOfMove(j *Job, pack string) int {
	changes := 0
	if d.headers[j.ID] == nil {
		changes++
	}
	if j.Tasks != nil && !d.keys[codec.PrefixPack+pack] {
		changes++
	}
	return changes
}

// move moves a job to another pack. One commit changes the job's header, which then names the new
// pack, and writes the job's tasks to the new pack. From then on, the old pack's entry of the job
// is ignored, so the old pack need not be written. The commit is conditional on it, though.
//
// If the old pack is not written, its revision doesn't show that the job has left it; only the
// job's header does. For this reason, a change of a job in a value that is too large is
// conditional on the job's header as well as on the value (openCell).
func (d *draft) move(j *Job, pack string) {
	if _, ok := d.moved[j.ID]; ok {
		return
	}
	d.addCondition(codec.PrefixPack + j.Header.Pack)
	d.header(j).Pack = pack
	d.moved[j.ID] = pack
	if j.Tasks == nil {
		return
	}
	key := codec.PrefixPack + pack
	d.addValue(key)
	d.growth[key] += d.c.cache.textBytes(j) + len(j.ID) + 8
	d.copyCell(j, 0) // a pack holds all tasks of a job
}

// cellSplit is the result of splitting a chunk, or all tasks of a job that fits no pack, into
// cells.
type cellSplit struct {
	source string          // key of the value that held the tasks
	header codec.JobHeader // new header, which names the cells
	cells  []domain.Put
}

// splitCell splits the chunk of task i, or all tasks of a job that fits no pack, into cells whose
// text fits a value whatever is booked in them. If there are too many cells for one commit,
// earlier commits write cells that the header doesn't name yet. Each of these commits is
// conditional on the value that the tasks come from. If that value changes meanwhile, the last
// commit fails.
func (c *Controller) splitCell(d *draft, j *Job, i int) (planned bool) {
	if !canSplit(j, i) {
		return false
	}
	split := c.newCellSplit(j, i)
	d.addCondition(split.source)
	d.addCondition(codec.KeyJob(j.ID))
	room := c.cfg.TransactionLimit - 1 // the header takes one change
	removesSource := !c.cache.oversized[split.source]
	if removesSource {
		room--
	}
	if !c.cache.addCells(d, j, split, room) {
		return true // the rest, and the header, are written by later commits
	}
	if removesSource {
		d.removeFromSource(j, split.source)
	}
	d.headers[j.ID] = &split.header
	d.onCommit = append(d.onCommit, func() {
		c.info("value made smaller", "key", split.source, "job", j.ID, "cells", len(split.cells))
	})
	return true
}

// canSplit reports whether the value with task i can be split into cells: the tasks are not in
// the header, and the value is not a cell already.
func canSplit(j *Job, i int) bool {
	isCell := j.Header.CellSize > 0 && j.Header.IsSplit(i/j.Header.ChunkSize)
	return !j.Header.Inline && !isCell && j.Tasks != nil
}

// newCellSplit returns the cells of the chunk with task i, and the header that names them.
func (c *Controller) newCellSplit(j *Job, i int) *cellSplit {
	header := j.Header
	chunk := i / header.ChunkSize
	from, to := header.ChunkRange(i)
	split := &cellSplit{source: j.Header.ValueKey(j.ID, i), header: *header}
	split.header.Pack, split.header.CellSize = "", cellSize(header, c.cfg.ValueLimit)
	split.header.SplitChunks = header.WithSplitChunk(chunk)
	if header.CellSize == 0 { // first split of the job: the header now counts done tasks instead of done chunks
		split.header.DoneTasks, split.header.DoneChunks = doneTasksOutside(j, from), 0
	}
	for cell, first := 0, from; first < to; cell, first = cell+1, first+split.header.CellSize {
		tasks := j.Tasks[first:min(first+split.header.CellSize, to)]
		split.header.DoneTasks += doneTasks(tasks)
		split.cells = append(split.cells, domain.Put{
			Key:   codec.KeyCell(j.ID, chunk, cell),
			Value: codec.Encode(c.cache.chunkOf(map[string][]domain.Task{j.ID: tasks})),
		})
	}
	return split
}

// cellSize returns the number of tasks in a cell of a job. It is the same for all chunks of the
// job, and small enough that a cell fits a value of at most limit bytes even if all its tasks
// have the longest bookings.
func cellSize(header *codec.JobHeader, limit int) int {
	if header.CellSize > 0 {
		return header.CellSize
	}
	return max(1, (limit-tuning.PackSlack)/tuning.TaskBytes)
}

// addCells adds the cells that are not written yet to the draft, as many as there is room for. It
// reports whether none is left.
func (c *cache) addCells(d *draft, j *Job, split *cellSplit, room int) (complete bool) {
	complete = true
	lastChange := max(c.modRevisions[split.source], c.modRevisions[codec.KeyJob(j.ID)])
	for _, cell := range split.cells {
		// If there are too many cells for one commit, a cell that is newer than the last change
		// of source and header was written by an earlier commit and is not written again. It
		// needs no condition of its own, which saves conditions: the commit that names the cells
		// is conditional on source and header, as are the commits that write cells, so no late
		// commit of cells can have changed a cell meanwhile.
		if len(split.cells) > room && c.modRevisions[cell.Key] > lastChange {
			continue
		}
		if len(d.rawPuts) >= room {
			complete = false
			continue
		}
		d.rawPuts = append(d.rawPuts, cell)
		d.addCondition(cell.Key)
	}
	return complete
}

// removeFromSource removes a job's tasks from the value that held them before a split. It is
// needed if that value is not too large: others may then change it, under the same revision,
// without checking the job's header. A chunk is deleted, a pack is written without the job.
func (d *draft) removeFromSource(j *Job, source string) {
	if j.Header.Pack != "" {
		d.keys[source], d.finished[j.ID] = true, true
	} else {
		d.rawPuts = append(d.rawPuts, domain.Put{Key: source})
	}
}

// doneTasksOutside returns the number of tasks in chunks whose tasks are all done, except the
// chunk that begins with the given task.
func doneTasksOutside(j *Job, from int) int {
	done := 0
	for first := 0; first < j.Header.TaskCount; first += j.Header.ChunkSize {
		if first != from {
			done += doneTasks(j.Tasks[first:min(first+j.Header.ChunkSize, j.Header.TaskCount)])
		}
	}
	return done
}

// doneTasks returns the number of tasks in a cell if all of them are done, else 0.
func doneTasks(cell []domain.Task) int {
	for _, task := range cell {
		if task.State != domain.Done {
			return 0
		}
	}
	return len(cell)
}
