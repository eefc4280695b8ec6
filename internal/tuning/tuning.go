// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. Nothing here repeats a figure of one deployment;
// those come with the settings file.
package tuning

import "time"

// Entitlement: who may act, and for how long after last having been sure.
const (
	// Fence is how old the newest confirmation of view and cache may be while
	// a node still answers check-ins with 200. Together with lease_s and the
	// margins it must stay under cancel_s; config refuses settings where not.
	Fence = 7 * time.Second
	// FenceLeast is the shortest fence that leaves room for a retry.
	FenceLeast = 2 * time.Second
	// FenceMargin covers an answer's way to the worker.
	FenceMargin = 300 * time.Millisecond
	// ConfirmEvery is the pause between confirmations when no reader asks;
	// several fit into Fence, so that one lost request costs nothing.
	ConfirmEvery = 1200 * time.Millisecond
	// ConfirmGap is the least pause between two confirmations asked for by
	// readers; it bounds the requests that polls can cause.
	ConfirmGap = 60 * time.Millisecond
	// ConfirmShare and WatchShare are the parts of a node's requests that read
	// indexes and watches may take; the rest is for commits and renewals.
	ConfirmShare = 0.3
	WatchShare   = 0.35
	// ConfirmRetry is the pause after a failed confirmation.
	ConfirmRetry = 350 * time.Millisecond
	// GrantLife is the life of the grant that the member key hangs on: the
	// time until the others notice that a node is gone.
	GrantLife = 5 * time.Second
	// RenewEvery renews the grant; three tries fit into GrantLife.
	RenewEvery = 1400 * time.Millisecond
	// ProposePause spaces proposals of a changed view by one node.
	ProposePause = 700 * time.Millisecond
	// DriftMargin covers clocks 0.05% apart over any lease used here, and the
	// coarse timers of the machines.
	DriftMargin = 700 * time.Millisecond
	// BounceWindow and BounceCount: a worker sent to the same owner that often
	// within the window can't reach it.
	BounceWindow = 14 * time.Second
	BounceCount  = 2
	// MovesMost changes of override within MoveMemory are enough for one
	// machine: then it is the machine that can't be reached, not its owners.
	MovesMost  = 2
	MoveMemory = 60 * time.Second
	// ViewBytes is kept in the view for all but overrides; OverBytes is what
	// one of these takes at most.
	ViewBytes = 1200
	OverBytes = 32
	// BounceSettle is how long workers of one owner must come round before wide
	// fleets move them: longer than the owner's grant, whose end moves all.
	BounceSettle = GrantLife + 1500*time.Millisecond
	// BounceBack is the least time between two visits of a worker that tried its
	// owner in between: it waits 4 s for an answer, or 1 s after a refusal.
	BounceBack = 900 * time.Millisecond
	// OverPause is the least time between changes of overrides alone in wide
	// fleets: each change of the view fails all commits under way.
	OverPause = 3 * time.Second
	// ApartMachines of one zone that can't reach another zone's owners mean that
	// the zones are apart. ZonedKeep is how long all must have been heard again,
	// and the zoned view have stood, before it ends.
	ApartMachines = 12
	ZonedKeep     = 12 * time.Second
	// OverKeep is how long an override is kept when the view changes anyway.
	OverKeep = 60 * time.Second
	// PeerFresh is the age up to which a peer's word shows that no cut lies
	// between it and this node.
	PeerFresh = 4 * time.Second
	// UnreachablePercent of an owner's machines must bounce before it is taken
	// off serving; fewer are given new owners one by one.
	UnreachablePercent = 70
	// UnreachableMachines bounced off one owner mean the owner is at fault.
	UnreachableMachines = 2
	// ReserveAfter is how long a node that was taken off serving stays off.
	ReserveAfter = 45 * time.Second
)

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
	// InHeader is the most tasks of a job placed whole that its header holds.
	InHeader = 16
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
	// NeedsInHeader is the longest text of awaited names that a header carries;
	// longer lists lie beside it.
	NeedsInHeader = 300
	// LookUps is the most awaited jobs that are asked of the state service one by
	// one when a submission names them and the cache lacks them.
	LookUps = 4
	// FormatRetry is the pause before an announcement of the format is tried again.
	FormatRetry = 500 * time.Millisecond
	// HeaderBytes is the room kept for a job header's fixed part.
	HeaderBytes = 3000
)

// Users.
const (
	// PollPatience ends the wait of a poll for its read index; users wait 2 s.
	PollPatience = 1200 * time.Millisecond
	// RetryAfterS is told to users who could not be served, in seconds.
	RetryAfterS = 1
	// UserQueue bounds the user requests waiting for the core; beyond it the
	// answer is an immediate 503.
	UserQueue = 64
	// WorkerQueue bounds the waiting check-ins, at least one per machine.
	WorkerQueue = 256
	// ConnsShare and ConnsMost, in percent of the sockets: beyond the first, users'
	// connections are closed after their answer; beyond the second, users are told
	// at once to come back. What is left is for workers and this node's own.
	ConnsShare = 70
	ConnsMost  = 92
	// ServedIdle closes a connection that nobody uses; workers report more often.
	ServedIdle = 40 * time.Second
	// BodyLimit is the largest request body, by the protocol.
	BodyLimit = 64 << 10
)

// Workers.
const (
	// CheckinHold is how long an answer waits for orders that are on their way,
	// or for a first task if the machine is idle; the worker waits 4 s, and a
	// slow node must still be in time.
	CheckinHold = 2 * time.Second
	// MarkEvery is the pause between commits of marks in wide fleets, so that
	// each carries many; MarkDebt is how many seconds' worth of changes they may
	// overdraw.
	MarkEvery = 1500 * time.Millisecond
	MarkDebt  = 4.0
	// MarkIdleEvery is the same when only idle machines are to be marked.
	MarkIdleEvery = 6 * time.Second
	// HeedAfter is the least time after an answer at which a report may show it:
	// workers report half a second apart at the least.
	HeedAfter = 400 * time.Millisecond
	// UnheededMost reports in a row that show no effect of the answers before
	// them mean a machine that can't be reached.
	UnheededMost = 2
	// Silent is the silence after which a machine counts as lost, if most
	// others of its owner still report.
	Silent = 13 * time.Second
	// SilentFew machines of a zone, if this node has no more there, may be marked
	// lost though none of the zone is heard, if most others are.
	SilentFew = 4
	// SilentCut is the same while a peer is silent too: a cut may lie between,
	// and machines beyond it find other owners meanwhile.
	SilentCut = 27 * time.Second
	// TakeoverSilence is added after a change of owner: the workers first
	// have to find the new one.
	TakeoverSilence = 12 * time.Second
	// HaltRepeat is the pause between direct halts to one machine.
	HaltRepeat = 2 * time.Second
	// RecallMargin is kept free of a recall's time when tasks are told to save.
	RecallMargin = 1500 * time.Millisecond
	// SickErrors in a row on one machine, by different jobs where there are
	// several, mean a sick machine.
	SickErrors = 2
	// SickSettle is the time that a job has to be tried elsewhere, some placements and
	// fetches, before the machine where it failed is blamed.
	SickSettle = 30 * time.Second
	// ErrorRowMost bounds the pause of a machine on which tasks fail in a row: some
	// placements, so that a sick one fails few until tasks of their jobs were done
	// elsewhere.
	ErrorRowMost = 10 * time.Second
	// ErrorPause is the first pause of a job after an error; it doubles.
	ErrorPause = 1 * time.Second
	// DoubtAfter tries in a row that failed, a job is tried one task at a time.
	DoubtAfter = 3
	// ErrorPauseMost bounds it.
	ErrorPauseMost = 45 * time.Second
	// RefusedPause keeps a machine that refused for lack of room unbooked.
	RefusedPause = 2 * time.Second
)

// Placement and learning; the starting values of DESIGN.
const (
	// Tick drives the core when nothing else does.
	Tick = 100 * time.Millisecond
	// PaceMachine is the pause between plans for each machine heard of; what a
	// plan costs grows with them. PaceMost bounds it.
	PaceMachine = 400 * time.Microsecond
	PaceMost    = 400 * time.Millisecond
	// DrawEvery refreshes the draws' view of other parts.
	DrawEvery = 2 * time.Second
	// Window is the learning window: weights are updated at its end.
	Window = 10 * time.Second
	// ConsensusEvery windows the critics are averaged (C).
	ConsensusEvery = 5
	// Gamma discounts payoffs from window to window.
	Gamma = 0.9
	// CriticRate and ActorRate are the steps of the temporal difference.
	CriticRate = 0.01
	ActorRate  = 0.01
	// PassCost in seconds of imbalance per pass.
	PassCost = 1.0
	// LoadWeight is the starting weight of a target's own load, per second.
	LoadWeight = -1.0
	// LoadScale turns seconds of load into features of order one for the
	// critic, so that fixed rates stay stable.
	LoadScale = 0.01
	// WeightBound: weights beyond it are runaway and reset.
	WeightBound = 20.0
	// RateSmooth is the weight of a new finish in the smoothed run time.
	RateSmooth = 0.2
	// SeedRun in seconds is the run time assumed where nothing is estimated.
	SeedRun = 60.0
	// QueuedPerJob bounds a job's tasks in machine queues at one time.
	QueuedPerJob = 128
	// PrioIdle is the lowest priority, by the protocol.
	PrioIdle = 0
	// LargeJob is the number of tasks from which the leader places a job.
	LargeJob = 1000
	// TasksAtOnce bounds the tasks of a job placed whole, other than a gang, that one
	// plan books: others' bookings wait for the same plan.
	TasksAtOnce = 64
	// LargeAtOnce is the same for large arrays, whose tasks share values by the
	// hundred: booked in large lots they also end together, and take fewer changes.
	LargeAtOnce = 256
	// QueueDepth is how many tasks a machine's queue takes beyond those that
	// fit at once; the rest is held back in the part's pool.
	QueueDepth = 1
	// PackRuns is, in run times, what an empty machine costs a draw beside a
	// nearly full one; more than one outweighs the loads' difference.
	PackRuns = 2.0
	// FetchShare is what each other image on its way to a machine adds to the
	// cost of a fetch there, in fetches: its own delay and that of the others.
	FetchShare = 2.0
	// DearRuns is, in run times, what a machine at twice the least price for
	// the task costs a draw; DearMost bounds the multiple.
	DearRuns = 1.0
	DearMost = 4.0
	// StartLag in seconds is what passes, besides its run, between a task's
	// booking and its committed end: check-ins, part of a fetch, reports.
	StartLag = 8.0
	// DrawMost bounds the machines among which one task is drawn.
	DrawMost = 16
	// StealLots and StealMost bound one round of looking for work of other
	// parts: jobs looked at, and machines that ask.
	StealLots = 32
	StealMost = 8
	// StealLook bounds the queued tasks of one job looked at for the parts that
	// have them.
	StealLook = 256
	// WideFleet is the number of machines heard of above which jobs are passed
	// and stolen whole. HopsMost bounds how often one is, StealAfter is how
	// long it stays where it was sent before others may ask for it.
	// WideBacklog waiting tasks count like that many machines.
	WideFleet   = 150
	WideBacklog = 600
	HopsMost    = 3
	StealAfter  = 3 * time.Second
	// StarveAfter is the age from which a job of which nothing began goes first;
	// even the largest are to begin within four minutes.
	StarveAfter = 150 * time.Second
	// GangStarve is the age from which a gang of several tasks keeps later ones
	// from the machines it needs, for GangBlock at most: it may not be possible.
	GangStarve = 120 * time.Second
	GangBlock  = 100 * time.Second
	// ClaimMost is how long a small job waits for its team's gangs to use what is
	// left of the limit: beside room none is to wait for 90 s.
	ClaimMost = 70 * time.Second
	// HandoverMost bounds the tasks of one steal.
	HandoverMost = 8
	// GangHold is how long the leader keeps room for a gang that doesn't fit.
	GangHold = 25 * time.Second
)

// Fleet.
const (
	// ListEvery is the pause between machine lists.
	ListEvery = 4 * time.Second
	// FleetTell is the pause between the leader's log lines about its fleet.
	FleetTell = 10 * time.Second
	// FleetEvery is the pause between decisions of the leader.
	FleetEvery = 500 * time.Millisecond
	// HoldAfter is how long a machine stays held after a whole job ran there.
	HoldAfter = 10 * time.Second
	// WholeMemory is how long after its last job a class of whole jobs still
	// has machines kept for it.
	WholeMemory = 150 * time.Second
	// RestSticky raises the price of a resting machine in comparisons, so that
	// machines don't take turns.
	RestSticky = 1.2
	// HeadroomPercent of what runs is kept free on top before machines rest.
	HeadroomPercent = 8
	// RateWindow is the time over which arrivals of whole jobs are counted.
	// Machines are kept ready for what comes within SpareSeconds: those that
	// fall free elsewhere make up for them by then.
	RateWindow   = 60 * time.Second
	SpareSeconds = 20.0
	// SpareReach: classes whose tasks should start within that many times what
	// boot and fetch take have machines kept ready.
	SpareReach = 1.5
	// HoldBonus in seconds favours machines already held over others.
	HoldBonus = 10.0
	// RentPlans bounds the machines planned in one decision, RentsAtOnce the
	// requests it makes: the cloud's rate lets a few through each second.
	RentPlans   = 600
	RentsAtOnce = 8
	// RentMost is the largest count of one rental, by the protocol.
	RentMost = 50
	// ReturnMost is the largest number of names in one return.
	ReturnMost = 100
	// NoCapacityPause is the first pause after a refused rental; doubles.
	NoCapacityPause = 4 * time.Second
	// NoCapacityMost bounds it.
	NoCapacityMost = 20 * time.Second
	// BootPatience times BootSeconds is when a machine that still boots is given up.
	BootPatience = 3.0
	// UnheardPatience is how long a running machine may go unheard by all
	// nodes, with all nodes heard from, before it is returned.
	UnheardPatience = 45 * time.Second
	// UnheardCut is how long most of a zone's machines may go unheard before
	// these are looked at one by one after all.
	UnheardCut = 4 * UnheardPatience
	// IdleKeep is how long an idle machine is kept.
	IdleKeep = 20 * time.Second
	// IdleKeepSpot is the same for spot machines, whose price is a fraction.
	IdleKeepSpot = 60 * time.Second
	// IdleKeepRest is the same for resting machines of wide fleets.
	IdleKeepRest = 8 * time.Second
	// TurnoverCredit is the share of the busy slots that counts as room: they
	// fall free before a new machine has booted and fetched its image.
	TurnoverCredit = 0.3
	// IdleKeepWhole is how long an idle machine is kept whose type serves
	// tasks that need all of it and therefore can't share another.
	IdleKeepWhole = 120 * time.Second
	// MinHeld is the least time that is charged; earlier returns save nothing.
	MinHeld = 60 * time.Second
	// FlavorsEvery refreshes prices.
	FlavorsEvery = 60 * time.Second
)

// Peers and connections.
const (
	// PeerQueue bounds the frames waiting for one peer; older news is stale.
	PeerQueue = 8
	// PeerTimeout ends a connect or write to a peer.
	PeerTimeout = time.Second
	// PeerAck is how long a frame may lack its acknowledgement.
	PeerAck = 4 * time.Second
	// UsableFor is the age up to which an answered confirmation shows that the
	// state service answers this node.
	UsableFor = 3500 * time.Millisecond
	// StepBack is how long another node must be the better choice before this
	// one leaves the load balancer: in an outage for all, nodes notice it some
	// time after each other.
	StepBack = 2500 * time.Millisecond
	// PeerRetry is the pause after a failed one.
	PeerRetry = 500 * time.Millisecond
	// PeerIdle closes a link that says nothing.
	PeerIdle = 15 * time.Second
	// IdleConn is how long an idle client connection is trusted.
	IdleConn = 8 * time.Second
	// ClientConns bounds the connections of one client at a time.
	ClientConns = 8
	// DirectTimeout ends a direct order to a worker.
	DirectTimeout = 2 * time.Second
	// DirectAtOnce bounds direct orders under way.
	DirectAtOnce = 16
	// MemoryShare of the machine's memory is the collector's soft limit.
	MemoryShare = 0.55
)

// Spare is how many machines are kept ready for a class whose tasks should
// start sooner than a machine boots; the operators' file may change it.
const Spare = 1

// Process.
const (
	// GCPercent trades memory, which is ample, for collector time, which isn't.
	GCPercent = 300
	// AskPatience ends a request that the loop did not answer; workers drop
	// answers after 4 s, so nothing later is of use to them.
	AskPatience = 3500 * time.Millisecond
)

// Seed of the draws; the node's name is mixed in. Fixed, so that a day can be
// played again.
const Seed = 1
