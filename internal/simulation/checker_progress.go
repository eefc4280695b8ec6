package simulation

import (
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// isLarge: the fleet is so large that checks of all machines run seldom or not at all.
func (c *Cluster) isLarge() bool { return len(c.workers) > tuning.LargeFleetMachines }

// checkProgress checks what becomes of the jobs that are not over.
func (c *Cluster) checkProgress() {
	for _, id := range c.Unfinished() {
		job := c.jobs[id]
		c.checkAnswered(id, job)
		c.checkStartsInTime(id, job)
	}
}

// checkAnswered (forgotten): once all troubles are over, a job about which no question is
// answered for 75 s is forgotten.
func (c *Cluster) checkAnswered(id string, job *jobRecord) {
	since := c.Now - max(job.answeredAt, c.faultsOverAt)
	if since > 75*time.Second && !job.hasViolation(c, ruleForgotten) {
		c.violated(ruleForgotten, "%s: no answer for %.0f s", id, since.Seconds())
	}
}

// checkStartsInTime (starved): once all troubles are over, a job begins within four minutes after
// its dependencies are done.
func (c *Cluster) checkStartsInTime(id string, job *jobRecord) {
	if job.readyAt < 0 && c.dependenciesDone(job) {
		job.readyAt = c.Now
	}
	if job.hasStarted || job.cancelRequested || job.readyAt < 0 {
		return
	}
	waited := c.Now - max(job.acceptedAt, job.readyAt, c.faultsOverAt)
	if waited > 4*time.Minute && !job.hasViolation(c, ruleStarved) {
		c.violated(ruleStarved, "%s has not begun", id)
	}
}

// servedShare is how many of some jobs were served.
type servedShare struct{ served, all int }

// checkServed (unserved): at the end of a day at least half of a class, of a team and of a
// class's largest jobs has been served.
func (c *Cluster) checkServed() {
	jobs := c.jobsToServe()
	largest := map[string]int{} // tasks, by class
	for _, job := range jobs {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.TaskCount)
	}
	shares := map[string]*servedShare{}
	for _, job := range jobs {
		kinds := []string{"class " + job.spec.Class, "team " + job.spec.Team}
		if 2*job.spec.TaskCount > largest[job.spec.Class] {
			kinds = append(kinds, "largest of class "+job.spec.Class)
		}
		for _, kind := range kinds {
			if shares[kind] == nil {
				shares[kind] = &servedShare{}
			}
			shares[kind].all++
			if job.wasServed() {
				shares[kind].served++
			}
		}
	}
	for _, kind := range sortedKeys(shares) {
		if share := shares[kind]; 2*share.served < share.all {
			c.violated(ruleUnserved, "%d of %d of %s", share.served, share.all, kind)
		}
	}
}

// jobsToServe lists the accepted jobs that nobody cancelled.
func (c *Cluster) jobsToServe() []*jobRecord {
	var jobs []*jobRecord
	for _, id := range c.jobIDs() {
		if job := c.jobs[id]; job.accepted && !c.wasCancelRequested(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// wasServed: the job is told done, or is a service that began.
func (j *jobRecord) wasServed() bool {
	return j.finalState == stateDone || j.spec.Shape == domain.Service && j.hasStarted
}
