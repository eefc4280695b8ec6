// Package scheduler is the service without input or output. Step takes one event
// and the steady time and returns the effects to carry out; it owns all state
// and is called by one goroutine.
package scheduler

import (
	"log/slog"
	"time"

	"brassglade/internal/domain"
)

// Settings is what the core needs of the settings file.
type Settings struct {
	Node              string
	Zone              string
	Nodes             []string // all, sorted
	Teams             map[string]domain.Quota
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

// Event is an input of Step.
type Event interface{}

// The events.
type (
	// Tick drives the core when nothing else does.
	Tick struct{}
	// SnapshotLoaded replaces the cache.
	SnapshotLoaded struct {
		Items    []domain.KeyValue
		Revision uint64
	}
	// WatchAdvanced carries changes in order up to Ledger.
	WatchAdvanced struct {
		Sent     time.Duration // when the watch was sent, on the core's clock; < 0: unknown
		Items    []domain.KeyValue
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
		Result    domain.CommitResult
		Malformed bool // refused as malformed: too large, or on a grant that is over
		Revision  uint64
		Failed    []string
	}
	// KeysRead answers ReadKeys: the items that exist.
	KeysRead struct {
		ID    uint64
		OK    bool
		Items []domain.KeyValue
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
		Heartbeat domain.Heartbeat
	}
	// CommandsAnswered answers SendCommands.
	CommandsAnswered struct {
		Machine   string
		OK        bool
		Heartbeat *domain.Heartbeat
	}
	// JobSubmitted is a submission. Spec is nil when malformed.
	JobSubmitted struct {
		RequestID uint64
		ID        string
		Spec      *domain.JobSpec
	}
	// JobQueried asks for a job's state.
	JobQueried struct {
		RequestID uint64
		ID        string
	}
	// StateCancelled cancels a job.
	JobCancelled struct {
		RequestID uint64
		ID        string
	}
	// MachineTypesListed answers ListMachineTypes.
	MachineTypesListed struct {
		OK    bool
		Types []domain.MachineType
	}
	// InstancesListed answers ListInstances: the whole list, all pages.
	InstancesListed struct {
		Sent      time.Duration
		OK        bool
		Instances []domain.Instance
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
	Room       domain.Resources
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
		Transaction domain.Transaction
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
		Commands     []domain.Command
	}
	// SendCommands sends orders straight to a worker.
	SendCommands struct {
		Machine, Addr            string
		FencingToken, AgentEpoch uint64
		Commands                 []domain.Command
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
