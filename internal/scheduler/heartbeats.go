package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// heartbeats is what the machines last said, and their heartbeats that wait for an answer.
type heartbeats struct {
	machines    map[string]*Machine          // by name; changed by addMachine and dropMachine alone
	sortedNames []string                     // names of machines; nil: to be made anew
	pending     map[string]*pendingHeartbeat // by machine
	touched     map[string]bool              // machines whose pending heartbeat is to be looked at again
	nextReview  steady.Gate                  // of all pending heartbeats
	nextWalk    steady.Gate                  // over all machines
}

func newHeartbeats() heartbeats {
	return heartbeats{
		machines: map[string]*Machine{}, pending: map[string]*pendingHeartbeat{}, touched: map[string]bool{},
	}
}

// heartbeatRefusal is why a heartbeat is not answered with commands.
type heartbeatRefusal int

const (
	heartbeatAccepted heartbeatRefusal = iota
	// controllerMayNotAct: its view, lease or revision was not confirmed lately.
	controllerMayNotAct
	// newerViewSeen: the agent was answered under a later view than this controller knows.
	newerViewSeen
	// ownedElsewhere: another controller owns the machine.
	ownedElsewhere
	// agentEpochAbandoned: the tasks of the agent epoch may already run elsewhere, so no
	// answer may keep it alive.
	agentEpochAbandoned
	// machineReturned: the cloud took the machine back: its tasks may run elsewhere as well.
	machineReturned
	// lateCopy: the agent waits for no answer to this heartbeat any more, and its list of tasks
	// is old.
	lateCopy
)

// onHeartbeat answers a machine's heartbeat. 200 is said only by the machine's owner behind
// its fence; everyone else names the owner (421) or says 503.
func (c *Controller) onHeartbeat(received HeartbeatReceived) {
	heartbeat := received.Heartbeat
	if refusal := c.refusalByController(&heartbeat); refusal != heartbeatAccepted {
		c.refuseHeartbeat(received.RequestID, &heartbeat, refusal)
		return
	}
	m := c.heartbeats.machines[heartbeat.Machine]
	if m == nil {
		m = c.heartbeats.addMachine(heartbeat.Machine)
		m.ownedEpoch, m.ownedSince = c.cache.view.Epoch, c.now
	}
	if refusal := c.refusalByMachine(m, &heartbeat); refusal != heartbeatAccepted {
		c.refuseHeartbeat(received.RequestID, &heartbeat, refusal)
		return
	}
	c.detectLostReplies(m, &heartbeat)
	c.recordHeartbeat(m, &heartbeat, true)
	if given := c.heartbeats.pending[m.Name]; given != nil { // the agent gave it up and sent this one
		delete(c.heartbeats.pending, m.Name)
		c.emit(HeartbeatReply{RequestID: given.requestID, Status: StatusUnavailable})
	}
	c.planner.dirty = true
	c.placeTasks()
	c.planCommit()
	pending := &pendingHeartbeat{
		machine: m.Name, requestID: received.RequestID, sequence: heartbeat.Sequence, agentEpoch: heartbeat.AgentEpoch,
		answerBy: c.now + tuning.HeartbeatHold,
	}
	if c.isWorthDelaying(m) {
		c.heartbeats.pending[m.Name] = pending
		return
	}
	c.answerHeartbeat(pending)
}

// refusalByController tells why this controller may not answer the machine, whatever the
// heartbeat lists.
func (c *Controller) refusalByController(heartbeat *domain.Heartbeat) heartbeatRefusal {
	switch {
	case !c.mayAct():
		return controllerMayNotAct
	case heartbeat.FencingToken > c.cache.view.Epoch:
		return newerViewSeen
	case c.ownerIn(heartbeat.Machine, heartbeat.Zone) != c.cfg.Node:
		return ownedElsewhere
	}
	return heartbeatAccepted
}

// refusalByMachine tells why the owner of a machine may not answer this heartbeat of it.
func (c *Controller) refusalByMachine(m *Machine, heartbeat *domain.Heartbeat) heartbeatRefusal {
	switch {
	case c.isAbandoned(m, heartbeat.AgentEpoch):
		return agentEpochAbandoned
	case c.cache.isReturned(heartbeat.Machine):
		return machineReturned
	case !m.isNewer(heartbeat.AgentEpoch, heartbeat.Sequence):
		return lateCopy
	}
	return heartbeatAccepted
}

// refuseHeartbeat answers a heartbeat without commands, and does what the refusal calls for.
func (c *Controller) refuseHeartbeat(requestID uint64, heartbeat *domain.Heartbeat, refusal heartbeatRefusal) {
	switch refusal {
	case newerViewSeen:
		c.membership.ConfirmSoon(c.now)
	case ownedElsewhere:
		owner := c.ownerIn(heartbeat.Machine, heartbeat.Zone)
		if !c.cache.isReturned(heartbeat.Machine) {
			c.recordRedirect(heartbeat, owner)
		}
		c.emit(HeartbeatReply{RequestID: requestID, Status: StatusNotOwner, Owner: owner})
		return
	}
	c.emit(HeartbeatReply{RequestID: requestID, Status: StatusUnavailable})
}

// isAbandoned tells whether an agent epoch of the machine is abandoned. Such a one stays
// so: docs/design.md, invariant 6.
func (c *Controller) isAbandoned(m *Machine, agentEpoch uint64) bool {
	return c.guard(GuardAbandonedEpoch) && agentEpoch <= m.abandonedEpoch
}

// isReturned tells whether the cloud has confirmed that it took the machine back.
func (c *cache) isReturned(machine string) bool {
	return c.cordons[machine].State == domain.CordonGone
}

// isBooking tells whether a reported attempt is the committed booking of its task.
func (c *cache) isBooking(m *Machine, report domain.TaskReport) bool {
	j := c.jobs[report.Task.Job]
	if j == nil || report.Task.Index < 0 || report.Task.Index >= j.Header.TaskCount {
		return false
	}
	task := j.task(report.Task.Index)
	return task.State == domain.Booked && task.Machine == m.Name && task.Attempt == report.Attempt && task.AgentEpoch == m.agentEpoch
}

// recordHeartbeat takes a report that is newer than what m said before: a heartbeat, or a
// direct answer to commands.
func (c *Controller) recordHeartbeat(m *Machine, heartbeat *domain.Heartbeat, isHeartbeat bool) {
	if m.Addr == "" || m.Type == "" {
		c.debug("machine", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	if m.hasReported && heartbeat.AgentEpoch > m.agentEpoch {
		c.info("machine lost its lease", "machine", m.Name, "agent_epoch", heartbeat.AgentEpoch)
		clear(m.images)
	}
	m.recordReport(heartbeat, isHeartbeat, c.now)
	c.recordPreemptionNotice(m, heartbeat)
	c.recordReportedTasks(m, heartbeat)
}

// recordPreemptionNotice takes over whether, and when, the cloud takes the machine back. A
// negative notice is none, which may be one withdrawn.
func (c *Controller) recordPreemptionNotice(m *Machine, heartbeat *domain.Heartbeat) {
	if heartbeat.PreemptionNotice < 0 {
		m.preemptionAt = -1
		return
	}
	if m.preemptionAt < 0 {
		c.info("preemption notice", "machine", m.Name, "in_s", heartbeat.PreemptionNotice)
		c.dequeueAll(m.Name)
	}
	m.preemptionAt = c.now + time.Duration(heartbeat.PreemptionNotice*float64(time.Second))
}

// recordReportedTasks takes over the list of tasks, and when each was first seen to run.
func (c *Controller) recordReportedTasks(m *Machine, heartbeat *domain.Heartbeat) {
	clear(m.reported)
	for _, report := range heartbeat.Tasks {
		m.reported[report.Task] = report
		j := c.cache.jobs[report.Task.Job]
		if report.State != domain.ReportedRunning || j == nil || j.Header.Spec == nil {
			continue
		}
		m.images[j.Header.Spec.Image] = c.now
		attempt := attemptID{report.Task, report.Attempt}
		if _, known := m.runningSince[attempt]; !known {
			m.runningSince[attempt] = c.now
			c.debug("task runs", "task", report.Task, "machine", m.Name, "attempt", report.Attempt)
		}
	}
	m.forgetEnded()
}

// onCommandsAnswered takes an agent's direct answer to commands. It obeys (agent epoch,
// sequence) like any report, but never proves that a start got lost: an answer to a
// heartbeat may still be under way (Machine.neverReceived).
func (c *Controller) onCommandsAnswered(answer CommandsAnswered) {
	m := c.heartbeats.machines[answer.Machine]
	if answer.Heartbeat == nil || m == nil || !c.owns(answer.Machine) {
		return
	}
	if !m.isNewer(answer.Heartbeat.AgentEpoch, answer.Heartbeat.Sequence) || answer.Heartbeat.AgentEpoch <= m.abandonedEpoch {
		return
	}
	graceUntil := m.lastReportAt
	c.recordHeartbeat(m, answer.Heartbeat, false)
	m.lastReportAt = max(graceUntil, c.now)
	c.planner.dirty = true
}

// sortedTasks lists the keys of a map by job and index.
func sortedTasks[V any](m map[domain.TaskID]V) []domain.TaskID {
	return inOrder(slices.Collect(maps.Keys(m)))
}

// inOrder sorts task IDs in place, by job and index.
func inOrder(ids []domain.TaskID) []domain.TaskID {
	sort.Slice(ids, func(a, b int) bool {
		if ids[a].Job != ids[b].Job {
			return ids[a].Job < ids[b].Job
		}
		return ids[a].Index < ids[b].Index
	})
	return ids
}

// isProvenOff tells whether a booked task is proven off its machine, as far as this
// controller can know it. It keeps invariant 5 of docs/design.md: a task is booked elsewhere
// only once its attempt can't run any more, nor be started by an answer still under way.
func (c *Controller) isProvenOff(m *Machine, id domain.TaskID, task domain.Task) bool {
	if !c.guard(GuardProof) && c.now-m.lastReportAt > 4*time.Second {
		return true // tests take the proof away
	}
	if c.cache.isReturned(m.Name) || m.isEpochOver(task.AgentEpoch) {
		return true
	}
	if !m.isInEpoch(task.AgentEpoch) {
		return false // its last word is older than the booking
	}
	attempt := attemptID{id, task.Attempt}
	return m.reportsEnded(attempt) || m.neverReceived(attempt)
}

// hasLeaseExpired tells whether no one can have renewed m's lease for longer than it lasts. An
// agent epoch heard of may have begun just then: without that term a new one, heard but
// not yet answered, would be abandoned for the age of the last one's answer, and its live
// tasks started elsewhere later on.
func (c *Controller) hasLeaseExpired(m *Machine) bool {
	renewedAt := max(m.ownedSince+c.cfg.FenceAge, m.answeredAt, m.epochSeenAt)
	lease := c.cfg.WorkerLease + c.cfg.WorkerLease/1000
	return c.now > renewedAt+lease+tuning.DriftMargin
}

// silenceReview is what one walk over the machines finds about who is silent.
type silenceReview struct {
	limit  time.Duration           // silence from which a machine counts as lost
	zones  map[string]*zoneSilence // by zone
	heard  int                     // machines whose heartbeats came to this controller lately
	silent int                     // machines to be drained, if only they are silent
}

// zoneSilence is what a silenceReview finds in one zone.
type zoneSilence struct {
	machines int        // all of the zone that this controller owns
	punctual int        // of them those whose heartbeat isn't even late
	silent   []*Machine // of them those that are lost and not yet cordoned
}

// zone is what the review finds in a zone so far.
func (r *silenceReview) zone(name string) *zoneSilence {
	zone := r.zones[name]
	if zone == nil {
		zone = &zoneSilence{}
		r.zones[name] = zone
	}
	return zone
}

// areFew tells whether the zone's silent machines are too few to look like a cut.
func (r *silenceReview) areFew(zone *zoneSilence) bool {
	return zone.machines <= tuning.FewZoneMachines && r.silent <= r.heard || r.silent == 1 && r.heard == 0
}

// reviewMachines walks over all machines once a pace: it abandons agent epochs whose lease
// has expired, sends direct stops where time matters, and drains machines that are silent,
// don't heed answers or fail their tasks.
func (c *Controller) reviewMachines() {
	if !c.mayAct() || !c.heartbeats.nextWalk.IsOpen(c.now) {
		return
	}
	c.heartbeats.nextWalk.Close(c.now + c.pace())
	c.adoptBookedMachines()
	review := silenceReview{limit: tuning.SilenceTimeout, zones: map[string]*zoneSilence{}}
	if !c.arePeersFresh() {
		review.limit = tuning.PartitionSilenceTimeout
	}
	c.Work.Machines += len(c.heartbeats.machines)
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if !c.owns(name) || c.cache.isReturned(name) {
			c.forgetIfSilent(m)
			continue
		}
		c.abandonExpiredEpoch(m)
		c.reviewSilence(m, &review)
	}
	c.drainSilent(&review)
	c.drainUnheedingAndFaulty(review.heard)
}

// adoptBookedMachines takes in the machines of this controller that are known by their
// bookings alone: nobody has heard them since it became their owner.
func (c *Controller) adoptBookedMachines() {
	for name := range c.cache.bookedOn {
		if c.heartbeats.machines[name] == nil && c.owns(name) {
			m := c.heartbeats.addMachine(name)
			m.ownedEpoch, m.ownedSince, m.lastReportAt = c.cache.view.Epoch, c.now, c.now+tuning.TakeoverSilence
		}
	}
}

// forgetIfSilent drops a machine of another controller, or a returned one, after a while. The
// owner keeps a returned one for as long as bookings have to be released.
func (c *Controller) forgetIfSilent(m *Machine) {
	if c.now-m.lastReportAt <= tuning.ForgetMachineAfter {
		return
	}
	if c.owns(m.Name) && len(c.cache.bookedOn[m.Name]) > 0 {
		return
	}
	c.heartbeats.dropMachine(m.Name)
}

// abandonExpiredEpoch abandons the agent epochs of a machine with bookings whose lease can't
// have been renewed: an agent stops its tasks when its lease ends.
func (c *Controller) abandonExpiredEpoch(m *Machine) {
	if len(c.cache.bookedOn[m.Name]) == 0 || !c.hasLeaseExpired(m) {
		return
	}
	last := max(m.agentEpoch, m.abandonedEpoch)
	for id := range c.cache.bookedOn[m.Name] {
		last = max(last, c.cache.jobs[id.Job].task(id.Index).AgentEpoch)
	}
	if last > m.abandonedEpoch {
		c.info("agent epoch abandoned", "machine", m.Name, "agent_epoch", last)
		m.abandonedEpoch = last
		c.planner.dirty = true
	}
}

// reviewSilence counts a machine as silent or heard. Those heard are sent direct stops; one
// just taken over that has yet to come is neither.
func (c *Controller) reviewSilence(m *Machine, review *silenceReview) {
	zone := review.zone(c.zoneOf(m.Name))
	zone.machines++
	if c.now-m.lastReportAt > review.limit {
		if c.cache.cordons[m.Name].State == "" {
			zone.silent = append(zone.silent, m)
			review.silent++
		}
		return
	}
	if m.lastHeartbeatAt < 0 || c.now-m.lastHeartbeatAt > review.limit {
		return
	}
	review.heard++
	if c.now-m.lastHeartbeatAt <= c.cfg.HeartbeatInterval+c.cfg.HeartbeatInterval/4 {
		zone.punctual++
	}
	c.sendDirectStops(m)
}

// drainSilent drains the machines that are silent on their own. Machines that fall silent
// together are rather cut off from here: all of them, or those of one zone. Returning those
// would cost hundreds of machines with their images, which the end of the cut gives back.
// The first of them are silent for long when the last were heard just before the cut, so
// these are compared with those whose heartbeats are not even late; and when the cut is
// over, they come back one after the other.
func (c *Controller) drainSilent(review *silenceReview) {
	for _, name := range slices.Sorted(maps.Keys(review.zones)) {
		zone := review.zones[name]
		if len(zone.silent) == 0 {
			continue
		}
		few := review.areFew(zone)
		if len(zone.silent) > zone.punctual && !few {
			c.views.zoneSilentAt[name] = c.now
		}
		if silentAt, known := c.views.zoneSilentAt[name]; !few && known && c.now-silentAt < tuning.PartitionSilenceTimeout {
			continue
		}
		for _, m := range zone.silent {
			c.requestCordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainLost})
		}
	}
}

// drainUnheedingAndFaulty drains the machines that ignore answers, unless so many do that it
// is rather this controller that is slow or cut off, and those whose tasks keep failing.
func (c *Controller) drainUnheedingAndFaulty(heard int) {
	unheeding := 0
	for _, m := range c.heartbeats.machines {
		if c.isMissingReplies(m) {
			unheeding++
		}
	}
	isOwnFault := unheeding > 2+heard/10
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if c.isMissingReplies(m) && !isOwnFault && c.isOwnUncordoned(m) {
			c.requestCordon(name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainUnheeding})
		}
		if len(m.failures) > 0 && c.isOwnUncordoned(m) && c.isFaulty(m) {
			c.requestCordon(name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainFaulty})
		}
	}
}

// isOwnUncordoned tells whether this controller owns the machine, which isn't cordoned.
func (c *Controller) isOwnUncordoned(m *Machine) bool {
	return c.owns(m.Name) && c.cache.cordons[m.Name].State == ""
}

// arePeersFresh tells whether all other serving controllers were heard just now.
func (c *Controller) arePeersFresh() bool {
	for _, node := range c.cache.view.Serving {
		if peer := c.peers.byName[node]; node != c.cfg.Node && (peer == nil || c.now-peer.heardAt > tuning.PeerFresh) {
			return false
		}
	}
	return true
}
