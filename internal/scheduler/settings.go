package scheduler

import (
	"time"

	"brassglade/internal/domain"
)

// Settings is what a controller needs of the settings file; package config derives it.
type Settings struct {
	Controller  string            // this controller
	Zone        string            // its zone
	Controllers []string          // all controllers of the deployment, this one included, sorted
	Zones       []string          // of the deployment, in the order of the settings file
	ZoneOf      map[string]string // controller -> zone
	Teams       map[string]domain.Quota

	HeartbeatInterval time.Duration // between two heartbeats of an agent
	WorkerLease       time.Duration // an agent without an answer for as long stops its tasks
	CancelWithin      time.Duration // from a user's cancellation until nothing of the job runs
	GangPeerWait      time.Duration // a gang's task ends if it lacks its peers for as long (gang_peer_s)
	FenceAge          time.Duration // age of a confirmation up to which the controller acts
	InstanceListLag   time.Duration // by which the cloud's list of instances may be late

	ValueLimit        int // bytes; the least that a value's bound is or will be: what is written stays within it
	CurrentValueLimit int // bytes; the bound of today, for what the version before wrote; 0: ValueLimit
	TransactionLimit  int // changes; the least that a transaction's bound is or will be

	WriteRate     float64 // changes a second that this controller plans to make; 0: no bound
	FairWriteRate float64 // an equal share of the deployment's changes a second; WriteRate may be more
	ReadRate      float64 // requests a second that this controller plans to make; 0: no bound

	StartWithin       map[string]float64   // class -> seconds within which its tasks should start
	FinishWithin      map[string][]float64 // class -> seconds within which its jobs should be done
	GuaranteeWithin   float64              // seconds within which work in a guarantee should start
	DeadlineMultiples []float64            // multiples of a deadline that count
	SpareMachines     int                  // kept warm for a class with such an objective; operators may change it
	Learn             bool                 // weights follow what was learned; operators may turn it off

	Seed        uint64 // of all random draws
	WallClockMS int64  // time of day when the steady clock was 0, ms; for order and ages only

	DisabledGuard  Guard // tests only
	PreviousFormat bool  // tests only: never announces the format, as the version before
}
