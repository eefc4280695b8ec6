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

// planSplits brings one value of this shard that is too large to fit again. Jobs
// leave a pack for others, the longest texts first, until the rest fits; a job
// that fits no pack, and a chunk, is split into cells. Every such transaction fits
// the smaller limits, so it goes on when they have fallen.
func (c *Controller) planSplits(d *draft) {
	defer clear(c.commits.fullValues)
	for _, key := range c.valuesToShrink() {
		if c.commits.isAvoiding(key, c.now) {
			continue
		}
		if c.shrinkValue(d, key) {
			return
		}
	}
}

// valuesToShrink are the values that are too large, then those that had no room for a booking.
// The latter are relieved the same way, but written again in the same commit, since others may
// go on changing them.
func (c *Controller) valuesToShrink() []string {
	keys := slices.Sorted(maps.Keys(c.cache.oversized))
	for _, key := range slices.Sorted(maps.Keys(c.commits.fullValues)) {
		if !c.cache.oversized[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// shrinkValue plans to make a value smaller. It tells whether the draft has anything to commit
// for it; if not, the next value may be looked at.
func (c *Controller) shrinkValue(d *draft, key string) (planned bool) {
	kind, name := codec.ParseKey(key)
	switch kind {
	case codec.KindTasks:
		id, _, _ := strings.Cut(name, "/")
		return c.shrinkChunk(d, key, c.cache.jobs[id])
	case codec.KindPack:
		if c.cache.packShard(name) != c.cfg.Node {
			return false
		}
		if c.cache.oversized[key] {
			return c.shrinkPack(d, key, name)
		}
		return c.relieveFullPack(d, key, name)
	}
	return false
}

// packShard is the shard that cares for a pack.
func (c *cache) packShard(pack string) string {
	shard, _, _ := strings.Cut(pack, "/")
	return ownership.OfShard(c.view, shard, pack)
}

// shrinkChunk splits a chunk. A value that no job keeps its tasks in any more, since it was
// split or the job is over, is forgotten.
func (c *Controller) shrinkChunk(d *draft, key string, j *Job) (planned bool) {
	inUse := false
	if j != nil && j.Header.Spec != nil {
		for i := 0; i < j.Header.TaskCount; i = j.Header.CellEnd(i) {
			if j.Header.KeyOf(j.ID, i) != key {
				continue
			}
			inUse = true
			if c.cache.shardOf(j) == c.cfg.Node && c.splitCell(d, j, i) {
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
// one that fits no other pack.
func (c *Controller) shrinkPack(d *draft, key, pack string) (planned bool) {
	if !c.isOversized(key) {
		d.rewrite(key) // without what left it
		return true
	}
	for _, j := range c.cache.longestTexts(pack) {
		if c.moveOrSplit(d, key, j, slog.LevelInfo) {
			return true
		}
	}
	return d.hasHeadersOrDrops(key)
}

// relieveFullPack moves the job with the longest text out of a pack that had no room for a
// booking, or splits it if it is alone there.
func (c *Controller) relieveFullPack(d *draft, key, pack string) (planned bool) {
	jobs := c.cache.longestTexts(pack)
	if c.cache.valueSizes[key] < c.cfg.ValueLimit/2 {
		return false // it has room again
	}
	d.rewrite(key)
	if len(jobs) == 0 {
		return d.hasHeadersOrDrops(key)
	}
	if len(c.cache.jobsByPack[pack]) > 1 {
		if c.moveOrSplit(d, key, jobs[0], slog.LevelDebug) {
			return true
		}
	} else {
		d.keys, d.conditions = map[string]bool{}, map[string]bool{} // the split says what becomes of the pack
		if c.splitCell(d, jobs[0], 0) {
			return true
		}
	}
	return d.hasHeadersOrDrops(key)
}

// longestTexts are the jobs of a pack that have tasks in it, the longest texts first.
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

// moveOrSplit moves a job out of its pack, whose key is given, or splits it if it fits no other
// one and nothing else is in the draft. It tells whether the draft takes no more.
func (c *Controller) moveOrSplit(d *draft, key string, j *Job, level slog.Level) (isFull bool) {
	pack, ok := d.target(j)
	if !ok {
		return d.changes() == 0 && c.splitCell(d, j, 0)
	}
	if !d.hasRoomToMove(j, pack) {
		return true
	}
	d.move(j, pack)
	d.onCommit = append(d.onCommit, func() { c.log(level, "value made smaller", "key", key, "job", j.ID, "to", pack) })
	return false
}

// rewrite has a pack written again, with the tasks that belong there now.
func (d *draft) rewrite(key string) {
	d.keys[key] = true
	d.addCondition(key)
}

// hasHeadersOrDrops tells whether anything is to be committed for a pack: jobs that move have
// new headers. If nothing is, the pack need not be written either.
func (d *draft) hasHeadersOrDrops(key string) bool {
	if len(d.headers) > 0 {
		return true
	}
	delete(d.keys, key)
	return false
}

// target is a pack that a job may leave its own for, with room for its text.
func (d *draft) target(j *Job) (pack string, ok bool) {
	if pack, ok := d.moved[j.ID]; ok {
		return pack, true
	}
	c := d.c
	need := c.cache.textBytes(j) + len(j.ID) + 3*tuning.TaskBytes
	if need > c.cfg.ValueLimit-2*tuning.PackSlack {
		return "", false // it would take a whole pack, and soon not fit that
	}
	shard, _, _ := strings.Cut(j.Header.Pack, "/")
	for number := 0; ; number++ {
		pack := codec.PackName(shard, number)
		if pack == j.Header.Pack || !c.mayGrow(codec.PrefixPack+pack) {
			continue
		}
		key := codec.PrefixPack + pack
		if c.cache.valueSizes[key]+d.growth[key]+need <= c.cfg.ValueLimit*tuning.PackPercent/100 {
			return pack, true
		}
	}
}

// mayGrow tells whether a value isn't too large as it is, nor lost a conflict just now.
func (c *Controller) mayGrow(key string) bool {
	return !c.cache.oversized[key] && !c.commits.isAvoiding(key, c.now)
}

// hasRoomToMove tells whether the draft may take the move of a job to a pack.
func (d *draft) hasRoomToMove(j *Job, pack string) bool {
	return d.changes()+d.changesOfMove(j, pack) <= d.c.cfg.TransactionLimit && d.hasRoomForConditions(4)
}

// changesOfMove is how many changes a move adds to the draft.
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

// move takes a job out of its pack into another one: the header names the new
// pack, which gets the job's tasks in the same commit. What the old pack still
// says of it counts for nothing from then on, so the old pack need not be written.
// The commit is conditional on it all the same, and since its revision stays as it
// is, a change of a job in a value that is too large is conditional on the job's
// header, too (openCell).
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

// cellSplit is a chunk, or the whole of a job that fits no pack, as it is kept in cells.
type cellSplit struct {
	source string          // key of the value that the tasks come from
	header codec.JobHeader // that names the cells
	cells  []domain.Put
}

// splitCell splits the cell of task i, or the whole of a job that fits no pack, into
// cells whose text fits whatever is booked in them. If they are too many for one
// commit, those that the header doesn't name yet are written first, each commit
// conditional on the value that they come from, which can't change meanwhile
// without failing the last one.
func (c *Controller) splitCell(d *draft, j *Job, i int) (planned bool) {
	if !canSplit(j, i) {
		return false
	}
	split := c.cellSplit(j, i)
	d.addCondition(split.source)
	d.addCondition(codec.KeyJob(j.ID))
	room := c.cfg.TransactionLimit - 1 // beside the header
	dropsSource := !c.cache.oversized[split.source]
	if dropsSource {
		room--
	}
	if !c.cache.draftCells(d, j, split, room) {
		return true // the rest, and the header, come with later commits
	}
	if dropsSource {
		d.dropSource(j, split.source)
	}
	d.headers[j.ID] = &split.header
	d.onCommit = append(d.onCommit, func() {
		c.info("value made smaller", "key", split.source, "job", j.ID, "cells", len(split.cells))
	})
	return true
}

// canSplit tells whether the value with task i can be split into cells: it has tasks of its own
// and isn't a cell already.
func canSplit(j *Job, i int) bool {
	isCell := j.Header.CellSize > 0 && j.Header.IsSplit(i/j.Header.ChunkSize)
	return !j.Header.Inline && !isCell && j.Tasks != nil
}

// cellSplit works out the cells of the chunk with task i and the header that names them.
func (c *Controller) cellSplit(j *Job, i int) *cellSplit {
	header := j.Header
	chunk := i / header.ChunkSize
	from, to := header.Chunk(i)
	split := &cellSplit{source: j.Header.KeyOf(j.ID, i), header: *header}
	split.header.Pack, split.header.CellSize = "", cellSize(header, c.cfg.ValueLimit)
	split.header.SplitChunks = header.WithSplit(chunk)
	if header.CellSize == 0 { // the first chunk that is split: done tasks are counted, no longer done chunks
		split.header.DoneTasks, split.header.DoneChunks = doneTasksBeside(j, from), 0
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

// cellSize is the number of tasks in a cell of a job: the same for all its chunks, and few
// enough that the longest bookings of all fit a value, of at most limit bytes.
func cellSize(header *codec.JobHeader, limit int) int {
	if header.CellSize > 0 {
		return header.CellSize
	}
	return max(1, (limit-tuning.PackSlack)/tuning.TaskBytes)
}

// draftCells puts the cells that are not written yet into the draft, as many as there is room
// for. It tells whether that was all of them.
func (c *cache) draftCells(d *draft, j *Job, split *cellSplit, room int) (complete bool) {
	complete = true
	lastChange := max(c.modRevisions[split.source], c.modRevisions[codec.KeyJob(j.ID)])
	for _, cell := range split.cells {
		// Written already if it is there since source and header last changed. The
		// commit that names the cells is conditional on those two: then no late one
		// of these can have changed a cell meanwhile, and conditions are few.
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

// dropSource takes a job's tasks out of the value that they were kept in before a split. A
// value that is not too large may be changed under the same revision by who doesn't look at the
// header: it goes, or is written without the job.
func (d *draft) dropSource(j *Job, source string) {
	if j.Header.Pack != "" {
		d.keys[source], d.finished[j.ID] = true, true
	} else {
		d.rawPuts = append(d.rawPuts, domain.Put{Key: source})
	}
}

// doneTasksBeside is the number of tasks in chunks that are all done, but for the chunk that
// begins with the given task.
func doneTasksBeside(j *Job, from int) int {
	done := 0
	for first := 0; first < j.Header.TaskCount; first += j.Header.ChunkSize {
		if first != from {
			done += doneTasks(j.Tasks[first:min(first+j.Header.ChunkSize, j.Header.TaskCount)])
		}
	}
	return done
}

// doneTasks is the number of tasks in a cell of which all are done, else 0.
func doneTasks(cell []domain.Task) int {
	for _, task := range cell {
		if task.State != domain.Done {
			return 0
		}
	}
	return len(cell)
}
