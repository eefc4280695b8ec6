package scheduler

import (
	"maps"
	"slices"

	"brassglade/internal/domain"
)

// planHandovers writes the shards of jobs and tasks that were passed on or stolen. What finds no room
// waits for the next plan.
func (c *Controller) planHandovers(d *draft) {
	if c.planJobHandovers(d) {
		c.planTaskHandovers(d)
	}
}

// planJobHandovers hands over untouched jobs with all their tasks; false: the draft is full.
func (c *Controller) planJobHandovers(d *draft) bool {
	for _, id := range slices.Sorted(maps.Keys(c.planner.jobHandovers)) {
		if d.changes() >= c.cfg.TransactionLimit || !d.takesConditions(4) {
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
			c.debug("job handed over", "job", id, "to", to)
		})
	}
	return true
}

// canHandOverJob tells whether a job may still go to another shard with all its tasks: nothing
// happened to it since that was decided, and its new controller still serves.
func (c *Controller) canHandOverJob(j *Job, to string) bool {
	return j != nil && j.Header.State == domain.StateOpen && isUnstarted(j) && j.queuedHere == 0 &&
		slices.Contains(c.cache.view.Serving, to) && c.cache.shardOf(j) == c.cfg.Node
}

// planTaskHandovers hands over single tasks until the draft is full.
func (c *Controller) planTaskHandovers(d *draft) {
	for _, id := range sortedTasks(c.planner.taskHandovers) {
		to, j := c.planner.taskHandovers[id], c.cache.jobs[id.Job]
		delete(c.planner.taskHandovers, id)
		if !c.canHandOverTask(d, j, id, to) || c.isAvoided(j, id.Index) {
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
			c.debug("task handed over", "task", id, "to", to)
		})
	}
}

// canHandOverTask tells whether a task still waits here, this plan doesn't book it, and its
// new controller still serves.
func (c *Controller) canHandOverTask(d *draft, j *Job, id domain.TaskID, to string) bool {
	return j != nil && j.Header.State == domain.StateOpen && !d.changed[id] && j.task(id.Index).State == domain.Queued &&
		slices.Contains(c.cache.view.Serving, to) && c.cache.taskShard(j, j.task(id.Index)) == c.cfg.Node
}
