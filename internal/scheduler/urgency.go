package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// urgent is a job in the order of a shard's pool.
type urgent struct {
	job             *Job
	withinGuarantee bool      // its team is owed it, or it starves
	run             float64   // s a task, from when it is queued
	work            float64   // s of the whole fleet
	goals           []float64 // s left until each aim, the first aim first
	tier            int       // the aim it is put down for; len(goals): none
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
		u.job.beyondAims = len(u.goals) > 0 && u.tier >= len(u.goals)
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
		if j.counts.queued == 0 || placedByLeader(spec) || int64(c.now) < j.pausedUntil {
			continue
		}
		isOwed := guarantee != (domain.Resources{}) && withinLimit(withJob, guarantee) && c.age(j) <= c.cfg.GuaranteeWithin
		// Moore and Hodgson's rule lets the jobs with the most work give way; none of them
		// may do so for ever.
		isOwed = c.isStarving(j, placementOf(j, nil)) || isOwed
		jobs = append(jobs, &urgent{
			job:             j,
			withinGuarantee: isOwed,
			run:             c.queues.runTime(spec) + tuning.StartLag,
			work:            float64(j.counts.queued) * c.queues.runTime(spec) / c.slots(spec),
			goals:           c.goals(j),
		})
	}
	return jobs
}

// age is how long ago a job could first start, s.
func (c *Controller) age(j *Job) float64 { return (c.now - time.Duration(j.readyAt)).Seconds() }

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
		goals = append(goals, seconds-c.age(j))
	}
	return goals
}

// slots is how many tasks like this the machines heard of can run at once.
func (c *Controller) slots(spec *domain.JobSpec) float64 {
	c.inventory() // brings machinesByKind up to date
	n := int64(0)
	for kind, count := range c.peers.machinesByKind {
		if f := c.cache.machineType(kind.machineType); f != nil && allowsMachine(spec, kind.machineType, kind.zone, kind.spot) {
			n += count * f.Capacity.CountFitting(spec.Request, 64)
		}
	}
	return float64(max(n, 1))
}

// isDoubtful: all tries so far failed, several times over. Such a job is tried one task
// at a time, or a mistaken one would take machines and changes from all others.
func (j *Job) isDoubtful() bool { return j.counts.done == 0 && j.failures >= tuning.DoubtAfter }

// isStarving: it could have begun long ago, and has nothing to show for it. A job
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
	return -u.run
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
		var candidates []*urgent
		for _, u := range jobs {
			if u.tier == tier && tier < len(u.goals) {
				candidates = append(candidates, u)
			}
		}
		begin = leastLate(candidates, tier, begin)
	}
}

// leastLate moves as few jobs as can be on to the next aim such that all others meet this
// one, if all work is done one job after the other from a time on (s); it returns the time at
// which that of the others ends.
//
// This is Moore and Hodgson's rule (J. M. Moore, "An n job, one machine sequencing algorithm
// for minimizing the number of late jobs", Management Science 15, 1968): in order of time left,
// and whenever one job would be late, the one with the most work so far is taken out. Here the
// one machine is the whole fleet, and a job's last task needs its run time besides.
func leastLate(candidates []*urgent, tier int, begin float64) (end float64) {
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].left() < candidates[b].left() })
	end = begin
	var inTime []*urgent
	for _, u := range candidates {
		if u.run > u.goals[tier] {
			u.tier++ // too late even alone
			continue
		}
		inTime = append(inTime, u)
		end += u.work
		if end+u.run > u.goals[tier] {
			k := mostWork(inTime)
			end -= inTime[k].work
			inTime[k].tier++
			inTime = append(inTime[:k], inTime[k+1:]...)
		}
	}
	return end
}

// mostWork is the index of the first job with the most work.
func mostWork(jobs []*urgent) int {
	k := 0
	for i := range jobs {
		if jobs[i].work > jobs[k].work {
			k = i
		}
	}
	return k
}
