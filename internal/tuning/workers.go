package tuning

import "time"

// Heartbeats and their replies.
const (
	// HeartbeatHold is how long a reply waits for commands that are on their way, or for a
	// first task if the machine is idle. The worker waits 4 s for its reply, and a slow
	// controller must meet that limit too.
	HeartbeatHold = 2 * time.Second
	// ReplyEffectDelay is the shortest time after a reply at which a heartbeat is expected to
	// show its effect: a worker's heartbeats are at least half a second apart.
	ReplyEffectDelay = 400 * time.Millisecond
	// MaxLostReplies is the number of consecutive heartbeats that show no effect of the replies
	// before them after which replies are taken not to reach the machine.
	MaxLostReplies = 2
	// StopRepeat is the pause between stops that are sent directly to one machine.
	StopRepeat = 2 * time.Second
	// PreemptionMargin is the part of the time left by a preemption notice that is kept in
	// reserve when tasks are told to save.
	PreemptionMargin = 1500 * time.Millisecond
)

// Silence: when a machine that sends no heartbeats counts as lost.
const (
	// SilenceTimeout is the silence after which a machine counts as lost, if most other
	// machines of its owner still send heartbeats.
	SilenceTimeout = 13 * time.Second
	// PartitionSilenceTimeout applies while a peer is silent too: a network partition may be
	// the cause, and machines beyond it find other owners meanwhile.
	PartitionSilenceTimeout = 27 * time.Second
	// FewZoneMachines is the number of a controller's machines in a zone up to which they may
	// count as lost even if none of that zone sends heartbeats, provided that most of the
	// controller's other machines do.
	FewZoneMachines = 4
	// TakeoverSilence is added to the allowed silence after a change of owner, since the
	// workers first have to find the new owner.
	TakeoverSilence = 12 * time.Second
)

// Cordons.
const (
	// CordonInterval is the pause between commits of cordons in large fleets, so that
	// each commit contains many.
	CordonInterval = 1500 * time.Millisecond
	// IdleCordonInterval is the same when only idle machines are to be cordoned.
	IdleCordonInterval = 6 * time.Second
	// CordonDebt is the debt that commits of cordons may run up against the rate of changes,
	// in seconds' worth of changes.
	CordonDebt = 4.0
)

// Failures: when a machine or a job counts as the cause.
const (
	// FaultyErrors is the number of consecutive errors on one machine, from different jobs
	// where it runs several, that shows that the machine is faulty. Errors of a single job
	// must be twice as many.
	FaultyErrors = 2
	// FaultyGracePeriod is the time that a job has for attempts elsewhere before the machine where
	// it failed is blamed: it covers some placements and image fetches.
	FaultyGracePeriod = 30 * time.Second
	// RefusedPause is how long a machine that refused a task for lack of room gets no
	// bookings. After errors the machine pauses this long for each error in a row.
	RefusedPause = 2 * time.Second
	// MaxErrorRowPause limits the pause of a machine on which tasks fail in a row. It covers
	// some placements, so that few tasks fail on a faulty machine until tasks of their jobs
	// have been done elsewhere.
	MaxErrorRowPause = 10 * time.Second
	// ErrorPause is the first pause of a job after an error. It doubles with each further
	// error, up to MaxErrorPause.
	ErrorPause    = 1 * time.Second
	MaxErrorPause = 45 * time.Second
	// ProbeAfterFailures is the number of failures, with no task done, from which a job runs
	// only one task at a time.
	ProbeAfterFailures = 3
)

// Times for saving, and what counts as small.
const (
	// SaveSlackSeconds is added to the time that a task needs for saving when it is commanded to
	// save and stop, since the command takes a moment to arrive.
	SaveSlackSeconds = 2
	// PreemptionSaveSlackSeconds is the same before the cloud takes the machine back, after
	// which nothing can be saved.
	PreemptionSaveSlackSeconds = 4
	// SmallTaskDivisor is the divisor of a machine's resources that gives the size up to which a
	// task is small. The reply to a machine with room for a small task is held, since such a task
	// may be submitted at any moment.
	SmallTaskDivisor = 8
	// ForgetMachineAfter is how long a machine that is gone or belongs to another controller
	// is remembered.
	ForgetMachineAfter = time.Minute
)
