package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// jobsByUrgency orders the open jobs that parts place: what a team is owed first,
// then priority, then such that as many jobs as can be meet their aims.
func (c *Controller) jobsByUrgency() []*Job {
	var l []*urgent
	before := map[string]domain.Resources{}
	for _, j := range c.cache.openJobs {
		sp := j.Header.Spec
		lim := c.cfg.Teams[sp.Team].Guarantee
		all := before[sp.Team].Plus(sp.Request, int64(j.Header.TaskCount-j.counts.done))
		age := (c.now - time.Duration(j.readyAt)).Seconds()
		owed := lim != (domain.Resources{}) && withinLimit(all, lim) && age <= c.cfg.GuaranteeWithin
		before[sp.Team] = all
		if j.counts.queued == 0 || placedByLeader(sp) || int64(c.now) < j.pausedUntil {
			continue
		}
		// The rule below lets the jobs with the most work give way; none of them
		// may do so for ever.
		if c.isStarving(j, c.placementOf(j, nil)) {
			owed = true
		}
		x := &urgent{job: j, withinGuarantee: owed, run: c.runTime(sp) + tuning.StartLag}
		x.work = float64(j.counts.queued) * c.runTime(sp) / c.slots(sp)
		if j.deadlineSeconds > 0 {
			// Its own deadline, or what is left of that of a job which needs it.
			left := time.Duration(j.deadlineAt - int64(c.now)).Seconds()
			for _, k := range c.cfg.DeadlineMultiples {
				x.goals = append(x.goals, left+(k-1)*j.deadlineSeconds)
			}
		}
		for _, g := range c.cfg.FinishWithin[sp.Class] {
			x.goals = append(x.goals, g-age)
		}
		l = append(l, x)
	}
	assignTiers(l)
	sort.SliceStable(l, func(a, b int) bool {
		x, y := l[a], l[b]
		if x.withinGuarantee != y.withinGuarantee {
			return x.withinGuarantee
		}
		if x.job.priority != y.job.priority {
			return x.job.priority > y.job.priority
		}
		if x.tier != y.tier {
			return x.tier < y.tier
		}
		return x.left() < y.left()
	})
	js := make([]*Job, 0, len(l))
	for _, x := range l {
		x.job.beyondAims = len(x.goals) > 0 && x.tier >= len(x.goals)
		if x.job.queuedHere < min(x.job.counts.queued, tuning.QueuedPerJob) {
			js = append(js, x.job)
		}
	}
	return js
}

// isDoubtful: all tries so far failed, several times over. Such a job is tried one task
// at a time, or a mistaken one would take machines and changes from all others.
func (j *Job) isDoubtful() bool { return j.counts.done == 0 && j.failures >= tuning.DoubtAfter }

// isStarving: it could have begun long ago, and has nothing to show for it. A job
// whose bookings came to nothing is no better off than one that never had any.
func (c *Controller) isStarving(j *Job, at placement) bool {
	return at.booked == 0 && at.done == 0 && c.now-time.Duration(j.readyAt) > tuning.StarveAfter
}

// urgent is a job in the order of a pool.
type urgent struct {
	job             *Job
	withinGuarantee bool
	run             float64   // s a task
	work            float64   // s of the whole fleet
	goals           []float64 // s left until each aim
	tier            int       // the aim it is put down for; len(goals): none
}

// left is the time until the aim the job is put down for; beyond all aims the
// longest tasks go first, since they make the tail.
func (x *urgent) left() float64 {
	if x.tier < len(x.goals) {
		return x.goals[x.tier]
	}
	return -x.run
}

// assignTiers puts each job down for the first aim that it can meet beside the
// others: in order of time left, and whenever one would be late, the job with
// the most work is moved on to its next aim (Moore and Hodgson's rule).
func assignTiers(l []*urgent) {
	most := 0
	for _, x := range l {
		most = max(most, len(x.goals))
	}
	t0 := 0.0
	for tier := 0; tier < most; tier++ {
		var at []*urgent
		for _, x := range l {
			if x.tier == tier && tier < len(x.goals) {
				at = append(at, x)
			}
		}
		sort.SliceStable(at, func(a, b int) bool { return at[a].left() < at[b].left() })
		t := t0
		var in []*urgent
		for _, x := range at {
			if x.run > x.goals[tier] {
				x.tier++ // too late even alone
				continue
			}
			in = append(in, x)
			t += x.work
			if t+x.run > x.goals[tier] {
				k := 0
				for i := range in {
					if in[i].work > in[k].work {
						k = i
					}
				}
				t -= in[k].work
				in[k].tier++
				in = append(in[:k], in[k+1:]...)
			}
		}
		t0 = t
	}
}

// slots is how many tasks like this the machines heard of can run at once.
func (c *Controller) slots(sp *domain.JobSpec) float64 {
	c.inventory()
	n := int64(0)
	for k, count := range c.peers.machinesByKind {
		if f := c.machineType(k.machineType); f != nil && c.allowsMachine(sp, k.machineType, k.zone, k.spot) {
			n += count * f.Capacity.CountFitting(sp.Request, 64)
		}
	}
	return float64(max(n, 1))
}
