package tuning

import "time"

// Fleet.
const (
	// InstanceListInterval is the pause between machine lists.
	InstanceListInterval = 4 * time.Second
	// ScalingLogInterval is the pause between the leader's log lines about its fleet.
	ScalingLogInterval = 10 * time.Second
	// ScalingInterval is the pause between decisions of the leader.
	ScalingInterval = 500 * time.Millisecond
	// KeepReservedAfterGang is how long a machine stays held after a whole job ran there.
	KeepReservedAfterGang = 10 * time.Second
	// GangClassMemory is how long after its last job a class of whole jobs still
	// has machines kept for it.
	GangClassMemory = 150 * time.Second
	// RestingStickiness raises the price of a resting machine in comparisons, so that
	// machines don't take turns.
	RestingStickiness = 1.2
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
	// ReservationBonus in seconds favours machines already held over others.
	ReservationBonus = 10.0
	// MaxRentalPlans bounds the machines planned in one decision, MaxRentalsAtOnce the
	// requests it makes: the cloud's rate lets a few through each second.
	MaxRentalPlans   = 600
	MaxRentalsAtOnce = 8
	// MaxMachinesPerRental is the largest count of one rental, by the protocol.
	MaxMachinesPerRental = 50
	// MaxReturnsAtOnce is the largest number of names in one return.
	MaxReturnsAtOnce = 100
	// NoCapacityPause is the first pause after a refused rental; doubles.
	NoCapacityPause = 4 * time.Second
	// MaxNoCapacityPause bounds it.
	MaxNoCapacityPause = 20 * time.Second
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
	// IdleKeepResting is the same for resting machines of wide fleets.
	IdleKeepResting = 8 * time.Second
	// TurnoverCredit is the share of the busy slots that counts as room: they
	// fall free before a new machine has booted and fetched its image.
	TurnoverCredit = 0.3
	// IdleKeepReserved is how long an idle machine is kept whose type serves
	// tasks that need all of it and therefore can't share another.
	IdleKeepReserved = 120 * time.Second
	// MinHeld is the least time that is charged; earlier returns save nothing.
	MinHeld = 60 * time.Second
	// MachineTypesInterval refreshes prices.
	MachineTypesInterval = 60 * time.Second
)

// Spare is how many machines are kept ready for a class whose tasks should
// start sooner than a machine boots; the operators' file may change it.
const Spare = 1
