package core

import (
	"maps"
	"slices"
	"sort"
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
	c.checkHeeded(m, &r)
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

// peersFresh tells whether all other serving nodes were heard just now.
func (c *Core) peersFresh() bool {
	for _, n := range c.st.view.Serving {
		if p := c.peers[n]; n != c.cfg.Node && (p == nil || c.now-p.at > tuning.PeerFresh) {
			return false
		}
	}
	return true
}
