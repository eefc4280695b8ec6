package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// queues are the queues of this controller's machines, and what its draws go by.
type queues struct {
	machineOf       map[domain.TaskID]string // the machine in whose queue a task is
	tasksStaying    map[domain.TaskID]bool   // drew to wait in this shard
	jobsStaying     map[string]bool          // drew to stay in this shard
	lastDrawAt      time.Duration
	lastStealAt     time.Duration
	nextPlacementAt time.Duration
	poolRunTime     float64                   // run time of the unplaced tasks, s
	runTimeRatios   map[string]*smoothedValue // run time by estimate, by class
	meanLoad        float64                   // of this controller's machines, s
	meanLoadAt      time.Duration             // < 0: none
}

func newQueues() queues {
	return queues{
		machineOf: map[domain.TaskID]string{}, tasksStaying: map[domain.TaskID]bool{}, jobsStaying: map[string]bool{},
		runTimeRatios: map[string]*smoothedValue{}, meanLoadAt: -1,
	}
}

// placedByLeader: jobs that the leader places as one.
func placedByLeader(sp *domain.JobSpec) bool {
	return sp.Shape == domain.Gang || sp.OneZone || sp.Spread || sp.TaskCount >= tuning.LargeJobTasks
}

// isReserved: the leader holds the machine for whole jobs; parts queue nothing on it.
func (c *Controller) isReserved(name string) bool {
	if c.isLeader() {
		return c.scaling.reserved[name] || c.scaling.resting[name]
	}
	if c.cache.view == nil {
		return false
	}
	p := c.peers.byName[c.cache.view.Leader]
	return p != nil && c.now-p.heardAt < tuning.ReservationFresh && p.reserved[name]
}

// isEvicting: the leader wants the machine emptied for work of higher priority.
func (c *Controller) isEvicting(name string) bool {
	if c.isLeader() {
		return c.scaling.evicting[name]
	}
	if c.cache.view == nil {
		return false
	}
	p := c.peers.byName[c.cache.view.Leader]
	return p != nil && c.now-p.heardAt < 3*tuning.DrawEvery && p.evicting[name]
}

// machineNames are the machines that this node knows, in order. They change far
// less often than they are walked.
func (c *Controller) machineNames() []string {
	if c.heartbeats.sortedNames == nil {
		c.heartbeats.sortedNames = slices.Sorted(maps.Keys(c.heartbeats.machines))
	}
	return c.heartbeats.sortedNames
}

// addMachine and dropMachine are the only changes of the set of machines.
func (c *Controller) addMachine(name string) *Machine {
	m := newMachine(name)
	c.heartbeats.machines[name], c.heartbeats.sortedNames = m, nil
	return m
}

func (c *Controller) dropMachine(name string) {
	delete(c.heartbeats.machines, name)
	c.heartbeats.sortedNames = nil
}

// dequeue takes a task off the queue it is in, if any.
func (c *Controller) dequeue(id domain.TaskID) {
	if _, ok := c.queues.machineOf[id]; !ok {
		return
	}
	delete(c.queues.machineOf, id)
	if j := c.cache.jobs[id.Job]; j != nil && j.queuedHere > 0 {
		j.queuedHere--
	}
}

func (c *Controller) dequeueAll(name string) {
	m := c.heartbeats.machines[name]
	if m == nil {
		return
	}
	for _, id := range m.queue {
		if c.queues.machineOf[id] == name {
			c.dequeue(id)
		}
	}
	m.queue = nil
}

// enqueue puts a task last in a machine's queue.
func (c *Controller) enqueue(id domain.TaskID, m *Machine) {
	c.dequeue(id)
	c.queues.machineOf[id] = m.Name
	m.queue = append(m.queue, id)
	c.cache.jobs[id.Job].queuedHere++
	c.planner.dirty = true
}

// trimQueue drops entries that left the queue.
func (c *Controller) trimQueue(m *Machine) {
	k := m.queue[:0]
	for _, id := range m.queue {
		if c.queues.machineOf[id] == m.Name {
			k = append(k, id)
		}
	}
	m.queue = k
}

// placeTasks queues this part's tasks on machines, passes and steals.
func (c *Controller) placeTasks() {
	if !c.mayAct() {
		return
	}
	if c.now-c.queues.lastDrawAt >= max(tuning.DrawEvery/4, c.pace()) {
		c.queues.lastDrawAt = c.now
		c.planner.dirty = true
		for _, m := range c.heartbeats.machines {
			c.trimQueue(m)
		}
	} else if !c.planner.dirty {
		return
	}
	if c.now < c.queues.nextPlacementAt {
		return
	}
	c.queues.nextPlacementAt = c.now + c.pace()
	var mine []*Machine
	for _, name := range c.machineNames() {
		m := c.heartbeats.machines[name]
		if c.owns(name) && c.isBookable(m) && !c.isReserved(name) {
			mine = append(mine, m)
		} else if len(m.queue) > 0 {
			c.dequeueAll(name)
		}
	}
	ts := make([]target, len(mine))
	for i, m := range mine {
		f := c.machineType(m.Type)
		ts[i] = target{machine: m, machineType: f, load: c.load(m), free: c.freeOn(m.Name, f.Capacity, nil), preemptible: c.cache.occupancy[m.Name].preemptible.used,
			queued: int64(c.queueLen(m)), pendingImages: c.imagesPending(m)}
	}
	c.setScarce(ts)
	wide := c.isLargeFleet()
	c.queues.poolRunTime = 0
	room, roomy := c.newTeamRoom(), map[taskKind][]*target{}
	js := c.jobsByUrgency()
	for _, r := range placeRounds(wide && len(ts) > 0 && ts[0].scarce) {
		for _, j := range js {
			if r.split && j.beyondAims != r.late || c.planner.jobHandovers[j.ID] != "" {
				continue
			}
			home := c.shardOf(j) == c.cfg.Node
			if j.Tasks == nil && !home || wide && home && c.passJob(j, ts) {
				continue
			}
			full := false
			var cs []choice // made for the first task of the job, kept up for the others
			for i := 0; i < j.Header.TaskCount && j.queuedHere < tuning.QueuedPerJob && !(j.isDoubtful() && j.counts.booked+j.queuedHere > 0); i++ {
				id := domain.TaskID{Job: j.ID, Index: i}
				t := j.task(i)
				if t.State != domain.Queued || t.Shard == "" && !home || t.Shard != "" && c.taskShard(j, t) != c.cfg.Node ||
					c.queues.machineOf[id] != "" || c.planner.taskHandovers[id] != "" {
					continue
				}
				if !full && cs == nil {
					cs = c.choices(j, c.roomy(roomy, c.kindOf(j), ts), r.cached)
				}
				if full || !room.fits(j.Header.Spec) || !c.place(j, id, t, cs, ts) {
					full = true
					if r.cached {
						break
					}
					if f := c.anyFittingType(j.Header.Spec); f != nil && !j.beyondAims {
						n := 1
						if wide {
							n = j.counts.queued - j.queuedHere // all the others of the job
						}
						c.queues.poolRunTime += float64(n) * c.runTime(j.Header.Spec) / float64(max(f.Capacity.CountFitting(j.Header.Spec.Request, 64), 1))
					}
					if wide {
						break
					}
					continue
				}
				room.take(j.Header.Spec)
			}
		}
	}
	c.stealLocal(mine)
	c.planPreemptions(mine)
	if c.now-c.queues.lastStealAt >= tuning.DrawEvery/2 {
		c.queues.lastStealAt = c.now
		c.stealRemote(mine)
	}
}

// placeRound is one walk over the jobs in their order.
type placeRound struct {
	split  bool // only jobs that are late beyond all aims, or only the others
	late   bool
	cached bool // only on machines that have the image or are fetching it
}

// placeRounds: where every slot is wanted, what can still be in time goes first,
// and within that a task whose image is there goes before one that would keep
// the slot waiting for a fetch as long as a quarter of a run.
func placeRounds(scarce bool) []placeRound {
	if !scarce {
		return []placeRound{{}}
	}
	return []placeRound{{true, false, true}, {true, false, false}, {true, true, true}, {true, true, false}}
}

// target is a machine as one round of placing sees it.
type target struct {
	machine       *Machine
	machineType   *domain.MachineType
	load          float64
	free          domain.Resources
	preemptible   domain.Resources // held by tasks that yield to all others
	queued        int64
	pendingImages []string // images on their way or about to be
	scarce        bool     // more waits than there is room for
}

// setScarce compares what waits in this part with its room, in the amount that
// its machines have least of.
func (c *Controller) setScarce(ts []target) {
	var want, room domain.Resources
	for _, j := range c.cache.openJobs {
		if j.counts.queued > 0 && !placedByLeader(j.Header.Spec) && c.shardOf(j) == c.cfg.Node {
			want = want.Plus(j.Header.Spec.Request, int64(j.counts.queued-j.queuedHere))
		}
	}
	for i := range ts {
		room = room.Plus(ts[i].free, 1)
	}
	scarce := 2*want.CPU > room.CPU || 2*want.GPU > room.GPU || 2*want.Memory > room.Memory
	for i := range ts {
		ts[i].scarce = scarce
	}
}

func (c *Controller) queueLen(m *Machine) int {
	n := 0
	for _, id := range m.queue {
		if c.queues.machineOf[id] == m.Name {
			n++
		}
	}
	return n
}

func (c *Controller) anyFittingType(sp *domain.JobSpec) *domain.MachineType {
	for i := range c.cache.machineTypes {
		if c.machineTypeFits(sp, &c.cache.machineTypes[i]) {
			return &c.cache.machineTypes[i]
		}
	}
	return nil
}

// teamRoom is what teams may still start beside what is booked and queued
// here. Tasks that can't start would fill the small queues and keep others
// from idle machines.
type teamRoom struct {
	c      *Controller
	claims map[string]quotaClaim
	used   map[string]domain.Resources
}

func (c *Controller) newTeamRoom() *teamRoom {
	r := &teamRoom{c, c.claims(nil), map[string]domain.Resources{}}
	for n := range c.cfg.Teams {
		r.used[n] = c.teamUsed(n, nil)
	}
	for _, name := range c.machineNames() {
		for _, id := range c.heartbeats.machines[name].queue {
			j := c.cache.jobs[id.Job]
			if c.queues.machineOf[id] != name || j == nil || j.Header.Spec == nil {
				continue
			}
			if !r.fits(j.Header.Spec) {
				c.dequeue(id) // another part took the room meanwhile
				continue
			}
			r.take(j.Header.Spec)
		}
	}
	return r
}

func (r *teamRoom) fits(sp *domain.JobSpec) bool {
	lim, used := r.c.cfg.Teams[sp.Team].Limit, r.used[sp.Team]
	if !r.c.guard(GuardQuota) {
		return true
	}
	return withinLimit(used.Plus(sp.Request, 1), lim) && r.claims[sp.Team].allows(sp, used, lim)
}

func (r *teamRoom) take(sp *domain.JobSpec) { r.used[sp.Team] = r.used[sp.Team].Plus(sp.Request, 1) }

// weigh fills in what a target costs a task of the job now; false: the mask
// takes it out.
func (c *Controller) weigh(x *choice, t *target, j *Job, cheap float64) bool {
	sp, kind := j.Header.Spec, c.kindOf(j)
	if t.isFull(kind) {
		return false
	}
	x.load, x.cost = t.load, 0
	if _, ok := t.machine.images[sp.Image]; !ok && t.machineType.FetchGBPerS > 0 && sp.Image != "" {
		// Fetches share the machine's rate: another image delays all that wait
		// there, while one already on its way is half there.
		fetch, others := sp.ImageGB/t.machineType.FetchGBPerS, float64(len(t.pendingImages))
		if slices.Contains(t.pendingImages, sp.Image) {
			x.cost = fetch * others / 2
		} else {
			x.cost = fetch * (1 + tuning.FetchShare*others)
		}
	}
	x.cost += c.packCost(t, sp, kind, cheap)
	return true
}

// taskKind is what decides whether a machine's queue takes a task.
type taskKind struct {
	request     domain.Resources
	preemptible bool
}

// kindOf is the kind of a job's tasks. Those of a starving job wait in queues like all
// others, or none of them might ever begin.
func (c *Controller) kindOf(j *Job) taskKind {
	return taskKind{j.Header.Spec.Request, preemptible(j.Header.Spec) && !c.isStarving(j, c.placementOf(j, nil))}
}

// roomy are the targets whose queues still take a task of that kind. Where every
// slot is wanted these are few, while hundreds of jobs ask for them in one plan.
func (c *Controller) roomy(known map[taskKind][]*target, kind taskKind, ts []target) []*target {
	l, ok := known[kind]
	if !ok {
		for i := range ts {
			if ts[i].machineType.Capacity.Fits(kind.request) {
				l = append(l, &ts[i])
			}
		}
	}
	keep := l[:0]
	for _, t := range l {
		if !t.isFull(kind) {
			keep = append(keep, t)
		}
	}
	known[kind] = keep
	return keep
}

// roomFor is the room that tasks of a kind can have on the machine.
func (t *target) roomFor(kind taskKind) domain.Resources {
	return roomBeside(t.free, t.preemptible, kind.preemptible)
}

// isFull: queues are small; what can't start soon waits in the part's pool, where
// the order can still change. A task that yields is queued only where it starts at
// once: waiting there it would go ahead of others that come later.
func (t *target) isFull(kind taskKind) bool {
	depth := int64(tuning.QueueDepth)
	if kind.preemptible {
		depth = 0
	}
	return t.queued >= t.roomFor(kind).CountFitting(kind.request, 64)+depth
}

// choices are this part's machines that may take a task of the job.
func (c *Controller) choices(j *Job, ts []*target, cached bool) []choice {
	sp := j.Header.Spec
	cheap := c.leastPrice(sp)
	cs := []choice{}
	c.Work.Targets += len(ts)
	for _, t := range ts {
		if !c.allowsMachine(sp, t.machine.Type, t.machine.Zone, t.machine.Spot) || t.machine.failedHere(j) {
			continue
		}
		if _, ok := t.machine.images[sp.Image]; cached && !ok && !slices.Contains(t.pendingImages, sp.Image) {
			continue
		}
		x := choice{name: t.machine.Name, machine: t.machine, target: t}
		if c.weigh(&x, t, j, cheap) {
			cs = append(cs, x)
		}
	}
	return cs
}

// place draws the target of one arrival. False: nothing can take it now.
func (c *Controller) place(j *Job, id domain.TaskID, t domain.Task, all []choice, ts []target) bool {
	sp := j.Header.Spec
	cs := leastLoaded(all, tuning.MaxDrawTargets)
	// A task is passed once at most, so that it can't wander.
	if t.Shard == "" && !c.queues.tasksStaying[id] && !c.isLargeFleet() {
		if len(cs) == 0 {
			cs = append(cs, choice{name: c.cfg.Node, load: c.meanLoad()})
		}
		for _, n := range c.cache.view.Serving {
			p := c.peers.byName[n]
			if n == c.cfg.Node || p == nil || c.now-p.heardAt > 3*tuning.DrawEvery {
				continue
			}
			if c.peerFits(p, sp) {
				cs = append(cs, choice{name: n, load: p.load, cost: tuning.PassCost})
			}
		}
	}
	k := c.draw(&c.learner.arrive, cs)
	if k < 0 {
		return false
	}
	if cs[k].name == c.cfg.Node {
		c.queues.tasksStaying[id] = true
		return false
	}
	if cs[k].machine == nil {
		c.planner.taskHandovers[id] = cs[k].name
		c.planner.dirty = true
		if p := c.peers.byName[cs[k].name]; len(p.machines) > 0 {
			p.load += c.runTime(sp) / float64(4*len(p.machines))
		}
		return true
	}
	m, x := cs[k].machine, cs[k].target
	c.enqueue(id, m)
	x.queued++
	if _, ok := m.images[sp.Image]; !ok && sp.Image != "" && !slices.Contains(x.pendingImages, sp.Image) {
		x.pendingImages = append(x.pendingImages, sp.Image)
	}
	x.load = c.load(m)
	cheap := c.leastPrice(sp)
	for i := range all {
		if all[i].machine == m && !c.weigh(&all[i], x, j, cheap) {
			all[i].machine = nil // the mask takes it out
			all[i].load, all[i].cost = math.Inf(1), 0
		}
	}
	return true
}
