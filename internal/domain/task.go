package domain

// TaskState is the committed state of a task.
type TaskState int

// The states of a task.
const (
	Queued TaskState = iota
	Booked
	Done
)

// Task is a task as committed in its chunk. A booking names everything that a
// run needs: attempt, machine and the machine's session.
type Task struct {
	State      TaskState
	Attempt    uint64
	Machine    string
	AgentEpoch uint64
	Shard      string // queued: the part it was passed to; booked: the node that booked it
	Zone       string
}

// TaskID names a task in reports and orders.
type TaskID struct {
	Job   string
	Index int
}

// TaskReport is a task as a worker reports it.
type TaskReport struct {
	Task    TaskID
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// The task states and causes that matter to the core, in its own names.
const (
	ReportedFetching = "fetching"
	ReportedWaiting  = "waiting"
	ReportedRunning  = "running"
	ReportedSaving   = "saving"
	ReportedEnded    = "ended"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine, Addr, Type, Zone          string
	Spot                               bool
	AgentEpoch, Sequence, FencingToken uint64
	PreemptionNotice                   float64 // < 0: none
	Tasks                              []TaskReport
}
