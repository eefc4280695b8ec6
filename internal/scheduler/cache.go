package scheduler

import (
	"sort"
	"strconv"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// keyOf is where task i of a job is kept: in a value of its own chunk, or cell of
// a chunk, in the pack that the job shares with others of its part, or in the
// job's header.
func keyOf(j *Job, i int) string {
	if j.Header.Inline {
		return codec.KeyJob(j.ID)
	}
	if j.Header.Pack != "" {
		return codec.PrefixPack + j.Header.Pack
	}
	k := i / j.Header.ChunkSize
	if j.Header.IsSplit(k) {
		return codec.KeyCell(j.ID, k, (i-k*j.Header.ChunkSize)/j.Header.CellSize)
	}
	return codec.PrefixTask + j.ID + "/" + strconv.Itoa(k)
}

// cell is the stretch of tasks that share a value with task i.
func (j *Job) cell(i int) (from, to int) {
	h := j.Header
	k := i / h.ChunkSize
	from, to = k*h.ChunkSize, min((k+1)*h.ChunkSize, h.TaskCount)
	if h.IsSplit(k) {
		from += (i - from) / h.CellSize * h.CellSize
		to = min(from+h.CellSize, to)
	}
	return from, to
}

// cellEnd is where the next cell begins.
func (j *Job) cellEnd(i int) int {
	_, to := j.cell(i)
	return to
}

// cells is the number of values that hold the job's tasks.
func (j *Job) cells() int {
	n := 0
	for i := 0; i < j.Header.TaskCount; i = j.cellEnd(i) {
		n++
	}
	return n
}

// Job is a job in the cache.
type Job struct {
	ID          string
	Header      *codec.JobHeader
	Tasks       []domain.Task // nil until a chunk was written: all queued
	counts      placement     // of the committed tasks
	failures    int
	pausedUntil int64 // no start before this time (steady, ns): pause after errors
	beyondAims  bool  // beyond all aims, as the last order had it
	queuedHere  int   // tasks now in queues of machines here

	phase                  phase
	submittedAt            int64 // when it was submitted (steady, ns)
	readyAt                int64 // when it could first start: all that it awaits was done
	dependenciesDoneAt     int64 // when the last job that it awaits was done, as far as known
	unfinishedDependencies int   // jobs that it awaits and that are not done
	missingPieces          int   // pieces of its list that are not here yet
	dependencyFailed       bool  // a job that it awaits is cancelled, and so is it
	// What it is urgent for: itself, or a job that needs it.
	priority        int
	deadlineAt      int64   // when it should be done for the deadline (steady, ns), if deadlineSeconds > 0
	deadlineSeconds float64 // the deadline that this comes from, s
}

// cache is the watched cache of the state service. Every change to it goes
// through apply, which keeps the indexes.
type cache struct {
	modRevisions     map[string]uint64
	revision         uint64 // every change up to here has been applied
	view             *domain.View
	members          map[string]string
	jobs             map[string]*Job
	openJobs         []*Job // not final, by order
	awaitingRelease  map[string]*Job
	shares           map[string]codec.TeamShares
	usage            map[string]map[string]domain.Resources // team -> node that booked -> in use
	cordons          map[string]domain.Cordon
	cordonPages      map[string]codec.CordonPage // home -> its page of marks
	jobsByPack       map[string]map[string]*Job  // pack -> jobs whose tasks it holds
	valueSizes       map[string]int              // bytes of packs and chunks
	oversized        map[string]bool             // values over the smaller bound
	format           int                         // that all controllers read
	announcedFormats map[string]int              // that each announced
	dependents       map[string][]*Job           // job -> those that await it and are not over
	dependencyPieces map[string]string           // pieces of lists that no header has used yet
	loadingSnapshot  bool                        // a snapshot: what is in it may be old
	occupancy        map[string]occupancy
	machineTypes     []domain.MachineType
	// by key
	machineTypePages map[string]codec.MachineTypePage
	windows          map[string]*codec.WindowRecord
	bookedOn         map[string]map[domain.TaskID]bool // by machine
	bookings         map[domain.TaskID]bookingInfo
}

// occupancy sums up what is booked on a machine, so that nothing has to walk tasks
// to know a machine's room or load.
type occupancy struct {
	used        domain.Resources
	tasks       int
	runTimeMS   int64 // expected run times, ms
	gangTasks   int   // tasks of jobs that the leader keeps machines for
	zone        string
	preemptible taskSum // of all these: tasks that may be stopped for any other (yields)
}

// taskSum is a part of what is booked on a machine.
type taskSum struct {
	used      domain.Resources
	tasks     int
	runTimeMS int64 // ms
}

// booking is what this node remembers of a booking.
type bookingInfo struct {
	seenAt    time.Duration // first seen
	runTimeMS int64         // expected run time then, ms
}

func newCache() cache {
	return cache{
		modRevisions: map[string]uint64{}, members: map[string]string{}, jobs: map[string]*Job{},
		awaitingRelease: map[string]*Job{}, shares: map[string]codec.TeamShares{}, usage: map[string]map[string]domain.Resources{},
		cordonPages: map[string]codec.CordonPage{}, jobsByPack: map[string]map[string]*Job{}, valueSizes: map[string]int{}, occupancy: map[string]occupancy{},
		cordons: map[string]domain.Cordon{}, windows: map[string]*codec.WindowRecord{},
		bookedOn: map[string]map[domain.TaskID]bool{}, bookings: map[domain.TaskID]bookingInfo{}, oversized: map[string]bool{}, announcedFormats: map[string]int{},
		dependents: map[string][]*Job{}, dependencyPieces: map[string]string{}, machineTypePages: map[string]codec.MachineTypePage{},
	}
}

// task returns the committed record of task i.
func (j *Job) task(i int) domain.Task {
	if j.Tasks == nil {
		return domain.Task{}
	}
	return j.Tasks[i]
}

// final: nothing will change any more about how the job ended.
func (j *Job) final() bool { return j.Header.State != domain.StateOpen || j.dependencyFailed }

// cancelled by its user, or for a job that it awaits.
func (j *Job) cancelled() bool { return j.Header.State == domain.StateCancelled || j.dependencyFailed }

// setTask is the one function that changes a cached task; it keeps the
// counts and indexes.
func (c *Controller) setTask(j *Job, i int, t domain.Task) {
	old := j.task(i)
	if old == t {
		return
	}
	if j.Tasks == nil {
		j.Tasks = make([]domain.Task, j.Header.TaskCount)
		j.counts.queued = j.Header.TaskCount
	}
	id := domain.TaskID{Job: j.ID, Index: i}
	j.counts.count(old.State, -1)
	j.counts.count(t.State, 1)
	if old.State == domain.Booked {
		c.heartbeats.touched[old.Machine] = true
		c.countBooking(j, id, old, -1)
		delete(c.cache.bookedOn[old.Machine], id)
		delete(c.cache.bookings, id)
		if len(c.cache.bookedOn[old.Machine]) == 0 {
			delete(c.cache.bookedOn, old.Machine)
			delete(c.cache.occupancy, old.Machine)
		}
	}
	if t.State == domain.Booked {
		c.heartbeats.touched[t.Machine] = true
		m := c.cache.bookedOn[t.Machine]
		if m == nil {
			m = map[domain.TaskID]bool{}
			c.cache.bookedOn[t.Machine] = m
		}
		m[id] = true
		run := int64(0)
		if j.Header.Spec != nil {
			run = int64(1000 * c.runTime(j.Header.Spec))
		}
		c.cache.bookings[id] = bookingInfo{c.now, run}
		delete(c.queues.tasksStaying, id)
		c.countBooking(j, id, t, 1)
	}
	j.Tasks[i] = t
	if t.State != domain.Queued || c.taskShard(j, t) != c.cfg.Node {
		c.dequeue(id)
	}
}

// countBooking counts a booking in or out of its machine and its booker's share.
func (c *Controller) countBooking(j *Job, id domain.TaskID, t domain.Task, k int64) {
	sp := j.Header.Spec
	if sp == nil {
		return
	}
	o := c.cache.occupancy[t.Machine]
	o.used = o.used.Plus(sp.Request, k)
	o.tasks += int(k)
	o.runTimeMS += k * c.cache.bookings[id].runTimeMS
	if reservesMachines(sp) {
		o.gangTasks += int(k)
	}
	if preemptible(sp) {
		o.preemptible.used = o.preemptible.used.Plus(sp.Request, k)
		o.preemptible.tasks += int(k)
		o.preemptible.runTimeMS += k * c.cache.bookings[id].runTimeMS
	}
	o.zone = t.Zone
	c.cache.occupancy[t.Machine] = o
	by := c.cache.usage[sp.Team]
	if by == nil {
		by = map[string]domain.Resources{}
		c.cache.usage[sp.Team] = by
	}
	by[t.Shard] = by[t.Shard].Plus(sp.Request, k)
}

// indexPack keeps the index of a pack's jobs.
func (c *Controller) indexPack(j *Job, in bool) {
	if j.Header.Pack == "" {
		return
	}
	p := c.cache.jobsByPack[j.Header.Pack]
	if !in {
		delete(p, j.ID)
		return
	}
	if p == nil {
		p = map[string]*Job{}
		c.cache.jobsByPack[j.Header.Pack] = p
	}
	p[j.ID] = j
}

// apply takes one key's newer value into the cache. Older or equal stamps are
// dropped: watch, own commits and snapshots may repeat each other.
func (c *Controller) apply(kv domain.KeyValue) {
	if kv.ModRevision <= c.cache.modRevisions[kv.Key] {
		return
	}
	c.cache.modRevisions[kv.Key] = kv.ModRevision
	del := kv.Value == nil
	bad := func(err error) bool {
		if err != nil {
			c.error("unreadable value", "key", kv.Key, "err", err.Error())
		}
		return err != nil
	}
	switch {
	case kv.Key == codec.KeyView:
		if del {
			return
		}
		v := &domain.View{}
		if bad(json.Unmarshal(kv.Value, v)) {
			return
		}
		c.adoptView(v)
	case kv.Key == codec.KeyMachineTypes, strings.HasPrefix(kv.Key, codec.PrefixMachineTypes):
		var f codec.MachineTypePage
		if !del && bad(json.Unmarshal(kv.Value, &f)) {
			return
		}
		c.applyMachineTypes(kv.Key, f)
		c.recordSize(kv.Key, len(kv.Value))
	case kv.Key == codec.KeyFormat, strings.HasPrefix(kv.Key, codec.PrefixFormat):
		var f codec.Format
		if del || bad(json.Unmarshal(kv.Value, &f)) {
			return
		}
		c.applyFormat(kv.Key, f)
	case strings.HasPrefix(kv.Key, codec.PrefixDependencies):
		c.applyDependencyPiece(kv.Key, kv.Value)
	case strings.HasPrefix(kv.Key, codec.PrefixMember):
		name := kv.Key[len(codec.PrefixMember):]
		if del {
			delete(c.cache.members, name)
			return
		}
		var inc string
		if bad(json.Unmarshal(kv.Value, &inc)) {
			return
		}
		c.cache.members[name] = inc
	case strings.HasPrefix(kv.Key, codec.PrefixJob):
		id := kv.Key[len(codec.PrefixJob):]
		h := &codec.JobHeader{}
		if del || bad(json.Unmarshal(kv.Value, h)) {
			return
		}
		c.applyHeader(id, h)
	case strings.HasPrefix(kv.Key, codec.PrefixPack):
		if del {
			return
		}
		var ch codec.ChunkValue
		if bad(json.Unmarshal(kv.Value, &ch)) {
			return
		}
		c.recordSize(kv.Key, len(kv.Value))
		for id, text := range ch.Texts {
			if j := c.cache.jobs[id]; j != nil && j.Header.Spec != nil && codec.PrefixPack+j.Header.Pack == kv.Key {
				if bad(ch.Tasks(text, func(i int, t domain.Task) { c.setTaskAt(j, i, t) })) {
					return
				}
			}
		}
	case strings.HasPrefix(kv.Key, codec.PrefixTask):
		f := strings.Split(kv.Key[len(codec.PrefixTask):], "/")
		j := c.cache.jobs[f[0]]
		if del {
			delete(c.cache.valueSizes, kv.Key)
			delete(c.cache.oversized, kv.Key)
			return
		}
		if j == nil || j.Header.Spec == nil {
			return
		}
		i, ok := j.firstTaskOf(f[1:])
		if !ok || keyOf(j, i) != kv.Key {
			return // cut into cells since, or cells that the header doesn't name yet
		}
		var ch codec.ChunkValue
		if bad(json.Unmarshal(kv.Value, &ch)) {
			return
		}
		c.recordSize(kv.Key, len(kv.Value))
		if bad(ch.Tasks(ch.Texts[j.ID], func(x int, t domain.Task) { c.setTaskAt(j, i+x, t) })) {
			return
		}
	case strings.HasPrefix(kv.Key, codec.PrefixTeam):
		var t codec.TeamShares
		if !del && bad(json.Unmarshal(kv.Value, &t)) {
			return
		}
		c.cache.shares[kv.Key[len(codec.PrefixTeam):]] = t
	case strings.HasPrefix(kv.Key, codec.PrefixCordons):
		var p codec.CordonPage
		if !del && bad(json.Unmarshal(kv.Value, &p)) {
			return
		}
		c.applyCordons(kv.Key[len(codec.PrefixCordons):], p)
	case strings.HasPrefix(kv.Key, codec.PrefixWindow):
		w := &codec.WindowRecord{}
		if del || bad(json.Unmarshal(kv.Value, w)) {
			return
		}
		c.cache.windows[kv.Key[len(codec.PrefixWindow):]] = w
	}
	c.planner.dirty = true
}

// firstTaskOf is the first task of the chunk or cell that the rest of a key names.
func (j *Job) firstTaskOf(f []string) (int, bool) {
	if len(f) < 1 || len(f) > 2 || j.Header.ChunkSize < 1 {
		return 0, false
	}
	k, err := strconv.Atoi(f[0])
	i := k * j.Header.ChunkSize
	if err == nil && len(f) == 2 && j.Header.CellSize > 0 {
		var s int
		s, err = strconv.Atoi(f[1])
		i += s * j.Header.CellSize
	}
	return i, err == nil && i >= 0 && i < j.Header.TaskCount
}

func (c *Controller) setTaskAt(j *Job, i int, t domain.Task) {
	if i >= 0 && i < j.Header.TaskCount {
		c.setTask(j, i, t)
	}
}

// applyCordons takes a page of marks. Marks that left it belong to machines gone
// for long.
func (c *Controller) applyCordons(home string, p codec.CordonPage) {
	old := c.cache.cordonPages[home]
	next := make(map[string]domain.Cordon, len(p.Draining)+len(p.Gone))
	for n, why := range p.Draining {
		next[n] = domain.Cordon{State: domain.CordonDrain, Reason: why}
	}
	for _, n := range p.Gone {
		next[n] = domain.Cordon{State: domain.CordonGone}
	}
	for n := range old.Draining {
		if _, ok := next[n]; !ok {
			delete(c.cache.cordons, n)
		}
	}
	for _, n := range old.Gone {
		if _, ok := next[n]; !ok {
			delete(c.cache.cordons, n)
		}
	}
	for n, m := range next {
		if c.cache.cordons[n] != m {
			c.cache.cordons[n] = m
			c.dequeueAll(n)
		}
	}
	c.cache.cordonPages[home] = p
}

// cordonPageOf is the page that a machine's mark is on, whoever owns the machine.
func (c *Controller) cordonPageOf(name string) string { return rendezvous(name, c.cfg.Nodes) }

func (c *Controller) applyHeader(id string, h *codec.JobHeader) {
	j := c.cache.jobs[id]
	fresh := j == nil
	if fresh {
		j = &Job{ID: id, Header: h, counts: placement{queued: h.TaskCount}, submittedAt: int64(c.now)}
		if c.cache.loadingSnapshot && h.AcceptedAtMS > 0 {
			j.submittedAt = min(j.submittedAt, c.steadyTime(h.AcceptedAtMS))
		}
		j.dependenciesDoneAt = j.submittedAt
		c.cache.jobs[id] = j
		c.indexPack(j, h.Spec != nil)
	}
	if h.Spec != nil {
		h.Spec.ID = id
		if j.Header.Spec != nil && !fresh {
			h.Spec.Dependencies = j.Header.Spec.Dependencies
		}
	} else if j.Header.Spec != nil && (j.counts.booked > 0) {
		// The final header drops the spec only when nothing is booked; a
		// chunk older than it may still be in the cache.
		for i := range j.Tasks {
			if j.Tasks[i].State == domain.Booked {
				c.setTask(j, i, domain.Task{State: domain.Queued})
			}
		}
	}
	if h.State == domain.StateOpen && h.Pack != j.Header.Pack {
		c.indexPack(j, false) // passed whole, or moved with its tasks
		j.Header = h
		c.indexPack(j, true)
	}
	if h.Shard != j.Header.Shard {
		for i := 0; i < h.TaskCount && j.queuedHere > 0; i++ {
			c.dequeue(domain.TaskID{Job: id, Index: i})
		}
	}
	j.Header = h
	if fresh {
		c.linkDependencies(j)
	}
	if h.InlineTasks != nil {
		if err := h.InlineTasks.Tasks(h.InlineTasks.Texts[id], func(i int, t domain.Task) { c.setTaskAt(j, i, t) }); err != nil {
			c.error("unreadable value", "key", codec.KeyJob(id), "err", err.Error())
		}
	}
	c.settlePhase(j)
	if j.final() && h.Spec == nil {
		c.indexPack(j, false)
		j.Tasks = nil
		delete(c.cache.awaitingRelease, id)
	}
}

func (c *Controller) insertOpen(j *Job) {
	o := c.cache.openJobs
	k := sort.Search(len(o), func(i int) bool {
		if o[i].Header.AcceptOrder != j.Header.AcceptOrder {
			return o[i].Header.AcceptOrder > j.Header.AcceptOrder
		}
		return o[i].ID > j.ID
	})
	o = append(o, nil)
	copy(o[k+1:], o[k:])
	o[k] = j
	c.cache.openJobs = o
}

// loadSnapshot replaces the cache by items read page by page since ledger; the
// watch from ledger on repairs what changed while reading.
func (c *Controller) loadSnapshot(ev SnapshotLoaded) {
	sort.Slice(ev.Items, func(a, b int) bool { return loadOrder(ev.Items[a].Key) < loadOrder(ev.Items[b].Key) })
	have := map[string]bool{}
	for _, kv := range ev.Items {
		have[kv.Key] = true
	}
	// Only member keys are ever deleted while they matter; chunks go with
	// the final header.
	for name := range c.cache.members {
		if !have[codec.PrefixMember+name] {
			c.apply(domain.KeyValue{Key: codec.PrefixMember + name, ModRevision: max(ev.Revision, c.cache.modRevisions[codec.PrefixMember+name])})
		}
	}
	// A chunk needs its header first, so the view comes last: whoever sees
	// view e has every change that was conditional on an earlier one.
	c.cache.loadingSnapshot = true
	for _, kv := range ev.Items {
		// The pages are read one after the other. What changed after the first
		// comes with the watch, in order: a chunk taken now without its header
		// would be dropped, and its stamp then hide it for good.
		if kv.ModRevision <= ev.Revision || !c.guard(GuardPage) {
			c.apply(kv)
		}
	}
	c.cache.loadingSnapshot = false
	c.cache.revision = max(c.cache.revision, ev.Revision)
	c.membership.CacheLoaded()
}

func loadOrder(key string) int {
	switch {
	case key == codec.KeyView:
		return 3
	case strings.HasPrefix(key, codec.PrefixTask), strings.HasPrefix(key, codec.PrefixPack):
		return 2
	case strings.HasPrefix(key, codec.PrefixMember):
		return 1
	}
	return 0
}
