package domain

// MachineType is a type of machine that the cloud offers. Prices are in the cloud's currency
// an hour.
type MachineType struct {
	Name         string    `json:"n"`
	Capacity     Resources `json:"r"`
	ImageCacheGB float64   `json:"c"` // room for images, GB
	FetchGBPerS  float64   `json:"f"` // rate at which images are fetched, GB/s
	Price        float64   `json:"p"`
	SpotPrice    float64   `json:"s"`
	BootSeconds  float64   `json:"b"`
	Zones        []string  `json:"z"` // that offer it
}

// Instance is a machine in the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool    // preemptible, at the spot price
	Status                 string  // as the cloud says it: InstanceBooting and so on
	HeldSeconds            float64 // since it was rented
}

// Statuses of an instance as the cloud's list says them; the list may have others.
const (
	InstanceBooting = "booting"
	InstanceRunning = "running"
	InstanceFailed  = "failed"
)

// Cordon of a machine: it takes no new bookings. The zero value means none: the machine is in
// use.
type Cordon struct {
	State  string // "", CordonDrain or CordonGone
	Reason string // of a drain
}

// States of a cordon.
const (
	CordonDrain = "drain" // takes no new bookings
	CordonGone  = "gone"  // the cloud said that it and all on it are gone
)

// Reasons for a drain, as they are stored.
const (
	DrainIdle         = "idle"
	DrainLost         = "lost"   // no heartbeat for long
	DrainFaulty       = "sick"   // several jobs fail there
	DrainFailed       = "failed" // the cloud says so
	DrainStuck        = "stuck"  // never booted
	DrainUnresponsive = "deaf"   // sends heartbeats, but answers have no effect
)
