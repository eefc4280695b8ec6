package domain

// TaskState is the committed state of a task.
type TaskState int

// The states of a task.
const (
	Queued TaskState = iota
	Booked           // assigned to a machine, whether or not it has started there
	Done
)

// Task is the committed state of a task, as stored in its chunk. A booking identifies an attempt by
// its number, the machine and the agent epoch.
type Task struct {
	State      TaskState
	Attempt    uint64 // booked: number of this attempt, from 1; queued: number of attempts so far
	Machine    string
	AgentEpoch uint64
	Shard      string // queued: the shard that it was passed to, "" for the job's shard; booked: the controller that booked it
	Zone       string // zone of the machine
}

// TaskID identifies a task.
type TaskID struct {
	Job   string
	Index int // index in the job, from 0
}

// TaskReport is the state of an attempt as the agent of a machine reports it.
type TaskReport struct {
	Task    TaskID
	Attempt uint64
	State   string // ReportedFetching, ...
	Cause   string // of an ended attempt: CauseDone, ...
	Saved   bool   // the attempt saved its progress before it ended
}

// States of attempts that agents report.
const (
	ReportedFetching = "fetching" // downloading its image
	ReportedWaiting  = "waiting"  // waiting for the other tasks of its gang
	ReportedRunning  = "running"
	ReportedSaving   = "saving"
	ReportedEnded    = "ended"
)

// Causes that agents report for the end of an attempt.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Heartbeat is a report about a machine by its agent.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool    // a preemptible instance
	AgentEpoch                uint64  // increases each time the machine has lost its lease
	Sequence                  uint64  // number of the heartbeat within the agent epoch
	FencingToken              uint64  // highest token that the agent has seen
	PreemptionNotice          float64 // time until the cloud takes the machine back, s; negative: no notice
	Tasks                     []TaskReport
}
