package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/monotime"
)

// Machine is this controller's knowledge of a machine. Only the machine's owner acts on it;
// others keep it for a while after a change of owner. All times are monotonic.
type Machine struct {
	// Identity according to the newest heartbeat or direct answer. Type and Zone are empty
	// for a machine that is known only by its bookings.
	Name, Addr, Type, Zone string
	Spot                   bool

	// The machine's newest report: a heartbeat or a direct answer.

	hasReported   bool                                // this controller has received a report
	agentEpoch    uint64                              // lease of the agent to which the report belongs
	sequence      uint64                              // number of the report within its agent epoch
	fencingToken  uint64                              // highest epoch of a view under which the agent was answered
	reported      map[domain.TaskID]domain.TaskReport // every task in the report
	listBytes     int64                               // most bytes that the report's list of tasks may take
	byHeartbeat   bool                                // the report was a heartbeat, not a direct answer
	lastReportAt  time.Duration                       // when the report arrived, or the end of a grace period
	ownedReportAt time.Duration                       // as lastReportAt, but < 0 until a report arrives in this ownership
	epochSeenAt   time.Duration                       // when agentEpoch was first seen here
	preemptionAt  time.Duration                       // when the cloud takes the machine back; < 0: no notice

	// abandonedEpoch is the highest abandoned agent epoch; all epochs up to it are abandoned too.
	// Their tasks may run elsewhere, so that these epochs are never answered again.
	abandonedEpoch uint64

	// This controller's ownership.

	ownedEpoch uint64        // epoch of the view by which this incarnation became owner
	ownedSince time.Duration // when this controller saw that view
	answeredAt time.Duration // when it last answered a heartbeat with 200; < 0: not yet
	sentToken  uint64        // fencing token of that answer

	// startsSent is, by attempt, the sequence of the heartbeat whose answer last contained the
	// start of the attempt. A later heartbeat without the attempt shows that the start was lost.
	startsSent map[attemptID]uint64

	// unlistable holds the booked attempts whose start was left out of the last answer because
	// the agent's report would have become too long. This happens only if more was booked than
	// a report has room for, by two controllers at once or by an earlier version.
	unlistable map[attemptID]bool

	lostReplies      int           // consecutive heartbeats that show that an answer had no effect
	lostRepliesSince time.Duration // when the first of them arrived

	// Placement of tasks.

	queue           []domain.TaskID          // tasks that wait for room here; some may have left (queues.trim)
	noBookingsUntil time.Duration            // end of the pause after it refused or failed tasks
	failures        map[string]failureCount  // errors since a task was last done here, by job
	nextDirectStop  monotime.Deadline        // for direct stop commands
	runTime         smoothedValue            // run time of tasks that were done here, in seconds
	images          map[string]time.Duration // when an image was last seen in use, by name

	// runningSince is when a reported attempt was first seen running.
	runningSince map[attemptID]time.Duration
}

// newMachine returns a machine without any report.
func newMachine(name string) *Machine {
	return &Machine{
		Name: name, reported: map[domain.TaskID]domain.TaskReport{}, preemptionAt: -1, answeredAt: -1, ownedReportAt: -1,
		startsSent: map[attemptID]uint64{}, unlistable: map[attemptID]bool{}, failures: map[string]failureCount{}, images: map[string]time.Duration{},
		runningSince: map[attemptID]time.Duration{},
	}
}

// isNewer reports whether a report is newer than the last one of m.
func (m *Machine) isNewer(agentEpoch, sequence uint64) bool {
	return !m.hasReported || agentEpoch > m.agentEpoch || agentEpoch == m.agentEpoch && sequence > m.sequence
}

// isInEpoch reports whether the last report of m belongs to the agent epoch.
func (m *Machine) isInEpoch(agentEpoch uint64) bool {
	return m.hasReported && m.agentEpoch == agentEpoch
}

// isEpochOver reports whether the agent epoch is over: m reported in a later one, or the epoch
// was abandoned after its lease expired. An agent stops all tasks before it begins another epoch.
func (m *Machine) isEpochOver(agentEpoch uint64) bool {
	return m.hasReported && m.agentEpoch > agentEpoch || m.abandonedEpoch >= agentEpoch
}

// listsAttempt reports whether the newest report contains the attempt.
func (m *Machine) listsAttempt(attempt attemptID) bool {
	report, ok := m.reported[attempt.Task]
	return ok && report.Attempt == attempt.Attempt
}

// reportsEnded reports whether the newest report contains the attempt as ended.
func (m *Machine) reportsEnded(attempt attemptID) bool {
	report, ok := m.reported[attempt.Task]
	return ok && report.Attempt == attempt.Attempt && report.State == domain.ReportedEnded
}

// neverReceived reports whether the start of the attempt is certainly lost. This is so if a
// heartbeat newer than the one whose answer contained the start doesn't list the task, and its
// agent was answered under the view that made this controller the owner, so that no answer of an
// earlier owner can still arrive. Direct answers prove nothing here, since the answer to a
// heartbeat may arrive after them.
func (m *Machine) neverReceived(attempt attemptID) bool {
	if _, listed := m.reported[attempt.Task]; listed {
		return false
	}
	return m.byHeartbeat && m.fencingToken >= m.ownedEpoch && m.sequence > m.startsSent[attempt]
}

// recordReport stores the agent's state from a report newer than the last one.
// Controller.recordHeartbeat handles the consequences for jobs.
func (m *Machine) recordReport(heartbeat *domain.Heartbeat, isHeartbeat bool, now time.Duration) {
	m.Addr, m.Type, m.Zone, m.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	if !m.hasReported || heartbeat.AgentEpoch > m.agentEpoch {
		m.epochSeenAt = now
	}
	m.hasReported, m.agentEpoch, m.sequence, m.fencingToken = true, heartbeat.AgentEpoch, heartbeat.Sequence, heartbeat.FencingToken
	m.lastReportAt, m.ownedReportAt, m.byHeartbeat = now, now, isHeartbeat
}

// forgetEnded removes the attempts from runningSince that the newest report no longer contains.
func (m *Machine) forgetEnded() {
	for attempt := range m.runningSince {
		if !m.listsAttempt(attempt) {
			delete(m.runningSince, attempt)
		}
	}
}
