package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// heartbeats is what the machines last said, and their heartbeats that wait for an answer.
type heartbeats struct {
	machines     map[string]*Machine          // by name
	sortedNames  []string                     // of machines; nil: to be made anew
	pending      map[string]*pendingHeartbeat // by machine
	touched      map[string]bool              // machines whose pending heartbeat is to be looked at again
	nextReviewAt time.Duration                // no walk over all pending heartbeats before
	nextWalkAt   time.Duration                // no walk over all machines before
}

func newHeartbeats() heartbeats {
	return heartbeats{
		machines: map[string]*Machine{}, pending: map[string]*pendingHeartbeat{}, touched: map[string]bool{},
	}
}

// Machine is what this node knows of a machine. Only the owner acts on it.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool

	heardOnce      bool
	agentEpoch     uint64 // of the newest report
	sequence       uint64
	fencingToken   uint64
	reported       map[domain.TaskID]domain.TaskReport
	heardAt        time.Duration // when last heard (or the end of a grace period)
	heartbeatAt    time.Duration // when a report last came here as the owner; < 0: not yet
	preemptionAt   time.Duration // when the cloud takes it; < 0: no notice
	abandonedEpoch uint64        // sessions up to it are given up: never answered again
	byHeartbeat    bool          // the newest report came by check-in

	ownedEpoch   uint64        // epoch at which this incarnation became owner
	ownedSince   time.Duration // when it saw that
	answeredAt   time.Duration // when it last answered with 200; < 0: not yet
	epochHeardAt time.Duration // when this node first heard of session shift

	// startsSent: check-in whose answer last carried the run of a booking
	startsSent map[attemptID]uint64

	unheededReplies int           // reports in a row that show that an answer had no effect
	unheededAt      time.Duration // when the first of them came
	sentToken       uint64        // of the last answer

	queue            []domain.TaskID
	failures         map[string]failureCount // errors since a task was last done here, by job
	noBookingsUntil  time.Duration
	nextDirectStopAt time.Duration
	runTime          smoothedValue
	images           map[string]time.Duration
	idleAt           time.Duration
	runningSince     map[attemptID]time.Duration
}

func newMachine(name string) *Machine {
	return &Machine{
		Name: name, reported: map[domain.TaskID]domain.TaskReport{}, preemptionAt: -1, answeredAt: -1, heartbeatAt: -1,
		startsSent: map[attemptID]uint64{}, failures: map[string]failureCount{}, images: map[string]time.Duration{},
		runningSince: map[attemptID]time.Duration{},
	}
}

// isNewer tells whether (shift, tally) is newer than what m last said.
func (m *Machine) isNewer(shift, tally uint64) bool {
	return !m.heardOnce || shift > m.agentEpoch || shift == m.agentEpoch && tally > m.sequence
}

// onHeartbeat answers a worker's report. 200 is said only by the entitled owner
// behind its fence; everyone else names the owner or says 503.
func (c *Controller) onHeartbeat(e HeartbeatReceived) {
	r := e.Heartbeat
	if !c.mayAct() {
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	if r.FencingToken > c.cache.view.Epoch {
		// The worker has seen a later view than this node.
		c.membership.ConfirmSoon(c.now)
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	owner := c.ownerIn(r.Machine, r.Zone)
	if owner != c.cfg.Node {
		if c.cache.cordons[r.Machine].State != domain.CordonGone {
			c.recordRedirect(&r, owner)
		}
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 421, Owner: owner})
		return
	}
	m := c.heartbeats.machines[r.Machine]
	if m == nil {
		m = c.addMachine(r.Machine)
		m.ownedEpoch, m.ownedSince = c.cache.view.Epoch, c.now
	}
	// A session given up, or a machine that the cloud took back, must not be
	// kept alive by an answer: its tasks may already run elsewhere.
	if c.guard(GuardDead) && r.AgentEpoch <= m.abandonedEpoch || c.cache.cordons[r.Machine].State == domain.CordonGone {
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	if !m.isNewer(r.AgentEpoch, r.Sequence) {
		// A late copy: the worker has given it up, and its list is old.
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	c.checkRepliesHeeded(m, &r)
	c.recordHeartbeat(m, &r, true)
	if h := c.heartbeats.pending[m.Name]; h != nil { // given up by the worker
		delete(c.heartbeats.pending, m.Name)
		c.emit(HeartbeatReply{RequestID: h.requestID, Status: 503})
	}
	c.planner.dirty = true
	c.placeTasks()
	c.planCommit()
	h := &pendingHeartbeat{m.Name, e.RequestID, r.Sequence, r.AgentEpoch, c.now + tuning.HeartbeatHold}
	if c.worthDelaying(m) {
		c.heartbeats.pending[m.Name] = h
		return
	}
	c.answerHeartbeat(h)
}

// isBooking tells whether s is the committed booking of its task.
func (c *Controller) isBooking(m *Machine, s domain.TaskReport) bool {
	j := c.cache.jobs[s.Task.Job]
	if j == nil || s.Task.Index < 0 || s.Task.Index >= j.Header.TaskCount {
		return false
	}
	t := j.task(s.Task.Index)
	return t.State == domain.Booked && t.Machine == m.Name && t.Attempt == s.Attempt && t.AgentEpoch == m.agentEpoch
}

// recordHeartbeat takes a report that is newer than what m said before.
func (c *Controller) recordHeartbeat(m *Machine, r *domain.Heartbeat, checkin bool) {
	if m.Addr == "" || m.Type == "" {
		c.debug("machine", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	}
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	if !m.heardOnce || r.AgentEpoch > m.agentEpoch {
		m.epochHeardAt = c.now
	}
	if m.heardOnce && r.AgentEpoch > m.agentEpoch {
		c.info("machine lost its lease", "machine", m.Name, "shift", r.AgentEpoch)
		clear(m.images)
	}
	m.heardOnce, m.agentEpoch, m.sequence, m.fencingToken, m.heardAt, m.heartbeatAt, m.byHeartbeat = true, r.AgentEpoch, r.Sequence, r.FencingToken, c.now, c.now, checkin
	if r.PreemptionNotice >= 0 {
		if m.preemptionAt < 0 {
			c.info("machine recalled", "machine", m.Name, "in_s", r.PreemptionNotice)
			c.dequeueAll(m.Name)
		}
		m.preemptionAt = c.now + time.Duration(r.PreemptionNotice*float64(time.Second))
	} else if m.preemptionAt >= 0 {
		m.preemptionAt = -1
	}
	clear(m.reported)
	for _, s := range r.Tasks {
		m.reported[s.Task] = s
		j := c.cache.jobs[s.Task.Job]
		if j == nil || j.Header.Spec == nil {
			continue
		}
		k := attemptID{s.Task, s.Attempt}
		if s.State == domain.ReportedRunning {
			m.images[j.Header.Spec.Image] = c.now
			if _, ok := m.runningSince[k]; !ok {
				m.runningSince[k] = c.now
				c.debug("task runs", "task", s.Task, "machine", m.Name, "attempt", s.Attempt)
			}
		}
	}
	for k := range m.runningSince {
		if s, ok := m.reported[k.Task]; !ok || s.Attempt != k.Attempt {
			delete(m.runningSince, k)
		}
	}
	if len(r.Tasks) > 0 {
		m.idleAt = c.now
	}
}

// onCommandsAnswered takes a worker's direct answer; it obeys (Shift, Tally) like any
// report, but never proves a run undelivered: an answer to a check-in may
// still be under way.
func (c *Controller) onCommandsAnswered(e CommandsAnswered) {
	m := c.heartbeats.machines[e.Machine]
	if e.Heartbeat == nil || m == nil || !c.owns(e.Machine) || !m.isNewer(e.Heartbeat.AgentEpoch, e.Heartbeat.Sequence) || e.Heartbeat.AgentEpoch <= m.abandonedEpoch {
		return
	}
	heard := m.heardAt
	c.recordHeartbeat(m, e.Heartbeat, false)
	m.heardAt = max(heard, c.now)
	c.planner.dirty = true
}

func sortedTasks[V any](m map[domain.TaskID]V) []domain.TaskID {
	return inOrder(slices.Collect(maps.Keys(m)))
}

func inOrder(ids []domain.TaskID) []domain.TaskID {
	sort.Slice(ids, func(a, b int) bool {
		if ids[a].Job != ids[b].Job {
			return ids[a].Job < ids[b].Job
		}
		return ids[a].Index < ids[b].Index
	})
	return ids
}

// provenOff tells whether the booking of task id is proven off its machine,
// as this node can know it: see docs/design.md, invariant 5.
func (c *Controller) provenOff(m *Machine, id domain.TaskID, t domain.Task) bool {
	if !c.guard(GuardProof) && c.now-m.heardAt > 4*time.Second {
		return true
	}
	if c.cache.cordons[m.Name].State == domain.CordonGone {
		return true
	}
	if m.heardOnce && m.agentEpoch > t.AgentEpoch || m.abandonedEpoch >= t.AgentEpoch {
		return true
	}
	if m.heardOnce && m.agentEpoch == t.AgentEpoch {
		if s, ok := m.reported[id]; ok {
			if s.Attempt == t.Attempt {
				return s.State == domain.ReportedEnded
			}
		} else if m.byHeartbeat && m.fencingToken >= m.ownedEpoch && m.sequence > m.startsSent[attemptID{id, t.Attempt}] {
			return true // never arrived, and no answer with it is under way
		}
	}
	return false
}

// leaseExpired tells whether no one can have renewed m's lease since too long. A
// session heard of may have begun just then: without that term a new session,
// heard but not yet answered, would be given up for the age of the last one's
// answer, and its live tasks started elsewhere later on.
func (c *Controller) leaseExpired(m *Machine) bool {
	from := max(m.ownedSince+c.cfg.FenceAge, m.answeredAt, m.epochHeardAt)
	lease := c.cfg.WorkerLease + c.cfg.WorkerLease/1000
	return c.now > from+lease+tuning.DriftMargin
}

// reviewMachines gives up dead sessions, marks silent machines and sends direct
// halts where time matters.
func (c *Controller) reviewMachines() {
	if !c.mayAct() || c.now < c.heartbeats.nextWalkAt {
		return
	}
	c.heartbeats.nextWalkAt = c.now + c.pace()
	for n := range c.cache.bookedOn {
		if c.heartbeats.machines[n] == nil && c.owns(n) {
			m := c.addMachine(n)
			m.ownedEpoch, m.ownedSince, m.heardAt = c.cache.view.Epoch, c.now, c.now+tuning.TakeoverSilence
		}
	}
	silent, near, all := map[string][]*Machine{}, map[string]int{}, map[string]int{} // by zone
	heard, quiet := 0, 0
	limit := tuning.Silent
	if !c.peersFresh() {
		limit = tuning.SilentCut
	}
	c.Work.Machines += len(c.heartbeats.machines)
	for _, n := range c.machineNames() {
		m := c.heartbeats.machines[n]
		if !c.owns(n) {
			if c.now-m.heardAt > time.Minute {
				c.dropMachine(n)
			}
			continue
		}
		mark := c.cache.cordons[n]
		if mark.State == domain.CordonGone {
			if len(c.cache.bookedOn[n]) == 0 && c.now-m.heardAt > time.Minute {
				c.dropMachine(n)
			}
			continue
		}
		if len(c.cache.bookedOn[n]) > 0 && c.leaseExpired(m) {
			dead := max(m.agentEpoch, m.abandonedEpoch)
			for id := range c.cache.bookedOn[n] {
				dead = max(dead, c.cache.jobs[id.Job].task(id.Index).AgentEpoch)
			}
			if dead > m.abandonedEpoch {
				c.info("session given up", "machine", n, "shift", dead)
				m.abandonedEpoch = dead
				c.planner.dirty = true
			}
		}
		zone := c.zoneOf(n)
		all[zone]++
		switch {
		case c.now-m.heardAt > limit:
			if mark.State == "" {
				silent[zone] = append(silent[zone], m)
				quiet++
			}
		case m.heartbeatAt >= 0 && c.now-m.heartbeatAt <= limit: // not just taken over and yet to come
			heard++
			if c.now-m.heartbeatAt <= c.cfg.HeartbeatInterval+c.cfg.HeartbeatInterval/4 {
				near[zone]++
			}
			c.sendDirectStops(m)
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
			c.views.zoneSilentAt[z] = c.now
		}
		if out, was := c.views.zoneSilentAt[z]; !few && was && c.now-out < tuning.SilentCut {
			continue
		}
		for _, m := range l {
			c.cordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainLost})
		}
	}
	// If answers to many have no effect, it is this node that is slow or cut off.
	deaf := 0
	for _, m := range c.heartbeats.machines {
		if c.ignoresReplies(m) {
			deaf++
		}
	}
	for _, n := range c.machineNames() {
		m := c.heartbeats.machines[n]
		if c.ignoresReplies(m) && deaf <= 2+heard/10 && c.owns(n) && c.cache.cordons[n].State == "" {
			c.cordon(n, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainUnheeding})
		}
		if c.owns(m.Name) && len(m.failures) > 0 && c.cache.cordons[m.Name].State == "" && c.isFaulty(m) {
			c.cordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainFaulty})
		}
	}
}

// peersFresh tells whether all other serving nodes were heard just now.
func (c *Controller) peersFresh() bool {
	for _, n := range c.cache.view.Serving {
		if p := c.peers.byName[n]; n != c.cfg.Node && (p == nil || c.now-p.heardAt > tuning.PeerFresh) {
			return false
		}
	}
	return true
}
