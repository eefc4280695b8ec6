package domain

// Shape is the kind of a job: how its tasks depend on each other.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "array"   // independent tasks
	Gang    Shape = "gang"    // all tasks start and end together (gang scheduling)
	Service Shape = "service" // tasks that never end by themselves
)

// Priority is the priority of a job, from 0 (idle) to 3 (production).
type Priority int

// JobSpec is the description of a job that its user submitted. It is stored in the job's header.
type JobSpec struct {
	ID                   string    `json:"-"` // not encoded: it is part of the key
	Class                string    `json:"cl"`
	Team                 string    `json:"tm"`
	Shape                Shape     `json:"sh"`
	Priority             Priority  `json:"pr"`
	TaskCount            int       `json:"n"`
	Request              Resources `json:"r"`            // resources of each task
	MachineTypes         []string  `json:"ty,omitempty"` // machine types that it may run on; empty: any
	Zone                 string    `json:"z,omitempty"`  // zone that it must run in; "": any
	OneZone              bool      `json:"oz,omitempty"` // all tasks must run in the same zone
	Spread               bool      `json:"sp,omitempty"` // tasks must run on different machines
	Spot                 bool      `json:"s,omitempty"`  // may run on spot machines
	Image                string    `json:"im,omitempty"`
	ImageGB              float64   `json:"ig,omitempty"` // size of the image, GB
	EstimatedRuntime     float64   `json:"es,omitempty"` // of a task, s, as the user estimates it
	CheckpointInterval   float64   `json:"ck,omitempty"` // time between checkpoints, s; 0: no checkpoints
	CheckpointCost       float64   `json:"sv,omitempty"` // time that saving a checkpoint takes, s
	Deadline             float64   `json:"du,omitempty"` // time after the submission, s; 0: none
	DependencyText       string    `json:"aw,omitempty"` // jobs that it depends on, if they are few (codec.JoinJobNames)
	DependencyListName   string    `json:"at,omitempty"` // tag of the keys that hold a longer list of them
	DependencyListPieces int       `json:"an,omitempty"` // number of these keys
	Dependencies         []string  `json:"-"`            // all jobs that it depends on, as submitted or as read from the state service
}

// JobState is the committed state of a job.
type JobState string

// The states of a job; done and cancelled are final.
const (
	StateOpen      JobState = "open"
	StateDone      JobState = "done"
	StateCancelled JobState = "cancelled"
)
