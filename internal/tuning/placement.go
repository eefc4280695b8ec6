package tuning

import "time"

// Pace of planning.
const (
	// PacePerMachine is the part of the pause between plans that is due to each machine that
	// has sent a heartbeat: the cost of a plan grows with their number. MaxPace limits the
	// pause.
	PacePerMachine = 400 * time.Microsecond
	MaxPace        = 400 * time.Millisecond
	// DrawInterval is the interval at which the information about other shards that draws use
	// is refreshed. Rounds of gossip, draws and steals take place at fractions of it, and
	// information is ignored once it is a few intervals old.
	DrawInterval = 2 * time.Second
	// MaxTasksPerPlan is the largest number of tasks that one plan books of a job placed by
	// the leader, other than a gang: the bookings of other jobs wait for the same plan.
	MaxTasksPerPlan = 64
	// MaxArrayTasksPerPlan is the same for large arrays, hundreds of whose tasks share a
	// value: tasks that are booked in large batches also end together, and take fewer changes.
	MaxArrayTasksPerPlan = 256
	// LargeJobTasks is the number of tasks from which the leader places a job.
	LargeJobTasks = 1000
	// LargeFleetMachines is the number of machines that have sent a heartbeat, and
	// LargeBacklogTasks the number of waiting tasks, above which a fleet counts as large:
	// jobs are handed over and stolen with all their tasks there.
	LargeFleetMachines = 150
	LargeBacklogTasks  = 600
)

// Learning: the starting values given in the users' design document, DESIGN, and in the thesis.
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
	// PassCost is the cost of passing on a task, in seconds of imbalance.
	PassCost = 1.0
	// LoadWeight is the starting weight of a target's own load, per second.
	LoadWeight = -1.0
	// LoadScale turns seconds of load into features of order one for the critic, so that
	// fixed step sizes stay stable.
	LoadScale = 0.01
	// WeightBound is the magnitude beyond which weights are taken to diverge and are reset.
	WeightBound = 20.0
	// RunTimeSmoothing is the weight of a newly finished task in the smoothed run time.
	RunTimeSmoothing = 0.2
	// DefaultRunSeconds is the run time that is assumed where there is no estimate, in
	// seconds.
	DefaultRunSeconds = 60.0
)

// Queues, draws and the cost of a target.
const (
	// PriorityIdle is the lowest priority, by the protocol.
	PriorityIdle = 0
	// QueuedPerJob is the largest number of tasks of one job in machines' queues at a time.
	QueuedPerJob = 128
	// QueueDepth is how many tasks a machine's queue takes beyond those that fit at the same
	// time. The rest remain among the pending jobs of the shard.
	QueueDepth = 1
	// MaxDrawTargets is the largest number of machines from which one task's target is drawn.
	MaxDrawTargets = 16
	// EmptyMachineRuns is the cost of an empty machine in a draw, compared with a nearly full
	// one, in run times. A value above one outweighs the difference of the loads.
	EmptyMachineRuns = 2.0
	// DoublePriceRuns is the cost in a draw of a machine at twice the lowest price for the
	// task, in run times. MaxPriceRatio limits the multiple of the lowest price that counts.
	DoublePriceRuns = 1.0
	MaxPriceRatio   = 4.0
	// ConcurrentFetchCost is what each other image that a machine is fetching adds to the cost of a
	// fetch there, in fetches: the delay of this fetch and the delay that it causes the others.
	ConcurrentFetchCost = 2.0
	// StartLag is the time between a task's booking and its committed end in addition to its
	// run, in seconds: heartbeats, a part of the fetch, and commits.
	StartLag = 8.0
)

// Work stealing.
const (
	// MaxStealJobs is the largest number of jobs that one round of looking for work of other
	// shards considers, and MaxStealRequests the largest number of machines that ask.
	MaxStealJobs     = 32
	MaxStealRequests = 8
	// MaxStealScan is the largest number of queued tasks of one job that are examined to find
	// the shards that have them.
	MaxStealScan = 256
	// MaxStolenTasks is the largest number of tasks of one steal.
	MaxStolenTasks = 8
	// MaxHops is how often a job may change its shard with all its tasks, and StealAfter how long it
	// stays in the shard to which it was sent before others may ask for it.
	MaxHops    = 3
	StealAfter = 3 * time.Second
)

// Precedence of jobs that wait for long.
const (
	// StarvationAge is the age from which a job without a booked or done task takes
	// precedence: even the largest jobs must start within four minutes.
	StarvationAge = 150 * time.Second
	// GangStarvationAge is the age from which a gang of several tasks keeps later jobs from
	// the machines that it needs. MaxGangBlock is the longest time for which it does so, since
	// the gang may be impossible to place.
	GangStarvationAge = 120 * time.Second
	MaxGangBlock      = 100 * time.Second
	// GangFormingTimeout is how long a gang that is booked by several commits may stay without a
	// further booking before its bookings are given up: it covers a few heartbeats, after which
	// a machine that is late takes bookings again.
	GangFormingTimeout = 15 * time.Second
	// MaxClaimAge is how long a small job waits while its team's gangs may use what remains of
	// the limit: no job may wait for 90 s although there is room for it.
	MaxClaimAge = 70 * time.Second
	// ReservationMaxAge is the age up to which the leader's last message about the machines
	// that it reserves is respected by the other controllers.
	ReservationMaxAge = 25 * time.Second
	// MaxCountedSlots limits how many tasks of one kind are counted as fitting on a machine.
	MaxCountedSlots = 64
)
