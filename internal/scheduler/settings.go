package scheduler

import (
	"time"

	"brassglade/internal/domain"
)

// Settings are the settings of one controller. Package config derives them from the settings
// file.
type Settings struct {
	Controller  string            // name of this controller
	Zone        string            // this controller's zone
	Controllers []string          // all controllers of the deployment, including this one, sorted
	Zones       []string          // of the deployment, in the order of the settings file
	ZoneOf      map[string]string // controller -> zone
	Teams       map[string]domain.Quota

	HeartbeatInterval time.Duration // between two heartbeats of an agent
	WorkerLease       time.Duration // an agent that gets no answer for this long stops its tasks
	CancelWithin      time.Duration // from a cancellation by a user until no task of the job runs
	GangPeerWait      time.Duration // a gang's task ends if it lacks its peers for this long (gang_peer_s)
	FenceAge          time.Duration // the controller may act only while its confirmations are younger than this
	InstanceListLag   time.Duration // how far the cloud's list of instances may be out of date

	ValueLimit        int // bytes; the lowest limit on a value's size, now or in future: all values are written within it
	CurrentValueLimit int // bytes; the present limit, for values of the previous version; 0: ValueLimit
	TransactionLimit  int // changes; the lowest limit on a transaction's size, now or in future

	WriteRate     float64 // changes a second that this controller plans to make; 0: no limit
	FairWriteRate float64 // an equal share of the deployment's changes a second; WriteRate may be higher
	ReadRate      float64 // requests a second that this controller plans to make; 0: no limit

	StartWithin       map[string]float64   // class -> seconds within which its tasks should start
	FinishWithin      map[string][]float64 // class -> seconds within which its jobs should be done
	GuaranteeWithin   float64              // seconds within which tasks within their team's guarantee should start
	DeadlineMultiples []float64            // multiples of a job's deadline that are objectives
	SpareMachines     int                  // machines kept free for a class with an objective for starts; operators may change it
	Learn             bool                 // learned weights are used; operators may turn it off

	Seed        uint64 // for all random draws
	WallClockMS int64  // time of day when the monotonic clock was 0, ms; used for order and ages only

	DisabledGuard  Guard // tests only
	PreviousFormat bool  // tests only: never announces the format, like the previous version
}
