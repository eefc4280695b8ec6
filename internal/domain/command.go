package domain

// CommandKind of an order.
type CommandKind string

// The orders.
const (
	StartTask  CommandKind = "run"
	StopTask   CommandKind = "halt"
	ForgetTask CommandKind = "clear"
)

// Command to a worker.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      uint64
	GraceSeconds float64
	Reason       CommandReason // for logs and metrics; the worker is not told
}

// CommandReason says why a command was given.
type CommandReason string

// The reasons for commands. A start has only one: its booking is committed and names
// the worker's session.
const (
	ReasonBooked           CommandReason = "booked"
	ReasonSettled          CommandReason = "settled"     // clear: the outcome is committed
	ReasonNotBooked        CommandReason = "not_booked"  // the task is no longer wanted on that machine
	ReasonGangBroken       CommandReason = "gang_broken" // not all tasks of the attempt are booked any more
	ReasonGangStop         CommandReason = "gang_halt"   // the whole gang saves together
	ReasonPreempted        CommandReason = "preempted"   // for work of higher priority, or idle work for any other
	ReasonPreemptionNotice CommandReason = "recalled"    // the cloud takes the machine
	ReasonDraining         CommandReason = "draining"    // the machine takes no more work
)
