package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/policy"
	"brassglade/internal/tuning"
)

// runTime is the expected run time of a task, s, corrected by what the class
// showed so far.
func (q *queues) runTime(spec *domain.JobSpec) float64 {
	seconds := spec.EstimatedRuntime
	if seconds <= 0 {
		seconds = tuning.SeedRun
	}
	if ratio := q.runTimeRatios[spec.Class]; ratio != nil && ratio.samples >= 3 {
		seconds *= min(max(ratio.value, 0.25), 4)
	}
	return seconds
}

// load is L/mu, the expected delay by what is on a machine, s: tasks queued and booked over
// the service rate of all its slots, which comes of the smoothed run times there and the
// estimates of these tasks. It is the load x of the thesis (docs/design.md, "The ordinary
// path: kept, changed, why"). Preemptible tasks delay no others and don't count.
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
	mean := domain.Resources{CPU: sum.used.CPU / tasks, GPU: sum.used.GPU / tasks, Memory: sum.used.Memory / tasks}
	slots := max(machineType.Capacity.CountFitting(mean, tuning.MaxCountedSlots), 1)
	runTime := float64(sum.runTimeMS) / 1000 / float64(sum.tasks)
	if m.runTime.samples >= 3 {
		runTime = (runTime + m.runTime.value) / 2
	}
	return float64(sum.tasks) * runTime / float64(slots)
}

// delayingTasks sums up the tasks booked on a machine or in its queue, without preemptible
// ones. Run times are in full ms, so that the sum doesn't depend on the order.
func (c *Controller) delayingTasks(m *Machine) taskSum {
	booked := c.cache.occupancy[m.Name]
	sum := taskSum{
		used:      booked.used.Plus(booked.preemptible.used, -1),
		tasks:     booked.tasks - booked.preemptible.tasks,
		runTimeMS: booked.runTimeMS - booked.preemptible.runTimeMS,
	}
	for _, id := range m.queue {
		if !c.queues.isIn(id, m) {
			continue
		}
		if j := c.cache.jobs[id.Job]; j != nil && j.Header.Spec != nil && !preemptible(j.Header.Spec) {
			sum.tasks++
			sum.used = sum.used.Plus(j.Header.Spec.Request, 1)
			sum.runTimeMS += int64(1000 * c.queues.runTime(j.Header.Spec))
		}
	}
	return sum
}

// meanLoad is the mean load of this controller's machines with the shard's pool, s. It is
// kept for as long as the pace of planning.
func (c *Controller) meanLoad() float64 {
	if c.queues.meanLoadTakenAt.Within(c.planInterval(), c.now) {
		return c.queues.meanLoad
	}
	sum, machines := 0.0, 0
	for _, name := range c.heartbeats.machineNames() {
		if m := c.heartbeats.machines[name]; c.takesTasks(m) {
			sum += c.load(m)
			machines++
		}
	}
	c.queues.meanLoad, c.queues.meanLoadTakenAt = 0, monotime.At(c.now)
	if machines > 0 {
		c.queues.meanLoad = (sum + c.queues.poolRunTime) / float64(machines)
	}
	return c.queues.meanLoad
}

// draw picks by the policy from the choices, which are those that the mask left, and has the
// policy gather the gradient. -1: there are none.
func (c *Controller) draw(actor *policy.Actor, choices []policy.Choice) int {
	if len(choices) == 0 {
		return -1
	}
	probabilities := actor.Probabilities(choices)
	k := policy.Draw(probabilities, c.rng.Float64())
	actor.AccumulateGradient(choices, probabilities, k)
	return k
}
