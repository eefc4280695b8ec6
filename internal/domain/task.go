package domain

// TaskState is the committed state of a task.
type TaskState int

// The states of a task.
const (
	Queued TaskState = iota
	Booked           // on a machine, whether it runs there already or not
	Done
)

// Task is a task as committed in its chunk. A booking names everything that an attempt
// needs: its number, the machine and the agent epoch.
type Task struct {
	State      TaskState
	Attempt    uint64 // of the booking, or the attempts so far; counted from 1
	Machine    string
	AgentEpoch uint64
	Shard      string // queued: the shard that it was passed to; booked: the controller that booked it
	Zone       string // of the machine
}

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int // in the job, from 0
}

// TaskReport is an attempt as the agent of a machine reports it.
type TaskReport struct {
	Task    TaskID
	Attempt uint64
	State   string // ReportedFetching and so on
	Cause   string // of an ended attempt: CauseDone and so on
	Saved   bool   // it saved its progress before it ended
}

// States that agents report.
const (
	ReportedFetching = "fetching" // its image
	ReportedWaiting  = "waiting"  // for the others of its gang
	ReportedRunning  = "running"
	ReportedSaving   = "saving"
	ReportedEnded    = "ended"
)

// Causes of an end that agents report.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Heartbeat is what the agent of a machine reports of it.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool    // a preemptible instance
	AgentEpoch                uint64  // rises whenever the machine lost its lease
	Sequence                  uint64  // counts the heartbeats of an agent epoch
	FencingToken              uint64  // the highest that the agent has seen
	PreemptionNotice          float64 // until the cloud takes the machine, s; < 0: no notice
	Tasks                     []TaskReport
}
