package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// isLargeFleet: the parts are so large that jobs are passed and stolen whole, as long as
// none of their tasks was booked. One by one, tasks of most jobs would lie in
// parts other than the one whose value holds them, and two nodes' commits of
// one value at a time keep failing each other.
func (c *Controller) isLargeFleet() bool {
	n := len(c.heartbeats.machines)
	for _, p := range c.peers.byName {
		n += len(p.machines)
	}
	c.countWaiting()
	return n > tuning.LargeFleetMachines || c.peers.waitingTotal > tuning.LargeBacklogTasks
}

// isUntouched: nothing of the job was booked or handed over yet.
func isUntouched(j *Job) bool { return j.Tasks == nil && j.counts.queued == j.Header.TaskCount }

// passJob draws once whether a job of which nothing could start here stays in
// this part or goes to another, each at its mean load; true: it goes. The part
// was chosen for its room a moment ago, so the job first gets a chance there.
func (c *Controller) passJob(j *Job, ts []target) bool {
	sp := j.Header.Spec
	if !isUntouched(j) || j.Header.Handovers > 0 || c.queues.jobsStaying[j.ID] || j.queuedHere > 0 ||
		c.now-time.Duration(j.readyAt) < tuning.StealAfter {
		return false
	}
	var cs []choice
	for i := range ts {
		if t := &ts[i]; t.machineType.Capacity.Fits(sp.Request) && c.allowsMachine(sp, t.machine.Type, t.machine.Zone, t.machine.Spot) {
			cs = append(cs, choice{name: c.cfg.Node, load: c.meanLoad()})
			break
		}
	}
	for _, n := range c.cache.view.Serving {
		if p := c.peers.byName[n]; n != c.cfg.Node && p != nil && c.now-p.heardAt <= 3*tuning.DrawEvery && c.peerFits(p, sp) {
			cs = append(cs, choice{name: n, load: p.load, cost: tuning.PassCost})
		}
	}
	k := c.draw(&c.learner.arrive, cs)
	if k < 0 {
		return false
	}
	c.queues.jobsStaying[j.ID] = true
	to := cs[k].name
	if to == c.cfg.Node {
		return false
	}
	c.planner.jobHandovers[j.ID] = to
	c.planner.dirty = true
	if p := c.peers.byName[to]; len(p.machines) > 0 {
		p.load += c.runTime(sp) * float64(j.Header.TaskCount) / float64(4*len(p.machines))
	}
	return true
}

// peerFits: the peer has a machine that may take a task of the job. The answer
// is kept for as long as the peer's word.
func (c *Controller) peerFits(p *peerState, sp *domain.JobSpec) bool {
	k := fitKey{sp.Request, sp.Zone, strings.Join(sp.MachineTypes, ","), sp.Spot}
	ok, known := p.fits[k]
	if known {
		return ok
	}
	for i := range p.machines {
		pm := &p.machines[i]
		f := c.machineType(pm.Type)
		if f != nil && !pm.Leaving && c.cache.cordons[pm.Name].State == "" && f.Capacity.Fits(sp.Request) &&
			c.allowsMachine(sp, pm.Type, pm.Zone, pm.Spot) && !c.isReserved(pm.Name) {
			ok = true
			break
		}
	}
	p.fits[k] = ok
	return ok
}

type fitKey struct {
	request     domain.Resources
	zone, types string
	spot        bool
}

// canStart: a queued task that would fit the machine right now.
func (c *Controller) canStart(id domain.TaskID, m *Machine, free domain.Resources) bool {
	j := c.cache.jobs[id.Job]
	if j == nil || j.Header.State != domain.StateOpen || j.task(id.Index).State != domain.Queued || int64(c.now) < j.pausedUntil {
		return false
	}
	sp := j.Header.Spec
	return free.Fits(sp.Request) && c.allowsMachine(sp, m.Type, m.Zone, m.Spot) && !m.failedHere(j) &&
		withinLimit(c.teamUsed(sp.Team, nil).Plus(sp.Request, 1), c.cfg.Teams[sp.Team].Limit)
}

// stealLocal: a machine with idle room and an empty queue takes a waiting task
// from another queue of this part.
func (c *Controller) stealLocal(mine []*Machine) {
	// Those that have to wait where they queue, at most a draw's worth of them.
	var from []*Machine
	for _, o := range mine {
		free := c.freeOn(o.Name, c.machineType(o.Type).Capacity, nil)
		for _, id := range o.queue {
			if c.queues.machineOf[id] != o.Name {
				continue
			}
			if free = free.Plus(c.cache.jobs[id.Job].Header.Spec.Request, -1); !(free.CPU >= 0 && free.GPU >= 0 && free.Memory >= 0) {
				from = append(from, o)
				break
			}
		}
		if len(from) >= tuning.MaxDrawTargets {
			break
		}
	}
	if len(from) == 0 {
		return
	}
	for _, m := range mine {
		if len(m.queue) > 0 {
			continue
		}
		free := c.freeOn(m.Name, c.machineType(m.Type).Capacity, nil)
		if free.CPU == 0 {
			continue
		}
		for n := 0; n < tuning.MaxHandovers; n++ {
			var cs []choice
			var take []domain.TaskID
			for _, o := range from {
				if o == m || len(o.queue) == 0 {
					continue
				}
				of := c.freeOn(o.Name, c.machineType(o.Type).Capacity, nil)
				for _, id := range o.queue {
					if c.queues.machineOf[id] != o.Name {
						continue
					}
					sp := c.cache.jobs[id.Job].Header.Spec
					if of.Fits(sp.Request) {
						of = of.Plus(sp.Request, -1)
						continue // starts there at once
					}
					if c.canStart(id, m, free) {
						cs = append(cs, choice{name: o.Name, load: c.load(o)})
						take = append(take, id)
						break
					}
				}
			}
			k := c.draw(&c.learner.steal, cs)
			if k < 0 {
				break
			}
			free = free.Plus(c.cache.jobs[take[k].Job].Header.Spec.Request, -1)
			c.enqueue(take[k], m)
		}
	}
}

// mayBegin tells whether one more task of a job fits its team's limit as it is used
// now, beside what others claim of it.
func (c *Controller) mayBegin(sp *domain.JobSpec, claims map[string]quotaClaim) bool {
	lim, used := c.cfg.Teams[sp.Team].Limit, c.teamUsed(sp.Team, nil)
	return withinLimit(used.Plus(sp.Request, 1), lim) && claims[sp.Team].allows(sp, used, lim)
}

// stealRemote asks another part for tasks that fit a machine with idle room.
func (c *Controller) stealRemote(mine []*Machine) {
	// Where work waits that other parts have, by kind of task.
	type lot struct {
		sp    *domain.JobSpec
		parts map[string]bool
	}
	var lots []lot
	wide := c.isLargeFleet()
	idle := map[machineKind]int64{}
	for _, m := range mine {
		if len(m.queue) == 0 {
			idle[machineKind{m.Type, m.Zone, m.Spot}]++
		}
	}
	claims := c.claims(nil)
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || !c.mayBegin(j.Header.Spec, claims) {
			continue
		}
		if wide && (!isUntouched(j) || c.now-time.Duration(j.readyAt) < tuning.StealAfter) {
			continue
		}
		x := lot{j.Header.Spec, map[string]bool{}}
		// A job's last task may be far back, and wait in a part that has no machine.
		for i, seen := 0, 0; i < j.Header.TaskCount && seen < tuning.StealLook; i++ {
			if t := j.task(i); t.State == domain.Queued {
				seen++
				x.parts[c.taskShard(j, t)] = true
			}
		}
		delete(x.parts, c.cfg.Node)
		if len(x.parts) > 0 {
			lots = append(lots, x)
		}
		if len(lots) >= tuning.StealLots {
			break
		}
	}
	if len(lots) == 0 {
		return
	}
	sent := 0
	for _, m := range mine {
		if len(m.queue) > 0 || sent >= tuning.MaxStealRequests {
			continue
		}
		free := c.freeOn(m.Name, c.machineType(m.Type).Capacity, nil)
		parts := map[string]bool{}
		for _, x := range lots {
			if free.Fits(x.sp.Request) && c.allowsMachine(x.sp, m.Type, m.Zone, m.Spot) {
				maps.Copy(parts, x.parts)
			}
		}
		var cs []choice
		for _, n := range slices.Sorted(maps.Keys(parts)) {
			if p := c.peers.byName[n]; p != nil {
				cs = append(cs, choice{name: n, load: p.load})
			}
		}
		if k := c.draw(&c.learner.steal, cs); k >= 0 {
			sent++
			most := tuning.MaxHandovers
			if n := idle[machineKind{m.Type, m.Zone, m.Spot}]; wide {
				free, most = domain.Resources{}.Plus(free, n), tuning.MaxHandovers*int(n)
				sent = tuning.MaxStealRequests // one for all alike
			}
			c.emit(SendPeerMessage{To: cs[k].name, Message: PeerMessage{Epoch: c.cache.view.Epoch, Steal: &StealRequest{
				Type: m.Type, Zone: m.Zone, Spot: m.Spot, Room: free, MaxTasks: most}}})
		}
	}
}

// onSteal takes tasks off the queues and lets the next commit hand them over.
func (c *Controller) onSteal(from string, s *StealRequest) {
	if !c.mayAct() || !slices.Contains(c.cache.view.Serving, from) {
		return
	}
	room, n, claims := s.Room, 0, c.claims(nil)
	give := func(id domain.TaskID) {
		j := c.cache.jobs[id.Job]
		if j == nil || n >= s.MaxTasks || j.Header.State != domain.StateOpen || c.planner.taskHandovers[id] != "" || j.task(id.Index).State != domain.Queued ||
			int64(c.now) < j.pausedUntil {
			return
		}
		sp := j.Header.Spec
		// What its team's limit or a claim on it keeps from starting would only fill
		// the room that another task could use.
		if !room.Fits(sp.Request) || !c.allowsMachine(sp, s.Type, s.Zone, s.Spot) || !c.mayBegin(sp, claims) {
			return
		}
		room = room.Plus(sp.Request, -1)
		n++
		c.planner.taskHandovers[id] = from
		c.planner.dirty = true
	}
	if c.isLargeFleet() {
		for _, j := range c.cache.openJobs {
			sp := j.Header.Spec
			if placedByLeader(sp) || !isUntouched(j) || j.queuedHere > 0 || c.planner.jobHandovers[j.ID] != "" || c.shardOf(j) != c.cfg.Node ||
				j.Header.Handovers >= tuning.MaxHops || !c.allowsMachine(sp, s.Type, s.Zone, s.Spot) {
				continue
			}
			if fit := room.CountFitting(sp.Request, int64(sp.TaskCount)); 2*fit >= int64(sp.TaskCount) && n < s.MaxTasks {
				c.planner.jobHandovers[j.ID] = from
				c.planner.dirty = true
				room = room.Plus(sp.Request, -fit)
				n += sp.TaskCount
			}
		}
		return
	}
	// Unplaced ones first, then those that can't start where they queue.
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || j.queuedHere >= j.counts.queued || n >= s.MaxTasks {
			continue
		}
		for i := 0; i < j.Header.TaskCount; i++ {
			id := domain.TaskID{Job: j.ID, Index: i}
			if t := j.task(i); t.State == domain.Queued && c.queues.machineOf[id] == "" && c.taskShard(j, t) == c.cfg.Node {
				give(id)
			}
		}
	}
	for _, name := range c.machineNames() {
		m := c.heartbeats.machines[name]
		f := c.machineType(m.Type)
		if len(m.queue) == 0 || f == nil {
			continue
		}
		free := c.freeOn(name, f.Capacity, nil)
		for _, id := range m.queue {
			if c.queues.machineOf[id] != name {
				continue
			}
			if sp := c.cache.jobs[id.Job].Header.Spec; free.Fits(sp.Request) {
				free = free.Plus(sp.Request, -1)
				continue
			}
			give(id)
		}
	}
}
