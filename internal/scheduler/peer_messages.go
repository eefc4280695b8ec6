package scheduler

import "brassglade/internal/domain"

// PeerMessage is a message between controllers. It holds hints only; safety does not depend
// on them.
type PeerMessage struct {
	Epoch          uint64        // of the sender's view
	Load           float64       // mean load of the sender's machines, in seconds
	StateReachable bool          // the state service responded to the sender recently
	Machines       []PeerMachine // machines that the sender owns and receives heartbeats from
	Reserved       []string      // machines that the leader keeps for jobs that it places, or lets rest
	Evicting       []string      // of these, those to be emptied for work of higher priority
	Steal          *StealRequest // nil in gossip
}

// PeerMachine describes a machine that the sender owns and receives heartbeats from.
type PeerMachine struct {
	Name, Addr, Type, Zone string
	Spot, Leaving          bool // Leaving: the machine takes no further tasks
	AgentEpoch             uint64
	Load                   float64 // in seconds
	Images                 []string
}

// StealRequest asks the receiver to hand over queued tasks for a machine that has room.
type StealRequest struct {
	Type, Zone string // of the machine
	Spot       bool
	Room       domain.Resources // free on the machine
	MaxTasks   int              // maximum number of tasks to hand over
}
