package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/finaljobs"
)

// Event is an input of Step. Each request that is sent as an effect is answered by one event, in
// any order. A lost response is reported as a failed one.
type Event interface {
	isEvent()
}

// Tick is sent periodically, so that due work is done even if nothing else happens.
type Tick struct{}

// Responses of the state service.
type (
	// SnapshotLoaded loads a snapshot into the cache. It is the first event, and comes again if
	// the watch falls behind the changes that the state service retains.
	SnapshotLoaded struct {
		Items     []domain.KeyValue
		FinalJobs *finaljobs.Set // outcomes of jobs whose headers are not among Items (AddItem); nil: none
		Revision  uint64         // revision of the first page; later pages may hold newer items
	}
	// WatchAdvanced carries all changes up to Revision, in order. A watch that fails is sent
	// again without an event.
	WatchAdvanced struct {
		Sent     time.Duration // monotonic time at which the watch was sent; < 0: unknown
		Items    []domain.KeyValue
		Revision uint64
	}
	// ConfirmationAnswered answers ConfirmView.
	ConfirmationAnswered struct {
		OK       bool   // false: no response, which confirms nothing
		Same     bool   // the view still has the revision that was asked about
		Revision uint64 // revision of the state service when it responded
	}
	// CommitAnswered answers Commit. The result InDoubt, which also stands for a lost response,
	// means that the transaction may be carried out now or later.
	CommitAnswered struct {
		ID        uint64
		Result    domain.CommitResult
		Malformed bool     // refused permanently: too large, or under a lease that has expired
		Revision  uint64   // revision that the transaction created, if committed
		Failed    []string // keys whose conditions failed, in a conflict
	}
	// KeysRead answers ReadKeys.
	KeysRead struct {
		ID    uint64
		OK    bool              // false: some key could not be read, and Items is empty
		Items []domain.KeyValue // of the keys that exist
	}
	// LeaseAnswered answers GrantLease.
	LeaseAnswered struct {
		OK      bool // false: no lease, as far as known; one may have been granted and expire unused
		LeaseID uint64
	}
	// LeaseRenewalAnswered answers RenewLease. If neither OK nor Gone is set, the outcome is
	// unknown.
	LeaseRenewalAnswered struct {
		OK   bool
		Gone bool // the lease expired, and all keys under it were deleted
	}
)

// Messages from machines.
type (
	// HeartbeatReceived is an agent's heartbeat, to be answered with HeartbeatReply.
	HeartbeatReceived struct {
		RequestID uint64
		Heartbeat domain.Heartbeat
	}
	// CommandsAnswered answers SendCommands.
	CommandsAnswered struct {
		Machine   string
		OK        bool              // false: refused, or no response; the reply to the next heartbeat repeats the commands
		Heartbeat *domain.Heartbeat // the agent's state as in its response; nil: none
	}
)

// Requests of users, to be answered with UserReply.
type (
	// JobSubmitted submits a job.
	JobSubmitted struct {
		RequestID uint64
		ID        string          // chosen by the user, who repeats a submission with the same ID; "" if unreadable
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

// Responses of the cloud provider; received by the leader only.
type (
	// MachineTypesListed answers ListMachineTypes.
	MachineTypesListed struct {
		OK    bool // false: no response
		Types []domain.MachineType
	}
	// InstancesListed answers ListInstances with the whole list, all pages of it.
	InstancesListed struct {
		OK        bool // false: some page got no response
		Instances []domain.Instance
	}
	// RentalAnswered answers RentMachines. If neither OK nor NoCapacity is set, the outcome is
	// unknown, and the same rental is requested again.
	RentalAnswered struct {
		RentalID   string
		OK         bool
		NoCapacity bool     // nothing was rented
		Names      []string // machines rented, perhaps fewer than requested
	}
	// ReturnAnswered answers ReturnMachines.
	ReturnAnswered struct {
		Names []string
		OK    bool // false: the outcome is unknown, and they are returned again
	}
)

// PeerMessageReceived is a message from another controller.
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
func (LeaseAnswered) isEvent()        {}
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
