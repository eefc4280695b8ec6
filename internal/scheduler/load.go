package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/policy"
	"brassglade/internal/tuning"
)

// runTime returns the expected run time of a task in seconds: the user's estimate, or
// tuning.DefaultRunSeconds without one, times the smoothed ratio of actual to estimated run times
// of the job's class. The ratio is used once it has three samples, and limited to 0.25 to 4.
func (q *queues) runTime(spec *domain.JobSpec) float64 {
	seconds := spec.EstimatedRuntime
	if seconds <= 0 {
		seconds = tuning.DefaultRunSeconds
	}
	if ratio := q.runTimeRatios[spec.Class]; ratio != nil && ratio.samples >= 3 {
		seconds *= min(max(ratio.value, 0.25), 4)
	}
	return seconds
}

// load returns the expected delay of a new task on a machine in seconds, L/mu: the number of
// tasks queued and booked there divided by the service rate of all its slots. The service rate
// follows from the smoothed run times on the machine and the expected run times of these tasks.
// This is the load x of the thesis (docs/design.md, "The ordinary path: kept, changed, why").
// Preemptible tasks don't count, since they delay no other tasks.
func (c *Controller) load(m *Machine) float64 {
	machineType := c.cache.machineType(m.Type)
	if machineType == nil {
		return 0
	}
	sum := c.delayingTasks(m)
	if sum.tasks == 0 {
		return 0
	}
	tasks := int64(sum.tasks)
	used := sum.used.resources
	mean := domain.Resources{CPU: used.CPU / tasks, GPU: used.GPU / tasks, Memory: used.Memory / tasks}
	slots := max(machineType.Capacity.CountFitting(mean, tuning.MaxCountedSlots), 1)
	runTime := float64(sum.runTimeMS) / 1000 / float64(sum.tasks)
	if m.runTime.samples >= 3 {
		runTime = (runTime + m.runTime.value) / 2
	}
	return float64(sum.tasks) * runTime / float64(slots)
}

// delayingTasks sums up the tasks booked on a machine or in its queue, except preemptible ones.
// Run times are summed in whole milliseconds, so that the result doesn't depend on the order.
func (c *Controller) delayingTasks(m *Machine) taskSum {
	booked := c.cache.occupancy[m.Name]
	sum := taskSum{
		used:      booked.used.plus(booked.preemptible.used, -1),
		tasks:     booked.tasks - booked.preemptible.tasks,
		runTimeMS: booked.runTimeMS - booked.preemptible.runTimeMS,
	}
	for _, id := range m.queue {
		if !c.queues.isQueuedOn(id, m) {
			continue
		}
		if j := c.cache.jobs[id.Job]; j != nil && j.Header.Spec != nil && !preemptible(j.Header.Spec) {
			sum.tasks++
			sum.used = sum.used.plus(roomForTask(j.Header.Spec), 1)
			sum.runTimeMS += int64(1000 * c.queues.runTime(j.Header.Spec))
		}
	}
	return sum
}

// meanLoad returns the mean load of this controller's machines, including the pending jobs of the
// shard, in seconds. The result is cached for planInterval.
func (c *Controller) meanLoad() float64 {
	if c.queues.meanLoadTakenAt.Within(c.planInterval(), c.now) {
		return c.queues.meanLoad
	}
	sum, machines := 0.0, 0
	for _, name := range c.heartbeats.machineNames() {
		if m := c.heartbeats.machines[name]; c.acceptsTasks(m) {
			sum += c.load(m)
			machines++
		}
	}
	c.queues.meanLoad, c.queues.meanLoadTakenAt = 0, monotime.At(c.now)
	if machines > 0 {
		c.queues.meanLoad = (sum + c.queues.pendingRunTime) / float64(machines)
	}
	return c.queues.meanLoad
}

// draw picks one of the choices at random with the probabilities of the actor's policy, and adds
// the policy gradient of this choice to the actor. The caller has removed choices that can't be
// taken. It returns the index of the choice, or -1 if there are no choices.
func (c *Controller) draw(actor *policy.Actor, choices []policy.Choice) int {
	if len(choices) == 0 {
		return -1
	}
	probabilities := actor.Probabilities(choices)
	chosen := policy.Draw(probabilities, c.rng.Float64())
	actor.AccumulateGradient(choices, probabilities, chosen)
	return chosen
}
