package scheduler

import "time"

// PlanningPass names the pass of planning that chose a task's machine.
type PlanningPass int

// The passes of one plan.
const (
	PassQueue      PlanningPass = iota // from the queue of a machine of this controller's shard
	PassCached                         // the leader's, over jobs whose image is on a machine with room
	PassAny                            // the leader's, over all jobs that it places
	PassLargeArray                     // the leader's, over large arrays
	passCount
)

// String is the name in logs and metrics.
func (p PlanningPass) String() string {
	return [passCount]string{"queue", "cached", "any", "large_array"}[p]
}

// PlanningPasses lists all passes.
func PlanningPasses() []PlanningPass {
	return []PlanningPass{PassQueue, PassCached, PassAny, PassLargeArray}
}

// Status is what a controller knows of itself at one moment.
type Status struct {
	Epoch     uint64        // of the view, and the fencing token of all commands; 0: none yet
	Leader    string        // the view's leader
	Leads     bool          // this controller is that leader
	Acts      bool          // view, lease and cache are confirmed: it may answer agents
	Revision  uint64        // of the state service, up to which the cache has every change
	Confirmed time.Duration // age of the newest confirmation; < 0: none yet
	Machines  int           // known here
	OpenJobs  int           // accepted and not over
	Work      Work

	// Waiting counts the waiting tasks that this controller places, as of the last second.
	// It is not changed later.
	Waiting map[WaitingTasksKey]int
}

// Status returns the controller's status as of the last step.
func (c *Controller) Status() Status {
	status := Status{
		Acts:      c.mayAct(),
		Revision:  c.cache.revision,
		Confirmed: -1,
		Machines:  len(c.heartbeats.machines),
		OpenJobs:  len(c.cache.openJobs),
		Work:      c.Work,
		Waiting:   c.waitingTasks(),
	}
	if c.cache.view != nil {
		status.Epoch, status.Leader, status.Leads = c.cache.view.Epoch, c.cache.view.Leader, c.isLeader()
	}
	if confirmed := c.membership.Confirmed(); confirmed.IsKnown() {
		status.Confirmed = c.now - confirmed.Time()
	}
	return status
}
