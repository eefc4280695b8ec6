package domain

// Shape of a job.
type Shape string

// The shapes.
const (
	Array   Shape = "array"
	Gang    Shape = "gang"
	Service Shape = "service"
)

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID                   string    `json:"-"`
	Class                string    `json:"cl"`
	Team                 string    `json:"tm"`
	Shape                Shape     `json:"sh"`
	Priority             int       `json:"pr"` // 3 production .. 0 idle
	TaskCount            int       `json:"n"`
	Request              Resources `json:"r"`
	MachineTypes         []string  `json:"ty,omitempty"`
	Zone                 string    `json:"z,omitempty"`
	OneZone              bool      `json:"oz,omitempty"`
	Spread               bool      `json:"sp,omitempty"`
	Spot                 bool      `json:"s,omitempty"`
	Image                string    `json:"im,omitempty"`
	ImageGB              float64   `json:"ig,omitempty"`
	EstimatedRuntime     float64   `json:"es,omitempty"`
	CheckpointInterval   float64   `json:"ck,omitempty"`
	CheckpointCost       float64   `json:"sv,omitempty"`
	Deadline             float64   `json:"du,omitempty"`
	DependencyText       string    `json:"aw,omitempty"` // names of the jobs it awaits, short (needs.go)
	DependencyListName   string    `json:"at,omitempty"` // under which the rest of them is kept
	DependencyListPieces int       `json:"an,omitempty"` // in how many pieces
	Dependencies         []string  `json:"-"`            // as submitted, or as read back
}

// JobState is the committed state of a job.
type JobState string

// The states of a job; done and cancelled are final.
const (
	StateOpen      JobState = "open"
	StateDone      JobState = "done"
	StateCancelled JobState = "cancelled"
)
