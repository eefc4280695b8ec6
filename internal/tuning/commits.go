package tuning

import "time"

// Requests to the state service and the cloud.
const (
	// StateTimeout ends a request whose answer is then unknown; a few hundred
	// milliseconds happen on good days.
	StateTimeout = 1500 * time.Millisecond
	// WatchWait is how long one watch waits; short, so that a dead connection
	// shows soon.
	WatchWait = 4 * time.Second
	// WatchGap spaces watches, which count as requests.
	WatchGap = 90 * time.Millisecond
	// CloudTimeout ends a request to the cloud.
	CloudTimeout = 4 * time.Second
	// BudgetShare is the part of the published rates that all nodes together
	// plan to use; the rest is for clocks and retries.
	BudgetShare = 0.92
	// WriteOver is how far the nodes' parts of the changes may overlap, from
	// WriteOverNodes nodes on.
	WriteOver      = 1.4
	WriteOverNodes = 3.0
	// RateCut is what is left of a node's rate of changes after a refusal, down to
	// an equal part, and RateRegain the part of its full rate that it gains a second.
	RateCut    = 0.85
	RateRegain = 0.01
	// LeaderWeight is the leader's part of the changes in wide fleets, in equal
	// parts: gangs and marks take about as many as its own part.
	LeaderWeight = 1.7
	// ThrottledTries and ThrottledPause: a user's change that the state service
	// throttled (429) is sent again after a moment; a change's worth of credit comes
	// back there sooner than that.
	ThrottledTries = 2
	ThrottledPause = 60 * time.Millisecond
	// LanesAhead lanes (views, users) may run up AheadSeconds of debt in
	// changes; the state service's own bursts cover that.
	LanesAhead   = 2
	AheadSeconds = 3.0
	// RefusedLeast and RefusedSpread: how long a node waits after a commit that was
	// refused or whose outcome is unknown. Nodes that were refused together must
	// not come back together.
	RefusedLeast  = 150 * time.Millisecond
	RefusedSpread = 300 * time.Millisecond
	// TaskCredit is the credit, in seconds' worth of changes, with which a task
	// commit goes out however large it is.
	TaskCredit = 0.6
	// TxnBytes bounds the text of one transaction, under the 64 KiB limit.
	TxnBytes = 44 << 10
	// TaskBytes is the most that one booked task takes in its chunk, with long
	// sessions and attempts; BookedBytes is what it usually takes.
	TaskBytes   = 28
	BookedBytes = 9
	// TaskBytesShort is what a booking is planned to add in the shorter form.
	TaskBytesShort = 10
	// BookedBytesShort is the same in the shorter form.
	BookedBytesShort = 6
	// MaxInlineTasks is the most tasks of a job placed whole that its header holds.
	MaxInlineTasks = 16
	// ReleaseBytes is the most by which a release lengthens a chunk: it splits
	// a run of equal tasks.
	ReleaseBytes = 12
	// AvoidLeast and AvoidSpread: how long a chunk that lost a conflict is left
	// out of this node's commits.
	AvoidLeast  = 150 * time.Millisecond
	AvoidSpread = time.Second
	// ValueGrow is planned for what one commit adds to a value.
	ValueGrow = 2000
	// PackSlack is kept free in a value for names and the frame.
	PackSlack = 400
	// PackPercent of a value is planned for when jobs are put into a pack.
	PackPercent = 75
	// SlackShare: a node sets aside at most this part of an equal share of a
	// team's limit beyond its bookings; SlackTasks is the least that is worth
	// it, in tasks. Below, each booking changes the team's key.
	SlackShare = 4
	SlackTasks = 16
	// ChunkBytes is what a task of a job with chunks of its own is planned for:
	// most share a machine with others. Bookings wait where a chunk is full.
	ChunkBytes = 16
	// NameBytes bounds names that users choose freely and headers carry.
	NameBytes = 200
	// DependenciesInHeader is the longest text of awaited names that a header carries;
	// longer lists lie beside it.
	DependenciesInHeader = 300
	// MaxLookups is the most awaited jobs that are asked of the state service one by
	// one when a submission names them and the cache lacks them.
	MaxLookups = 4
	// FormatRetry is the pause before an announcement of the format is tried again.
	FormatRetry = 500 * time.Millisecond
	// HeaderBytes is the room kept for a job header's fixed part.
	HeaderBytes = 3000
)
