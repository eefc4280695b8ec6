package tuning

import "time"

// Placement and learning; the starting values of DESIGN.
const (
	// Tick drives the core when nothing else does.
	Tick = 100 * time.Millisecond
	// PaceMachine is the pause between plans for each machine heard of; what a
	// plan costs grows with them. MaxPace bounds it.
	PaceMachine = 400 * time.Microsecond
	MaxPace     = 400 * time.Millisecond
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
	// PriorityIdle is the lowest priority, by the protocol.
	PriorityIdle = 0
	// LargeJobTasks is the number of tasks from which the leader places a job.
	LargeJobTasks = 1000
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
	// the task costs a draw; MaxDearness bounds the multiple.
	DearRuns    = 1.0
	MaxDearness = 4.0
	// StartLag in seconds is what passes, besides its run, between a task's
	// booking and its committed end: check-ins, part of a fetch, reports.
	StartLag = 8.0
	// MaxDrawTargets bounds the machines among which one task is drawn.
	MaxDrawTargets = 16
	// StealLots and MaxStealRequests bound one round of looking for work of other
	// parts: jobs looked at, and machines that ask.
	StealLots        = 32
	MaxStealRequests = 8
	// StealLook bounds the queued tasks of one job looked at for the parts that
	// have them.
	StealLook = 256
	// LargeFleetMachines is the number of machines heard of above which jobs are passed
	// and stolen whole. MaxHops bounds how often one is, StealAfter is how
	// long it stays where it was sent before others may ask for it.
	// LargeBacklogTasks waiting tasks count like that many machines.
	LargeFleetMachines = 150
	LargeBacklogTasks  = 600
	MaxHops            = 3
	StealAfter         = 3 * time.Second
	// StarveAfter is the age from which a job of which nothing began goes first;
	// even the largest are to begin within four minutes.
	StarveAfter = 150 * time.Second
	// GangStarve is the age from which a gang of several tasks keeps later ones
	// from the machines it needs, for GangBlock at most: it may not be possible.
	GangStarve = 120 * time.Second
	GangBlock  = 100 * time.Second
	// MaxClaimAge is how long a small job waits for its team's gangs to use what is
	// left of the limit: beside room none is to wait for 90 s.
	MaxClaimAge = 70 * time.Second
	// MaxHandovers bounds the tasks of one steal.
	MaxHandovers = 8
	// ReservationFresh is how long the leader keeps room for a gang that doesn't fit.
	ReservationFresh = 25 * time.Second
)
