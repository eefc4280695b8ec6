package scheduler

import "time"

// PlanningPass identifies the pass of planning that chose a task's machine.
type PlanningPass int

// The passes of a plan.
const (
	PassQueue      PlanningPass = iota // from the queue of a machine of this controller's shard
	PassCached                         // leader only: over jobs whose image is cached on a machine with room
	PassAny                            // leader only: over all jobs that the leader places
	PassLargeArray                     // leader only: over large arrays
	passCount
)

// String returns the name of the pass in logs and metrics.
func (p PlanningPass) String() string {
	return [passCount]string{"queue", "cached", "any", "large_array"}[p]
}

// PlanningPasses returns all passes.
func PlanningPasses() []PlanningPass {
	return []PlanningPass{PassQueue, PassCached, PassAny, PassLargeArray}
}

// Status describes a controller at one moment.
type Status struct {
	Epoch           uint64        // of the view, and the fencing token of all commands; 0: none yet
	Leader          string        // the view's leader
	IsLeader        bool          // this controller is the leader
	MayAct          bool          // view, lease and cache are confirmed: the controller may answer agents
	Revision        uint64        // revision of the state service up to which the cache has every change
	ConfirmationAge time.Duration // age of the latest confirmation; < 0: none yet
	Machines        int           // machines known to this controller
	OpenJobs        int           // jobs accepted and not over
	Work            WorkCounts

	// Waiting counts the waiting tasks that this controller places. It is updated once a second;
	// the map is not changed after it is returned.
	Waiting map[WaitingTasksKey]int
}

// Status returns the controller's status as of the last step.
func (c *Controller) Status() Status {
	status := Status{
		MayAct:          c.mayAct(),
		Revision:        c.cache.revision,
		ConfirmationAge: -1,
		Machines:        len(c.heartbeats.machines),
		OpenJobs:        len(c.cache.openJobs),
		Work:            c.Work,
		Waiting:         c.waitingTasks(),
	}
	if c.cache.view != nil {
		status.Epoch, status.Leader, status.IsLeader = c.cache.view.Epoch, c.cache.view.Leader, c.isLeader()
	}
	if confirmed := c.membership.ViewConfirmedAt(); confirmed.IsSet() {
		status.ConfirmationAge = c.now - confirmed.Time()
	}
	return status
}
