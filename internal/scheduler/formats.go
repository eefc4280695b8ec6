package scheduler

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// formats is how far this controller is with announcing its format, and whether the
// state service's limits are known to have fallen.
type formats struct {
	announcing         bool
	nextAnnouncementAt time.Duration
	limitsFell         bool // a refusal showed that values must be smaller now
}

// formatOn tells whether all controllers read and keep what this version writes.
func (c *Controller) formatOn() bool { return c.cache.format >= codec.CurrentFormat }

// announceFormat announces this controller's format, and as the leader turns it on.
func (c *Controller) announceFormat() {
	if c.formatOn() || c.formats.announcing || c.now < c.formats.nextAnnouncementAt || !c.mayAct() || c.cfg.PreviousFormat {
		return
	}
	// Announced only behind a view that has this incarnation: whatever an earlier
	// process of this controller sent was conditional on an older view, so nothing
	// of it can be carried out any more once the format is on.
	key, v := codec.PrefixFormat+c.cfg.Node, codec.Format{Version: codec.CurrentFormat, Incarnation: c.membership.Incarnation()}
	if c.cache.announcedFormats[c.cfg.Node] >= codec.CurrentFormat {
		if !c.isLeader() {
			return
		}
		for _, n := range c.cfg.Nodes {
			if c.cache.announcedFormats[n] < codec.CurrentFormat {
				return
			}
		}
		key, v = codec.KeyFormat, codec.Format{Version: codec.CurrentFormat}
	}
	c.formats.announcing = true
	c.commit(LaneView, domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}, {Key: key, ModRevision: c.cache.modRevisions[key]}},
		Puts:       []domain.Put{{Key: key, Value: codec.Encode(v)}},
	}, func(domain.CommitResult, CommitAnswered) {
		c.formats.announcing = false
		c.formats.nextAnnouncementAt = c.now + tuning.FormatRetry
	})
}

// applyFormat takes the value of format or of one controller's announcement.
func (c *Controller) applyFormat(key string, f codec.Format) {
	if key != codec.KeyFormat {
		c.cache.announcedFormats[strings.TrimPrefix(key, codec.PrefixFormat)] = f.Version
		return
	}
	if !c.formatOn() && f.Version >= codec.CurrentFormat {
		c.info("format on", "version", f.Version)
	}
	c.cache.format = max(c.cache.format, f.Version)
}

// wallMS is the time of day now, in ms. It dates jobs for orders and ages after a
// restart, never for anything that a rule depends on.
func (c *Controller) wallMS() int64 { return c.cfg.WallClockMS + c.now.Milliseconds() }

// steadyTime turns a time of day into this node's steady time.
func (c *Controller) steadyTime(ms int64) int64 {
	return int64(time.Duration(ms-c.cfg.WallClockMS) * time.Millisecond)
}

// --- values that no longer fit ---

// The state service may lower its limits without notice. All that this version
// writes fits the smaller limits from its first moment, but values written before,
// or by the version before, may be larger. These stay readable; a rewrite of one is
// refused from then on.

// valueBound is how large a value may be written. Until a refusal shows that the
// limit fell, what is there already may be written at its size of today: jobs of
// the version before could not go on otherwise.
func (c *Controller) valueBound() int {
	if c.formats.limitsFell {
		return c.cfg.ValueLimit
	}
	return max(c.cfg.ValueLimit, c.cfg.ValueLimitNow)
}

// recordRefusal learns from a refused transaction that the limits fell.
func (c *Controller) recordRefusal(t domain.Transaction) {
	for _, a := range t.Puts {
		if len(a.Value) > c.cfg.ValueLimit {
			c.Work.TooLarge++
			c.info("value refused as too large", "key", a.Key, "bytes", len(a.Value), "count", c.Work.TooLarge)
			if !c.formats.limitsFell {
				c.formats.limitsFell = true
				c.info("the state service's limits fell", "value_bytes", c.cfg.ValueLimit)
			}
		}
	}
}

// recordSize keeps the set of values that are larger than they may be soon.
func (c *Controller) recordSize(key string, n int) {
	c.cache.valueSizes[key] = n
	if n > c.cfg.ValueLimit {
		c.cache.oversized[key] = true
	} else {
		delete(c.cache.oversized, key)
	}
}

// chunkOf makes the value of some jobs' tasks, in the form that all controllers read.
func (c *Controller) chunkOf(tasksByJob map[string][]domain.Task) *codec.ChunkValue {
	return codec.NewChunkValue(tasksByJob, c.formatOn())
}

// textBytes is what a job's tasks take in a value.
func (c *Controller) textBytes(j *Job) int {
	if j.Tasks == nil {
		return 0
	}
	return len(c.chunkOf(map[string][]domain.Task{j.ID: j.Tasks}).Texts[j.ID])
}

// isOversized tells whether a value can't be written again as it is: it is too large,
// and would be without the texts of jobs that moved or ended, too.
func (c *Controller) isOversized(key string) bool {
	if !c.cache.oversized[key] || !c.formatOn() && !c.formats.limitsFell {
		return false
	}
	if !strings.HasPrefix(key, codec.PrefixPack) {
		return true
	}
	live := map[string][]domain.Task{}
	for id, j := range c.cache.jobsByPack[key[len(codec.PrefixPack):]] {
		if j.Tasks != nil {
			live[id] = j.Tasks
		}
	}
	return len(codec.Encode(c.chunkOf(live))) > c.cfg.ValueLimit-tuning.PackSlack
}

// packShard is the part that cares for a pack.
func (c *Controller) packShard(pack string) string {
	n, _, _ := strings.Cut(pack, "/")
	if slices.Contains(c.cache.view.Serving, n) {
		return n
	}
	return rendezvous(pack, c.cache.view.Serving)
}

// planSplits brings one value of this part that is too large to fit again. Jobs
// leave a pack for others, the longest texts first, until the rest fits; a job
// that fits no pack, and a chunk, is cut into cells. Every such transaction fits
// the smaller limits, so it goes on when they have fallen.
func (c *Controller) planSplits(d *draft) {
	// A value that had no room for a booking is relieved the same way, but written
	// again in the same commit, since others may go on changing it.
	keys := slices.Sorted(maps.Keys(c.cache.oversized))
	for _, key := range slices.Sorted(maps.Keys(c.commits.fullValues)) {
		if !c.cache.oversized[key] {
			keys = append(keys, key)
		}
	}
	defer clear(c.commits.fullValues)
	for _, key := range keys {
		full := !c.cache.oversized[key]
		if till, ok := c.commits.avoidUntil[key]; ok && c.now < till {
			continue
		}
		if strings.HasPrefix(key, codec.PrefixTask) {
			id, _, _ := strings.Cut(key[len(codec.PrefixTask):], "/")
			j := c.cache.jobs[id]
			cut := true // or over
			if j != nil && j.Header.Spec != nil {
				for i := 0; i < j.Header.TaskCount; i = j.cellEnd(i) {
					cut = cut && keyOf(j, i) != key
					if keyOf(j, i) == key && c.shardOf(j) == c.cfg.Node && c.splitCell(d, j, i) {
						return
					}
				}
			}
			if cut {
				delete(c.cache.oversized, key)
			}
			continue
		}
		if !strings.HasPrefix(key, codec.PrefixPack) || c.packShard(key[len(codec.PrefixPack):]) != c.cfg.Node {
			continue
		}
		jobs := c.cache.jobsByPack[key[len(codec.PrefixPack):]]
		if !full && !c.isOversized(key) {
			d.keys[key] = true // written again without what left it
			d.addCondition(key)
			return
		}
		text := map[string]int{}
		for id, j := range jobs {
			if j.Tasks != nil {
				text[id] = c.textBytes(j)
			}
		}
		ids := slices.SortedFunc(maps.Keys(text), func(a, b string) int {
			if text[a] != text[b] {
				return text[b] - text[a]
			}
			return strings.Compare(a, b)
		})
		if full {
			if len(ids) > 1 {
				ids = ids[:1]
			}
			if c.cache.valueSizes[key] < c.cfg.ValueLimit/2 {
				continue // it has room again
			}
			d.keys[key] = true
			d.addCondition(key)
		}
		for _, id := range ids {
			j := jobs[id]
			if full && len(jobs) < 2 {
				if d.keys, d.conditions = map[string]bool{}, map[string]bool{}; c.splitCell(d, j, 0) {
					return
				}
				continue
			}
			if q, ok := d.target(j); ok {
				if d.changes()+d.moveOps(j, q) > c.cfg.TransactionLimit || len(d.conditions)+4 > 4*c.cfg.TransactionLimit {
					return
				}
				d.move(j, q)
				level := slog.LevelInfo
				if full {
					level = slog.LevelDebug
				}
				d.onCommit = append(d.onCommit, func() { c.log(level, "value made smaller", "key", key, "job", id, "to", q) })
			} else if d.changes() == 0 && c.splitCell(d, j, 0) {
				return
			}
		}
		if len(d.headers) > 0 {
			return
		}
		delete(d.keys, key)
	}
}

// target is a pack that a job may leave its own for, with room for its text.
func (d *draft) target(j *Job) (string, bool) {
	if q, ok := d.moved[j.ID]; ok {
		return q, true
	}
	c := d.c
	need := c.textBytes(j) + len(j.ID) + 3*tuning.TaskBytes
	if need > c.cfg.ValueLimit-2*tuning.PackSlack {
		return "", false // it would take a whole pack, and soon not fit that
	}
	part, _, _ := strings.Cut(j.Header.Pack, "/")
	for k := 0; ; k++ {
		q := codec.PackName(part, k)
		key := codec.PrefixPack + q
		if till, ok := c.commits.avoidUntil[key]; q == j.Header.Pack || c.cache.oversized[key] || ok && c.now < till {
			continue
		}
		if c.cache.valueSizes[key]+d.growth[key]+need <= c.cfg.ValueLimit*tuning.PackPercent/100 {
			return q, true
		}
	}
}

// moveOps is how many changes a move adds to the draft.
func (d *draft) moveOps(j *Job, q string) int {
	n := 0
	if d.headers[j.ID] == nil {
		n++
	}
	if j.Tasks != nil && !d.keys[codec.PrefixPack+q] {
		n++
	}
	return n
}

// move takes a job out of its pack into another one: the header names the new
// pack, which gets the job's tasks in the same commit. What the old pack still
// says of it counts for nothing from then on, so the old pack need not be written.
// The commit is conditional on it all the same, and since its stamp stays as it
// is, a change of a job in a value that is too large is conditional on the job's
// header, too (task).
func (d *draft) move(j *Job, q string) {
	if _, ok := d.moved[j.ID]; ok {
		return
	}
	d.addCondition(codec.PrefixPack + j.Header.Pack)
	d.header(j).Pack = q
	d.moved[j.ID] = q
	if j.Tasks == nil {
		return
	}
	key := codec.PrefixPack + q
	if !d.keys[key] {
		d.keys[key] = true
		d.bytes += d.c.valueBytes(key)
		d.addCondition(key)
	}
	d.growth[key] += d.c.textBytes(j) + len(j.ID) + 8
	d.copyCell(j, 0) // a pack holds all tasks of a job
}

// splitCell splits the cell of task i, or the whole of a job that fits no pack, into
// cells whose text fits whatever is booked in them. If they are too many for one
// commit, those that the header doesn't name yet are written first, each commit
// conditional on the value that they come from, which can't change meanwhile
// without failing the last one.
func (c *Controller) splitCell(d *draft, j *Job, i int) bool {
	h := j.Header
	if h.Inline || h.CellSize > 0 && h.IsSplit(i/h.ChunkSize) || j.Tasks == nil {
		return false
	}
	sub := h.CellSize
	if sub == 0 {
		sub = max(1, (c.cfg.ValueLimit-tuning.PackSlack)/tuning.TaskBytes)
	}
	k := i / h.ChunkSize
	from, to := k*h.ChunkSize, min((k+1)*h.ChunkSize, h.TaskCount)
	source := keyOf(j, i)
	n := (to - from + sub - 1) / sub
	next := *h
	next.Pack, next.CellSize = "", sub
	next.SplitChunks = slices.Clone(h.SplitChunks)
	for len(next.SplitChunks) <= k/8 {
		next.SplitChunks = append(next.SplitChunks, 0)
	}
	next.SplitChunks[k/8] |= 1 << (k % 8)
	if h.CellSize == 0 {
		next.DoneTasks, next.DoneChunks = 0, 0
		for x := 0; x < h.TaskCount; x += h.ChunkSize {
			if x != from {
				next.DoneTasks += doneTasks(j.Tasks[x:min(x+h.ChunkSize, h.TaskCount)])
			}
		}
	}
	type cell struct {
		key string
		v   []byte
	}
	var cells []cell
	for s := 0; s < n; s++ {
		a, b := from+s*sub, min(from+(s+1)*sub, to)
		next.DoneTasks += doneTasks(j.Tasks[a:b])
		cells = append(cells, cell{codec.KeyCell(j.ID, k, s), codec.Encode(c.chunkOf(map[string][]domain.Task{j.ID: j.Tasks[a:b]}))})
	}
	d.addCondition(source)
	d.addCondition(codec.KeyJob(j.ID))
	// A value that is not too large may be changed under the same stamp by who
	// doesn't look at the header: it goes, or is written without the job.
	room, last := c.cfg.TransactionLimit-1, func() {}
	if !c.cache.oversized[source] {
		room--
		if h.Pack != "" {
			last = func() { d.keys[source], d.finished[j.ID] = true, true }
		} else {
			last = func() { d.rawPuts = append(d.rawPuts, domain.Put{Key: source}) }
		}
	}
	left := 0
	for _, x := range cells {
		// Written already if it is there since source and header last changed. The
		// commit that names the cells is conditional on those two: then no late one
		// of these can have changed a cell meanwhile, and conditions are few.
		if n > room && c.cache.modRevisions[x.key] > max(c.cache.modRevisions[source], c.cache.modRevisions[codec.KeyJob(j.ID)]) {
			continue
		}
		if len(d.rawPuts) < room {
			d.rawPuts = append(d.rawPuts, domain.Put{Key: x.key, Value: x.v})
			d.addCondition(x.key)
		} else {
			left++
		}
	}
	if left == 0 {
		last()
		d.headers[j.ID] = &next
		id := j.ID
		d.onCommit = append(d.onCommit, func() { c.info("value made smaller", "key", source, "job", id, "cells", n) })
	}
	return true
}

// doneTasks is the number of tasks in a cell of which all are done, else 0.
func doneTasks(ts []domain.Task) int {
	for _, t := range ts {
		if t.State != domain.Done {
			return 0
		}
	}
	return len(ts)
}

// encodeWindow leaves out loads evenly until a window's record fits its value: the
// critic's features hardly change with a sample.
func (c *Controller) encodeWindow(rec codec.WindowRecord) []byte {
	b := codec.Encode(rec)
	for len(b) > c.cfg.ValueLimit && len(rec.Loads) > 0 {
		step := math.Ceil(float64(len(b)) / float64(c.cfg.ValueLimit))
		var l []float64
		for i := 0; i < len(rec.Loads); i += max(2, int(step)) {
			l = append(l, rec.Loads[i])
		}
		rec.Loads = l
		b = codec.Encode(rec)
	}
	return b
}

// fitHeader shortens what users chose freely in a header of the version before, which
// had no bound for it: the class and the image serve as names here, and of the
// types only those that exist count.
func (c *Controller) fitHeader(h *codec.JobHeader) {
	s := h.Spec
	if s == nil || !c.formatOn() && !c.formats.limitsFell || len(s.MachineTypes) < 4 && len(s.Class) <= tuning.NameBytes && len(s.Image) <= tuning.NameBytes {
		return
	}
	cp := *s
	cp.MachineTypes = c.knownTypes(s.MachineTypes)
	cp.Class, cp.Image = s.Class[:min(len(s.Class), tuning.NameBytes)], s.Image[:min(len(s.Image), tuning.NameBytes)]
	h.Spec = &cp
}

// knownTypes are those of a list that exist; of none of them, one that doesn't,
// since an empty list would allow all.
func (c *Controller) knownTypes(l []string) []string {
	if len(l) < 4 || len(c.cache.machineTypes) == 0 {
		return l
	}
	var keep []string
	for _, t := range l {
		if c.machineType(t) != nil && !slices.Contains(keep, t) {
			keep = append(keep, t)
		}
	}
	if keep == nil {
		keep = l[:1]
	}
	return keep
}
