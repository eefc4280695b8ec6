package scheduler

import (
	"log/slog"
	"time"

	"brassglade/internal/domain"
)

// Effect is an output of Step. The caller carries out effects in order, without waiting for
// responses, which come back as events.
type Effect interface {
	isEffect()
}

// Lanes are the priorities within the budget of requests to the state service, most urgent first:
// a commit waits while one in a more urgent lane is waiting.
const (
	LaneView = iota // views, leases, member keys, formats, watches and snapshots
	LaneUser        // requests of users, and machine types
	LaneTask        // task commits and cordons
	LaneIdle        // records of learning windows
)

// To the state service.
type (
	// ConfirmView asks the state service whether the view still has the revision that is known
	// here, and for the service's own revision. It changes nothing. Response:
	// ConfirmationAnswered.
	ConfirmView struct {
		Key         string
		ModRevision uint64
	}
	// Commit carries out a transaction. Response: CommitAnswered.
	Commit struct {
		ID          uint64
		Lane        int
		Transaction domain.Transaction
	}
	// ReadKeys reads the present values of a few keys, bypassing the cache. Response: KeysRead.
	ReadKeys struct {
		ID   uint64
		Keys []string
	}
	// GrantLease requests a lease. Response: LeaseAnswered.
	GrantLease struct{ TTL time.Duration }
	// RenewLease extends a lease by its TTL from now. Response: LeaseRenewalAnswered.
	RenewLease struct{ LeaseID uint64 }
)

// To machines.
type (
	// HeartbeatReply answers HeartbeatReceived.
	HeartbeatReply struct {
		RequestID    uint64
		Status       int              // 200; 421: Owner is another controller; 503: can't be answered now
		Owner        string           // owner of the machine, with 421
		FencingToken uint64           // the view's epoch, with 200
		Commands     []domain.Command // with 200
	}
	// SendCommands sends stops of tasks directly to an agent, for work that can't wait for the
	// agent's next heartbeat. It may be dropped. Response, if it was sent: CommandsAnswered.
	SendCommands struct {
		Machine, Addr            string
		FencingToken, AgentEpoch uint64
		Commands                 []domain.Command
	}
)

// UserReply answers a user's request.
type UserReply struct {
	RequestID     uint64
	Status        int    // HTTP status; with 200 and 201 the fields below, except Reason, describe the job's state
	ID            string // of the job
	State         string
	Done, Running int    // numbers of tasks
	Reason        string // why the request was not carried out, with any other status
}

// To the cloud provider; sent by the leader only.
type (
	// ListMachineTypes requests all machine types. Response: MachineTypesListed.
	ListMachineTypes struct{}
	// ListInstances requests all rented machines. Response: InstancesListed.
	ListInstances struct{}
	// RentMachines rents machines. It is idempotent: repeated requests with one RentalID rent
	// once. Response: RentalAnswered.
	RentMachines struct {
		RentalID, Type, Zone string
		Spot                 bool
		Count                int
	}
	// ReturnMachines returns rented machines. Response: ReturnAnswered.
	ReturnMachines struct{ Names []string }
)

// SendPeerMessage sends a message to another controller. It may be lost and has no response.
type SendPeerMessage struct {
	To      string
	Message PeerMessage
}

// LogLine is a line of the log.
type LogLine struct {
	Level   slog.Level
	Message string
	Args    []any // alternating keys and values
}

func (ConfirmView) isEffect()      {}
func (Commit) isEffect()           {}
func (ReadKeys) isEffect()         {}
func (GrantLease) isEffect()       {}
func (RenewLease) isEffect()       {}
func (HeartbeatReply) isEffect()   {}
func (SendCommands) isEffect()     {}
func (UserReply) isEffect()        {}
func (ListMachineTypes) isEffect() {}
func (ListInstances) isEffect()    {}
func (RentMachines) isEffect()     {}
func (ReturnMachines) isEffect()   {}
func (SendPeerMessage) isEffect()  {}
func (LogLine) isEffect()          {}

// HTTP statuses of replies to users and machines.
const (
	StatusOK          = 200
	StatusAccepted    = 201 // a job that was not known before was accepted
	StatusMalformed   = 400
	StatusUnknownJob  = 404
	StatusNotOwner    = 421 // the reply names the owner
	StatusRefused     = 422 // a job that can never run
	StatusUnavailable = 503 // temporary: the request may be repeated
)
