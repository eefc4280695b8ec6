package scheduler

import (
	"maps"
	"slices"

	"brassglade/internal/domain"
)

// planHandovers adds to the draft the new shards of jobs and tasks that are to be handed over or
// were stolen. Those for which the draft has no room wait for the next plan.
func (c *Controller) planHandovers(d *draft) {
	if c.planJobHandovers(d) {
		c.planTaskHandovers(d)
	}
}

// planJobHandovers hands over whole jobs, none of whose tasks was booked or handed over. It
// returns false if the draft is full.
func (c *Controller) planJobHandovers(d *draft) bool {
	for _, id := range slices.Sorted(maps.Keys(c.planner.jobHandovers)) {
		if d.changes() >= c.maxPlanChanges() || !d.hasRoomForConditions(4) {
			c.planner.dirty = true
			return false
		}
		to, j := c.planner.jobHandovers[id], c.cache.jobs[id]
		delete(c.planner.jobHandovers, id)
		if !c.canHandOverJob(j, to) {
			continue
		}
		d.handOverJob(j, to)
		d.onCommit = append(d.onCommit, func() {
			c.learner.handovers += j.Header.TaskCount
			c.debug("job handed over", "job", id, "shard", to)
		})
	}
	return true
}

// canHandOverJob reports whether a job may still be handed over to a shard with all its tasks: none
// of them was booked, queued or handed over since that was decided, and the shard's controller
// still serves.
func (c *Controller) canHandOverJob(j *Job, to string) bool {
	return j != nil && j.Header.State == domain.StateOpen && isUnstarted(j) && j.queuedHere == 0 &&
		slices.Contains(c.cache.view.Serving, to) && c.cache.shardOf(j) == c.cfg.Controller
}

// planTaskHandovers hands over single tasks until the draft is full.
func (c *Controller) planTaskHandovers(d *draft) {
	for _, id := range sortedTasks(c.planner.taskHandovers) {
		to, j := c.planner.taskHandovers[id], c.cache.jobs[id.Job]
		delete(c.planner.taskHandovers, id)
		if !c.canHandOverTask(d, j, id, to) || c.isTaskAvoided(j, id.Index) {
			continue
		}
		if !d.hasRoomToGrow(j, id.Index) {
			c.planner.dirty = true
			return
		}
		d.handOver(j, id.Index, to)
		c.dequeue(id)
		d.onCommit = append(d.onCommit, func() {
			c.learner.handovers++
			c.debug("task handed over", "task", id, "shard", to)
		})
	}
}

// canHandOverTask reports whether a task still waits in this shard, is not booked by this plan, and
// the controller of its new shard still serves.
func (c *Controller) canHandOverTask(d *draft, j *Job, id domain.TaskID, to string) bool {
	return j != nil && j.Header.State == domain.StateOpen && !d.changed[id] && j.task(id.Index).State == domain.Queued &&
		slices.Contains(c.cache.view.Serving, to) && c.cache.taskShard(j, j.task(id.Index)) == c.cfg.Controller
}
