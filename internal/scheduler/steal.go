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

// isLargeFleet reports whether there are so many machines or waiting tasks that jobs are handed
// over and stolen with all their tasks, as long as none of their tasks was booked. If tasks were
// handed over one by one, the tasks of most jobs would wait in shards other than the one whose
// value holds their records, and two controllers that commit to the same value at the same time
// repeatedly fail each other.
func (c *Controller) isLargeFleet() bool {
	c.countWaiting()
	return c.machineCount() > tuning.LargeFleetMachines || c.peers.waitingTotal > tuning.LargeBacklogTasks
}

// isUnstarted reports whether none of the job's tasks was ever booked or handed over singly.
func isUnstarted(j *Job) bool { return j.Tasks == nil && j.counts.queued == j.Header.TaskCount }

// isNewlyReady reports whether the job became ready to start less than tuning.StealAfter ago. Such
// a job first gets a chance in the shard that was chosen for it.
func (c *Controller) isNewlyReady(j *Job) bool {
	return c.now-time.Duration(j.readyAt) < tuning.StealAfter
}

// drawShardOfJob draws, once per job, whether an unstarted job stays in this shard or goes to
// another one; each shard counts with its mean load. It reports whether the job goes to another
// shard; the next commit then hands it over. Jobs that were handed over before stay.
func (p *placementRun) drawShardOfJob(j *Job) bool {
	c, spec := p.c, j.Header.Spec
	if !isUnstarted(j) || j.Header.Handovers > 0 || c.queues.jobsDrawn[j.ID] || j.queuedHere > 0 || c.isNewlyReady(j) {
		return false
	}
	var offers []policy.Choice
	if p.couldRun(spec) {
		offers = append(offers, policy.Choice{Name: c.cfg.Controller, Load: c.meanLoad(), Ref: noTarget})
	}
	offers = c.appendPeers(offers, spec)
	chosen := c.draw(&c.learner.arrivals, offers)
	if chosen < 0 {
		return false
	}
	c.queues.jobsDrawn[j.ID] = true
	to := offers[chosen].Name
	if to == c.cfg.Controller {
		return false
	}
	c.planner.jobHandovers[j.ID] = to
	c.planner.dirty = true
	c.peers.byName[to].addLoad(c.queues.runTime(spec) * float64(j.Header.TaskCount))
	return true
}

// couldRun reports whether any target could run a task of the job if it were empty.
func (p *placementRun) couldRun(spec *domain.JobSpec) bool {
	for i := range p.targets {
		target := &p.targets[i]
		if target.machineType.Capacity.Fits(spec.Request) && allowsMachine(spec, target.machine.Type, target.machine.Zone, target.machine.Spot) {
			return true
		}
	}
	return false
}

// fitKey holds the properties of a job that decide whether a peer has a machine for its tasks.
type fitKey struct {
	request     domain.Resources
	zone, types string
	spot        bool
}

// peerFits reports whether a peer has a machine that could take a task of the job. The result is
// cached until the peer's next message.
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

// peerMachineFits reports whether a peer's machine could take a task of the job if it were empty.
func (c *Controller) peerMachineFits(m *PeerMachine, spec *domain.JobSpec) bool {
	machineType := c.cache.machineType(m.Type)
	return machineType != nil && !m.Leaving && c.cache.cordons[m.Name].State == "" &&
		machineType.Capacity.Fits(spec.Request) &&
		allowsMachine(spec, m.Type, m.Zone, m.Spot) && !c.isReserved(m.Name)
}

// canStart reports whether a waiting task could start now on a machine with this free room.
func (c *Controller) canStart(id domain.TaskID, m *Machine, free machineRoom) bool {
	j := c.cache.jobs[id.Job]
	if j == nil || !c.isWaiting(j, id.Index) {
		return false
	}
	spec := j.Header.Spec
	return free.fits(roomForTask(spec)) && allowsMachine(spec, m.Type, m.Zone, m.Spot) && !m.hasOnlyFailuresOf(j) &&
		quota.Within(c.teamUsed(spec.Team, nil).Plus(spec.Request, 1), c.cfg.Teams[spec.Team].Limit)
}

// isWaiting reports whether a task of a job waits to be booked and may be booked now: the job is
// open and not paused after errors.
func (c *Controller) isWaiting(j *Job, index int) bool {
	return j.Header.State == domain.StateOpen && j.task(index).State == domain.Queued && !j.isPaused(c.now)
}

// stealLocal moves waiting tasks from the queues of backlogged machines of this shard to its
// machines that have room and an empty queue.
func (c *Controller) stealLocal(machines []*Machine) {
	from := c.backloggedMachines(machines)
	if len(from) == 0 {
		return
	}
	for _, m := range machines {
		if len(m.queue) > 0 {
			continue
		}
		if free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil); free.resources.CPU != 0 {
			c.stealTo(m, free, from)
		}
	}
}

// backloggedMachines returns machines in whose queues a task has to wait until other tasks end, at
// most tuning.MaxDrawTargets of them.
func (c *Controller) backloggedMachines(machines []*Machine) []*Machine {
	var backlogged []*Machine
	for _, m := range machines {
		if c.isBacklogged(m) {
			backlogged = append(backlogged, m)
		}
		if len(backlogged) >= tuning.MaxDrawTargets {
			break
		}
	}
	return backlogged
}

// isBacklogged reports whether the tasks in a machine's queue need more than its free room.
func (c *Controller) isBacklogged(m *Machine) bool {
	free := c.cache.freeOn(m.Name, c.cache.machineType(m.Type).Capacity, nil)
	for _, id := range m.queue {
		if !c.queues.isQueuedOn(id, m) {
			continue
		}
		free = free.plus(roomForTask(c.cache.jobs[id.Job].Header.Spec), -1)
		if !free.fits(machineRoom{}) {
			return true
		}
	}
	return false
}

// stealTo moves tasks from the queues of backlogged machines to the queue of an idle one, as long
// as it has room, at most tuning.MaxStolenTasks of them. Each task is drawn from the first ones of
// the queues that must wait there but can start on the idle machine.
func (c *Controller) stealTo(m *Machine, free machineRoom, from []*Machine) {
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
		chosen := c.draw(&c.learner.steals, offers)
		if chosen < 0 {
			return
		}
		id := tasks[offers[chosen].Ref]
		free = free.plus(roomForTask(c.cache.jobs[id.Job].Header.Spec), -1)
		c.enqueue(id, m)
	}
}

// firstToSteal returns the first task in the queue of one machine that can't start there
// immediately, but could on another machine with the given free room. The second result is
// false if there is no such task.
func (c *Controller) firstToSteal(from, to *Machine, freeThere machineRoom) (domain.TaskID, bool) {
	free := c.cache.freeOn(from.Name, c.cache.machineType(from.Type).Capacity, nil)
	for _, id := range from.queue {
		if !c.queues.isQueuedOn(id, from) {
			continue
		}
		spec := c.cache.jobs[id.Job].Header.Spec
		if room := roomForTask(spec); free.fits(room) {
			free = free.plus(room, -1)
			continue // it can start there immediately
		}
		if c.canStart(id, to, freeThere) {
			return id, true
		}
	}
	return domain.TaskID{}, false
}

// fitsQuota reports whether one more task of a job fits into its team's limit, given the present
// use of the limit and the claims of other jobs.
func (c *Controller) fitsQuota(spec *domain.JobSpec, claims map[string]quotaClaim) bool {
	limit, used := c.cfg.Teams[spec.Team].Limit, c.teamUsed(spec.Team, nil)
	return claims[spec.Team].admits(spec, used, limit)
}

// stealableWork is the spec of a job, and the other shards in which its tasks wait.
type stealableWork struct {
	spec   *domain.JobSpec
	shards map[string]bool
}

// stealRemote asks other shards for waiting tasks that fit machines with an empty queue and free
// resources, in at most tuning.MaxStealRequests requests. In a large fleet it sends one request,
// for all idle machines of the same kind.
func (c *Controller) stealRemote(machines []*Machine) {
	work := c.stealableInOtherShards()
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
		chosen := c.draw(&c.learner.steals, offers)
		if chosen < 0 {
			continue
		}
		sent++
		maxTasks := min(tuning.MaxStolenTasks, max(free.reportBytes/tuning.MaxTaskReportBytes, 1))
		if large {
			count := idle[machineKind{m.Type, m.Zone, m.Spot}]
			free, maxTasks = machineRoom{}.plus(free, count), maxTasks*count
			sent = tuning.MaxStealRequests // one request for all machines of this kind
		}
		c.emit(SendPeerMessage{To: offers[chosen].Name, Message: PeerMessage{Epoch: c.cache.view.Epoch, Steal: &StealRequest{
			Type: m.Type, Zone: m.Zone, Spot: m.Spot, Room: free.resources, MaxTasks: int(maxTasks)}}})
	}
}

// stealableInOtherShards returns the jobs with tasks that wait in other shards and that their
// team's limit lets start, at most tuning.MaxStealJobs of them.
func (c *Controller) stealableInOtherShards() []stealableWork {
	var work []stealableWork
	large, claims := c.isLargeFleet(), c.claims(nil)
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || !c.fitsQuota(j.Header.Spec, claims) {
			continue
		}
		if large && (!isUnstarted(j) || c.isNewlyReady(j)) {
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

// otherShardsOf returns the other shards in which tasks of a job wait. Only the first
// tuning.MaxStealScan queued tasks of the job are examined: the last one may come after very many
// others, and may wait in a shard that has no machine.
func (c *Controller) otherShardsOf(j *Job) map[string]bool {
	shards := map[string]bool{}
	for i, seen := 0, 0; i < j.Header.TaskCount && seen < tuning.MaxStealScan; i++ {
		if task := j.task(i); task.State == domain.Queued {
			seen++
			shards[c.cache.taskShard(j, task)] = true
		}
	}
	delete(shards, c.cfg.Controller)
	return shards
}

// shardsToAsk returns the shards, ordered by name, that have work for an idle machine.
func (c *Controller) shardsToAsk(work []stealableWork, m *Machine, free machineRoom) []policy.Choice {
	shards := map[string]bool{}
	for _, stealable := range work {
		if free.fits(roomForTask(stealable.spec)) && allowsMachine(stealable.spec, m.Type, m.Zone, m.Spot) {
			maps.Copy(shards, stealable.shards)
		}
	}
	var offers []policy.Choice
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		if peer := c.peers.byName[shard]; peer != nil {
			offers = append(offers, policy.Choice{Name: shard, Load: peer.load, Ref: noTarget})
		}
	}
	return offers
}

// stealResponse collects what is handed over to a peer that asked for tasks.
type stealResponse struct {
	c         *Controller
	to        string // name of the peer
	request   *StealRequest
	room      domain.Resources // part of the requested resources that is not yet filled
	taskCount int              // tasks already handed over
	claims    map[string]quotaClaim
}

// onSteal handles a peer's request for work: it chooses waiting tasks or, in a large fleet, jobs,
// which the next commit hands over.
func (c *Controller) onSteal(from string, request *StealRequest) {
	if !c.mayAct() || !slices.Contains(c.cache.view.Serving, from) {
		return
	}
	response := &stealResponse{c: c, to: from, request: request, room: request.Room, claims: c.claims(nil)}
	if c.isLargeFleet() {
		response.handOverJobs()
		return
	}
	// Tasks in no queue first, then those that can't start immediately where they queue.
	response.handOverUnplaced()
	response.handOverQueued()
}

// allows reports whether the peer's machine may run tasks of a job.
func (s *stealResponse) allows(spec *domain.JobSpec) bool {
	return allowsMachine(spec, s.request.Type, s.request.Zone, s.request.Spot)
}

// handOverJobs hands over whole jobs. The peer must have room for at least half of the tasks of
// each job.
func (s *stealResponse) handOverJobs() {
	c := s.c
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		if !s.mayHandOverJob(j) {
			continue
		}
		fitting := s.room.CountFitting(spec.Request, int64(spec.TaskCount))
		if 2*fitting < int64(spec.TaskCount) || s.taskCount >= s.request.MaxTasks {
			continue
		}
		c.planner.jobHandovers[j.ID] = s.to
		c.planner.dirty = true
		s.room = s.room.Plus(spec.Request, -fitting)
		s.taskCount += spec.TaskCount
	}
}

// mayHandOverJob reports whether a job may go to the peer with all its tasks: it waits in this
// shard, none of its tasks is in a machine's queue here, and it was handed over fewer than
// tuning.MaxHops times.
func (s *stealResponse) mayHandOverJob(j *Job) bool {
	c, spec := s.c, j.Header.Spec
	if placedByLeader(spec) || !isUnstarted(j) || j.queuedHere > 0 || c.planner.jobHandovers[j.ID] != "" {
		return false
	}
	return c.cache.shardOf(j) == c.cfg.Controller && j.Header.Handovers < tuning.MaxHops && s.allows(spec)
}

// handOverUnplaced hands over tasks that wait in no machine's queue.
func (s *stealResponse) handOverUnplaced() {
	c := s.c
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) || j.queuedHere >= j.counts.queued || s.taskCount >= s.request.MaxTasks {
			continue
		}
		for i := 0; i < j.Header.TaskCount; i++ {
			id := domain.TaskID{Job: j.ID, Index: i}
			if task := j.task(i); task.State == domain.Queued && c.queues.machineOf[id] == "" && c.cache.taskShard(j, task) == c.cfg.Controller {
				s.handOverTask(id)
			}
		}
	}
}

// handOverQueued hands over tasks that can't start immediately on the machine in whose queue they
// are.
func (s *stealResponse) handOverQueued() {
	c := s.c
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		machineType := c.cache.machineType(m.Type)
		if len(m.queue) == 0 || machineType == nil {
			continue
		}
		free := c.cache.freeOn(name, machineType.Capacity, nil)
		for _, id := range m.queue {
			if !c.queues.isQueuedOn(id, m) {
				continue
			}
			if room := roomForTask(c.cache.jobs[id.Job].Header.Spec); free.fits(room) {
				free = free.plus(room, -1)
				continue
			}
			s.handOverTask(id)
		}
	}
}

// handOverTask hands over one task if it still waits, the peer may run it, and what remains of the
// resources that the peer requested is enough for it. Tasks that their team's limit or a claim on
// it keeps from starting are not handed over, since they would only take up room that another task
// could use.
func (s *stealResponse) handOverTask(id domain.TaskID) {
	c, j := s.c, s.c.cache.jobs[id.Job]
	if j == nil || s.taskCount >= s.request.MaxTasks || c.planner.taskHandovers[id] != "" || !c.isWaiting(j, id.Index) {
		return
	}
	spec := j.Header.Spec
	if !s.room.Fits(spec.Request) || !s.allows(spec) || !c.fitsQuota(spec, s.claims) {
		return
	}
	s.room = s.room.Plus(spec.Request, -1)
	s.taskCount++
	c.planner.taskHandovers[id] = s.to
	c.planner.dirty = true
}
