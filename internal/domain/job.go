package domain

// Shape of a job: how its tasks depend on each other.
type Shape string

// The shapes.
const (
	Array   Shape = "array"   // independent tasks
	Gang    Shape = "gang"    // all tasks start and end together (gang scheduling)
	Service Shape = "service" // tasks that never end by themselves
)

// Priority of a job, from 0 (idle) to 3 (production).
type Priority int

// JobSpec is a job as its user described it; it is stored in the job's header.
type JobSpec struct {
	ID                   string    `json:"-"` // stands in the key
	Class                string    `json:"cl"`
	Team                 string    `json:"tm"`
	Shape                Shape     `json:"sh"`
	Priority             Priority  `json:"pr"`
	TaskCount            int       `json:"n"`
	Request              Resources `json:"r"`            // of each task
	MachineTypes         []string  `json:"ty,omitempty"` // types that it may run on; none: any
	Zone                 string    `json:"z,omitempty"`  // zone that it must run in; "": any
	OneZone              bool      `json:"oz,omitempty"` // all tasks in the same zone
	Spread               bool      `json:"sp,omitempty"` // tasks on different machines
	Spot                 bool      `json:"s,omitempty"`  // may run on spot machines
	Image                string    `json:"im,omitempty"`
	ImageGB              float64   `json:"ig,omitempty"` // size of the image, GB
	EstimatedRuntime     float64   `json:"es,omitempty"` // of a task, s
	CheckpointInterval   float64   `json:"ck,omitempty"` // between checkpoints, s; 0: none
	CheckpointCost       float64   `json:"sv,omitempty"` // time that saving takes, s
	Deadline             float64   `json:"du,omitempty"` // after the submission, s; 0: none
	DependencyText       string    `json:"aw,omitempty"` // jobs that it depends on, while they are few (codec.JoinNames)
	DependencyListName   string    `json:"at,omitempty"` // tag of the keys that the others are kept under
	DependencyListPieces int       `json:"an,omitempty"` // number of those keys
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
