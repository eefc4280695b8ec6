package simulation

import (
	"fmt"
	"sort"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// newView notices a change of leader: kept reports reach every controller then.
func (c *Cluster) noticeLeader(value []byte) {
	var v domain.View
	if json.Unmarshal(value, &v) != nil || v.Leader == c.leader {
		return
	}
	if c.leader != "" {
		c.occurred("new leader")
	}
	c.leader = v.Leader
	kept := c.keptHeartbeats
	c.keptHeartbeats = nil
	for _, r := range kept {
		for _, p := range c.processes {
			c.after(time.Duration(1+c.rng.IntN(400))*time.Millisecond, func() {
				if w := c.worker(r.Machine); !w.isGone && (r.AgentEpoch < w.agentEpoch || r.Sequence < w.sequence) {
					c.occurred("old report under a new leader")
				}
				p.request(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(scheduler.Effect) {})
			})
		}
	}
}

// look asks all nodes about a job within milliseconds of news about it, again and
// again, and submits it anew.
func (c *Cluster) lookClosely(id string) {
	job := c.jobs[id]
	if !c.strikes("looks") || !job.isSubmitted {
		return
	}
	for _, p := range c.processes {
		for k := 0; k < 4; k++ {
			c.after(time.Duration(c.rng.IntN(40*(k+1)))*time.Millisecond, func() {
				c.requestAt(p, func(p *controllerProcess, done func(scheduler.Effect)) {
					if k == 3 {
						sp := job.spec
						sp.TaskCount++ // whatever the other fields say now
						p.request(func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: &sp} }, done)
						return
					}
					p.request(func(r uint64) scheduler.Event { return scheduler.JobQueried{RequestID: r, ID: id} }, done)
				}, func(u scheduler.UserReply, asked time.Duration) {
					if u.Status == 200 {
						c.occurred("answer to a close look")
					}
					if u.Status == 201 {
						c.violated("taken", "%s accepted twice", id)
					}
					c.checkReply(id, u, asked)
				})
			})
		}
	}
}

// odd sends, once a second, a job that fits no machine or lacks a field, repeats
// a submission with other fields, and cancels a job that is done.
func (c *Cluster) submitOddRequests() {
	if !c.strikes("odd") {
		return
	}
	c.after(time.Second, c.submitOddRequests)
	ask := func(id string, ev func(r uint64) scheduler.Event, done func(scheduler.UserReply)) {
		c.requestAnywhere(func(p *controllerProcess, f func(scheduler.Effect)) { p.request(ev, f) }, func(u scheduler.UserReply, asked time.Duration) {
			c.checkReply(id, u, asked)
			done(u)
		})
	}
	c.generatedJobs++
	id := fmt.Sprintf("job-7%06d", c.generatedJobs)
	sp := domain.JobSpec{ID: id, Class: "odd", Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{CPU: 1000}, EstimatedRuntime: 5}
	spec, want := &sp, 422
	switch c.generatedJobs % 4 {
	case 0:
		sp.Request.GPU = machineCapacity.GPU + 1
	case 1:
		sp.Team = "none"
	case 2:
		sp.Zone = "nowhere"
	case 3:
		spec, want = nil, 400
	}
	c.jobs[id] = &jobRecord{spec: sp, done: map[int]bool{}, cancelToldAt: -1, readyAt: -1, isInvalid: true}
	ask(id, func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: spec} }, func(u scheduler.UserReply) {
		if u.Status == want {
			c.occurred("odd submission refused")
		} else if u.Status >= 400 && u.Status < 500 {
			c.violated("refused", "%s got %d, not %d", id, u.Status, want)
		}
	})
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		if !job.accepted || job.finalState == "cancelled" || c.rng.IntN(4) != 0 {
			continue
		}
		if job.finalState == "done" {
			ask(id, func(r uint64) scheduler.Event { return scheduler.JobCancelled{RequestID: r, ID: id} }, func(scheduler.UserReply) { c.occurred("done job cancelled") })
			continue
		}
		again := job.spec
		again.Request.GPU = machineCapacity.GPU + 1 // a repeat is known by its id alone
		ask(id, func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: &again} }, func(u scheduler.UserReply) {
			if u.Status == 200 {
				c.occurred("repeat answered")
			}
		})
	}
}

func (c *Cluster) jobIDs() []string { return sorted(c.jobs) }

// onMachines counts a job's tasks on machines.
func (c *Cluster) onMachines(job string) int {
	n := 0
	for _, w := range c.workers {
		for id, x := range w.tasks {
			if id.Job == job && x.isOnMachine() && !w.isGone {
				n++
			}
		}
	}
	return n
}

// callOff cancels n running jobs within a fifth of a second; up to eight of the
// machines that run them hang.
func (c *Cluster) cancelRunningJobs(n int, hang time.Duration) {
	hung := 0
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		var on []*worker
		for _, w := range c.workers {
			for _, x := range w.taskIDs() {
				if x.Job == id && w.tasks[x].isOnMachine() && !w.isGone {
					on = append(on, w)
					break
				}
			}
		}
		if n == 0 || len(on) == 0 || job.cancelRequested || job.finalState != "" || !job.accepted {
			continue
		}
		n--
		c.occurred("running job called off")
		c.after(time.Duration(c.rng.IntN(200))*time.Millisecond, func() { c.Cancel(id) })
		if hang > 0 && hung < 8 && !on[0].isHung {
			hung++
			on[0].hang(hang)
		}
	}
}

// roomOn is how many tasks of a job a machine still has room for.
func (w *worker) roomFor(sp *domain.JobSpec) int64 {
	if w.isGone || !w.isUp || w.isHung || w.isSick || w.preemptedAt >= 0 || w.cluster.Now < w.deafUntil || w.cluster.Now < w.muteUntil ||
		w.spot && !sp.Spot || sp.Zone != "" && sp.Zone != w.zone {
		return 0
	}
	free := machineCapacity
	for id, x := range w.tasks {
		if x.state != domain.ReportedEnded {
			free = free.Plus(w.cluster.jobs[id.Job].spec.Request, -1)
		}
	}
	return free.CountFitting(sp.Request, int64(sp.TaskCount))
}

// checkRoom: once all troubles are over, no job is left waiting for 90 s while
// machines that fit have room for it all the time and its team is under its limit.
// Wide worlds are left out.
func (c *Cluster) checkLeftWaiting() {
	if len(c.workers) > tuning.LargeFleetMachines {
		return
	}
	used, there := map[string]domain.Resources{}, map[string]zoneCount{}
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for _, id := range w.taskIDs() {
			if x := w.tasks[id]; x.state != domain.ReportedEnded {
				sp := c.jobs[id.Job].spec
				used[sp.Team] = used[sp.Team].Plus(sp.Request, 1)
				if there[id.Job] == nil {
					there[id.Job] = zoneCount{}
				}
				there[id.Job][w.zone]++
			}
		}
	}
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		sp := &job.spec
		at := 1
		if sp.Shape == domain.Gang {
			at = sp.TaskCount
		}
		lim := c.settings.Teams[sp.Team].Limit
		after := used[sp.Team].Plus(sp.Request, int64(at))
		waits := job.accepted && job.finalState == "" && !job.cancelRequested && !job.failsEverywhere && c.dependenciesDone(job) && there[id].sum()+int64(len(job.done)) < int64(sp.TaskCount) &&
			(sp.Shape != domain.Gang || there[id].sum() == 0) && (lim.GPU == 0 || after.GPU <= lim.GPU) && (lim.CPU == 0 || after.CPU <= lim.CPU)
		if !waits {
			delete(c.roomSince, id)
			continue
		}
		if c.roomSince[id] == nil {
			c.roomSince[id] = map[string]time.Duration{}
		}
		long := zoneCount{}
		for _, w := range c.workers {
			n := w.roomFor(sp)
			since, was := c.roomSince[id][w.name]
			switch {
			case n == 0:
				delete(c.roomSince[id], w.name)
			case !was:
				c.roomSince[id][w.name] = c.Now
			case c.Now-max(since, c.calmSince) > 90*time.Second:
				long[w.zone] += n
			}
		}
		if long.usable(sp, there[id]) >= int64(at) && !job.reported(c, "left_waiting") {
			c.violated("left_waiting", "%s waits beside room for it", id)
		}
	}
}

// zoneCount counts tasks, or room for tasks, by zone.
type zoneCount map[string]int64

func (z zoneCount) sum() (n int64) {
	for _, k := range z {
		n += k
	}
	return n
}

// usable is how much of the room a job's zone rule lets it use, given where its tasks are.
func (z zoneCount) usable(sp *domain.JobSpec, there zoneCount) (n int64) {
	if !sp.OneZone && !sp.Spread {
		return z.sum()
	}
	for zone, room := range z {
		switch {
		case sp.Spread:
			n += min(room, int64(sp.TaskCount+1)/2-there[zone])
		case there.sum() == there[zone]: // none elsewhere
			n = max(n, room)
		}
	}
	return n
}

// checkServed: at the end of a day at least half of a class, of a team and of a
// class's largest jobs has been served.
func (c *Cluster) checkServed() {
	type share struct{ served, all int }
	by := map[string]*share{}
	largest := map[string]int{}
	each := func(f func(id string, job *jobRecord)) {
		for _, id := range c.jobIDs() {
			if job := c.jobs[id]; job.accepted && !job.cancelRequested && !c.anyPrerequisite(job, func(earlier *jobRecord) bool { return earlier.cancelRequested }) {
				f(id, job)
			}
		}
	}
	each(func(_ string, job *jobRecord) {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.TaskCount)
	})
	each(func(_ string, job *jobRecord) {
		keys := []string{"class " + job.spec.Class, "team " + job.spec.Team}
		if 2*job.spec.TaskCount > largest[job.spec.Class] {
			keys = append(keys, "largest of class "+job.spec.Class)
		}
		for _, k := range keys {
			if by[k] == nil {
				by[k] = &share{}
			}
			by[k].all++
			if job.finalState == "done" || job.spec.Shape == domain.Service && job.hasBegun {
				by[k].served++
			}
		}
	})
	for _, k := range sorted(by) {
		if x := by[k]; 2*x.served < x.all {
			c.violated("unserved", "%d of %d of %s", x.served, x.all, k)
		}
	}
}

func sorted[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	sort.Strings(l)
	return l
}
