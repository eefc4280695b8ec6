package domain

// CommandKind is what a command tells an agent to do. Its values are sent to the agents.
type CommandKind string

// The kinds of commands.
const (
	StartTask  CommandKind = "run"   // start an attempt, or keep it running if it has started
	StopTask   CommandKind = "halt"  // save progress within the grace period, then exit
	ForgetTask CommandKind = "clear" // stop reporting an ended attempt
)

// Command is an instruction to the agent of a machine, about one attempt of a task.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      uint64
	GraceSeconds float64
	Reason       CommandReason // for logs and metrics; not sent to the agent
}

// CommandReason is the reason for a command, as it appears in logs and metrics.
type CommandReason string

// The reasons for commands. The only reason for a start is ReasonBooked: the task has a committed
// booking on the machine, which names the present agent epoch.
const (
	ReasonBooked           CommandReason = "booked"
	ReasonOutcomeCommitted CommandReason = "settled"     // for ForgetTask: the outcome is committed
	ReasonNotBooked        CommandReason = "not_booked"  // the task is no longer booked on that machine
	ReasonGangBroken       CommandReason = "gang_broken" // some tasks of the gang's attempt are no longer booked
	ReasonGangStop         CommandReason = "gang_halt"   // the whole gang saves its progress and stops together
	ReasonPreempted        CommandReason = "preempted"   // for work of higher priority; idle work for any other work
	ReasonPreemptionNotice CommandReason = "recalled"    // the cloud is about to take the machine back
	ReasonDraining         CommandReason = "draining"    // the machine is drained and takes no more work
)
