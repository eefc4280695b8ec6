package tuning

import "time"

// Pace of scaling.
const (
	// InstanceListInterval is the pause between lists of the rented machines.
	InstanceListInterval = 4 * time.Second
	// MachineTypesInterval is the pause between lists of the machine types, whose prices
	// change.
	MachineTypesInterval = 60 * time.Second
	// ScalingInterval is the least pause between the leader's decisions.
	ScalingInterval = 500 * time.Millisecond
	// ScalingLogInterval is the pause between the leader's log lines about its machines.
	ScalingLogInterval = 10 * time.Second
)

// Scaling out.
const (
	// MaxRentalPlans is the most machines planned in one decision, and MaxRentalsAtOnce the
	// most requests that it makes: the cloud's rate lets a few through each second.
	MaxRentalPlans   = 600
	MaxRentalsAtOnce = 8
	// MaxMachinesPerRental is the largest count of one rental, by the protocol.
	MaxMachinesPerRental = 50
	// NoCapacityPause is the first pause after a rental that the cloud had no machine for; it
	// doubles, up to MaxNoCapacityPause.
	NoCapacityPause    = 4 * time.Second
	MaxNoCapacityPause = 20 * time.Second
	// TurnoverCredit is the share of the busy slots that counts as room: they fall free before
	// a new machine has booted and fetched its image.
	TurnoverCredit = 0.3
	// SpareMachines is how many machines are kept ready for a class whose tasks should start sooner
	// than a machine boots; the operators' file may change it.
	SpareMachines = 1
	// SpareStartFactor is the multiple of the time for boot and fetch within which a class's tasks
	// should start for machines to be kept ready for it.
	SpareStartFactor = 1.5
	// SpareSeconds is the time for whose arrivals machines are kept ready: those that fall
	// free elsewhere make up for them by then. RateWindow is the time over which arrivals of
	// the jobs are counted that machines are reserved for.
	SpareSeconds = 20.0
	RateWindow   = 60 * time.Second
)

// Reservations, for gangs and other jobs that the leader places as one, and resting
// machines, on which shards queue nothing so that they fall empty.
const (
	// KeepReservedAfterGang is how long a machine stays reserved after such a job ran there.
	KeepReservedAfterGang = 10 * time.Second
	// GangClassRetention is how long after its last such job a class still has machines kept for
	// it.
	GangClassRetention = 150 * time.Second
	// ReservationBonus favours machines already reserved over others, in seconds of waiting.
	ReservationBonus = 10.0
	// RestingPriceFactor multiplies the price of a resting machine in comparisons, so that
	// machines don't take turns.
	RestingPriceFactor = 1.2
	// HeadroomPercent of what runs is kept free on top before machines rest.
	HeadroomPercent = 8
)

// Scaling in.
const (
	// MaxReturnsAtOnce is the largest number of machines in one return, by the protocol.
	MaxReturnsAtOnce = 100
	// MinChargedTime is the least time that is charged; earlier returns save nothing.
	MinChargedTime = 60 * time.Second
	// IdleTimeout is how long an idle machine is kept.
	IdleTimeout = 20 * time.Second
	// SpotIdleTimeout is the same for spot machines, whose price is a fraction.
	SpotIdleTimeout = 60 * time.Second
	// RestingIdleTimeout is the same for resting machines of large deployments: these are beyond
	// the headroom, which grows with the deployment.
	RestingIdleTimeout = 8 * time.Second
	// ReservedIdleTimeout is the same for a machine whose type serves tasks that need all of it
	// and therefore can't share another.
	ReservedIdleTimeout = 120 * time.Second
	// BootTimeoutFactor is the multiple of a machine type's boot time after which a machine that
	// still boots is given up.
	BootTimeoutFactor = 3.0
	// NoHeartbeatTimeout is how long a running machine may go unheard by all controllers, with
	// all controllers heard from, before it is returned.
	NoHeartbeatTimeout = 45 * time.Second
	// ZoneOutageTimeout is how long most of a zone's machines may go unheard before these are looked
	// at one by one after all.
	ZoneOutageTimeout = 4 * NoHeartbeatTimeout
)

// Pauses after what failed, and bounds of what is counted.
const (
	// MachineTypesRetry is the pause after a listing of machine types that failed.
	MachineTypesRetry = 3 * time.Second
	// MachineTypesCommitRetry is the pause after a commit of a new list that failed.
	MachineTypesCommitRetry = time.Second
	// RentalRetry is the pause after the cloud refused a rental for now.
	RentalRetry = 1500 * time.Millisecond
	// ReturnRetry is the pause after a return that failed.
	ReturnRetry = 2 * time.Second
	// ForgetInstanceAfter is how long an instance that no list has any more is remembered.
	ForgetInstanceAfter = 5 * time.Minute
	// UnlistedTimeout, with twice the list's lag, is when a rented instance that was never
	// listed is forgotten.
	UnlistedTimeout = 2 * time.Minute
	// MaxPendingTasks of a job are counted as waiting; more would be rented for later.
	MaxPendingTasks = 2000
	// MaxPendingFailures in a row of a job's tasks, and nothing is rented for it.
	MaxPendingFailures = 3
	// ShortestRemainingRun, in seconds, is the least that a running task is expected to go on.
	ShortestRemainingRun = 3
	// MinPricedAmount is the least GPU, or else CPU, in thousandths, by which a price is
	// divided.
	MinPricedAmount = 1000
	// MaxCountedGangs bounds the gangs that are counted against a team's limit.
	MaxCountedGangs = 1000
	// RentalAnswerMargin, beyond CloudTimeout, is when a rental without an answer is asked for
	// again under the same name.
	RentalAnswerMargin = time.Second
)
