package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tardiness"
	"brassglade/internal/tuning"
)

// urgent is a job in the order of a shard's pool.
type urgent struct {
	job             *Job
	withinGuarantee bool          // its team is owed it, or it starves
	goals           []float64     // s left until each aim, the first aim first
	tier            int           // the aim it is put down for; len(goals): none
	timing          tardiness.Job // its work for the whole fleet, and its tasks' run time from when they are queued
}

// jobsByUrgency orders the open jobs that shards place and that may have more tasks in queues:
// what a team is owed first, then priority, then such that as many jobs as can be meet
// their aims. It also notes which jobs are late beyond all aims.
func (c *Controller) jobsByUrgency() []*Job {
	order := c.urgentJobs()
	assignTiers(order)
	sort.SliceStable(order, func(a, b int) bool { return order[a].goesBefore(order[b]) })
	jobs := make([]*Job, 0, len(order))
	for _, u := range order {
		u.job.beyondObjectives = len(u.goals) > 0 && u.tier >= len(u.goals)
		if u.job.queuedHere < min(u.job.counts.queued, tuning.QueuedPerJob) {
			jobs = append(jobs, u.job)
		}
	}
	return jobs
}

// urgentJobs are the open jobs that shards place and that wait, in the order in which they
// were accepted. Older jobs use up a team's guarantee before younger ones, whether they
// wait or run.
func (c *Controller) urgentJobs() []*urgent {
	var jobs []*urgent
	accepted := map[string]domain.Resources{} // by team: what its jobs so far take, as a whole
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		guarantee := c.cfg.Teams[spec.Team].Guarantee
		withJob := accepted[spec.Team].Plus(spec.Request, int64(j.Header.TaskCount-j.counts.done))
		accepted[spec.Team] = withJob
		if j.counts.queued == 0 || placedByLeader(spec) || j.isPaused(c.now) {
			continue
		}
		isOwed := guarantee != (domain.Resources{}) && quota.Within(withJob, guarantee) && j.age(c.now).Seconds() <= c.cfg.GuaranteeWithin
		// Moore and Hodgson's rule lets the jobs with the most work give way; none of them
		// may do so for ever.
		isOwed = c.isStarving(j, placementOf(j, nil)) || isOwed
		jobs = append(jobs, &urgent{
			job:             j,
			withinGuarantee: isOwed,
			goals:           c.goals(j),
			timing: tardiness.Job{
				Work:    float64(j.counts.queued) * c.queues.runTime(spec) / c.slots(spec),
				RunTime: c.queues.runTime(spec) + tuning.StartLag,
			},
		})
	}
	return jobs
}

// goals are the times left until a job's aims, s: its deadline, or what is left of that of a job
// which needs it, with the multiples that count, and those of its class.
func (c *Controller) goals(j *Job) []float64 {
	var goals []float64
	if j.deadlineSeconds > 0 {
		left := time.Duration(j.deadlineAt - int64(c.now)).Seconds()
		for _, multiple := range c.cfg.DeadlineMultiples {
			goals = append(goals, left+(multiple-1)*j.deadlineSeconds)
		}
	}
	for _, seconds := range c.cfg.FinishWithin[j.Header.Spec.Class] {
		goals = append(goals, seconds-j.age(c.now).Seconds())
	}
	return goals
}

// slots is how many tasks like this the machines heard of can run at once.
func (c *Controller) slots(spec *domain.JobSpec) float64 {
	c.inventory() // brings machinesByKind up to date
	total := int64(0)
	for kind, count := range c.peers.machinesByKind {
		if machineType := c.cache.machineType(kind.machineType); machineType != nil && allowsMachine(spec, kind.machineType, kind.zone, kind.spot) {
			total += count * machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
		}
	}
	return float64(max(total, 1))
}

// isDoubtful tells whether all attempts so far failed, several times over. Such a job runs one
// task at a time, or a mistaken one would take machines and changes from all others.
func (j *Job) isDoubtful() bool { return j.counts.done == 0 && j.failures >= tuning.DoubtAfter }

// isStarving tells whether a job could have begun long ago, and has nothing to show for it. One
// whose bookings came to nothing is no better off than one that never had any.
func (c *Controller) isStarving(j *Job, at placement) bool {
	return at.booked == 0 && at.done == 0 && c.now-time.Duration(j.readyAt) > tuning.StarveAfter
}

// goesBefore is the order of the pool.
func (u *urgent) goesBefore(other *urgent) bool {
	switch {
	case u.withinGuarantee != other.withinGuarantee:
		return u.withinGuarantee
	case u.job.priority != other.job.priority:
		return u.job.priority > other.job.priority
	case u.tier != other.tier:
		return u.tier < other.tier
	}
	return u.left() < other.left()
}

// left is the time until the aim the job is put down for; beyond all aims the
// longest tasks go first, since they make the tail.
func (u *urgent) left() float64 {
	if u.tier < len(u.goals) {
		return u.goals[u.tier]
	}
	return -u.timing.RunTime
}

// assignTiers puts each job down for the first aim that it can meet beside the others, by
// Moore and Hodgson's rule for each aim in turn: those that would be late for their first aims
// try their second ones after all that meet their first.
func assignTiers(jobs []*urgent) {
	tiers := 0
	for _, u := range jobs {
		tiers = max(tiers, len(u.goals))
	}
	begin := 0.0
	for tier := 0; tier < tiers; tier++ {
		var candidates []*tardiness.Job
		for _, u := range jobs {
			if u.isDownFor(tier) {
				u.timing.TimeLeft = u.goals[tier]
				candidates = append(candidates, &u.timing)
			}
		}
		begin = tardiness.FewestLate(candidates, begin)
		for _, u := range jobs {
			if u.isDownFor(tier) && u.timing.Late {
				u.tier++
			}
		}
	}
}

// isDownFor tells whether the job is put down for an aim, counted from 0.
func (u *urgent) isDownFor(aim int) bool { return u.tier == aim && aim < len(u.goals) }
