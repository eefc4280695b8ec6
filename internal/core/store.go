package core

import (
	"sort"
	"strconv"
	"strings"

	json "github.com/goccy/go-json"
)

// Keys of the state service.
const (
	KeyRoot    = "b/"
	keyView    = "b/view"
	keyFlavors = "b/flavors"
	preMember  = "b/member/"
	preJob     = "b/job/"
	preTask    = "b/task/"
	preTeam    = "b/team/"
	preMach    = "b/mach/"
	preWindow  = "b/window/"
)

func keyJob(id string) string          { return preJob + id }
func keyChunk(id string, k int) string { return preTask + id + "/" + strconv.Itoa(k) }

// Job is a job in the cache.
type Job struct {
	ID     string
	H      *Header
	Tasks  []Task // nil until a chunk was written: all queued
	nQ     int
	nB     int
	nD     int
	errs   int
	hold   int64 // no start before this time (steady, ns): pause after errors
	queued int   // tasks now in queues of machines here
	seenAt int64
}

// store is the watched cache of the state service. Every change to it goes
// through apply, which keeps the indexes.
type store struct {
	stamps   map[string]uint64
	ledger   uint64 // every change up to here has been applied
	view     *View
	members  map[string]string
	jobs     map[string]*Job
	open     []*Job // not final, by order
	cleaning map[string]*Job
	teams    map[string]Team
	sums     map[string]Res // used, recomputed from the bookings
	marks    map[string]MachineMark
	flavors  []Flavor
	windows  map[string]*WindowRec
	byMach   map[string]map[TaskID]bool
}

func newStore() store {
	return store{
		stamps: map[string]uint64{}, members: map[string]string{}, jobs: map[string]*Job{},
		cleaning: map[string]*Job{}, teams: map[string]Team{}, sums: map[string]Res{},
		marks: map[string]MachineMark{}, windows: map[string]*WindowRec{},
		byMach: map[string]map[TaskID]bool{},
	}
}

// task returns the committed record of task i.
func (j *Job) task(i int) Task {
	if j.Tasks == nil {
		return Task{}
	}
	return j.Tasks[i]
}

func (j *Job) final() bool { return j.H.State != JobOpen }

// setTask is the one function that changes a cached task; it keeps the
// counts and indexes.
func (c *Core) setTask(j *Job, i int, t Task) {
	old := j.task(i)
	if old == t {
		return
	}
	if j.Tasks == nil {
		j.Tasks = make([]Task, j.H.N)
		j.nQ = j.H.N
	}
	id := TaskID{j.ID, i}
	count := func(s TaskState, k int) {
		switch s {
		case Queued:
			j.nQ += k
		case Booked:
			j.nB += k
		case Done:
			j.nD += k
		}
	}
	count(old.State, -1)
	count(t.State, 1)
	if old.State == Booked {
		delete(c.st.byMach[old.Machine], id)
		delete(c.booked, id)
		if len(c.st.byMach[old.Machine]) == 0 {
			delete(c.st.byMach, old.Machine)
		}
		c.addSum(j, -1)
	}
	if t.State == Booked {
		m := c.st.byMach[t.Machine]
		if m == nil {
			m = map[TaskID]bool{}
			c.st.byMach[t.Machine] = m
		}
		m[id] = true
		c.booked[id] = c.now
		delete(c.stayed, id)
		c.addSum(j, 1)
	}
	j.Tasks[i] = t
	if t.State != Queued || c.partOf(j, t) != c.cfg.Node {
		c.unplace(id)
	}
}

func (c *Core) addSum(j *Job, k int64) {
	if j.H.Spec != nil {
		c.st.sums[j.H.Spec.Team] = c.st.sums[j.H.Spec.Team].Plus(j.H.Spec.Need, k)
	}
}

// apply takes one key's newer value into the cache. Older or equal stamps are
// dropped: watch, own commits and snapshots may repeat each other.
func (c *Core) apply(kv KV) {
	if kv.Stamp <= c.st.stamps[kv.Key] {
		return
	}
	c.st.stamps[kv.Key] = kv.Stamp
	del := kv.Value == nil
	bad := func(err error) bool {
		if err != nil {
			c.log(0, "unreadable value", "key", kv.Key, "err", err.Error())
		}
		return err != nil
	}
	switch {
	case kv.Key == keyView:
		if del {
			return
		}
		v := &View{}
		if bad(json.Unmarshal(kv.Value, v)) {
			return
		}
		c.adoptView(v)
	case kv.Key == keyFlavors:
		var f Flavors
		if del || bad(json.Unmarshal(kv.Value, &f)) {
			return
		}
		c.st.flavors = f.F
	case strings.HasPrefix(kv.Key, preMember):
		name := kv.Key[len(preMember):]
		if del {
			delete(c.st.members, name)
			return
		}
		var inc string
		if bad(json.Unmarshal(kv.Value, &inc)) {
			return
		}
		c.st.members[name] = inc
	case strings.HasPrefix(kv.Key, preJob):
		id := kv.Key[len(preJob):]
		h := &Header{}
		if del || bad(json.Unmarshal(kv.Value, h)) {
			return
		}
		c.applyHeader(id, h)
	case strings.HasPrefix(kv.Key, preTask):
		id, ks, _ := strings.Cut(kv.Key[len(preTask):], "/")
		k, err := strconv.Atoi(ks)
		j := c.st.jobs[id]
		if err != nil || j == nil || j.H.Spec == nil {
			return
		}
		if del {
			return
		}
		var ch Chunk
		if bad(json.Unmarshal(kv.Value, &ch)) {
			return
		}
		for x, t := range ch.T {
			if i := k*j.H.Chunk + x; i < j.H.N {
				c.setTask(j, i, t)
			}
		}
	case strings.HasPrefix(kv.Key, preTeam):
		var t Team
		if !del && bad(json.Unmarshal(kv.Value, &t)) {
			return
		}
		c.st.teams[kv.Key[len(preTeam):]] = t
	case strings.HasPrefix(kv.Key, preMach):
		name := kv.Key[len(preMach):]
		if del {
			delete(c.st.marks, name)
			return
		}
		var m MachineMark
		if bad(json.Unmarshal(kv.Value, &m)) {
			return
		}
		c.st.marks[name] = m
		c.unplaceMachine(name)
	case strings.HasPrefix(kv.Key, preWindow):
		w := &WindowRec{}
		if del || bad(json.Unmarshal(kv.Value, w)) {
			return
		}
		c.st.windows[kv.Key[len(preWindow):]] = w
	}
	c.dirty = true
}

func (c *Core) applyHeader(id string, h *Header) {
	j := c.st.jobs[id]
	if j == nil {
		j = &Job{ID: id, H: h, nQ: h.N, seenAt: int64(c.now)}
		c.st.jobs[id] = j
		if h.State == JobOpen {
			c.insertOpen(j)
		}
	}
	wasOpen := j.H.State == JobOpen
	if h.Spec != nil {
		h.Spec.ID = id
	} else if j.H.Spec != nil && (j.nB > 0) {
		// The final header drops the spec only when nothing is booked; a
		// chunk older than it may still be in the cache.
		for i := range j.Tasks {
			if j.Tasks[i].State == Booked {
				c.setTask(j, i, Task{State: Queued})
			}
		}
	}
	j.H = h
	if h.State == JobOpen {
		return
	}
	if wasOpen {
		for k, o := range c.st.open {
			if o == j {
				c.st.open = append(c.st.open[:k:k], c.st.open[k+1:]...)
				break
			}
		}
		for i := 0; i < h.N && j.queued > 0; i++ {
			c.unplace(TaskID{id, i})
		}
	}
	if h.State == JobCancelled && !h.Clean {
		c.st.cleaning[id] = j
	} else {
		delete(c.st.cleaning, id)
		if h.Spec == nil {
			j.Tasks = nil
		}
	}
	c.wakeWaiters()
}

func (c *Core) insertOpen(j *Job) {
	o := c.st.open
	k := sort.Search(len(o), func(i int) bool {
		if o[i].H.Order != j.H.Order {
			return o[i].H.Order > j.H.Order
		}
		return o[i].ID > j.ID
	})
	o = append(o, nil)
	copy(o[k+1:], o[k:])
	o[k] = j
	c.st.open = o
}

// snapshot replaces the cache by items read page by page since ledger; the
// watch from ledger on repairs what changed while reading.
func (c *Core) snapshot(ev EvSnapshot) {
	sort.Slice(ev.Items, func(a, b int) bool { return rank(ev.Items[a].Key) < rank(ev.Items[b].Key) })
	have := map[string]bool{}
	for _, kv := range ev.Items {
		have[kv.Key] = true
	}
	// Only member keys are ever deleted while they matter; chunks go with
	// the final header.
	for name := range c.st.members {
		if !have[preMember+name] {
			c.apply(KV{Key: preMember + name, Stamp: max(ev.Ledger, c.st.stamps[preMember+name])})
		}
	}
	// A chunk needs its header first, so the view comes last: whoever sees
	// view e has every change that was conditional on an earlier one.
	for _, kv := range ev.Items {
		c.apply(kv)
	}
	c.st.ledger = max(c.st.ledger, ev.Ledger)
	c.synced = true
}

func rank(key string) int {
	switch {
	case key == keyView:
		return 3
	case strings.HasPrefix(key, preTask):
		return 2
	case strings.HasPrefix(key, preMember):
		return 1
	}
	return 0
}
