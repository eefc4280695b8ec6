package core

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"
)

// Machine is what this node knows of a machine. Only the owner acts on it.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool

	heardOnce bool
	shift     uint64 // of the newest report
	tally     uint64
	baton     uint64
	tasks     map[TaskID]Seen
	heard     time.Duration // when last heard (or the end of a grace period)
	spoke     time.Duration // when a report last came here as the owner; < 0: not yet
	recallAt  time.Duration // when the cloud takes it; < 0: no notice
	deadShift uint64        // sessions up to it are given up: never answered again
	fresh     bool          // the newest report came by check-in

	ownEpoch uint64        // epoch at which this incarnation became owner
	ownSince time.Duration // when it saw that
	last200  time.Duration // when it last answered with 200; < 0: not yet
	session  time.Duration // when this node first heard of session shift

	// sent: check-in whose answer last carried the run of a booking
	sent map[doom]uint64

	unheeded   int           // reports in a row that show that an answer had no effect
	unheededAt time.Duration // when the first of them came
	sentBaton  uint64        // of the last answer

	queue    []TaskID
	errs     map[string]errRun // errors since a task was last done here, by job
	fullTill time.Duration
	haltAt   time.Duration
	rate     runStat
	images   map[string]time.Duration
	idleAt   time.Duration
	firstRun map[doom]time.Duration
}

type heldCheckin struct {
	machine string
	req     uint64
	tally   uint64
	shift   uint64
	till    time.Duration
}

func newMachine(name string) *Machine {
	return &Machine{
		Name: name, tasks: map[TaskID]Seen{}, recallAt: -1, last200: -1, spoke: -1,
		sent: map[doom]uint64{}, errs: map[string]errRun{}, images: map[string]time.Duration{},
		firstRun: map[doom]time.Duration{},
	}
}

// newer tells whether (shift, tally) is newer than what m last said.
func (m *Machine) newer(shift, tally uint64) bool {
	return !m.heardOnce || shift > m.shift || shift == m.shift && tally > m.tally
}

// onCheckin answers a worker's report. 200 is said only by the entitled owner
// behind its fence; everyone else names the owner or says 503.
func (c *Core) onCheckin(e EvCheckin) {
	r := e.R
	if !c.fenceOK() {
		c.emit(EfCheckin{Req: e.Req, Status: 503})
		return
	}
	if r.Baton > c.st.view.Epoch {
		// The worker has seen a later view than this node.
		c.confirmAt = min(c.confirmAt, c.now)
		c.emit(EfCheckin{Req: e.Req, Status: 503})
		return
	}
	owner := c.ownerIn(r.Machine, r.Zone)
	if owner != c.cfg.Node {
		if c.st.marks[r.Machine].State != MarkGone {
			c.noteBounce(r.Machine, r.Zone, owner, r.Shift, r.Tally, r.Baton)
		}
		c.emit(EfCheckin{Req: e.Req, Status: 421, Owner: owner})
		return
	}
	m := c.mach[r.Machine]
	if m == nil {
		m = c.addMachine(r.Machine)
		m.ownEpoch, m.ownSince = c.st.view.Epoch, c.now
	}
	// A session given up, or a machine that the cloud took back, must not be
	// kept alive by an answer: its tasks may already run elsewhere.
	if c.guard(GuardDead) && r.Shift <= m.deadShift || c.st.marks[r.Machine].State == MarkGone {
		c.emit(EfCheckin{Req: e.Req, Status: 503})
		return
	}
	if !m.newer(r.Shift, r.Tally) {
		// A late copy: the worker has given it up, and its list is old.
		c.emit(EfCheckin{Req: e.Req, Status: 503})
		return
	}
	c.heed(m, &r)
	c.takeReport(m, &r, true)
	if h := c.held[m.Name]; h != nil { // given up by the worker
		delete(c.held, m.Name)
		c.emit(EfCheckin{Req: h.req, Status: 503})
	}
	c.dirty = true
	c.drivePlace()
	c.drivePlan()
	h := &heldCheckin{m.Name, e.Req, r.Tally, r.Shift, c.now + tuning.CheckinHold}
	if c.worthHolding(m) {
		c.held[m.Name] = h
		return
	}
	c.answer(h)
}

// heed notices a machine whose reports arrive while answers don't reach it: a
// report newer than an answer must show the answer's token and tasks.
func (c *Core) heed(m *Machine, r *Report) {
	// Reports that a cut held back come all at once; none of them can show an
	// answer given a moment ago.
	if !m.heardOnce || r.Shift != m.shift || m.last200 < 0 || c.now-m.last200 < tuning.HeedAfter {
		return
	}
	missed := r.Baton < m.sentBaton
	there := map[TaskID]bool{}
	for _, s := range r.Tasks {
		there[s.Task] = true
	}
	for k, tally := range m.sent {
		if !c.st.byMach[m.Name][k.T] {
			delete(m.sent, k)
			continue
		}
		if !missed && tally < r.Tally && tally > 0 && !there[k.T] && c.st.byMach[m.Name][k.T] && c.st.jobs[k.T.Job].task(k.T.I).Attempt == k.A {
			missed = true
		}
	}
	if !missed {
		m.unheeded = 0
		return
	}
	if m.unheeded == 0 {
		m.unheededAt = c.now
	}
	m.unheeded++
}

// worthHolding: an answer given now would soon have had orders in it. A machine
// that has to wait for its next report starts its next task seconds later.
func (c *Core) worthHolding(m *Machine) bool {
	if c.task != nil && c.planMach[m.Name] {
		return true // the commit in flight concerns it
	}
	for id := range c.st.byMach[m.Name] {
		if s, ok := m.tasks[id]; !ok || s.Attempt != c.st.jobs[id.Job].task(id.I).Attempt {
			return false // something to start
		}
	}
	if len(m.queue) > 0 && c.bookable(m) || c.unsettled(m) {
		return true
	}
	// Room for a small task: the next one may come any moment.
	if !c.bookable(m) || c.kept(m.Name) && len(m.tasks) > 0 {
		return false
	}
	f := c.flavor(m.Type)
	return len(m.tasks) == 0 || c.free(m.Name, f.Size, nil).Holds(Res{f.Size.CPU / 8, f.Size.GPU / 8, f.Size.Mem / 8})
}

// unsettled: m reports ended tasks whose outcome is not committed yet.
func (c *Core) unsettled(m *Machine) bool {
	for _, s := range m.tasks {
		if s.State == SeenEnded && c.booking(m, s) {
			return true
		}
	}
	return false
}

// booking tells whether s is the committed booking of its task.
func (c *Core) booking(m *Machine, s Seen) bool {
	j := c.st.jobs[s.Task.Job]
	if j == nil || s.Task.I < 0 || s.Task.I >= j.H.N {
		return false
	}
	t := j.task(s.Task.I)
	return t.State == Booked && t.Machine == m.Name && t.Attempt == s.Attempt && t.Shift == m.shift
}

// takeReport takes a report that is newer than what m said before.
func (c *Core) takeReport(m *Machine, r *Report, checkin bool) {
	if m.Addr == "" || m.Type == "" {
		c.log(2, "machine", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	}
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	if !m.heardOnce || r.Shift > m.shift {
		m.session = c.now
	}
	if m.heardOnce && r.Shift > m.shift {
		c.log(1, "machine lost its lease", "machine", m.Name, "shift", r.Shift)
		clear(m.images)
	}
	m.heardOnce, m.shift, m.tally, m.baton, m.heard, m.spoke, m.fresh = true, r.Shift, r.Tally, r.Baton, c.now, c.now, checkin
	if r.Recall >= 0 {
		if m.recallAt < 0 {
			c.log(1, "machine recalled", "machine", m.Name, "in_s", r.Recall)
			c.unplaceMachine(m.Name)
		}
		m.recallAt = c.now + time.Duration(r.Recall*float64(time.Second))
	} else if m.recallAt >= 0 {
		m.recallAt = -1
	}
	clear(m.tasks)
	for _, s := range r.Tasks {
		m.tasks[s.Task] = s
		j := c.st.jobs[s.Task.Job]
		if j == nil || j.H.Spec == nil {
			continue
		}
		k := doom{s.Task, s.Attempt}
		if s.State == SeenRunning {
			m.images[j.H.Spec.Image] = c.now
			if _, ok := m.firstRun[k]; !ok {
				m.firstRun[k] = c.now
				c.log(2, "task runs", "task", s.Task, "machine", m.Name, "attempt", s.Attempt)
			}
		}
	}
	for k := range m.firstRun {
		if s, ok := m.tasks[k.T]; !ok || s.Attempt != k.A {
			delete(m.firstRun, k)
		}
	}
	if len(r.Tasks) > 0 {
		m.idleAt = c.now
	}
}

// onDirect takes a worker's direct answer; it obeys (Shift, Tally) like any
// report, but never proves a run undelivered: an answer to a check-in may
// still be under way.
func (c *Core) onDirect(e EvDirect) {
	m := c.mach[e.Machine]
	if e.R == nil || m == nil || !c.owns(e.Machine) || !m.newer(e.R.Shift, e.R.Tally) || e.R.Shift <= m.deadShift {
		return
	}
	heard := m.heard
	c.takeReport(m, e.R, false)
	m.heard = max(heard, c.now)
	c.dirty = true
}

// answer says 200 with the orders that follow from committed state alone.
func (c *Core) answer(h *heldCheckin) {
	if c.held[h.machine] == h {
		delete(c.held, h.machine)
	}
	m := c.mach[h.machine]
	if m == nil || !c.fenceOK() || !c.owns(h.machine) || c.guard(GuardDead) && h.shift <= m.deadShift || h.shift != m.shift ||
		c.st.marks[h.machine].State == MarkGone {
		c.emit(EfCheckin{Req: h.req, Status: 503})
		return
	}
	orders := c.orders(m, h.tally)
	m.last200, m.sentBaton = c.now, c.st.view.Epoch
	c.emit(EfCheckin{Req: h.req, Status: 200, Baton: c.st.view.Epoch, Orders: orders})
}

// orders for m: halts first, then clears, then runs. A run goes out only for
// a committed booking of this session whose release was never attempted.
func (c *Core) orders(m *Machine, tally uint64) []Order {
	var halts, clears, runs []Order
	for _, id := range sortedTasks(m.tasks) {
		s := m.tasks[id]
		if s.State == SeenEnded {
			if !c.booking(m, s) || !c.guard(GuardClear) {
				clears = append(clears, Order{Verb: Clear, Task: id, Attempt: s.Attempt})
			}
			continue
		}
		if o, ok := c.halt(m, s); ok {
			halts = append(halts, o)
		}
	}
	for _, id := range sortedTasks(c.st.byMach[m.Name]) {
		j := c.st.jobs[id.Job]
		t := j.task(id.I)
		k := doom{id, t.Attempt}
		if s, ok := m.tasks[id]; ok && s.Attempt == t.Attempt {
			continue
		}
		if j.H.Halt >= t.Attempt && j.H.Halt > 0 {
			continue
		}
		if t.Shift != m.shift || j.H.State != JobOpen || c.doomed[k] && c.guard(GuardDoom) || m.recallAt >= 0 || c.yielded[k] || c.evicted(m.Name) && !holdsMachines(j.H.Spec) || !c.gangWhole(j, t) {
			continue
		}
		m.sent[k] = tally
		runs = append(runs, Order{Verb: Run, Task: id, Attempt: t.Attempt})
	}
	return slices.Concat(halts, clears, runs)
}

// halt tells whether a live task on m has to be stopped, and how.
func (c *Core) halt(m *Machine, s Seen) (Order, bool) {
	o := Order{Verb: Halt, Task: s.Task, Attempt: s.Attempt}
	j := c.st.jobs[s.Task.Job]
	if j == nil || j.final() || !c.booking(m, s) {
		return o, true // nobody has any use for it
	}
	t := j.task(s.Task.I)
	sp := j.H.Spec
	if !c.gangWhole(j, t) {
		return o, s.State != SeenSaving
	}
	mark := c.st.marks[m.Name]
	if sp.Shape == Gang && sp.N > 1 {
		// Its progress is saved only if all are told together: the header
		// tells every owner (planHalts).
		o.Leeway = sp.Save + 2
		return o, j.H.Halt >= t.Attempt && s.State != SeenSaving
	}
	switch {
	case c.evicted(m.Name) && !holdsMachines(sp), c.yielded[doom{s.Task, s.Attempt}]:
		o.Leeway = sp.Save + 2
		return o, s.State != SeenSaving
	case m.recallAt >= 0:
		left := (m.recallAt - c.now - tuning.RecallMargin).Seconds()
		if s.State == SeenSaving {
			return o, false
		}
		// Let a task without checkpoints run on: it may still finish.
		if sp.Ckpt <= 0 || sp.Save <= 0 {
			return o, false
		}
		// Run on for as long as saving still fits before the recall, whose
		// length may be half of what was said.
		o.Leeway = max(left, sp.Save)
		return o, left/2 <= sp.Save+4
	case mark.State == MarkDrain && mark.Why != WhyIdle && s.State != SeenSaving:
		o.Leeway = sp.Save + 2
		return o, true
	}
	return o, false
}

// gangWhole: a gang's task is on only while all tasks of its attempt are
// booked; otherwise the rest is stopped, and a new attempt starts all.
func (c *Core) gangWhole(j *Job, t Task) bool {
	if j.H.Spec.Shape != Gang || j.H.Spec.N == 1 {
		return true
	}
	for i := range j.Tasks {
		if o := j.Tasks[i]; o.State == Queued || o.State == Booked && o.Attempt != t.Attempt {
			return false
		}
	}
	return true
}

func sortedTasks[V any](m map[TaskID]V) []TaskID { return inOrder(slices.Collect(maps.Keys(m))) }

func inOrder(ids []TaskID) []TaskID {
	sort.Slice(ids, func(a, b int) bool {
		if ids[a].Job != ids[b].Job {
			return ids[a].Job < ids[b].Job
		}
		return ids[a].I < ids[b].I
	})
	return ids
}

// offProof tells whether the booking of task id is proven off its machine,
// as this node can know it: see docs/design.md, invariant 5.
func (c *Core) offProof(m *Machine, id TaskID, t Task) bool {
	if !c.guard(GuardProof) && c.now-m.heard > 4*time.Second {
		return true
	}
	if c.st.marks[m.Name].State == MarkGone {
		return true
	}
	if m.heardOnce && m.shift > t.Shift || m.deadShift >= t.Shift {
		return true
	}
	if m.heardOnce && m.shift == t.Shift {
		if s, ok := m.tasks[id]; ok {
			if s.Attempt == t.Attempt {
				return s.State == SeenEnded
			}
		} else if m.fresh && m.baton >= m.ownEpoch && m.tally > m.sent[doom{id, t.Attempt}] {
			return true // never arrived, and no answer with it is under way
		}
	}
	return false
}

// leaseOver tells whether no one can have renewed m's lease since too long. A
// session heard of may have begun just then: without that term a new session,
// heard but not yet answered, would be given up for the age of the last one's
// answer, and its live tasks started elsewhere later on.
func (c *Core) leaseOver(m *Machine) bool {
	from := max(m.ownSince+c.cfg.Fence, m.last200, m.session)
	lease := c.cfg.Lease + c.cfg.Lease/1000
	return c.now > from+lease+tuning.DriftMargin
}

// driveHeld answers held check-ins once there is nothing more to wait for.
// Hundreds are held at a time, and events come for each: only those that the
// event touched are looked at again, and all of them once a pace.
func (c *Core) driveHeld() {
	if len(c.held) == 0 {
		clear(c.touched)
		return
	}
	var names []string
	if c.now >= c.heldAt {
		c.heldAt = c.now + c.pace()
		names = slices.Sorted(maps.Keys(c.held))
	} else {
		if len(c.touched) == 0 {
			return
		}
		names = slices.Sorted(maps.Keys(c.touched))
	}
	clear(c.touched)
	c.Work.Held += len(names)
	for _, n := range names {
		h := c.held[n]
		if h == nil {
			continue
		}
		if m := c.mach[n]; m == nil || c.now >= h.till || !c.worthHolding(m) {
			c.answer(h)
		}
	}
}

// driveMachines gives up dead sessions, marks silent machines and sends direct
// halts where time matters.
func (c *Core) driveMachines() {
	if !c.fenceOK() || c.now < c.machAt {
		return
	}
	c.machAt = c.now + c.pace()
	for n := range c.st.byMach {
		if c.mach[n] == nil && c.owns(n) {
			m := c.addMachine(n)
			m.ownEpoch, m.ownSince, m.heard = c.st.view.Epoch, c.now, c.now+tuning.TakeoverSilence
		}
	}
	silent, near, all := map[string][]*Machine{}, map[string]int{}, map[string]int{} // by zone
	heard, quiet := 0, 0
	limit := tuning.Silent
	if !c.peersFresh() {
		limit = tuning.SilentCut
	}
	c.Work.Machines += len(c.mach)
	for _, n := range c.machNames() {
		m := c.mach[n]
		if !c.owns(n) {
			if c.now-m.heard > time.Minute {
				c.dropMachine(n)
			}
			continue
		}
		mark := c.st.marks[n]
		if mark.State == MarkGone {
			if len(c.st.byMach[n]) == 0 && c.now-m.heard > time.Minute {
				c.dropMachine(n)
			}
			continue
		}
		if len(c.st.byMach[n]) > 0 && c.leaseOver(m) {
			dead := max(m.shift, m.deadShift)
			for id := range c.st.byMach[n] {
				dead = max(dead, c.st.jobs[id.Job].task(id.I).Shift)
			}
			if dead > m.deadShift {
				c.log(1, "session given up", "machine", n, "shift", dead)
				m.deadShift = dead
				c.dirty = true
			}
		}
		zone := c.zoneOf(n)
		all[zone]++
		switch {
		case c.now-m.heard > limit:
			if mark.State == "" {
				silent[zone] = append(silent[zone], m)
				quiet++
			}
		case m.spoke >= 0 && c.now-m.spoke <= limit: // not just taken over and yet to come
			heard++
			if c.now-m.spoke <= c.cfg.Report+c.cfg.Report/4 {
				near[zone]++
			}
			c.directHalts(m)
		}
	}
	// Machines that fall silent together are rather cut off from here: all of
	// them, or those of one zone. Returning those would cost hundreds of machines
	// with their images, which the cut gives back. The first of them are silent
	// for long when the last were heard just before the cut, so these are compared
	// with those whose reports are not even late; and when the cut is over, they
	// come back one after the other.
	for _, z := range slices.Sorted(maps.Keys(silent)) {
		l := silent[z]
		few := all[z] <= tuning.SilentFew && quiet <= heard || quiet == 1 && heard == 0
		if len(l) > near[z] && !few {
			c.zoneOut[z] = c.now
		}
		if out, was := c.zoneOut[z]; !few && was && c.now-out < tuning.SilentCut {
			continue
		}
		for _, m := range l {
			c.mark(m.Name, MachineMark{MarkDrain, WhyLost})
		}
	}
	// If answers to many have no effect, it is this node that is slow or cut off.
	deaf := 0
	for _, m := range c.mach {
		if c.deaf(m) {
			deaf++
		}
	}
	for _, n := range c.machNames() {
		m := c.mach[n]
		if c.deaf(m) && deaf <= 2+heard/10 && c.owns(n) && c.st.marks[n].State == "" {
			c.mark(n, MachineMark{MarkDrain, WhyDeaf})
		}
		if c.owns(m.Name) && len(m.errs) > 0 && c.st.marks[m.Name].State == "" && c.sick(m) {
			c.mark(m.Name, MachineMark{MarkDrain, WhySick})
		}
	}
}

// errRun counts a job's errors on a machine, from the first on.
type errRun struct {
	n  int
	at time.Duration
}

// sick tells whether tasks keep failing on m for the machine's sake. A job that was
// submitted with a mistake fails on every machine, so the errors of a job count at
// once only if a task of it was done somewhere, and else when it had time to be tried
// elsewhere and wasn't. On a day of the users with such jobs 196 of 1,160 machines
// were returned as sick when all errors counted.
func (c *Core) sick(m *Machine) bool {
	n, jobs := 0, 0
	for id, e := range m.errs {
		j := c.st.jobs[id]
		if j == nil || j.cancelled() || j.nD == 0 && j.H.State != JobDone && (c.now-e.at < tuning.SickSettle || j.failsElsewhere(e.n)) {
			continue
		}
		n += e.n
		jobs++
	}
	return n >= tuning.SickErrors && (jobs >= 2 || n >= 2*tuning.SickErrors)
}

// failed: tasks of the job failed here, and none was ever done. It is tried elsewhere
// next, which shows whose fault it is.
func (m *Machine) failed(j *Job) bool {
	return j.nD == 0 && m.errs[j.ID].n >= tuning.SickErrors
}

// failsElsewhere: of a job of which nothing was ever done, a good part of the tries
// came to nothing beside the errors here. The records say so to all nodes alike.
func (j *Job) failsElsewhere(here int) bool {
	tries := -here
	for i := range j.Tasks {
		t := j.Tasks[i]
		tries += int(t.Attempt)
		if t.State == Booked {
			tries--
		}
		if j.H.Spec != nil && j.H.Spec.Shape == Gang {
			break // an attempt is one for all
		}
		if tries >= max(2, here) {
			break
		}
	}
	return tries >= 2 && 2*tries >= here
}

// deaf: answers to m had no effect, twice in a row. In wide fleets also for two
// reports' time: after a cut hundreds of workers are answered late, and each
// that gave an answer up would be returned, while one that really hears nothing
// loses its tasks with its lease anyway.
func (c *Core) deaf(m *Machine) bool {
	return m.unheeded >= tuning.UnheededMost && (!c.wide() || c.now-m.unheededAt >= 2*c.cfg.Report)
}

// peersFresh tells whether all other serving nodes were heard just now.
func (c *Core) peersFresh() bool {
	for _, n := range c.st.view.Serving {
		if p := c.peers[n]; n != c.cfg.Node && (p == nil || c.now-p.at > tuning.PeerFresh) {
			return false
		}
	}
	return true
}

// directHalts sends halts of cancelled work straight to the worker; they may
// arrive late, which does no harm, and are repeated by check-ins.
func (c *Core) directHalts(m *Machine) {
	if c.now < m.haltAt || m.Addr == "" {
		return
	}
	var halts []Order
	for _, id := range sortedTasks(m.tasks) {
		s := m.tasks[id]
		if s.State == SeenEnded {
			continue
		}
		if o, ok := c.halt(m, s); ok && !(s.State == SeenSaving && o.Leeway > 0) {
			halts = append(halts, o)
		}
	}
	if len(halts) > 0 {
		m.haltAt = c.now + tuning.HaltRepeat
		c.emit(EfDirect{Machine: m.Name, Addr: m.Addr, Baton: c.st.view.Epoch, Shift: m.shift, Orders: halts})
	}
}

// mark wants a machine's mark written; driveMarks does it, many at a time.
func (c *Core) mark(name string, m MachineMark) {
	now := c.st.marks[name]
	if _, ok := c.wantMark[name]; ok && m.State != MarkGone || now.State == MarkGone || now.State == m.State {
		return
	}
	c.wantMark[name] = m
	c.log(1, "machine marked", "machine", name, "mark", m.State, "why", m.Why)
}

// driveMarks writes the wanted marks, page by page in one commit.
func (c *Core) driveMarks() {
	if c.markBusy || len(c.wantMark) == 0 || c.now < c.markAt || !c.fenceOK() || c.cfg.WriteRate > 0 && c.tokens <= -c.cfg.WriteRate*tuning.MarkDebt {
		return
	}
	// Task commits spend changes as soon as there are any: marks may go into
	// debt, or machines taken away would be neither returned nor replaced.
	c.markAt = c.now + c.pace()
	if c.wide() {
		c.markAt = c.now + tuning.MarkEvery
		// Idle machines can wait for others: each change of a page fails the
		// bookings under way on the machines that share it.
		urgent := false
		for _, m := range c.wantMark {
			urgent = urgent || m.State == MarkDrain && m.Why != WhyIdle
		}
		if !urgent && c.now-c.markedAt < tuning.MarkIdleEvery {
			return
		}
		c.markedAt = c.now
	}
	pages := map[string]MarkPage{}
	t := Txn{When: []Cond{{keyView, c.st.stamps[keyView]}}}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.wantMark)) {
		m, now := c.wantMark[n], c.st.marks[n]
		if now.State == MarkGone || now.State == m.State {
			delete(c.wantMark, n)
			continue
		}
		home := c.markHome(n)
		p, ok := pages[home]
		if !ok {
			if len(pages) >= c.cfg.TxnOps {
				continue
			}
			p = MarkPage{maps.Clone(c.st.pages[home].Drain), slices.Clone(c.st.pages[home].Gone)}
			if p.Drain == nil {
				p.Drain = map[string]string{}
			}
			c.shed(&p)
		}
		was, drained := p.Drain[n]
		if m.State == MarkGone {
			delete(p.Drain, n)
			p.Gone = append(p.Gone, n)
		} else {
			p.Drain[n] = m.Why
		}
		if !c.trimPage(&p) {
			if delete(p.Drain, n); drained { // no room until others are returned
				p.Drain[n] = was
			}
			continue
		}
		pages[home] = p
		names = append(names, n)
	}
	for _, home := range slices.Sorted(maps.Keys(pages)) {
		key := preMach + home
		t.When = append(t.When, Cond{key, c.st.stamps[key]})
		t.Apply = append(t.Apply, Put{Key: key, Value: enc(pages[home])})
	}
	if len(names) == 0 {
		return
	}
	c.markBusy = true
	c.commit(LaneTask, t, func(r CommitResult, e EvCommit) {
		c.markBusy = false
		if r != Committed {
			c.markAt = c.now + tuning.ConfirmRetry // and again, by then the cache knows more
			return
		}
		for _, n := range names {
			if c.st.marks[n].State == c.wantMark[n].State {
				delete(c.wantMark, n)
			}
		}
	})
}

// shed drops drain marks from a page written under larger limits until it fits
// again: such a machine takes bookings once more, until it is marked anew.
func (c *Core) shed(p *MarkPage) {
	if c.trimPage(p) {
		return
	}
	names := slices.SortedFunc(maps.Keys(p.Drain), func(a, b string) int {
		if ia, ib := p.Drain[a] == WhyIdle, p.Drain[b] == WhyIdle; ia != ib {
			return map[bool]int{true: -1, false: 1}[ia]
		}
		return strings.Compare(b, a)
	})
	for _, n := range names {
		if delete(p.Drain, n); c.trimPage(p) {
			return
		}
	}
}

// trimPage forgets the machines gone longest until the page fits its value;
// false: it doesn't fit even so.
func (c *Core) trimPage(p *MarkPage) bool {
	size := func() int {
		n := tuning.PackSlack
		for name, why := range p.Drain {
			n += len(name) + len(why) + 6
		}
		for _, name := range p.Gone {
			n += len(name) + 3
		}
		return n
	}
	for i := 0; size() > c.cfg.ValueB; {
		for i < len(p.Gone) && len(c.st.byMach[p.Gone[i]]) > 0 {
			i++
		}
		if i == len(p.Gone) {
			return false
		}
		p.Gone = slices.Delete(p.Gone, i, i+1)
	}
	return true
}
