package tuning

import "time"

// Requests to the state service and the cloud.
const (
	// StateTimeout ends a request to the state service, whose outcome is then unknown.
	// Latencies of a few hundred milliseconds are normal.
	StateTimeout = 1500 * time.Millisecond
	// WatchWait is how long one watch waits for changes. It is short, so that a dead
	// connection is noticed soon.
	WatchWait = 4 * time.Second
	// MinWatchInterval is the shortest pause between watches, which count as requests.
	MinWatchInterval = 90 * time.Millisecond
	// CloudTimeout ends a request to the cloud.
	CloudTimeout = 4 * time.Second
)

// Rates. A change is one key written. The state service and the cloud publish rates that apply
// to all controllers together.
const (
	// BudgetShare is the part of the published rates that all controllers together plan to
	// use. The rest is a reserve for retries and for differences between clocks.
	BudgetShare = 0.92
	// WriteOverlap is the upper limit of a controller's share of the changes, as a multiple
	// of an equal share. With more than WriteOverlapControllers controllers the multiple is
	// their number divided by it, up to this limit: they don't all need their shares at the
	// same time.
	WriteOverlap            = 1.4
	WriteOverlapControllers = 3.0
	// RateDecrease is the factor by which a refusal reduces a controller's rate of changes,
	// down to an equal share. RateRecovery is the part of its full rate that it regains per
	// second.
	RateDecrease = 0.85
	RateRecovery = 0.01
	// LeaderWeight is the leader's share of the changes in large fleets, as a multiple
	// of an equal share: gangs and cordons need about as many changes as its own shard.
	LeaderWeight = 1.7
	// ThrottledRetries is how often a user's change that the state service throttled (429)
	// is sent again, each time after ThrottledPause. The state service adds the credit for
	// one change in less time than that.
	ThrottledRetries = 2
	ThrottledPause   = 60 * time.Millisecond
	// UrgentLanes is the number of lanes (view and user) whose commits may exceed the credit
	// for changes, and UrgentDebtSeconds is the largest debt, in seconds' worth of changes.
	// The bursts that the state service allows cover that debt.
	UrgentLanes       = 2
	UrgentDebtSeconds = 3.0
	// TaskCredit is the credit, in seconds' worth of changes, with which a task commit of any
	// size is sent.
	TaskCredit = 0.6
	// MinCommitBackoff is the shortest wait of a controller after a commit that was refused
	// or whose outcome is unknown. A random time of up to CommitBackoffJitter is added, since
	// controllers that were refused together must not retry together.
	MinCommitBackoff    = 150 * time.Millisecond
	CommitBackoffJitter = 300 * time.Millisecond
	// MinConflictAvoidance is the shortest time for which a key whose condition failed in a
	// conflict is left out of this controller's commits. A random time of up to
	// ConflictAvoidanceJitter is added.
	MinConflictAvoidance    = 150 * time.Millisecond
	ConflictAvoidanceJitter = time.Second
	// FormatRetry is the pause before the announcement of a format is tried again.
	FormatRetry = 500 * time.Millisecond
)

// Sizes of stored values, in bytes unless said otherwise. The settings limit the sizes of values
// and transactions; a change that is planned to exceed them waits.
const (
	// TxnBytes is the largest text of one transaction, below the protocol's limit of 64 KiB.
	TxnBytes = 44 << 10
	// HeaderBytes is the room reserved for the fixed part of a job's header.
	HeaderBytes = 3000
	// NameBytes limits names that users choose freely and that headers contain.
	NameBytes = 200
	// DependenciesInHeader is the longest list of dependencies, as text, that a header
	// contains. Longer lists are stored in a value of their own.
	DependenciesInHeader = 300
	// MaxLookups is the largest number of dependencies that are looked up one by one in the
	// state service when a submission names them and the cache lacks them.
	MaxLookups = 4
	// MaxInlineTasks is the largest number of tasks of a job placed by the leader that are
	// stored in the header itself.
	MaxInlineTasks = 16
	// TaskBytes is the largest size of one booked task in its chunk, with long agent epochs
	// and attempts. BookedBytes is the usual size.
	TaskBytes   = 28
	BookedBytes = 9
	// CompactTaskBytes and CompactBookedBytes apply to the compact form: the size that a booking
	// is planned to add, and the usual size.
	CompactTaskBytes   = 10
	CompactBookedBytes = 6
	// ChunkTaskBytes is the planned size of one task of a job that has chunks of its own: most
	// tasks share a machine with others. Bookings wait while a chunk is full.
	ChunkTaskBytes = 16
	// ReleaseBytes is the most by which a release lengthens a chunk, since it splits a run of
	// equal tasks.
	ReleaseBytes = 12
	// MaxValueGrowth is the most that one commit is planned to add to a value.
	MaxValueGrowth = 2000
	// PackSlack is kept free in a value for names and for the enclosing structure.
	PackSlack = 400
	// PackPercent is the share of a value's size limit, in percent, that the tasks of a pack's
	// jobs are planned to take when a job is added to the pack. The rest is reserved for
	// bookings that are longer than usual.
	PackPercent = 75
)

// Shares of quotas.
const (
	// SlackDivisor limits the slack, which is the part of a team's limit that a controller
	// sets aside beyond its bookings: to an equal share of the limit divided by SlackDivisor.
	// Without slack each booking would change the team's key.
	SlackDivisor = 4
	// MinSlackTasks is the smallest slack worth setting aside, in tasks.
	MinSlackTasks = 16
)

// Limits of a transaction.
const (
	// ConditionsPerChange is how many conditions a transaction may have for each change that
	// it may have, by the state service's protocol.
	ConditionsPerChange = 4
	// SmallTransaction is the limit of changes up to which a transaction is so small that no
	// stage of a plan reserves changes for the other stages.
	SmallTransaction = 4
	// MaxBookingRounds is the largest number of tasks that one plan books on a machine.
	MaxBookingRounds = 64
	// ManyMachineTypes is the number of types from which a job's list is shortened to those
	// that exist. Shorter lists fit every header.
	ManyMachineTypes = 4
	// MachineTypesBytes is the total length of the names from which the same is done.
	MachineTypesBytes = 600
)
