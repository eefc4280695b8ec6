package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tardiness"
	"brassglade/internal/tuning"
)

// rankedJob is a job with the properties that decide its place among the pending jobs of a shard.
type rankedJob struct {
	job             *Job
	withinGuarantee bool          // the job is within its team's guarantee and not older than Settings.GuaranteeWithin, or it starves
	timesLeft       []float64     // time left until each objective, first objective first, s
	objective       int           // index of the objective that it is assigned to; len(timesLeft) if none
	timing          tardiness.Job // work of the job for the whole fleet, and run time of a task from when it is queued
}

// jobsByUrgency returns the open jobs that shards place and that may put more tasks into queues.
// Jobs within their team's guarantee and starving jobs come first, then jobs of higher priority;
// jobs of equal priority are ordered such that as many as possible meet their objectives. It also
// marks the jobs that can't meet any objective (Job.beyondObjectives).
func (c *Controller) jobsByUrgency() []*Job {
	order := c.rankableJobs()
	assignObjectives(order)
	sort.SliceStable(order, func(a, b int) bool { return order[a].goesBefore(order[b]) })
	jobs := make([]*Job, 0, len(order))
	for _, ranked := range order {
		ranked.job.beyondObjectives = len(ranked.timesLeft) > 0 && ranked.objective >= len(ranked.timesLeft)
		if ranked.job.queuedHere < min(ranked.job.counts.queued, tuning.QueuedPerJob) {
			jobs = append(jobs, ranked.job)
		}
	}
	return jobs
}

// rankableJobs returns the open jobs that shards place and that have waiting tasks, in the order in
// which they were accepted. Older jobs use up a team's guarantee before younger ones, whether they
// wait or run.
func (c *Controller) rankableJobs() []*rankedJob {
	var jobs []*rankedJob
	accepted := map[string]domain.Resources{} // by team: requests of all unfinished tasks of its jobs that the loop has visited
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		guarantee := c.cfg.Teams[spec.Team].Guarantee
		withJob := accepted[spec.Team].Plus(spec.Request, int64(j.Header.TaskCount-j.counts.done))
		accepted[spec.Team] = withJob
		if j.counts.queued == 0 || placedByLeader(spec) || j.isPaused(c.now) {
			continue
		}
		withinGuarantee := guarantee != (domain.Resources{}) && quota.Within(withJob, guarantee) && j.age(c.now).Seconds() <= c.cfg.GuaranteeWithin
		// Moore and Hodgson's rule postpones the jobs with the most work. Starving jobs go first,
		// so that none is postponed indefinitely.
		withinGuarantee = c.isStarving(j, placementOf(j, nil)) || withinGuarantee
		jobs = append(jobs, &rankedJob{
			job:             j,
			withinGuarantee: withinGuarantee,
			timesLeft:       c.timesLeft(j),
			timing: tardiness.Job{
				Work:    float64(j.counts.queued) * c.queues.runTime(spec) / c.slots(spec),
				RunTime: c.queues.runTime(spec) + tuning.StartLag,
			},
		})
	}
	return jobs
}

// timesLeft returns the time left until each objective of a job, in seconds. The objectives are the
// multiples (Settings.DeadlineMultiples) of the job's deadline, or of the deadline of a job that
// depends on it, and the completion times that Settings.FinishWithin sets for the job's class.
func (c *Controller) timesLeft(j *Job) []float64 {
	var timesLeft []float64
	if j.deadlineSeconds > 0 {
		left := time.Duration(j.deadlineAt - int64(c.now)).Seconds()
		for _, multiple := range c.cfg.DeadlineMultiples {
			timesLeft = append(timesLeft, left+(multiple-1)*j.deadlineSeconds)
		}
	}
	for _, seconds := range c.cfg.FinishWithin[j.Header.Spec.Class] {
		timesLeft = append(timesLeft, seconds-j.age(c.now).Seconds())
	}
	return timesLeft
}

// slots returns the number of tasks of the job that the known machines that take bookings can run
// at the same time if they are empty; at least 1.
func (c *Controller) slots(spec *domain.JobSpec) float64 {
	c.inventory() // updates machinesByKind
	total := int64(0)
	for kind, count := range c.peers.machinesByKind {
		if machineType := c.cache.machineType(kind.machineType); machineType != nil && allowsMachine(spec, kind.machineType, kind.zone, kind.spot) {
			total += count * machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
		}
	}
	return float64(max(total, 1))
}

// onlyFailed reports whether no task of the job is done and at least tuning.ProbeAfterFailures
// attempts have failed. Such a job runs one task at a time, since a faulty job would otherwise take
// machines and write capacity from other jobs.
func (j *Job) onlyFailed() bool { return j.counts.done == 0 && j.failures >= tuning.ProbeAfterFailures }

// isStarving reports whether a job has been ready to start for longer than tuning.StarvationAge and
// has no task that is booked or done. A job whose bookings all ended without a result starves like
// one that was never booked.
func (c *Controller) isStarving(j *Job, placed placement) bool {
	return placed.booked == 0 && placed.done == 0 && c.now-time.Duration(j.readyAt) > tuning.StarvationAge
}

// goesBefore reports whether the job comes before another one in the order of the pending jobs.
func (u *rankedJob) goesBefore(other *rankedJob) bool {
	switch {
	case u.withinGuarantee != other.withinGuarantee:
		return u.withinGuarantee
	case u.job.priority != other.job.priority:
		return u.job.priority > other.job.priority
	case u.objective != other.objective:
		return u.objective < other.objective
	}
	return u.timeLeft() < other.timeLeft()
}

// timeLeft returns the time in seconds until the objective that the job is assigned to. For a job
// that can't meet any objective it is the negative run time of a task: jobs with the longest tasks
// go first, since they otherwise end last.
func (u *rankedJob) timeLeft() float64 {
	if u.objective < len(u.timesLeft) {
		return u.timesLeft[u.objective]
	}
	return -u.timing.RunTime
}

// assignObjectives assigns each job to the first objective that it can meet together with the other
// jobs, by Moore and Hodgson's rule for each objective in turn: jobs that would be late for their
// first objectives are tried with their second ones, after the work of all jobs that meet their
// first.
func assignObjectives(jobs []*rankedJob) {
	objectives := 0
	for _, u := range jobs {
		objectives = max(objectives, len(u.timesLeft))
	}
	begin := 0.0
	for objective := 0; objective < objectives; objective++ {
		var candidates []*tardiness.Job
		for _, u := range jobs {
			if u.isAssignedTo(objective) {
				u.timing.TimeLeft = u.timesLeft[objective]
				candidates = append(candidates, &u.timing)
			}
		}
		begin = tardiness.FewestLate(candidates, begin)
		for _, u := range jobs {
			if u.isAssignedTo(objective) && u.timing.Late {
				u.objective++
			}
		}
	}
}

// isAssignedTo reports whether the job is assigned to the objective with this index, from 0 up.
func (u *rankedJob) isAssignedTo(i int) bool { return u.objective == i && i < len(u.timesLeft) }
