package scheduler

import "brassglade/internal/domain"

// PeerMessage is what controllers tell each other: hints only, nothing depends on them
// for safety.
type PeerMessage struct {
	Epoch          uint64        // of the sender's view
	Load           float64       // mean load of the sender's machines, seconds
	StateReachable bool          // the state service answered the sender just now
	Machines       []PeerMachine // that the sender owns and hears
	Reserved       []string      // machines that the leader reserves for jobs that it places, or lets rest
	Evicting       []string      // of these, those to be emptied for work of higher priority
	Steal          *StealRequest // nil in gossip
}

// PeerMachine describes a machine that the sender owns and hears.
type PeerMachine struct {
	Name, Addr, Type, Zone string
	Spot, Leaving          bool // Leaving: it takes no further tasks
	AgentEpoch             uint64
	Load                   float64 // seconds
	Images                 []string
}

// StealRequest asks the receiver to hand over queued tasks for a machine with room.
type StealRequest struct {
	Type, Zone string // of the machine
	Spot       bool
	Room       domain.Resources // free on it
	MaxTasks   int              // most tasks wanted
}
