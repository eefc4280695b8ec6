package tuning

import "time"

// Requests to the state service and the cloud.
const (
	// StateTimeout ends a request to the state service, whose outcome is then unknown; a few
	// hundred milliseconds happen on good days.
	StateTimeout = 1500 * time.Millisecond
	// WatchWait is how long one watch waits for changes; it is short, so that a dead
	// connection shows soon.
	WatchWait = 4 * time.Second
	// MinWatchInterval is the least pause between watches, which count as requests.
	MinWatchInterval = 90 * time.Millisecond
	// CloudTimeout ends a request to the cloud.
	CloudTimeout = 4 * time.Second
)

// Rates. A change is one key written; the state service and the cloud publish rates for all
// controllers together.
const (
	// BudgetShare is the part of the published rates that all controllers together plan to
	// use; the rest is for clocks that differ and for retries.
	BudgetShare = 0.92
	// WriteOverlap is the most by which the controllers' parts of the changes overlap, in
	// equal parts. Beyond WriteOverlapControllers controllers one's part grows with their
	// number up to that: they don't all need theirs at the same time.
	WriteOverlap            = 1.4
	WriteOverlapControllers = 3.0
	// RateDecrease is what is left of a controller's rate of changes after a refusal, down to an
	// equal part. RateRegain is the part of its full rate that it gains back a second.
	RateDecrease = 0.85
	RateRecovery = 0.01
	// LeaderWeight is the leader's part of the changes in large deployments, in equal parts:
	// gangs and cordons take about as many as its own shard.
	LeaderWeight = 1.7
	// ThrottledRetries is how often a user's change that the state service throttled (429)
	// is sent again, each time after ThrottledPause: a change's worth of credit comes back
	// there sooner than that.
	ThrottledRetries = 2
	ThrottledPause   = 60 * time.Millisecond
	// UrgentLanes is the number of lanes (views and users) that may run up debt in changes,
	// and UrgentDebtSeconds the most of it, in seconds' worth of changes; the bursts that the
	// state service allows cover that.
	UrgentLanes       = 2
	UrgentDebtSeconds = 3.0
	// TaskCredit is the credit, in seconds' worth of changes, with which a task commit goes
	// out however large it is.
	TaskCredit = 0.6
	// MinCommitBackoff is the least time that a controller waits after a commit that was refused
	// or whose outcome is unknown; up to RefusedSpread is added by random draw, since
	// controllers that were refused together must not come back together.
	MinCommitBackoff    = 150 * time.Millisecond
	CommitBackoffJitter = 300 * time.Millisecond
	// MinConflictAvoidance is the least time for which a key whose condition failed in a conflict is
	// left out of this controller's commits; up to AvoidSpread is added by random draw.
	MinConflictAvoidance    = 150 * time.Millisecond
	ConflictAvoidanceJitter = time.Second
	// FormatRetry is the pause before the announcement of a format is tried again.
	FormatRetry = 500 * time.Millisecond
)

// Sizes of stored values, in bytes unless said otherwise. The settings bound values and
// transactions, and what is planned not to fit waits.
const (
	// TxnBytes bounds the text of one transaction, under the protocol's limit of 64 KiB.
	TxnBytes = 44 << 10
	// HeaderBytes is the room that is kept for the fixed part of a job's header.
	HeaderBytes = 3000
	// NameBytes bounds names that users choose freely and headers carry.
	NameBytes = 200
	// DependenciesInHeader is the longest list of dependencies, as text, that a header
	// carries; longer ones lie beside it.
	DependenciesInHeader = 300
	// MaxLookups is the most dependencies that are asked of the state service one by one when
	// a submission names them and the cache lacks them.
	MaxLookups = 4
	// MaxInlineTasks is the most tasks that the header itself holds of a job that the leader
	// places.
	MaxInlineTasks = 16
	// TaskBytes is the most that one booked task takes in its chunk, with long agent epochs
	// and attempts. BookedBytes is what it usually takes.
	TaskBytes   = 28
	BookedBytes = 9
	// TaskBytesShort and BookedBytesShort are the same in the shorter format: what a booking
	// is planned to add, and what it usually takes.
	TaskBytesShort   = 10
	BookedBytesShort = 6
	// ChunkBytes is what a task of a job with chunks of its own is planned to take: most share
	// a machine with others. Bookings wait where a chunk is full.
	ChunkBytes = 16
	// ReleaseBytes is the most by which a release lengthens a chunk: it splits a run of equal
	// tasks.
	ReleaseBytes = 12
	// MaxValueGrowth is what one commit is planned to add to a value.
	MaxValueGrowth = 2000
	// PackSlack is kept free in a value for names and the frame.
	PackSlack = 400
	// PackPercent of a value's bound is what the tasks of a pack's jobs are planned to take
	// when a job is put into it, in percent; the rest is for longer bookings than usual.
	PackPercent = 75
)

// Shares of quotas.
const (
	// SlackDivisor is the divisor of the most that a controller sets aside of a team's limit
	// beyond its bookings: an equal share of the limit divided by it. Without it each
	// booking changes the team's key.
	SlackDivisor = 4
	// MinSlackTasks is the least that is worth setting aside, in tasks.
	MinSlackTasks = 16
)

// Bounds of a transaction.
const (
	// ConditionsPerChange is how many conditions a transaction may have for each change that
	// it may have, by the state service's protocol.
	ConditionsPerChange = 4
	// SmallTransaction is how many changes a transaction may have that is so small that no
	// stage of a plan keeps any from the others.
	SmallTransaction = 4
	// MaxBookingRounds bounds how many tasks one plan books on a machine.
	MaxBookingRounds = 64
	// ManyMachineTypes is how many types a job's list must have to be shortened to those
	// that exist; shorter ones fit every header.
	ManyMachineTypes = 4
)
