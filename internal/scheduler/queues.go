package scheduler

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// queues are the queues of this controller's machines, and what its draws go by. A machine's
// queue is kept in order with the machine (Machine.queue); machineOf alone says whether a
// task is in it still, so that taking one out needs no search. Entries that left are trimmed
// now and then.
type queues struct {
	machineOf        map[domain.TaskID]string // the machine in whose queue a task is
	tasksDrawnToStay map[domain.TaskID]bool   // drew to wait in this shard
	jobsDrawn        map[string]bool          // drew to stay in this shard
	lastDrawAt       time.Duration
	lastStealAt      time.Duration
	nextPlacement    steady.Gate
	pendingRunTime   float64                   // run time of the unplaced tasks, s
	runTimeRatios    map[string]*smoothedValue // run time by estimate, by class
	meanLoad         float64                   // of this controller's machines, s
	meanLoadTakenAt  steady.Instant
}

func newQueues() queues {
	return queues{
		machineOf: map[domain.TaskID]string{}, tasksDrawnToStay: map[domain.TaskID]bool{}, jobsDrawn: map[string]bool{},
		runTimeRatios: map[string]*smoothedValue{},
	}
}

// isQueuedOn tells whether a task that a machine's queue lists is in it still.
func (q *queues) isQueuedOn(id domain.TaskID, m *Machine) bool { return q.machineOf[id] == m.Name }

// length is the number of tasks in a machine's queue.
func (q *queues) length(m *Machine) int {
	n := 0
	for _, id := range m.queue {
		if q.isQueuedOn(id, m) {
			n++
		}
	}
	return n
}

// dropStaleEntries drops the entries of a machine's queue that left it.
func (q *queues) dropStaleEntries(m *Machine) {
	kept := m.queue[:0]
	for _, id := range m.queue {
		if q.isQueuedOn(id, m) {
			kept = append(kept, id)
		}
	}
	m.queue = kept
}

// enqueue puts a task last in a machine's queue, and takes it off the one it was in.
func (c *Controller) enqueue(id domain.TaskID, m *Machine) {
	c.dequeue(id)
	c.queues.machineOf[id] = m.Name
	m.queue = append(m.queue, id)
	c.cache.jobs[id.Job].queuedHere++
	c.planner.dirty = true
}

// dequeue takes a task off the queue it is in, if any.
func (c *Controller) dequeue(id domain.TaskID) {
	if _, ok := c.queues.machineOf[id]; !ok {
		return
	}
	delete(c.queues.machineOf, id)
	if j := c.cache.jobs[id.Job]; j != nil && j.queuedHere > 0 {
		j.queuedHere--
	}
}

// dequeueAll empties a machine's queue.
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

// placedByLeader tells whether the leader places the tasks of a job together.
func placedByLeader(spec *domain.JobSpec) bool {
	return spec.Shape == domain.Gang || spec.OneZone || spec.Spread || spec.TaskCount >= tuning.LargeJobTasks
}
