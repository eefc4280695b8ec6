package scheduler

import (
	"log/slog"
	"time"

	"brassglade/internal/domain"
)

// Effect is an output of Step. The caller carries out effects in order, without waiting
// for the answers, which come back as events.
type Effect interface {
	isEffect()
}

// Lanes of the budget of requests to the state service, most urgent first: a commit waits
// while one of a lane before its own does.
const (
	LaneView = iota
	LaneUser
	LaneTask
	LaneIdle
)

// To the state service.
type (
	// ConfirmView asks whether the view still has the revision known here, and for the
	// state service's own revision. It changes nothing. Answer: ConfirmationAnswered.
	ConfirmView struct {
		Key         string
		ModRevision uint64
	}
	// Commit carries out a transaction. Answer: CommitAnswered.
	Commit struct {
		ID          uint64
		Lane        int
		Transaction domain.Transaction
	}
	// ReadKeys reads a few keys as they are now, past the cache. Answer: KeysRead.
	ReadKeys struct {
		ID   uint64
		Keys []string
	}
	// GrantLease asks for a lease. Answer: LeaseGranted.
	GrantLease struct{ TTL time.Duration }
	// RenewLease lets a lease live for its TTL from now. Answer: LeaseRenewalAnswered.
	RenewLease struct{ LeaseID uint64 }
)

// To machines.
type (
	// HeartbeatReply answers HeartbeatReceived.
	HeartbeatReply struct {
		RequestID    uint64
		Status       int              // 200; 421: Owner is another controller; 503: not now
		Owner        string           // of the machine, with 421
		FencingToken uint64           // the view's epoch, with 200
		Commands     []domain.Command // with 200
	}
	// SendCommands sends stops straight to an agent, where its next heartbeat is too far.
	// It may be dropped. Answer, if it was sent: CommandsAnswered.
	SendCommands struct {
		Machine, Addr            string
		FencingToken, AgentEpoch uint64
		Commands                 []domain.Command
	}
)

// UserReply answers a user's request.
type UserReply struct {
	RequestID     uint64
	Status        int    // of HTTP; with 200 and 201 what follows but Reason is the job's state
	ID            string // of the job
	State         string
	Done, Running int    // tasks
	Reason        string // why not, with any other status
}

// To the cloud, from the leader alone.
type (
	// ListMachineTypes asks for all machine types. Answer: MachineTypesListed.
	ListMachineTypes struct{}
	// ListInstances asks for all machines rented. Answer: InstancesListed.
	ListInstances struct{}
	// RentMachines rents machines, once for each RentalID however often it is asked.
	// Answer: RentalAnswered.
	RentMachines struct {
		RentalID, Type, Zone string
		Spot                 bool
		Count                int
	}
	// ReturnMachines gives machines back. Answer: ReturnAnswered.
	ReturnMachines struct{ Names []string }
)

// SendPeerMessage sends a message to another controller. It may be lost, and has no answer.
type SendPeerMessage struct {
	To      string
	Message PeerMessage
}

// LogLine is a line for operators.
type LogLine struct {
	Level   slog.Level
	Message string
	Args    []any // keys and values in turn
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

// Statuses of replies to users and machines, as the protocol has them.
const (
	StatusOK          = 200
	StatusAccepted    = 201 // a job that was not known before
	StatusMalformed   = 400
	StatusUnknownJob  = 404
	StatusNotOwner    = 421 // the reply names the owner
	StatusRefused     = 422 // a job that can never run
	StatusUnavailable = 503 // for now: to be repeated
)
