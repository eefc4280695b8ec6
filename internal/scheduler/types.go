// Package scheduler is the service without input or output. Step takes one event
// and the steady time and returns the effects to carry out; it owns all state
// and is called by one goroutine.
package scheduler

import (
	"log/slog"
	"time"
)

// Resources is an amount of a machine in thousandths (CPUs, GPUs, GB), kept whole so
// that sums of bookings and releases come out exactly.
type Resources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// Plus returns r + k*o.
func (r Resources) Plus(o Resources, k int64) Resources {
	return Resources{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Memory + k*o.Memory}
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// CountFitting is how many of o fit into r, at most most.
func (r Resources) CountFitting(o Resources, most int64) int64 {
	n := most
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return max(n, 0)
}

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

// JobHeader is the value of job/ID.
type JobHeader struct {
	State        JobState    `json:"st"`
	Spec         *JobSpec    `json:"s,omitempty"`
	TaskCount    int         `json:"n"`
	Shard        string      `json:"p,omitempty"` // the part that the job was sent to
	AcceptOrder  uint64      `json:"q,omitempty"` // ledger when accepted: first come
	ChunkSize    int         `json:"ch,omitempty"`
	Handovers    int         `json:"hp,omitempty"` // times that it was passed whole
	Inline       bool        `json:"i,omitempty"`  // the header holds the tasks itself, in T
	InlineTasks  *ChunkValue `json:"t,omitempty"`
	Pack         string      `json:"k,omitempty"`  // the shared value that holds all its tasks, if not own chunks
	DoneChunks   int         `json:"dc,omitempty"` // chunks with every task done
	StopThrough  uint64      `json:"h,omitempty"`  // gangs: attempts up to it are to stop, all tasks together
	Released     bool        `json:"cl,omitempty"` // cancelled and every booking released
	AcceptedAtMS int64       `json:"bo,omitempty"` // time of day when it was accepted, ms
	DoneAtMS     int64       `json:"en,omitempty"` // time of day when it was done, ms
	SplitChunks  []byte      `json:"cu,omitempty"` // bits: chunks that are kept in several cells
	CellSize     int         `json:"su,omitempty"` // tasks a cell
	DoneTasks    int         `json:"fi,omitempty"` // once anything is cut: tasks of chunks and cells that are done, in place of Chunks
}

// IsSplit tells whether chunk k is kept in cells.
func (h *JobHeader) IsSplit(k int) bool {
	return k/8 < len(h.SplitChunks) && h.SplitChunks[k/8]&(1<<(k%8)) != 0
}

// TaskState is the committed state of a task.
type TaskState int

// The states of a task.
const (
	Queued TaskState = iota
	Booked
	Done
)

// Task is a task as committed in its chunk. A booking names everything that a
// run needs: attempt, machine and the machine's session.
type Task struct {
	State      TaskState
	Attempt    uint64
	Machine    string
	AgentEpoch uint64
	Shard      string // queued: the part it was passed to; booked: the node that booked it
	Zone       string
}

// View is the value of the view key.
type View struct {
	Epoch          uint64            `json:"e"`
	Leader         string            `json:"l"`
	Members        map[string]string `json:"m"` // node -> incarnation
	Serving        []string          `json:"s"` // sorted
	OwnerOverrides map[string]string `json:"o,omitempty"`
	Zoned          bool              `json:"z,omitempty"` // zones are apart: machines belong to the serving nodes of their own
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

// TeamShares is the value of team/NAME: what each node has set aside of the team's
// limit for the bookings it made or is about to make. The sum stays within the
// limit, and a node's bookings stay within its share.
type TeamShares struct {
	ByNode map[string]Resources `json:"r"`
}

// CordonPage is the value of mach/NODE: the marks of the machines whose home that
// node is. Gone machines stand oldest first and are forgotten in that order.
type CordonPage struct {
	Draining map[string]string `json:"d,omitempty"` // machine -> why
	Gone     []string          `json:"g,omitempty"`
}

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

// MachineTypePage is the value of the flavors key.
type MachineTypePage struct {
	Types []MachineType `json:"f"`
	More  int           `json:"m,omitempty"` // further pages, flavors/1 and so on
}

// Quota of one team, in thousandths; 0 means none.
type Quota struct {
	Guarantee, Limit Resources
}

// Settings is what the core needs of the settings file.
type Settings struct {
	Node              string
	Zone              string
	Nodes             []string // all, sorted
	Teams             map[string]Quota
	Zones             []string
	ZoneOf            map[string]string // node -> zone
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	CancelWithin      time.Duration
	GangPeerWait      time.Duration // gang_peer_s
	FenceAge          time.Duration // age of a confirmation up to which the node acts
	ValueLimit        int           // the smallest that a value's bound is or will be: what is written stays within it
	ValueLimitNow     int           // the bound of today, for what the version before wrote; 0: ValueLimit
	TransactionLimit  int           // the smallest that a transaction's bound is or will be
	WallClockMS       int64         // time of day when the node's steady clock was 0, ms; orders and ages only
	WriteRate         float64       // changes a second that this node plans to make; 0: no bound
	FairWriteRate     float64       // an equal part of the changes a second; WriteRate may be more
	ReadRate          float64       // requests a second that this node plans to make; 0: no bound
	ListLag           time.Duration
	Seed              uint64
	StartWithin       map[string]float64   // class -> seconds within which its tasks should start
	FinishWithin      map[string][]float64 // class -> seconds within which its jobs should be done
	GuaranteeWithin   float64              // s within which work in a guarantee should start
	DeadlineMultiples []float64            // multiples of a deadline that count
	SpareMachines     int                  // machines kept warm for such a class; operators may change it
	DisabledGuard     string               // tests only: a guard taken away
	PreviousFormat    bool                 // tests only: never announces the format, as the version before
	Learn             bool
}

// KeyValue is an item of the state service.
type KeyValue struct {
	Key         string
	Value       []byte // nil: deleted
	ModRevision uint64
}

// Condition is a condition of a commit.
type Condition struct {
	Key         string
	ModRevision uint64
}

// Put is a change of a commit.
type Put struct {
	Key     string
	Value   []byte // nil: delete
	LeaseID uint64
}

// Transaction is a conditional write.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// TaskID names a task in reports and orders.
type TaskID struct {
	Job   string
	Index int
}

// TaskReport is a task as a worker reports it.
type TaskReport struct {
	Task    TaskID
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// The task states and causes that matter to the core, in its own names.
const (
	ReportedFetching = "fetching"
	ReportedWaiting  = "waiting"
	ReportedRunning  = "running"
	ReportedSaving   = "saving"
	ReportedEnded    = "ended"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine, Addr, Type, Zone          string
	Spot                               bool
	AgentEpoch, Sequence, FencingToken uint64
	PreemptionNotice                   float64 // < 0: none
	Tasks                              []TaskReport
}

// CommandKind of an order.
type CommandKind string

// The orders.
const (
	StartTask  CommandKind = "run"
	StopTask   CommandKind = "halt"
	ForgetTask CommandKind = "clear"
)

// Command to a worker.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      uint64
	GraceSeconds float64
	Reason       CommandReason // for logs and metrics; the worker is not told
}

// Instance is a machine in the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 string
	HeldSeconds            float64
}

// Event is an input of Step.
type Event interface{}

// The events.
type (
	// Tick drives the core when nothing else does.
	Tick struct{}
	// SnapshotLoaded replaces the cache.
	SnapshotLoaded struct {
		Items    []KeyValue
		Revision uint64
	}
	// WatchAdvanced carries changes in order up to Ledger.
	WatchAdvanced struct {
		Sent     time.Duration // when the watch was sent, on the core's clock; < 0: unknown
		Items    []KeyValue
		Revision uint64
	}
	// ConfirmationAnswered answers ConfirmView. Same: the view is the one asked about.
	ConfirmationAnswered struct {
		Sent     time.Duration
		OK       bool
		Same     bool
		Revision uint64
	}
	// CommitAnswered answers Commit.
	CommitAnswered struct {
		ID        uint64
		Result    CommitResult
		Malformed bool // refused as malformed: too large, or on a grant that is over
		Revision  uint64
		Failed    []string
	}
	// KeysRead answers ReadKeys: the items that exist.
	KeysRead struct {
		ID    uint64
		OK    bool
		Items []KeyValue
	}
	// LeaseGranted answers GrantLease.
	LeaseGranted struct {
		OK      bool
		LeaseID uint64
	}
	// LeaseRenewalAnswered answers RenewLease.
	LeaseRenewalAnswered struct {
		OK   bool
		Gone bool
	}
	// HeartbeatReceived is a worker's report, to be answered by HeartbeatReply.
	HeartbeatReceived struct {
		RequestID uint64
		Heartbeat Heartbeat
	}
	// CommandsAnswered answers SendCommands.
	CommandsAnswered struct {
		Machine   string
		OK        bool
		Heartbeat *Heartbeat
	}
	// JobSubmitted is a submission. Spec is nil when malformed.
	JobSubmitted struct {
		RequestID uint64
		ID        string
		Spec      *JobSpec
	}
	// JobQueried asks for a job's state.
	JobQueried struct {
		RequestID uint64
		ID        string
	}
	// JobCancelled cancels a job.
	JobCancelled struct {
		RequestID uint64
		ID        string
	}
	// MachineTypesListed answers ListMachineTypes.
	MachineTypesListed struct {
		OK    bool
		Types []MachineType
	}
	// InstancesListed answers ListInstances: the whole list, all pages.
	InstancesListed struct {
		Sent      time.Duration
		OK        bool
		Instances []Instance
	}
	// RentalAnswered answers RentMachines.
	RentalAnswered struct {
		RentalID   string
		OK         bool
		NoCapacity bool // no capacity
		Names      []string
	}
	// ReturnAnswered answers ReturnMachines.
	ReturnAnswered struct {
		Names []string
		OK    bool
	}
	// PeerMessageReceived is another node's message.
	PeerMessageReceived struct {
		From    string
		Message PeerMessage
	}
)

// CommitResult of a commit.
type CommitResult int

// The results of a commit.
const (
	Committed CommitResult = iota
	Conflict
	Refused // not executed (429, 503, 400)
	InDoubt // may have been executed or may yet be
)

// PeerMessage is what nodes tell each other: hints only, nothing depends on them
// for safety.
type PeerMessage struct {
	Epoch    uint64
	Load     float64 // mean load of the sender's machines, s
	Usable   bool    // the state service answered the sender just now
	Machines []PeerMachine
	Reserved []string // machines that the leader holds for whole jobs
	Evicting []string // of these, the ones to be emptied for work of higher priority
	Steal    *StealRequest
}

// PeerMachine describes a machine that the sender owns and hears.
type PeerMachine struct {
	Name, Addr, Type, Zone string
	Spot, Leaving          bool
	AgentEpoch             uint64
	Load                   float64
	Images                 []string
}

// StealRequest asks the receiver to hand over queued tasks for a machine with room.
type StealRequest struct {
	Type, Zone string
	Spot       bool
	Room       Resources
	MaxTasks   int
}

// Effect is an output of Step.
type Effect interface{}

// The effects.
type (
	// ConfirmView compares the view's stamp and fetches the ledger.
	ConfirmView struct {
		Key         string
		ModRevision uint64
	}
	// Commit carries out a transaction. Urgent ones go first.
	Commit struct {
		ID          uint64
		Lane        int
		Transaction Transaction
	}
	// ReadKeys reads a few keys from the state service itself.
	ReadKeys struct {
		ID   uint64
		Keys []string
	}
	// GrantLease asks for a grant.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews it.
	RenewLease struct{ LeaseID uint64 }
	// HeartbeatReply answers HeartbeatReceived.
	HeartbeatReply struct {
		RequestID    uint64
		Status       int
		Owner        string
		FencingToken uint64
		Commands     []Command
	}
	// SendCommands sends orders straight to a worker.
	SendCommands struct {
		Machine, Addr            string
		FencingToken, AgentEpoch uint64
		Commands                 []Command
	}
	// UserReply answers a user.
	UserReply struct {
		RequestID     uint64
		Status        int
		ID            string
		State         string
		Done, Running int
		Reason        string
	}
	// ListMachineTypes asks the cloud for its types.
	ListMachineTypes struct{}
	// ListInstances asks for the whole machine list.
	ListInstances struct{}
	// RentMachines rents.
	RentMachines struct {
		RentalID, Type, Zone string
		Spot                 bool
		Count                int
	}
	// ReturnMachines returns machines.
	ReturnMachines struct{ Names []string }
	// SendPeerMessage sends a message to another node; it may be lost.
	SendPeerMessage struct {
		To      string
		Message PeerMessage
	}
	// LogLine is a line for operators.
	LogLine struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

// Lanes of the state budget, most urgent first.
const (
	LaneView = iota
	LaneUser
	LaneTask
	LaneIdle
)
