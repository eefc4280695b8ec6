package tuning

import "time"

// Pace of planning.
const (
	// PacePerMachine is the pause between plans for each machine that is heard of: what a plan
	// costs grows with them. MaxPace bounds the pause.
	PacePerMachine = 400 * time.Microsecond
	MaxPace        = 400 * time.Millisecond
	// DrawInterval is the interval by which the draws' view of other shards is refreshed; rounds
	// of gossip, draws and steals are fractions of it, and older news is left out of account
	// after a few of it.
	DrawInterval = 2 * time.Second
	// MaxTasksPerPlan is the most tasks that one plan books of a job that the leader places, other
	// than a gang: others' bookings wait for the same plan.
	MaxTasksPerPlan = 64
	// MaxArrayTasksPerPlan is the same for large arrays, whose tasks share values by the hundred:
	// booked in large lots they also end together, and take fewer changes.
	MaxArrayTasksPerPlan = 256
	// LargeJobTasks is the number of tasks from which the leader places a job.
	LargeJobTasks = 1000
	// LargeFleetMachines is the number of machines heard of, and LargeBacklogTasks the number
	// of waiting tasks, above which a deployment counts as large: jobs are passed on and
	// stolen whole there.
	LargeFleetMachines = 150
	LargeBacklogTasks  = 600
)

// Learning: the starting values of the users' design, DESIGN, and of the thesis.
const (
	// Window is the length of a learning window: weights are updated at its end.
	Window = 10 * time.Second
	// ConsensusWindows is the number of windows after which the controllers' critics are
	// averaged (C in the thesis).
	ConsensusWindows = 5
	// Gamma discounts payoffs from window to window.
	Gamma = 0.9
	// CriticRate and ActorRate are the step sizes of the temporal difference.
	CriticRate = 0.01
	ActorRate  = 0.01
	// PassCost is what passing a task on costs, in seconds of imbalance.
	PassCost = 1.0
	// LoadWeight is the starting weight of a target's own load, per second.
	LoadWeight = -1.0
	// LoadScale turns seconds of load into features of order one for the critic, so that
	// fixed step sizes stay stable.
	LoadScale = 0.01
	// WeightBound is the magnitude beyond which weights have run away and are reset.
	WeightBound = 20.0
	// RunTimeSmoothing is the weight of a newly finished task in the smoothed run time.
	RunTimeSmoothing = 0.2
	// DefaultRunSeconds is the run time that is assumed where nothing is estimated, in seconds.
	DefaultRunSeconds = 60.0
)

// Queues, draws and the cost of a target.
const (
	// PriorityIdle is the lowest priority, by the protocol.
	PriorityIdle = 0
	// QueuedPerJob is the most tasks of one job in machines' queues at a time.
	QueuedPerJob = 128
	// QueueDepth is how many tasks a machine's queue takes beyond those that fit at once; the
	// rest is held back in the shard's pool.
	QueueDepth = 1
	// MaxDrawTargets is the most machines among which one task's target is drawn.
	MaxDrawTargets = 16
	// EmptyMachineRuns is what an empty machine costs a draw beside a nearly full one, in run times;
	// more than one outweighs the loads' difference.
	EmptyMachineRuns = 2.0
	// DoublePriceRuns is what a machine at twice the least price for the task costs a draw, in run
	// times. MaxDearness bounds the multiple of the least price that counts.
	DoublePriceRuns = 1.0
	MaxPriceRatio   = 4.0
	// ConcurrentFetchCost is what each other image on its way to a machine adds to the cost of a fetch
	// there, in fetches: its own delay and that of the others.
	ConcurrentFetchCost = 2.0
	// StartLag is what passes between a task's booking and its committed end besides its run,
	// in seconds: heartbeats, a part of the fetch, and commits.
	StartLag = 8.0
)

// Work stealing.
const (
	// MaxStealJobs is the most jobs that one round of looking for work of other shards looks at,
	// and MaxStealRequests the most machines that ask.
	MaxStealJobs     = 32
	MaxStealRequests = 8
	// MaxStealScan is the most queued tasks of one job that are looked at for the shards that
	// have them.
	MaxStealScan = 256
	// MaxStolenTasks is the most tasks of one steal.
	MaxStolenTasks = 8
	// MaxHops is how often a job may change its shard as a whole, and StealAfter how long it stays
	// where it was sent before others may ask for it.
	MaxHops    = 3
	StealAfter = 3 * time.Second
)

// Waiting: who goes first.
const (
	// StarvationAge is the age from which a job that has begun nothing goes first; even the
	// largest are to begin within four minutes.
	StarvationAge = 150 * time.Second
	// GangStarvationAge is the age from which a gang of several tasks keeps later ones from the
	// machines it needs, and GangBlock the longest that it does: it may not be possible.
	GangStarvationAge = 120 * time.Second
	MaxGangBlock      = 100 * time.Second
	// MaxClaimAge is how long a small job waits for its team's gangs to use what is left of
	// the limit: beside room none is to wait for 90 s.
	MaxClaimAge = 70 * time.Second
	// ReservationMaxAge is how long the leader keeps room for a gang that doesn't fit.
	ReservationMaxAge = 25 * time.Second
	// MaxCountedSlots bounds the tasks of one kind that a machine is counted for.
	MaxCountedSlots = 64
)
