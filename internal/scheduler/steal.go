package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// isLargeFleet tells whether the shards are so large that jobs are handed over and stolen as a
// whole, as long as none of their tasks was booked. One by one, tasks of most jobs would wait in
// shards other than the one whose value has their records, and commits of one value by two
// controllers at a time keep failing each other.
func (c *Controller) isLargeFleet() bool {
	c.countWaiting()
	return c.machineCount() > tuning.LargeFleetMachines || c.peers.waitingTotal > tuning.LargeBacklogTasks
}

// isUntouched tells whether nothing of the job was booked or handed over yet.
func isUntouched(j *Job) bool { return j.Tasks == nil && j.counts.queued == j.Header.TaskCount }

// isSettling tells whether the job's shard was chosen for its room a moment ago, so that the job
// first gets a chance there.
func (c *Controller) isSettling(j *Job) bool {
	return c.now-time.Duration(j.readyAt) < tuning.StealAfter
}

// passJob draws once whether a job of which nothing could start here stays in
// this shard or goes to another, each at its mean load; true: it goes.
func (p *placing) passJob(j *Job) bool {
	c, spec := p.c, j.Header.Spec
	if !isUntouched(j) || j.Header.Handovers > 0 || c.queues.jobsStaying[j.ID] || j.queuedHere > 0 || c.isSettling(j) {
		return false
	}
	var offers []policy.Choice
	if p.couldRun(spec) {
		offers = append(offers, policy.Choice{Name: c.cfg.Node, Load: c.meanLoad(), Ref: noTarget})
	}
	offers = c.appendPeers(offers, spec)
	k := c.draw(&c.learner.arrivals, offers)
	if k < 0 {
		return false
	}
	c.queues.jobsStaying[j.ID] = true
	to := offers[k].Name
	if to == c.cfg.Node {
		return false
	}
	c.planner.jobHandovers[j.ID] = to
	c.planner.dirty = true
	c.peers.byName[to].addLoad(c.queues.runTime(spec) * float64(j.Header.TaskCount))
	return true
}

// couldRun tells whether some target, were it empty, could run a task of the job.
func (p *placing) couldRun(spec *domain.JobSpec) bool {
	for i := range p.targets {
		target := &p.targets[i]
		if target.machineType.Capacity.Fits(spec.Request) && allowsMachine(spec, target.machine.Type, target.machine.Zone, target.machine.Spot) {
			return true
		}
	}
	return false
}

// fitKey is what decides whether a peer has a machine for the tasks of a job.
type fitKey struct {
	request     domain.Resources
	zone, types string
	spot        bool
}

// peerFits tells whether a peer has a machine that may take a task of the job. The answer
// is cached until the peer's next message.
func (c *Controller) peerFits(peer *peerState, spec *domain.JobSpec) bool {
	key := fitKey{spec.Request, spec.Zone, strings.Join(spec.MachineTypes, ","), spec.Spot}
	fits, known := peer.fits[key]
	if known {
		return fits
	}
	for i := range peer.machines {
		if c.peerMachineFits(&peer.machines[i], spec) {
			fits = true
			break
		}
	}
	peer.fits[key] = fits
	return fits
}

// peerMachineFits tells whether a peer's machine, were it empty, could take a task of the job.
func (c *Controller) peerMachineFits(m *PeerMachine, spec *domain.JobSpec) bool {
	machineType := c.cache.machineType(m.Type)
	return machineType != nil && !m.Leaving && c.cache.cordons[m.Name].State == "" &&
		machineType.Capacity.Fits(spec.Request) &&
		allowsMachine(spec, m.Type, m.Zone, m.Spot) && !c.isReserved(m.Name)
}

// canStart tells whether a queued task would fit the machine right now.
func (c *Controller) canStart(id domain.TaskID, m *Machine, free domain.Resources) bool {
	j := c.cache.jobs[id.Job]
	if j == nil || !c.isWaiting(j, id.Index) {
		return false
	}
	spec := j.Header.Spec
	return free.Fits(spec.Request) && allowsMachine(spec, m.Type, m.Zone, m.Spot) && !m.hasOnlyFailuresOf(j) &&
		quota.Within(c.teamUsed(spec.Team, nil).Plus(spec.Request, 1), c.cfg.Teams[spec.Team].Limit)
}

// isWaiting tells whether a task of a job waits to be booked and may be so now: the job is
// not over, and not paused after errors.
func (c *Controller) isWaiting(j *Job, index int) bool {
	return j.Header.State == domain.StateOpen && j.task(index).State == domain.Queued && !j.isPaused(c.now)
}

// stealLocal moves waiting tasks from the queues of this shard's machines to those that have
// room and an empty queue.
func (c *Controller) stealLocal(machines []*Machine) {
	from := c.machinesBehind(machines)
	if len(from) == 0 {
		return
	}
	for _, m := range machines {
		if len(m.queue) > 0 {
			continue
		}
		if free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil); free.CPU != 0 {
			c.stealTo(m, free, from)
		}
	}
}

// machinesBehind are machines in whose queues some task has to wait for the end of others,
// at most a draw's worth of them.
func (c *Controller) machinesBehind(machines []*Machine) []*Machine {
	var behind []*Machine
	for _, m := range machines {
		if c.isBehind(m) {
			behind = append(behind, m)
		}
		if len(behind) >= tuning.MaxDrawTargets {
			break
		}
	}
	return behind
}

// isBehind tells whether the tasks in a machine's queue need more than what is free there.
func (c *Controller) isBehind(m *Machine) bool {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil)
	for _, id := range m.queue {
		if !c.queues.isIn(id, m) {
			continue
		}
		free = free.Plus(c.cache.jobs[id.Job].Header.Spec.Request, -1)
		if free.CPU < 0 || free.GPU < 0 || free.Memory < 0 {
			return true
		}
	}
	return false
}

// stealTo moves tasks from the queues of machines that are behind to that of an idle one
// for as long as it has room, each drawn among the first of every queue that it can take.
func (c *Controller) stealTo(m *Machine, free domain.Resources, from []*Machine) {
	for n := 0; n < tuning.MaxStolenTasks; n++ {
		var offers []policy.Choice
		var tasks []domain.TaskID // by Ref of the offer
		for _, other := range from {
			if other == m || len(other.queue) == 0 {
				continue
			}
			if id, ok := c.firstToSteal(other, m, free); ok {
				offers = append(offers, policy.Choice{Name: other.Name, Load: c.load(other), Ref: len(tasks)})
				tasks = append(tasks, id)
			}
		}
		k := c.draw(&c.learner.steals, offers)
		if k < 0 {
			return
		}
		id := tasks[offers[k].Ref]
		free = free.Plus(c.cache.jobs[id.Job].Header.Spec.Request, -1)
		c.enqueue(id, m)
	}
}

// firstToSteal is the first task in a machine's queue that can't start there at once, but
// could on an idle machine with that much free.
func (c *Controller) firstToSteal(from, to *Machine, freeThere domain.Resources) (domain.TaskID, bool) {
	free := c.cache.freeOn(from.Name, c.cache.machineType(from.Type).Capacity, nil)
	for _, id := range from.queue {
		if !c.queues.isIn(id, from) {
			continue
		}
		spec := c.cache.jobs[id.Job].Header.Spec
		if free.Fits(spec.Request) {
			free = free.Plus(spec.Request, -1)
			continue // starts there at once
		}
		if c.canStart(id, to, freeThere) {
			return id, true
		}
	}
	return domain.TaskID{}, false
}

// mayBegin tells whether one more task of a job fits its team's limit as it is used
// now, beside what others claim of it.
func (c *Controller) mayBegin(spec *domain.JobSpec, claims map[string]quotaClaim) bool {
	limit, used := c.cfg.Teams[spec.Team].Limit, c.teamUsed(spec.Team, nil)
	return claims[spec.Team].admits(spec, used, limit)
}

// stealableWork is waiting work of one job, and the other shards that have some of it.
type stealableWork struct {
	spec   *domain.JobSpec
	shards map[string]bool
}

// stealRemote asks other shards for tasks that fit machines with idle room.
func (c *Controller) stealRemote(machines []*Machine) {
	work := c.stealableElsewhere()
	if len(work) == 0 {
		return
	}
	idle := map[machineKind]int64{}
	for _, m := range machines {
		if len(m.queue) == 0 {
			idle[machineKind{m.Type, m.Zone, m.Spot}]++
		}
	}
	large := c.isLargeFleet()
	sent := 0
	for _, m := range machines {
		if len(m.queue) > 0 || sent >= tuning.MaxStealRequests {
			continue
		}
		free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil)
		offers := c.shardsToAsk(work, m, free)
		k := c.draw(&c.learner.steals, offers)
		if k < 0 {
			continue
		}
		sent++
		most := tuning.MaxStolenTasks
		if large {
			alike := idle[machineKind{m.Type, m.Zone, m.Spot}]
			free, most = domain.Resources{}.Plus(free, alike), tuning.MaxStolenTasks*int(alike)
			sent = tuning.MaxStealRequests // one for all alike
		}
		c.emit(SendPeerMessage{To: offers[k].Name, Message: PeerMessage{Epoch: c.cache.view.Epoch, Steal: &StealRequest{
			Type: m.Type, Zone: m.Zone, Spot: m.Spot, Room: free, MaxTasks: most}}})
	}
}

// stealableElsewhere is work that waits in other shards and could begin, by job.
func (c *Controller) stealableElsewhere() []stealableWork {
	var work []stealableWork
	large, claims := c.isLargeFleet(), c.claims(nil)
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || !c.mayBegin(j.Header.Spec, claims) {
			continue
		}
		if large && (!isUntouched(j) || c.isSettling(j)) {
			continue
		}
		if shards := c.otherShardsOf(j); len(shards) > 0 {
			work = append(work, stealableWork{j.Header.Spec, shards})
		}
		if len(work) >= tuning.MaxStealJobs {
			break
		}
	}
	return work
}

// otherShardsOf are the other shards in which tasks of a job wait. A job's last task may be
// far back, and wait in a shard that has no machine; only the first few are looked at.
func (c *Controller) otherShardsOf(j *Job) map[string]bool {
	shards := map[string]bool{}
	for i, seen := 0, 0; i < j.Header.TaskCount && seen < tuning.MaxStealScan; i++ {
		if task := j.task(i); task.State == domain.Queued {
			seen++
			shards[c.cache.taskShard(j, task)] = true
		}
	}
	delete(shards, c.cfg.Node)
	return shards
}

// shardsToAsk are the shards, in order of name, that have work for an idle machine.
func (c *Controller) shardsToAsk(work []stealableWork, m *Machine, free domain.Resources) []policy.Choice {
	shards := map[string]bool{}
	for _, stealable := range work {
		if free.Fits(stealable.spec.Request) && allowsMachine(stealable.spec, m.Type, m.Zone, m.Spot) {
			maps.Copy(shards, stealable.shards)
		}
	}
	var offers []policy.Choice
	for _, node := range slices.Sorted(maps.Keys(shards)) {
		if peer := c.peers.byName[node]; peer != nil {
			offers = append(offers, policy.Choice{Name: node, Load: peer.load, Ref: noTarget})
		}
	}
	return offers
}

// stealAnswer is what is given to a peer that asked for work.
type stealAnswer struct {
	c       *Controller
	to      string // the peer
	request *StealRequest
	room    domain.Resources // left of what it asked for
	given   int              // tasks
	claims  map[string]quotaClaim
}

// onSteal takes tasks off the queues and lets the next commit hand them over.
func (c *Controller) onSteal(from string, request *StealRequest) {
	if !c.mayAct() || !slices.Contains(c.cache.view.Serving, from) {
		return
	}
	answer := &stealAnswer{c: c, to: from, request: request, room: request.Room, claims: c.claims(nil)}
	if c.isLargeFleet() {
		answer.giveJobs()
		return
	}
	// Unplaced ones first, then those that can't start where they queue.
	answer.giveUnplaced()
	answer.giveQueued()
}

// allows tells whether the peer's machine may run tasks of a job.
func (s *stealAnswer) allows(spec *domain.JobSpec) bool {
	return allowsMachine(spec, s.request.Type, s.request.Zone, s.request.Spot)
}

// giveJobs gives whole jobs of which the peer has room for at least half.
func (s *stealAnswer) giveJobs() {
	c := s.c
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		if !s.mayGiveJob(j) {
			continue
		}
		fitting := s.room.CountFitting(spec.Request, int64(spec.TaskCount))
		if 2*fitting < int64(spec.TaskCount) || s.given >= s.request.MaxTasks {
			continue
		}
		c.planner.jobHandovers[j.ID] = s.to
		c.planner.dirty = true
		s.room = s.room.Plus(spec.Request, -fitting)
		s.given += spec.TaskCount
	}
}

// mayGiveJob tells whether a job may go to the peer as a whole: it is of this shard, nothing
// of it is queued, and it hasn't wandered far.
func (s *stealAnswer) mayGiveJob(j *Job) bool {
	c, spec := s.c, j.Header.Spec
	if placedByLeader(spec) || !isUntouched(j) || j.queuedHere > 0 || c.planner.jobHandovers[j.ID] != "" {
		return false
	}
	return c.cache.shardOf(j) == c.cfg.Node && j.Header.Handovers < tuning.MaxHops && s.allows(spec)
}

// giveUnplaced gives tasks that are in no queue yet.
func (s *stealAnswer) giveUnplaced() {
	c := s.c
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || j.queuedHere >= j.counts.queued || s.given >= s.request.MaxTasks {
			continue
		}
		for i := 0; i < j.Header.TaskCount; i++ {
			id := domain.TaskID{Job: j.ID, Index: i}
			if task := j.task(i); task.State == domain.Queued && c.queues.machineOf[id] == "" && c.cache.taskShard(j, task) == c.cfg.Node {
				s.give(id)
			}
		}
	}
}

// giveQueued gives tasks that can't start at once on the machine in whose queue they are.
func (s *stealAnswer) giveQueued() {
	c := s.c
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		machineType := c.cache.machineType(m.Type)
		if len(m.queue) == 0 || machineType == nil {
			continue
		}
		free := c.cache.freeOn(name, machineType.Capacity, nil)
		for _, id := range m.queue {
			if !c.queues.isIn(id, m) {
				continue
			}
			if spec := c.cache.jobs[id.Job].Header.Spec; free.Fits(spec.Request) {
				free = free.Plus(spec.Request, -1)
				continue
			}
			s.give(id)
		}
	}
}

// give hands one task over, if the peer may have it, it still waits and there is room. What
// its team's limit or a claim on it keeps from starting would only fill the room that
// another task could use.
func (s *stealAnswer) give(id domain.TaskID) {
	c, j := s.c, s.c.cache.jobs[id.Job]
	if j == nil || s.given >= s.request.MaxTasks || c.planner.taskHandovers[id] != "" || !c.isWaiting(j, id.Index) {
		return
	}
	spec := j.Header.Spec
	if !s.room.Fits(spec.Request) || !s.allows(spec) || !c.mayBegin(spec, s.claims) {
		return
	}
	s.room = s.room.Plus(spec.Request, -1)
	s.given++
	c.planner.taskHandovers[id] = s.to
	c.planner.dirty = true
}
