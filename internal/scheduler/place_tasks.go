package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// placeTasks queues the tasks of this shard on its machines, hands some over to other shards
// and steals from these.
func (c *Controller) placeTasks() {
	if !c.mayAct() || !c.beginPlacing() {
		return
	}
	machines := c.placementMachines()
	run := c.newPlacing(machines)
	jobs := c.jobsByUrgency()
	for _, round := range placeRounds(run.largeFleet && len(run.targets) > 0 && run.targets[0].scarce) {
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

// beginPlacing begins a run of placing if it is time: if something changed or the last run is
// long ago, and in either case a pace after the last one. False: it is not time.
func (c *Controller) beginPlacing() bool {
	if c.now-c.queues.lastDrawAt >= max(tuning.DrawInterval/4, c.pace()) {
		c.queues.lastDrawAt = c.now
		c.planner.dirty = true
		for _, m := range c.heartbeats.machines {
			c.queues.trim(m)
		}
	} else if !c.planner.dirty {
		return false
	}
	if !c.queues.nextPlacement.IsOpen(c.now) {
		return false
	}
	c.queues.nextPlacement.Close(c.now + c.pace())
	return true
}

// placementMachines are this controller's machines that take tasks, in order of name. The
// queues of all others are emptied.
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

// placeRound is one walk over the jobs in their order.
type placeRound struct {
	split  bool // only jobs that are late beyond all aims, or only the others
	late   bool
	cached bool // only on machines that have the image or are fetching it
}

// placeRounds lists the rounds of one run. Where every slot is wanted, what can still be in
// time goes first, and within that a task whose image is there goes before one that would keep
// the slot waiting for a fetch as long as a quarter of a run.
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

// includes tells whether the round is for a job.
func (r placeRound) includes(j *Job) bool { return !r.split || j.beyondAims == r.late }

// placing is one run of placeTasks.
type placing struct {
	c          *Controller
	targets    []target
	largeFleet bool // jobs are handed over as a whole
	teams      *teamRoom
	roomy      map[taskKind][]int // the targets whose queues still take a task of that kind
}

// newPlacing looks at the machines as they are. It also takes off their queues what its
// team has no room for any more.
func (c *Controller) newPlacing(machines []*Machine) *placing {
	run := &placing{c: c, targets: make([]target, len(machines)), roomy: map[taskKind][]int{}}
	for i, m := range machines {
		run.targets[i] = c.newTarget(m)
	}
	c.setScarce(run.targets)
	run.largeFleet = c.isLargeFleet()
	c.queues.poolRunTime = 0
	run.teams = c.newTeamRoom()
	return run
}

// placeJob queues tasks of one job, or has it handed over to another shard as a whole.
func (p *placing) placeJob(j *Job, round placeRound) {
	c := p.c
	isHome := c.cache.shardOf(j) == c.cfg.Node
	if j.Tasks == nil && !isHome || p.largeFleet && isHome && p.passJob(j) {
		return
	}
	full := false
	var choices []policy.Choice // made for the first task of the job, kept up for the others
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
			break // the next round looks at the other machines
		}
		p.leaveInPool(j)
		if p.largeFleet {
			break
		}
	}
}

// placeNext lets one more task of a job go somewhere; false: its team has no room for it, or
// nothing can take it now.
func (p *placing) placeNext(j *Job, id domain.TaskID, choices []policy.Choice, round placeRound) bool {
	if !p.teams.allows(j) {
		return false
	}
	if p.place(j, id, choices) {
		p.teams.take(j.Header.Spec)
		return true
	}
	if !round.cached {
		p.c.noteWait(j, WaitsForMachine, p.teams.claims, p.teams.used[j.Header.Spec.Team])
	}
	return false
}

// mayQueueMore tells whether one more task of the job may wait in a queue here.
func (j *Job) mayQueueMore() bool {
	return j.queuedHere < tuning.QueuedPerJob && !(j.isDoubtful() && j.counts.booked+j.queuedHere > 0)
}

// isUnplaced tells whether a task waits in this shard and in no queue yet. A task without a
// shard of its own is in its job's.
func (c *Controller) isUnplaced(j *Job, id domain.TaskID, task domain.Task, isHome bool) bool {
	switch {
	case task.State != domain.Queued:
		return false
	case task.Shard == "" && !isHome:
		return false
	case task.Shard != "" && c.cache.taskShard(j, task) != c.cfg.Node:
		return false
	}
	return c.queues.machineOf[id] == "" && c.planner.taskHandovers[id] == ""
}

// leaveInPool counts what stays in the shard's pool for now into its load, unless it is late
// beyond all aims: one task, or in a large fleet all the others of the job.
func (p *placing) leaveInPool(j *Job) {
	spec := j.Header.Spec
	machineType := p.c.anyFittingType(spec)
	if machineType == nil || j.beyondAims {
		return
	}
	tasks := 1
	if p.largeFleet {
		tasks = j.counts.queued - j.queuedHere
	}
	slots := max(machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots), 1)
	p.c.queues.poolRunTime += float64(tasks) * p.c.queues.runTime(spec) / float64(slots)
}

// anyFittingType is the first machine type that can run tasks of the job; nil: none.
func (c *Controller) anyFittingType(spec *domain.JobSpec) *domain.MachineType {
	for i := range c.cache.machineTypes {
		if machineTypeFits(spec, &c.cache.machineTypes[i]) {
			return &c.cache.machineTypes[i]
		}
	}
	return nil
}

// place draws where one task goes, from the choices of its job, and lets it go there; false:
// nothing can take it now, or it drew to stay in the shard's pool.
func (p *placing) place(j *Job, id domain.TaskID, choices []policy.Choice) bool {
	c, spec := p.c, j.Header.Spec
	offers := leastLoaded(choices, tuning.MaxDrawTargets)
	// A task is handed over once at most, so that it can't wander.
	if j.task(id.Index).Shard == "" && !c.queues.tasksStaying[id] && !p.largeFleet {
		if len(offers) == 0 {
			offers = append(offers, policy.Choice{Name: c.cfg.Node, Load: c.meanLoad(), Ref: noTarget})
		}
		offers = c.appendPeers(offers, spec)
	}
	k := c.draw(&c.learner.arrivals, offers)
	if k < 0 {
		return false
	}
	chosen := offers[k]
	switch {
	case chosen.Name == c.cfg.Node:
		c.queues.tasksStaying[id] = true
		return false
	case chosen.Ref == noTarget:
		c.planner.taskHandovers[id] = chosen.Name
		c.planner.dirty = true
		c.peers.byName[chosen.Name].addLoad(c.queues.runTime(spec))
		return true
	}
	p.enqueue(j, id, chosen.Ref)
	p.reweigh(j, choices, chosen.Ref)
	return true
}

// appendPeers adds the other shards, each at its mean load, that were heard of lately and
// have a machine for a task of the job.
func (c *Controller) appendPeers(offers []policy.Choice, spec *domain.JobSpec) []policy.Choice {
	for _, node := range c.cache.view.Serving {
		peer := c.peers.byName[node]
		if node == c.cfg.Node || peer == nil || c.now-peer.heardAt > 3*tuning.DrawInterval {
			continue
		}
		if c.peerFits(peer, spec) {
			offers = append(offers, policy.Choice{Name: node, Load: peer.load, Cost: tuning.PassCost, Ref: noTarget})
		}
	}
	return offers
}

// enqueue puts a task last in a target's queue and brings the target up to date.
func (p *placing) enqueue(j *Job, id domain.TaskID, index int) {
	target, image := &p.targets[index], j.Header.Spec.Image
	p.c.enqueue(id, target.machine)
	target.queued++
	if image != "" && !target.hasImage(image) && !slices.Contains(target.pendingImages, image) {
		target.pendingImages = append(target.pendingImages, image)
	}
	target.load = p.c.load(target.machine)
}

// reweigh brings a job's choices up to date after a target took a task.
func (p *placing) reweigh(j *Job, choices []policy.Choice, index int) {
	cheapest := p.c.leastPrice(j.Header.Spec)
	for i := range choices {
		if choices[i].Ref == index && !p.weigh(&choices[i], j, cheapest) {
			choices[i].Ref = noTarget // the mask takes it out
			choices[i].Load, choices[i].Cost = math.Inf(1), 0
		}
	}
}

// teamRoom is what teams may still start beside what is booked and queued here. Tasks that
// can't start would fill the small queues and keep others from idle machines.
type teamRoom struct {
	c      *Controller
	claims map[string]quotaClaim
	used   map[string]domain.Resources
}

// newTeamRoom sums up what teams use by bookings and by the queues here, and takes off the queues
// what its team has no room for any more.
func (c *Controller) newTeamRoom() *teamRoom {
	room := &teamRoom{c, c.claims(nil), map[string]domain.Resources{}}
	for name := range c.cfg.Teams {
		room.used[name] = c.teamUsed(name, nil)
	}
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		for _, id := range m.queue {
			j := c.cache.jobs[id.Job]
			if !c.queues.isIn(id, m) || j == nil || j.Header.Spec == nil {
				continue
			}
			if !room.allows(j) {
				c.dequeue(id) // another shard took the room meanwhile
				continue
			}
			room.take(j.Header.Spec)
		}
	}
	return room
}

// allows tells whether the team of a job may start one more task of it.
func (r *teamRoom) allows(j *Job) bool {
	if !r.c.guard(GuardQuota) {
		return true
	}
	spec := j.Header.Spec
	used := r.used[spec.Team]
	verdict := r.claims[spec.Team].judge(spec, used, r.c.cfg.Teams[spec.Team].Limit)
	if verdict != quota.Admitted {
		r.c.noteWait(j, waitReasons[verdict], r.claims, used)
	}
	return verdict == quota.Admitted
}

// take counts one more task of a job as started.
func (r *teamRoom) take(spec *domain.JobSpec) {
	r.used[spec.Team] = r.used[spec.Team].Plus(spec.Request, 1)
}
