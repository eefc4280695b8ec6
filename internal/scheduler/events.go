package scheduler

import (
	"time"

	"brassglade/internal/domain"
)

// Event is an input of Step. Each request that goes out as an effect is answered by one
// event, in any order; an answer that got lost comes as a failed one.
type Event interface {
	isEvent()
}

// Tick comes from the clock, for what is due although nothing else happens.
type Tick struct{}

// What the state service says.
type (
	// SnapshotLoaded replaces the cache. It comes first, and again when the watch has
	// fallen behind what the state service keeps.
	SnapshotLoaded struct {
		Items    []domain.KeyValue
		Revision uint64 // of the first page; later pages may hold newer items
	}
	// WatchAdvanced carries all changes up to Revision, in order. A watch that fails is
	// sent again without a word here.
	WatchAdvanced struct {
		Sent     time.Duration // steady time at which the watch was sent; < 0: unknown
		Items    []domain.KeyValue
		Revision uint64
	}
	// ConfirmationAnswered answers ConfirmView.
	ConfirmationAnswered struct {
		OK       bool   // false: no answer, which confirms nothing
		Same     bool   // the view is the one asked about
		Revision uint64 // of the state service when it answered
	}
	// CommitAnswered answers Commit. InDoubt, which a lost answer is as well, means that
	// the transaction may be carried out, now or later.
	CommitAnswered struct {
		ID        uint64
		Result    domain.CommitResult
		Malformed bool     // refused for good: too large, or under a lease that is gone
		Revision  uint64   // that it made, if committed
		Failed    []string // keys whose conditions failed, of a conflict
	}
	// KeysRead answers ReadKeys.
	KeysRead struct {
		ID    uint64
		OK    bool              // false: some key was not read, and Items is empty
		Items []domain.KeyValue // of the keys that exist
	}
	// LeaseGranted answers GrantLease.
	LeaseGranted struct {
		OK      bool // false: none, as far as is known; one may expire unused
		LeaseID uint64
	}
	// LeaseRenewalAnswered answers RenewLease. Neither OK nor Gone: not known.
	LeaseRenewalAnswered struct {
		OK   bool
		Gone bool // the lease expired, and all keys under it were deleted
	}
)

// What machines say.
type (
	// HeartbeatReceived is an agent's heartbeat, to be answered by HeartbeatReply.
	HeartbeatReceived struct {
		RequestID uint64
		Heartbeat domain.Heartbeat
	}
	// CommandsAnswered answers SendCommands.
	CommandsAnswered struct {
		Machine   string
		OK        bool              // false: refused, or no answer; the next heartbeat's reply repeats them
		Heartbeat *domain.Heartbeat // what the agent said with its answer; nil: nothing
	}
)

// What users ask, to be answered by UserReply.
type (
	// JobSubmitted is a submission.
	JobSubmitted struct {
		RequestID uint64
		ID        string          // chosen by the user, who repeats it to ask again; "" if unreadable
		Spec      *domain.JobSpec // nil: malformed
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
)

// What the cloud says, to the leader alone.
type (
	// MachineTypesListed answers ListMachineTypes.
	MachineTypesListed struct {
		OK    bool // false: no answer
		Types []domain.MachineType
	}
	// InstancesListed answers ListInstances: the whole list, all pages.
	InstancesListed struct {
		OK        bool // false: some page got no answer
		Instances []domain.Instance
	}
	// RentalAnswered answers RentMachines. Neither OK nor NoCapacity: not known, and the
	// same rental is asked for again.
	RentalAnswered struct {
		RentalID   string
		OK         bool
		NoCapacity bool     // nothing was rented
		Names      []string // of the machines rented, perhaps fewer than asked for
	}
	// ReturnAnswered answers ReturnMachines.
	ReturnAnswered struct {
		Names []string
		OK    bool // false: not known; they are returned again
	}
)

// PeerMessageReceived is another controller's message.
type PeerMessageReceived struct {
	From    string
	Message PeerMessage
}

func (Tick) isEvent()                 {}
func (SnapshotLoaded) isEvent()       {}
func (WatchAdvanced) isEvent()        {}
func (ConfirmationAnswered) isEvent() {}
func (CommitAnswered) isEvent()       {}
func (KeysRead) isEvent()             {}
func (LeaseGranted) isEvent()         {}
func (LeaseRenewalAnswered) isEvent() {}
func (HeartbeatReceived) isEvent()    {}
func (CommandsAnswered) isEvent()     {}
func (JobSubmitted) isEvent()         {}
func (JobQueried) isEvent()           {}
func (JobCancelled) isEvent()         {}
func (MachineTypesListed) isEvent()   {}
func (InstancesListed) isEvent()      {}
func (RentalAnswered) isEvent()       {}
func (ReturnAnswered) isEvent()       {}
func (PeerMessageReceived) isEvent()  {}
