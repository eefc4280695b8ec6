package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// heartbeats holds the machines known to this controller, with their last reports, and the
// heartbeats that wait for an answer.
type heartbeats struct {
	machines          map[string]*Machine          // by name; changed by addMachine and dropMachine alone
	sortedNames       []string                     // names of machines, sorted; nil: to be rebuilt
	pending           map[string]*pendingHeartbeat // by machine
	toReview          map[string]bool              // machines whose pending heartbeats, if any, recent events concern
	nextReview        monotime.Deadline            // when all pending heartbeats are reviewed next
	nextMachineReview monotime.Deadline            // when all machines are reviewed next
}

func newHeartbeats() heartbeats {
	return heartbeats{
		machines: map[string]*Machine{}, pending: map[string]*pendingHeartbeat{}, toReview: map[string]bool{},
	}
}

// heartbeatRefusal is the reason why a heartbeat is not answered with commands.
type heartbeatRefusal int

const (
	heartbeatAccepted heartbeatRefusal = iota
	// controllerMayNotAct: the controller's view, lease or revision was not confirmed recently.
	controllerMayNotAct
	// newerViewSeen: the agent was answered under a later view than the one this controller has.
	newerViewSeen
	// ownedElsewhere: another controller owns the machine.
	ownedElsewhere
	// agentEpochAbandoned: the tasks of the agent epoch may already run elsewhere, so no answer
	// may keep the epoch alive.
	agentEpochAbandoned
	// machineReturned: the machine was returned to the cloud, and its tasks may run elsewhere.
	machineReturned
	// staleHeartbeat: this or a newer report of the agent was received before. The agent no longer
	// waits for the answer, and the list of tasks is outdated.
	staleHeartbeat
)

// onHeartbeat handles a heartbeat of a machine. Only the machine's owner, while it may act,
// answers with 200; every other controller names the owner (421) or answers with 503.
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
	if previous := c.heartbeats.pending[m.Name]; previous != nil { // the agent gave up waiting and sent this one
		delete(c.heartbeats.pending, m.Name)
		c.emit(HeartbeatReply{RequestID: previous.requestID, Status: StatusUnavailable})
	}
	c.planner.dirty = true
	c.placeTasks()
	c.planCommit()
	pending := &pendingHeartbeat{
		machine: m.Name, requestID: received.RequestID, sequence: heartbeat.Sequence, agentEpoch: heartbeat.AgentEpoch,
		answerBy: c.now + tuning.HeartbeatHold,
	}
	if c.shouldDelayAnswer(m) {
		c.heartbeats.pending[m.Name] = pending
		return
	}
	c.answerHeartbeat(pending)
}

// refusalByController returns why this controller may not answer the machine at all;
// heartbeatAccepted if it may.
func (c *Controller) refusalByController(heartbeat *domain.Heartbeat) heartbeatRefusal {
	switch {
	case !c.mayAct():
		return controllerMayNotAct
	case heartbeat.FencingToken > c.cache.view.Epoch:
		return newerViewSeen
	case c.ownerIn(heartbeat.Machine, heartbeat.Zone) != c.cfg.Controller:
		return ownedElsewhere
	}
	return heartbeatAccepted
}

// refusalByMachine returns why the owner of a machine may not answer this heartbeat of it;
// heartbeatAccepted if it may.
func (c *Controller) refusalByMachine(m *Machine, heartbeat *domain.Heartbeat) heartbeatRefusal {
	switch {
	case c.isAbandoned(m, heartbeat.AgentEpoch):
		return agentEpochAbandoned
	case c.cache.isReturned(heartbeat.Machine):
		return machineReturned
	case !m.isNewer(heartbeat.AgentEpoch, heartbeat.Sequence):
		return staleHeartbeat
	}
	return heartbeatAccepted
}

// refuseHeartbeat answers a heartbeat without commands, and takes the action that the refusal
// requires.
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

// isAbandoned reports whether an agent epoch of the machine is abandoned. An abandoned epoch
// stays abandoned (invariant 6 of docs/design.md).
func (c *Controller) isAbandoned(m *Machine, agentEpoch uint64) bool {
	return c.isGuardEnabled(GuardAbandonedEpoch) && agentEpoch <= m.abandonedEpoch
}

// isReturned reports whether the cloud has confirmed that it took the machine back.
func (c *cache) isReturned(machine string) bool {
	return c.cordons[machine].State == domain.CordonGone
}

// isBooking reports whether a reported attempt is the committed booking of its task.
func (c *cache) isBooking(m *Machine, report domain.TaskReport) bool {
	j := c.jobs[report.Task.Job]
	if j == nil || report.Task.Index < 0 || report.Task.Index >= j.Header.TaskCount {
		return false
	}
	task := j.task(report.Task.Index)
	return task.State == domain.Booked && task.Machine == m.Name && task.Attempt == report.Attempt && task.AgentEpoch == m.agentEpoch
}

// recordHeartbeat records a report that is newer than the machine's last one: a heartbeat, or
// a direct response to commands (isHeartbeat is false).
func (c *Controller) recordHeartbeat(m *Machine, heartbeat *domain.Heartbeat, isHeartbeat bool) {
	if m.Addr == "" || m.Type == "" {
		c.debug("first report of machine received", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	if m.hasReported && heartbeat.AgentEpoch > m.agentEpoch {
		c.info("machine lost its lease", "machine", m.Name, "agent_epoch", heartbeat.AgentEpoch)
		clear(m.images)
	}
	m.recordReport(heartbeat, isHeartbeat, c.now)
	c.recordPreemptionNotice(m, heartbeat)
	c.recordReportedTasks(m, heartbeat)
}

// recordPreemptionNotice records whether and when the cloud takes the machine back. A
// negative notice means none; an earlier one may have been withdrawn.
func (c *Controller) recordPreemptionNotice(m *Machine, heartbeat *domain.Heartbeat) {
	if heartbeat.PreemptionNotice < 0 {
		m.preemptionAt = -1
		return
	}
	if m.preemptionAt < 0 {
		c.info("preemption notice received", "machine", m.Name, "in_s", heartbeat.PreemptionNotice)
		c.dequeueAll(m.Name)
	}
	m.preemptionAt = c.now + time.Duration(heartbeat.PreemptionNotice*float64(time.Second))
}

// recordReportedTasks records the tasks that the report lists, and when each was first seen
// running.
func (c *Controller) recordReportedTasks(m *Machine, heartbeat *domain.Heartbeat) {
	clear(m.reported)
	m.listBytes = 0
	for _, report := range heartbeat.Tasks {
		m.reported[report.Task] = report
		m.listBytes += maxReportBytes(report.Task, decimalDigits(report.Attempt))
		j := c.cache.jobs[report.Task.Job]
		if report.State != domain.ReportedRunning || j == nil || j.Header.Spec == nil {
			continue
		}
		m.images[j.Header.Spec.Image] = c.now
		attempt := attemptID{report.Task, report.Attempt}
		if _, known := m.runningSince[attempt]; !known {
			m.runningSince[attempt] = c.now
			c.debug("task running", "task", report.Task, "machine", m.Name, "attempt", report.Attempt)
		}
	}
	m.forgetEnded()
}

// onCommandsAnswered handles an agent's direct response to commands. It is ordered by (agent
// epoch, sequence) like any report, but never proves that a start got lost, since the answer
// to a heartbeat may still be in flight (Machine.neverReceived).
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

// sortedTasks returns the keys of a map, sorted by job and index.
func sortedTasks[V any](m map[domain.TaskID]V) []domain.TaskID {
	return sortTasks(slices.Collect(maps.Keys(m)))
}

// sortTasks sorts task IDs in place by job and index, and returns them.
func sortTasks(ids []domain.TaskID) []domain.TaskID {
	slices.SortFunc(ids, compareTasks)
	return ids
}

// compareTasks orders task IDs by job and index.
func compareTasks(a, b domain.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// isProvenStopped reports whether this controller can prove that a booked task does not run
// on its machine. It keeps invariant 5 of docs/design.md: a task is booked elsewhere only
// once its attempt can neither run any more nor be started by an answer that is still in
// flight.
func (c *Controller) isProvenStopped(m *Machine, id domain.TaskID, task domain.Task) bool {
	if !c.isGuardEnabled(GuardProof) && c.now-m.lastReportAt > 4*time.Second {
		return true // only in tests, which disable the guard
	}
	if c.cache.isReturned(m.Name) || m.isEpochOver(task.AgentEpoch) {
		return true
	}
	if !m.isInEpoch(task.AgentEpoch) {
		return false // its last report is older than the booking
	}
	attempt := attemptID{id, task.Attempt}
	return m.reportsEnded(attempt) || m.neverReceived(attempt)
}

// hasMachineLeaseExpired reports whether m's lease has expired for certain: its duration, with
// a margin for differences between clocks, has passed since the last moment at which any
// controller can have renewed it. A new agent epoch counts as renewed when its first report was
// received. Otherwise a new epoch that is not yet answered would be abandoned because the last
// answer to the previous epoch is old, and its live tasks would later be started elsewhere.
func (c *Controller) hasMachineLeaseExpired(m *Machine) bool {
	renewedAt := max(m.ownedSince+c.cfg.FenceAge, m.answeredAt, m.epochSeenAt)
	lease := c.cfg.WorkerLease + c.cfg.WorkerLease/1000
	return c.now > renewedAt+lease+tuning.DriftMargin
}
