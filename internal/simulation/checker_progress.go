package simulation

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// isLarge reports whether the fleet has more than tuning.LargeFleetMachines machines. Checks over
// all machines run less often, or not at all, in a large fleet.
func (c *Cluster) isLarge() bool { return len(c.workers) > tuning.LargeFleetMachines }

// checkProgress checks the jobs that are accepted and have no final state.
func (c *Cluster) checkProgress() {
	for _, id := range c.Unfinished() {
		job := c.jobs[id]
		c.checkAnswered(id, job)
		c.checkStartsInTime(id, job)
	}
}

// checkAnswered (forgotten) checks that a query about a job was answered within the last 75 s, not
// counting the time until all faults are over.
func (c *Cluster) checkAnswered(id string, job *jobRecord) {
	since := c.Now - max(job.answeredAt, c.faultsOverAt)
	if since > 75*time.Second && !job.hasViolation(c, ruleForgotten) {
		c.violated(ruleForgotten, "%s: no successful response for %.0f s", id, since.Seconds())
	}
}

// checkStartsInTime (starved) checks that a job starts within four minutes of being accepted and
// its dependencies being done, not counting the time until all faults are over.
func (c *Cluster) checkStartsInTime(id string, job *jobRecord) {
	if job.readyAt < 0 && c.dependenciesDone(job) {
		job.readyAt = c.Now
	}
	if job.hasStarted || job.cancelRequested || job.readyAt < 0 {
		return
	}
	waited := c.Now - max(job.acceptedAt, job.readyAt, c.faultsOverAt)
	if waited > 4*time.Minute && !job.hasViolation(c, ruleStarved) {
		c.violated(ruleStarved, "%s has not started", id)
	}
}

// servedCount counts the jobs of a group, and those of them that were served.
type servedCount struct{ served, all int }

// checkServed (unserved) checks, at the end of a scenario, that at least half of the jobs of each
// class, of each team and of each class's largest jobs (those with more than half as many tasks
// as its largest job) were served.
func (c *Cluster) checkServed() {
	jobs := c.jobsToServe()
	largest := map[string]int{} // number of tasks of the largest job, by class
	for _, job := range jobs {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.TaskCount)
	}
	counts := map[string]*servedCount{}
	for _, job := range jobs {
		kinds := []string{"class " + job.spec.Class, "team " + job.spec.Team}
		if 2*job.spec.TaskCount > largest[job.spec.Class] {
			kinds = append(kinds, "largest of class "+job.spec.Class)
		}
		for _, kind := range kinds {
			if counts[kind] == nil {
				counts[kind] = &servedCount{}
			}
			counts[kind].all++
			if job.wasServed() {
				counts[kind].served++
			}
		}
	}
	for _, kind := range sortedKeys(counts) {
		if count := counts[kind]; 2*count.served < count.all {
			c.violated(ruleUnserved, "%d of %d of %s", count.served, count.all, kind)
		}
	}
}

// jobsToServe returns the accepted jobs for which no user requested a cancellation, directly or
// through a dependency.
func (c *Cluster) jobsToServe() []*jobRecord {
	var jobs []*jobRecord
	for _, id := range c.jobIDs() {
		if job := c.jobs[id]; job.accepted && !c.wasCancelRequested(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// wasServed reports whether the job was reported done or, if a service, has started.
func (j *jobRecord) wasServed() bool {
	return j.finalState == stateDone || j.spec.Shape == domain.Service && j.hasStarted
}
