package domain

// MachineType is a type of machine that the cloud offers. Prices are per hour, in the cloud's
// currency.
type MachineType struct {
	Name         string    `json:"n"`
	Capacity     Resources `json:"r"`
	ImageCacheGB float64   `json:"c"` // space for images, GB
	FetchGBPerS  float64   `json:"f"` // download rate of images, GB/s
	Price        float64   `json:"p"`
	SpotPrice    float64   `json:"s"`
	BootSeconds  float64   `json:"b"`
	Zones        []string  `json:"z"` // zones that offer it
}

// Instance is a machine in the list that the cloud returns.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool    // preemptible, billed at the spot price
	Status                 string  // as the cloud reports it: InstanceBooting, ...
	HeldSeconds            float64 // time since it was rented, s
}

// Statuses of an instance in the cloud's list. The list may also contain others.
const (
	InstanceBooting = "booting"
	InstanceRunning = "running"
	InstanceFailed  = "failed"
)

// Cordon marks a machine that takes no new bookings. The zero value means that the machine is not
// cordoned.
type Cordon struct {
	State  string // "", CordonDrain or CordonGone
	Reason string // reason for a drain, such as DrainIdle
}

// States of a cordon.
const (
	CordonDrain = "drain" // the machine takes no new bookings
	CordonGone  = "gone"  // the cloud reported that the machine, and everything on it, no longer exists
)

// Reasons for a drain. These values are stored.
const (
	DrainIdle         = "idle"   // had no work for too long
	DrainLost         = "lost"   // its owner has received no heartbeat for a long time
	DrainFaulty       = "sick"   // tasks fail on it because of the machine: of several jobs, or many of one job
	DrainFailed       = "failed" // the cloud reports the status InstanceFailed
	DrainStuck        = "stuck"  // boots for too long, or runs but no controller has received its heartbeat for too long
	DrainUnresponsive = "deaf"   // sends heartbeats, but the answers to them have no effect
)
