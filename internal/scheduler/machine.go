package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/steady"
)

// Machine is what this controller knows of a machine. Only the machine's owner acts on it;
// others keep it for a while after a change of owner. All times are steady time.
type Machine struct {
	// Identity, as the newest heartbeat or direct answer gives it. Type and Zone are empty
	// for a machine that is known by its bookings alone.
	Name, Addr, Type, Zone string
	Spot                   bool

	// What the machine said last: its newest heartbeat or its newest direct answer.

	hasReported     bool                                // it said anything at all to this controller
	agentEpoch      uint64                              // the agent's lease that the report belongs to
	sequence        uint64                              // number of the report within its agent epoch
	fencingToken    uint64                              // highest epoch of a view that the agent was answered under
	reported        map[domain.TaskID]domain.TaskReport // every task that the report lists
	byHeartbeat     bool                                // it was a heartbeat, no direct answer to commands
	lastReportAt    time.Duration                       // when it came, or the end of a grace period
	lastHeartbeatAt time.Duration                       // when one last came here as the owner; < 0: not yet
	epochSeenAt     time.Duration                       // when agentEpoch was first heard of here
	preemptionAt    time.Duration                       // when the cloud takes the machine back; < 0: no notice

	// abandonedEpoch: agent epochs up to it are abandoned. Their tasks may run elsewhere, so
	// they are never answered again.
	abandonedEpoch uint64

	// This controller's ownership.

	ownedEpoch uint64        // epoch of the view by which this incarnation became owner
	ownedSince time.Duration // when it saw that view
	answeredAt time.Duration // when it last answered a heartbeat with 200; < 0: not yet
	sentToken  uint64        // fencing token of that answer

	// startsSent is the sequence of the heartbeat whose answer last carried the start of
	// an attempt. A later heartbeat without the attempt shows that the start got lost.
	startsSent map[attemptID]uint64

	lostReplies      int           // heartbeats in a row that show that an answer had no effect
	lostRepliesSince time.Duration // when the first of them came

	// Placing.

	queue           []domain.TaskID          // tasks that wait for room here; some may have left (queues.trim)
	noBookingsUntil time.Duration            // it refused or failed tasks, and gets none before
	failures        map[string]failureCount  // errors since a task was last done here, by job
	nextDirectStop  steady.Gate              // direct stop commands
	runTime         smoothedValue            // seconds that tasks took here, once done
	images          map[string]time.Duration // when an image was last seen in use, by name

	// runningSince is when a reported attempt was first seen to run.
	runningSince map[attemptID]time.Duration
}

// newMachine is a machine that said nothing yet.
func newMachine(name string) *Machine {
	return &Machine{
		Name: name, reported: map[domain.TaskID]domain.TaskReport{}, preemptionAt: -1, answeredAt: -1, lastHeartbeatAt: -1,
		startsSent: map[attemptID]uint64{}, failures: map[string]failureCount{}, images: map[string]time.Duration{},
		runningSince: map[attemptID]time.Duration{},
	}
}

// isNewer tells whether a report is newer than what m last said.
func (m *Machine) isNewer(agentEpoch, sequence uint64) bool {
	return !m.hasReported || agentEpoch > m.agentEpoch || agentEpoch == m.agentEpoch && sequence > m.sequence
}

// isInEpoch tells whether m last spoke in the agent epoch.
func (m *Machine) isInEpoch(agentEpoch uint64) bool {
	return m.hasReported && m.agentEpoch == agentEpoch
}

// isEpochOver tells whether the agent epoch is over: m spoke in a later one, or it was
// abandoned after its lease. An agent stops all tasks before it begins another epoch.
func (m *Machine) isEpochOver(agentEpoch uint64) bool {
	return m.hasReported && m.agentEpoch > agentEpoch || m.abandonedEpoch >= agentEpoch
}

// listsAttempt tells whether the newest report has the attempt.
func (m *Machine) listsAttempt(attempt attemptID) bool {
	report, ok := m.reported[attempt.Task]
	return ok && report.Attempt == attempt.Attempt
}

// reportsEnded tells whether the newest report has the attempt as ended.
func (m *Machine) reportsEnded(attempt attemptID) bool {
	report, ok := m.reported[attempt.Task]
	return ok && report.Attempt == attempt.Attempt && report.State == domain.ReportedEnded
}

// neverReceived tells whether the start of the attempt got lost for good: a heartbeat newer
// than the one whose answer carried the start knows nothing of the task, and its agent was
// answered under the view that made this controller the owner, so that no answer of an
// earlier owner can still be under way. Direct answers prove nothing here, since the answer
// to a heartbeat may arrive after them.
func (m *Machine) neverReceived(attempt attemptID) bool {
	if _, listed := m.reported[attempt.Task]; listed {
		return false
	}
	return m.byHeartbeat && m.fencingToken >= m.ownedEpoch && m.sequence > m.startsSent[attempt]
}

// recordReport takes what a report newer than the last one says of the agent and its tasks
// as such; what follows for the jobs is Controller.recordHeartbeat's.
func (m *Machine) recordReport(heartbeat *domain.Heartbeat, isHeartbeat bool, now time.Duration) {
	m.Addr, m.Type, m.Zone, m.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	if !m.hasReported || heartbeat.AgentEpoch > m.agentEpoch {
		m.epochSeenAt = now
	}
	m.hasReported, m.agentEpoch, m.sequence, m.fencingToken = true, heartbeat.AgentEpoch, heartbeat.Sequence, heartbeat.FencingToken
	m.lastReportAt, m.lastHeartbeatAt, m.byHeartbeat = now, now, isHeartbeat
}

// forgetEnded drops the attempts from runningSince that the newest report no longer lists.
func (m *Machine) forgetEnded() {
	for attempt := range m.runningSince {
		if !m.listsAttempt(attempt) {
			delete(m.runningSince, attempt)
		}
	}
}
