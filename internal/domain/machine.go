package domain

// MachineType is a machine type.
type MachineType struct {
	Name         string    `json:"n"`
	Capacity     Resources `json:"r"`
	ImageCacheGB float64   `json:"c"`
	FetchGBPerS  float64   `json:"f"`
	Price        float64   `json:"p"`
	SpotPrice    float64   `json:"s"`
	BootSeconds  float64   `json:"b"`
	Zones        []string  `json:"z"`
	Listed       float64   `json:"-"`
}

// Instance is a machine in the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 string
	HeldSeconds            float64
}

// Cordon of a machine; none means in use.
type Cordon struct {
	State  string // CordonDrain or CordonGone
	Reason string
}

// Marks of machines.
const (
	CordonDrain = "drain" // takes no new bookings
	CordonGone  = "gone"  // the cloud said that it and all on it are gone

	DrainIdle      = "idle"
	DrainLost      = "lost"
	DrainFaulty    = "sick"
	DrainFailed    = "failed"
	DrainStuck     = "stuck" // never booted
	DrainUnheeding = "deaf"  // reports, but answers have no effect
)
