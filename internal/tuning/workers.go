package tuning

import "time"

// Heartbeats and their replies.
const (
	// HeartbeatHold is how long a reply waits for commands that are on their way, or for a
	// first task if the machine is idle. The worker waits 4 s, and a slow controller must
	// still be in time.
	HeartbeatHold = 2 * time.Second
	// ReplyEffectDelay is the least time after a reply at which a heartbeat may show its
	// effect: a worker's heartbeats are half a second apart at the least.
	ReplyEffectDelay = 400 * time.Millisecond
	// MaxLostReplies is the number of heartbeats in a row that show no effect of the
	// replies before them after which a machine counts as one that can't be reached.
	MaxLostReplies = 2
	// StopRepeat is the pause between stops that are sent straight to one machine.
	StopRepeat = 2 * time.Second
	// PreemptionMargin is kept free of the time that a preemption notice leaves when tasks
	// are told to save.
	PreemptionMargin = 1500 * time.Millisecond
)

// Silence: when a machine counts as lost.
const (
	// SilenceTimeout is the silence after which a machine counts as lost, if most others of its owner
	// are still heard.
	SilenceTimeout = 13 * time.Second
	// PartitionSilenceTimeout is the same while a peer is silent too: a cut may lie between, and machines
	// beyond it find other owners meanwhile.
	PartitionSilenceTimeout = 27 * time.Second
	// FewZoneMachines is the number of machines that a controller owns in a zone up to which they
	// may count as lost although none of the zone is heard, if most others are heard.
	FewZoneMachines = 4
	// TakeoverSilence is added to the silence after a change of owner: the workers first
	// have to find the new one.
	TakeoverSilence = 12 * time.Second
)

// Cordons.
const (
	// CordonInterval is the pause between commits of cordons in large deployments, so that
	// each carries many.
	CordonInterval = 1500 * time.Millisecond
	// IdleCordonInterval is the same when only idle machines are to be cordoned.
	IdleCordonInterval = 6 * time.Second
	// CordonDebt is by how much commits of cordons may overdraw the rate of changes, in
	// seconds' worth.
	CordonDebt = 4.0
)

// Failures: when a machine or a job counts as the cause.
const (
	// FaultyErrors is the number of errors in a row on one machine, of different jobs where
	// there are several, that show a faulty machine.
	FaultyErrors = 2
	// FaultyGracePeriod is the time that a job has for tries elsewhere, some placements and image
	// fetches, before the machine where it failed is blamed.
	FaultyGracePeriod = 30 * time.Second
	// RefusedPause is how long a machine that refused a task for lack of room gets no
	// bookings. After errors it is the pause for each of them in a row.
	RefusedPause = 2 * time.Second
	// MaxErrorRowPause bounds the pause of a machine on which tasks fail in a row: some
	// placements, so that a faulty one fails few until tasks of their jobs were done
	// elsewhere.
	MaxErrorRowPause = 10 * time.Second
	// ErrorPause is the first pause of a job after an error; it doubles with each further
	// error, up to MaxErrorPause.
	ErrorPause    = 1 * time.Second
	MaxErrorPause = 45 * time.Second
	// ProbeAfterFailures is the number of failures, with no task done, from which a job is tried one
	// task at a time.
	ProbeAfterFailures = 3
)

// Times for saving, and what counts as small.
const (
	// SaveSlackSeconds are added to what saving costs when a task is told to save and stop:
	// the command is a moment on its way.
	SaveSlackSeconds = 2
	// PreemptionSaveSlackSeconds is the same before the cloud takes the machine, which is
	// final.
	PreemptionSaveSlackSeconds = 4
	// SmallTaskDivisor: a task that needs a machine's resources divided by this is small; the
	// next one may come any moment.
	SmallTaskDivisor = 8
	// ForgetMachineAfter is how long a machine that is gone or belongs to another controller
	// is remembered.
	ForgetMachineAfter = time.Minute
)
