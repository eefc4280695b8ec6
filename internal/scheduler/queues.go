package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// queues holds the state of the queues of this controller's machines and of the draws that fill
// them. The order of a queue is in Machine.queue, but only machineOf says whether a task is still
// in it, so that removing a task needs no search. Stale entries of Machine.queue are removed from
// time to time (dropStaleEntries).
type queues struct {
	machineOf        map[domain.TaskID]string  // the machine in whose queue each task is
	tasksDrawnToStay map[domain.TaskID]bool    // tasks for which the draw chose to wait in this shard
	jobsDrawn        map[string]bool           // jobs for which the shard was drawn (drawShardOfJob)
	lastDrawAt       time.Duration             // when the last regular run of placeTasks began (beginPlacementRun)
	lastStealAt      time.Duration             // when this shard last asked other shards for tasks to steal
	nextPlacement    monotime.Deadline         // when the next run of placeTasks may begin
	pendingRunTime   float64                   // load of the tasks pending in the shard, s (addPendingLoad)
	runTimeRatios    map[string]*smoothedValue // actual by estimated run time, by class of job
	meanLoad         float64                   // cached result of Controller.meanLoad, s
	meanLoadTakenAt  monotime.Instant
}

func newQueues() queues {
	return queues{
		machineOf: map[domain.TaskID]string{}, tasksDrawnToStay: map[domain.TaskID]bool{}, jobsDrawn: map[string]bool{},
		runTimeRatios: map[string]*smoothedValue{},
	}
}

// isQueuedOn reports whether a task listed in a machine's queue is still in it.
func (q *queues) isQueuedOn(id domain.TaskID, m *Machine) bool { return q.machineOf[id] == m.Name }

// length returns the number of tasks in a machine's queue.
func (q *queues) length(m *Machine) int {
	n := 0
	for _, id := range m.queue {
		if q.isQueuedOn(id, m) {
			n++
		}
	}
	return n
}

// dropStaleEntries removes the entries of a machine's queue whose tasks are no longer in it.
func (q *queues) dropStaleEntries(m *Machine) {
	kept := m.queue[:0]
	for _, id := range m.queue {
		if q.isQueuedOn(id, m) {
			kept = append(kept, id)
		}
	}
	m.queue = kept
}

// enqueue appends a task to a machine's queue and removes it from the queue it was in, if any.
func (c *Controller) enqueue(id domain.TaskID, m *Machine) {
	c.dequeue(id)
	c.queues.machineOf[id] = m.Name
	m.queue = append(m.queue, id)
	c.cache.jobs[id.Job].queuedHere++
	c.planner.dirty = true
}

// dequeue removes a task from the queue it is in, if any.
func (c *Controller) dequeue(id domain.TaskID) {
	if _, ok := c.queues.machineOf[id]; !ok {
		return
	}
	delete(c.queues.machineOf, id)
	if j := c.cache.jobs[id.Job]; j != nil && j.queuedHere > 0 {
		j.queuedHere--
	}
}

// dequeueAll empties the queue of the machine with this name. It does nothing if the machine is
// unknown.
func (c *Controller) dequeueAll(name string) {
	m := c.heartbeats.machines[name]
	if m == nil {
		return
	}
	for _, id := range m.queue {
		if c.queues.isQueuedOn(id, m) {
			c.dequeue(id)
		}
	}
	m.queue = nil
}

// placedByLeader reports whether the leader places the tasks of a job: of gangs, of jobs with a zone
// rule (OneZone, Spread) and of jobs with at least tuning.LargeJobTasks tasks. The tasks of other
// jobs are placed one by one by the controllers of the shards.
func placedByLeader(spec *domain.JobSpec) bool {
	return spec.Shape == domain.Gang || spec.OneZone || spec.Spread || spec.TaskCount >= tuning.LargeJobTasks
}
