package scheduler

import "brassglade/internal/domain"

// planGangStops requests the orderly stop of gangs that have a task on a machine about to be taken
// away. The job's header tells all owners of the gang's machines, which stop their tasks well
// within gang_peer_s of each other.
func (c *Controller) planGangStops(d *draft) {
	for _, name := range c.heartbeats.machineNames() {
		if len(c.cache.bookedOn[name]) == 0 || !c.cache.isGoingAway(c.heartbeats.machines[name]) || !c.owns(name) {
			continue
		}
		for _, id := range sortedTasks(c.cache.bookedOn[name]) {
			j := c.cache.jobs[id.Job]
			task := j.task(id.Index)
			if needsGangStop(j, task) && d.changes() < c.maxPlanChanges() {
				d.header(j).StopUpTo = task.Attempt
			}
		}
	}
}

// isGoingAway reports whether the cloud announced the preemption of a machine, or the machine is
// drained because it is faulty.
func (c *cache) isGoingAway(m *Machine) bool {
	cordon := c.cordons[m.Name]
	return m.preemptionAt >= 0 || cordon.State == domain.CordonDrain && cordon.Reason == domain.DrainFaulty
}

// needsGangStop reports whether a booked task belongs to a gang whose present attempt has not been
// stopped yet. A gang of one task is stopped by its machine's owner alone.
func needsGangStop(j *Job, task domain.Task) bool {
	spec := j.Header.Spec
	return spec != nil && spec.Shape == domain.Gang && spec.TaskCount > 1 &&
		j.Header.State == domain.StateOpen && j.Header.StopUpTo < task.Attempt
}
