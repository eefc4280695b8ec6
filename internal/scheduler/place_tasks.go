package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// placeTasks puts the tasks of this shard into the queues of its machines, decides which ones are
// handed over to other shards, and steals tasks from other shards.
func (c *Controller) placeTasks() {
	if !c.mayAct() || !c.beginPlacementRun() {
		return
	}
	machines := c.placementMachines()
	run := c.newPlacementRun(machines)
	jobs := c.jobsByUrgency()
	for _, round := range placeRounds(run.largeFleet && len(run.targets) > 0 && run.targets[0].roomIsScarce) {
		for _, j := range jobs {
			if round.includes(j) && c.planner.jobHandovers[j.ID] == "" {
				run.placeJob(j, round)
			}
		}
	}
	c.stealLocal(machines)
	c.planPreemptions(machines)
	if c.now-c.queues.lastStealAt >= tuning.DrawInterval/2 {
		c.queues.lastStealAt = c.now
		c.stealRemote(machines)
	}
}

// beginPlacementRun reports whether a run of placeTasks is due, and if so sets the time of the next
// one. A run is due if something changed or the last regular run is long enough ago, and in either
// case planInterval has passed since the last run. Before a regular run it also drops stale queue
// entries.
func (c *Controller) beginPlacementRun() bool {
	if c.now-c.queues.lastDrawAt >= max(tuning.DrawInterval/4, c.planInterval()) {
		c.queues.lastDrawAt = c.now
		c.planner.dirty = true
		for _, m := range c.heartbeats.machines {
			c.queues.dropStaleEntries(m)
		}
	} else if !c.planner.dirty {
		return false
	}
	if !c.queues.nextPlacement.HasPassed(c.now) {
		return false
	}
	c.queues.nextPlacement.Set(c.now + c.planInterval())
	return true
}

// placementMachines returns this controller's machines that take tasks, ordered by name. It
// empties the queues of the others.
func (c *Controller) placementMachines() []*Machine {
	var machines []*Machine
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if c.acceptsTasks(m) {
			machines = append(machines, m)
		} else if len(m.queue) > 0 {
			c.dequeueAll(name)
		}
	}
	return machines
}

// placeRound is one pass over the jobs in their order.
type placeRound struct {
	split  bool // limited to jobs that are late for all their objectives, or to the others
	late   bool // if split: true for the late jobs, false for the others
	cached bool // only machines that have the image or are fetching it
}

// placeRounds returns the rounds of one run. Where room is scarce, jobs that can still meet an
// objective go first. Among these, tasks whose image is on a machine go before tasks that would
// keep the slot waiting for a fetch, which can take a quarter of a run.
func placeRounds(scarce bool) []placeRound {
	if !scarce {
		return []placeRound{{}}
	}
	return []placeRound{
		{split: true, late: false, cached: true},
		{split: true, late: false, cached: false},
		{split: true, late: true, cached: true},
		{split: true, late: true, cached: false},
	}
}

// includes reports whether the round considers a job.
func (r placeRound) includes(j *Job) bool { return !r.split || j.beyondObjectives == r.late }

// placementRun is the state of one run of placeTasks.
type placementRun struct {
	c             *Controller
	targets       []target
	largeFleet    bool // a job is handed over with all its tasks
	teams         *teamHeadroom
	targetsByKind map[taskKind][]int // by kind of task, indices of the targets whose queues still take one
}

// newPlacementRun begins a run with the present state of the machines. It also removes from their
// queues the tasks for which the team's limit has no room any more.
func (c *Controller) newPlacementRun(machines []*Machine) *placementRun {
	run := &placementRun{c: c, targets: make([]target, len(machines)), targetsByKind: map[taskKind][]int{}}
	for i, m := range machines {
		run.targets[i] = c.newTarget(m)
	}
	c.setRoomScarcity(run.targets)
	run.largeFleet = c.isLargeFleet()
	c.queues.pendingRunTime = 0
	run.teams = c.newTeamHeadroom()
	return run
}

// placeJob puts tasks of one job into queues, or has the job handed over to another shard with
// all its tasks.
func (p *placementRun) placeJob(j *Job, round placeRound) {
	c := p.c
	isHome := c.cache.shardOf(j) == c.cfg.Controller
	if j.Tasks == nil && !isHome || p.largeFleet && isHome && p.drawShardOfJob(j) {
		return
	}
	full := false
	var choices []policy.Choice // computed for the job's first task, updated after each task
	for i := 0; i < j.Header.TaskCount && j.mayQueueMore(); i++ {
		id := domain.TaskID{Job: j.ID, Index: i}
		if !c.isUnplaced(j, id, j.task(i), isHome) {
			continue
		}
		if !full && choices == nil {
			choices = p.choices(j, round.cached)
		}
		full = full || !p.placeNext(j, id, choices, round)
		if !full {
			continue
		}
		if round.cached {
			break // the next round considers the other machines
		}
		p.addPendingLoad(j)
		if p.largeFleet {
			break
		}
	}
}

// placeNext places one more task of a job. It returns false if the team's limit has no room for it,
// or if the task stays pending in this shard.
func (p *placementRun) placeNext(j *Job, id domain.TaskID, choices []policy.Choice, round placeRound) bool {
	if !p.teams.allows(j) {
		return false
	}
	if p.place(j, id, choices) {
		p.teams.addTask(j.Header.Spec)
		return true
	}
	if !round.cached {
		p.c.recordWaitReason(j, WaitsForMachine, p.teams.claims, p.teams.used[j.Header.Spec.Team])
	}
	return false
}

// mayQueueMore reports whether one more task of the job may wait in a queue here.
func (j *Job) mayQueueMore() bool {
	return j.queuedHere < tuning.QueuedPerJob && !(j.onlyFailed() && j.counts.booked+j.queuedHere > 0)
}

// isUnplaced reports whether a task waits in this shard but in no queue yet. A task without a
// shard of its own belongs to its job's shard; isHome is whether that is this one.
func (c *Controller) isUnplaced(j *Job, id domain.TaskID, task domain.Task, isHome bool) bool {
	switch {
	case task.State != domain.Queued:
		return false
	case task.Shard == "" && !isHome:
		return false
	case task.Shard != "" && c.cache.taskShard(j, task) != c.cfg.Controller:
		return false
	}
	return c.queues.machineOf[id] == "" && c.planner.taskHandovers[id] == ""
}

// addPendingLoad adds to the shard's load what stays pending of a job for now: one task, or
// in a large fleet all other tasks of the job. Each task counts with its run time divided by the
// number of such tasks that an empty machine can run at the same time. Jobs that are late for all
// objectives do not count.
func (p *placementRun) addPendingLoad(j *Job) {
	spec := j.Header.Spec
	machineType := p.c.anyFittingType(spec)
	if machineType == nil || j.beyondObjectives {
		return
	}
	tasks := 1
	if p.largeFleet {
		tasks = j.counts.queued - j.queuedHere
	}
	slots := max(machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots), 1)
	p.c.queues.pendingRunTime += float64(tasks) * p.c.queues.runTime(spec) / float64(slots)
}

// anyFittingType returns the first machine type that can run tasks of the job, or nil.
func (c *Controller) anyFittingType(spec *domain.JobSpec) *domain.MachineType {
	for i := range c.cache.machineTypes {
		if machineTypeFits(spec, &c.cache.machineTypes[i]) {
			return &c.cache.machineTypes[i]
		}
	}
	return nil
}

// place draws where one task goes, from the choices of its job, and puts it into the queue of the
// chosen machine or marks it for handover to the chosen shard. It returns false if nothing can take
// the task now, or if the draw left it pending in this shard.
func (p *placementRun) place(j *Job, id domain.TaskID, choices []policy.Choice) bool {
	c, spec := p.c, j.Header.Spec
	offers := leastLoaded(choices, tuning.MaxDrawTargets)
	// A task is handed over at most once, so that it cannot move from shard to shard endlessly.
	if j.task(id.Index).Shard == "" && !c.queues.tasksDrawnToStay[id] && !p.largeFleet {
		if len(offers) == 0 {
			offers = append(offers, policy.Choice{Name: c.cfg.Controller, Load: c.meanLoad(), Ref: noTarget})
		}
		offers = c.appendPeers(offers, spec)
	}
	drawn := c.draw(&c.learner.arrivals, offers)
	if drawn < 0 {
		return false
	}
	chosen := offers[drawn]
	switch {
	case chosen.Name == c.cfg.Controller:
		c.queues.tasksDrawnToStay[id] = true
		return false
	case chosen.Ref == noTarget:
		c.planner.taskHandovers[id] = chosen.Name
		c.planner.dirty = true
		c.peers.byName[chosen.Name].addLoad(c.queues.runTime(spec))
		return true
	}
	p.enqueue(j, id, chosen.Ref)
	p.updateChoices(j, choices, chosen.Ref)
	return true
}

// appendPeers appends other serving shards as choices, each with its mean load: those whose
// controller sent a message lately and that have a machine for a task of the job.
func (c *Controller) appendPeers(offers []policy.Choice, spec *domain.JobSpec) []policy.Choice {
	for _, shard := range c.cache.view.Serving {
		peer := c.peers.byName[shard]
		if shard == c.cfg.Controller || peer == nil || c.now-peer.receivedAt > 3*tuning.DrawInterval {
			continue
		}
		if c.peerFits(peer, spec) {
			offers = append(offers, policy.Choice{Name: shard, Load: peer.load, Cost: tuning.PassCost, Ref: noTarget})
		}
	}
	return offers
}

// enqueue appends a task to a target's queue and updates the target.
func (p *placementRun) enqueue(j *Job, id domain.TaskID, index int) {
	target, image := &p.targets[index], j.Header.Spec.Image
	p.c.enqueue(id, target.machine)
	target.queued++
	if image != "" && !target.hasImage(image) && !slices.Contains(target.pendingImages, image) {
		target.pendingImages = append(target.pendingImages, image)
	}
	target.load = p.c.load(target.machine)
}

// updateChoices updates a job's choices after a target took a task.
func (p *placementRun) updateChoices(j *Job, choices []policy.Choice, index int) {
	cheapest := p.c.leastPrice(j.Header.Spec)
	for i := range choices {
		if choices[i].Ref == index && !p.weigh(&choices[i], j, cheapest) {
			choices[i].Ref = noTarget // excludes it from further draws
			choices[i].Load, choices[i].Cost = math.Inf(1), 0
		}
	}
}

// teamHeadroom tracks what each team may still start besides what is booked and what is in the
// queues here. Tasks that cannot start would fill the small queues and keep other tasks from idle
// machines.
type teamHeadroom struct {
	c      *Controller
	claims map[string]quotaClaim
	used   map[string]domain.Resources
}

// newTeamHeadroom sums up what teams use by bookings and by the queues here. It removes from the
// queues the tasks for which the team's limit has no room any more.
func (c *Controller) newTeamHeadroom() *teamHeadroom {
	room := &teamHeadroom{c, c.claims(nil), map[string]domain.Resources{}}
	for name := range c.cfg.Teams {
		room.used[name] = c.teamUsed(name, nil)
	}
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		for _, id := range m.queue {
			j := c.cache.jobs[id.Job]
			if !c.queues.isQueuedOn(id, m) || j == nil || j.Header.Spec == nil {
				continue
			}
			if !room.allows(j) {
				c.dequeue(id) // another shard used the room in the meantime
				continue
			}
			room.addTask(j.Header.Spec)
		}
	}
	return room
}

// allows reports whether the team of a job may start one more task of it.
func (r *teamHeadroom) allows(j *Job) bool {
	if !r.c.isGuardEnabled(GuardQuota) {
		return true
	}
	spec := j.Header.Spec
	used := r.used[spec.Team]
	verdict := r.claims[spec.Team].judge(spec, used, r.c.cfg.Teams[spec.Team].Limit)
	if verdict != quota.Admitted {
		r.c.recordWaitReason(j, reasonsByVerdict[verdict], r.claims, used)
	}
	return verdict == quota.Admitted
}

// addTask counts one more task of a job as started.
func (r *teamHeadroom) addTask(spec *domain.JobSpec) {
	r.used[spec.Team] = r.used[spec.Team].Plus(spec.Request, 1)
}
