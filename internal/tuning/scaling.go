package tuning

import "time"

// Pace of scaling.
const (
	// InstanceListInterval is the pause between lists of the rented machines.
	InstanceListInterval = 4 * time.Second
	// MachineTypesInterval is the pause between lists of the machine types, whose prices
	// change.
	MachineTypesInterval = 60 * time.Second
	// ScalingInterval is the shortest pause between the leader's scaling decisions.
	ScalingInterval = 500 * time.Millisecond
	// ScalingLogInterval is the pause between the leader's log lines about its machines.
	ScalingLogInterval = 10 * time.Second
)

// Scaling out.
const (
	// MaxRentalPlans is the largest number of machines planned in one decision, and
	// MaxRentalsAtOnce the largest number of requests that the decision makes: the cloud's
	// rate limit admits a few each second.
	MaxRentalPlans   = 600
	MaxRentalsAtOnce = 8
	// MaxMachinesPerRental is the largest count of one rental, by the protocol.
	MaxMachinesPerRental = 50
	// NoCapacityPause is the first pause after a rental for which the cloud had too few
	// machines. The pause doubles with each further one, up to MaxNoCapacityPause.
	NoCapacityPause    = 4 * time.Second
	MaxNoCapacityPause = 20 * time.Second
	// TurnoverCredit is the share of the busy slots that counts as room: these slots become
	// free before a new machine has booted and fetched its image.
	TurnoverCredit = 0.3
	// SpareMachines is how many machines are kept ready for a class whose tasks should start
	// sooner than a machine boots. The operators' settings file can override it.
	SpareMachines = 1
	// SpareStartFactor is the multiple of the time for boot and fetch below which the intended
	// start time of a class's tasks must lie for machines to be kept ready for the class.
	SpareStartFactor = 1.5
	// SpareSeconds is the period for whose arrivals machines are kept ready: after it other
	// machines become free to replace them. RateWindow is the period over which the arrivals
	// of jobs that reserve machines are counted.
	SpareSeconds = 20.0
	RateWindow   = 60 * time.Second
)

// Reservations, for gangs and other jobs whose tasks the leader places together, and resting
// machines. A resting machine is one on which shards queue no tasks, so that it becomes empty and
// can be returned to the cloud.
const (
	// KeepReservedAfterGang is how long a machine stays reserved after such a job ran there.
	KeepReservedAfterGang = 10 * time.Second
	// GangClassRetention is how long after its last such job a class still has machines kept
	// ready for it.
	GangClassRetention = 150 * time.Second
	// ReservationBonus is the advantage of machines already reserved over others, in seconds
	// of waiting.
	ReservationBonus = 10.0
	// RestingPriceFactor multiplies the price of a resting machine in comparisons, so that
	// machines don't alternate between resting and working.
	RestingPriceFactor = 1.2
	// HeadroomPercent is the room that is kept free before machines rest, in percent of the
	// resources that running and pending tasks need.
	HeadroomPercent = 8
)

// Scaling in.
const (
	// MaxReturnsAtOnce is the largest number of machines in one return, by the protocol.
	MaxReturnsAtOnce = 100
	// MinChargedTime is the shortest time that the cloud charges for a machine. An earlier
	// return saves nothing.
	MinChargedTime = 60 * time.Second
	// IdleTimeout is how long an idle machine is kept.
	IdleTimeout = 20 * time.Second
	// SpotIdleTimeout is the same for spot machines, which cost a fraction of the price.
	SpotIdleTimeout = 60 * time.Second
	// RestingIdleTimeout is the same for resting machines of large fleets. It is short,
	// since the other machines have the headroom, which grows with the fleet.
	RestingIdleTimeout = 8 * time.Second
	// ReservedIdleTimeout is the same for a machine whose type serves tasks that need all of
	// it and therefore can't share another.
	ReservedIdleTimeout = 120 * time.Second
	// BootTimeoutFactor is the multiple of a machine type's boot time after which a machine
	// that is still booting is given up.
	BootTimeoutFactor = 3.0
	// NoHeartbeatTimeout is how long a running machine may send no heartbeat to any controller
	// before it is returned. The time counts only while the leader receives messages of all
	// serving controllers.
	NoHeartbeatTimeout = 45 * time.Second
	// ZoneOutageTimeout is how long most of a zone's machines may send no heartbeat before
	// these machines are nevertheless judged one by one.
	ZoneOutageTimeout = 4 * NoHeartbeatTimeout
)

// Pauses after failures, and limits of what is counted.
const (
	// MachineTypesRetry is the pause after a listing of machine types that failed.
	MachineTypesRetry = 3 * time.Second
	// MachineTypesCommitRetry is the pause after a failed commit of changed machine types.
	MachineTypesCommitRetry = time.Second
	// RentalRetry is the pause after a rental that the cloud refused for the moment.
	RentalRetry = 1500 * time.Millisecond
	// ReturnRetry is the pause after a return that failed.
	ReturnRetry = 2 * time.Second
	// ForgetInstanceAfter is the time since an instance became known after which it is
	// forgotten if no list contains it any more.
	ForgetInstanceAfter = 5 * time.Minute
	// UnlistedTimeout plus twice the list's lag is the time after which a rented instance that
	// was never listed is forgotten.
	UnlistedTimeout = 2 * time.Minute
	// MaxPendingTasks is the largest number of tasks of a job that are counted as waiting.
	// Machines for more tasks are rented later.
	MaxPendingTasks = 2000
	// MaxPendingFailures is the number of failures in a row of a job's tasks above which
	// nothing is rented for the job.
	MaxPendingFailures = 3
	// ShortestRemainingRun is the least remaining run time that is expected of a running task,
	// in seconds.
	ShortestRemainingRun = 3
	// MinPricedAmount is the smallest divisor of a machine's price: the price is divided by
	// the machine's GPUs or, if it has none, by its CPUs, both in thousandths.
	MinPricedAmount = 1000
	// MaxCountedGangs limits the number of gangs that are counted against a team's limit.
	MaxCountedGangs = 1000
	// RentalAnswerMargin is added to CloudTimeout to get the time after which a rental without
	// an answer is requested again under the same name.
	RentalAnswerMargin = time.Second
)
