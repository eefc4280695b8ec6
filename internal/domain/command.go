package domain

// CommandKind is what a command tells an agent to do; the words are those of the protocol.
type CommandKind string

// The kinds of commands.
const (
	StartTask  CommandKind = "run"   // start an attempt, or leave it running
	StopTask   CommandKind = "halt"  // save progress within the grace period, then end
	ForgetTask CommandKind = "clear" // drop an ended attempt from the reports
)

// Command to the agent of a machine.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      uint64
	GraceSeconds float64
	Reason       CommandReason // for logs and metrics; the agent is not told
}

// CommandReason says why a command was given.
type CommandReason string

// The reasons for commands. A start has only one: its booking is committed and names
// the agent epoch.
const (
	ReasonBooked           CommandReason = "booked"
	ReasonOutcomeCommitted CommandReason = "settled"     // forget: the outcome is committed
	ReasonNotBooked        CommandReason = "not_booked"  // the task is no longer wanted on that machine
	ReasonGangBroken       CommandReason = "gang_broken" // not all tasks of the attempt are booked any more
	ReasonGangStop         CommandReason = "gang_halt"   // the whole gang saves its progress together
	ReasonPreempted        CommandReason = "preempted"   // for work of higher priority, or idle work for any other
	ReasonPreemptionNotice CommandReason = "recalled"    // the cloud takes the machine
	ReasonDraining         CommandReason = "draining"    // the machine takes no more work
)
