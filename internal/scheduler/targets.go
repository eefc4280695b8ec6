package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/tuning"
)

// target is the state of one of this controller's machines during a run of placeTasks.
type target struct {
	machine       *Machine
	machineType   *domain.MachineType
	load          float64     // expected delay of a new task, s
	free          machineRoom // not booked by any task
	preemptible   machineRoom // booked by preemptible tasks
	queued        int64       // number of tasks in the machine's queue
	pendingImages []string    // images that its tasks need and it hasn't fetched yet
	roomIsScarce  bool        // waiting tasks of the shard need more than half of the free resources of its machines
}

// noTarget is the Ref of choices that are shards, or that have been removed from the draw.
const noTarget = -1

// newTarget returns a target with the present state of a machine.
func (c *Controller) newTarget(m *Machine) target {
	machineType := c.cache.machineType(m.Type)
	return target{
		machine:       m,
		machineType:   machineType,
		load:          c.load(m),
		free:          c.cache.freeOn(m.Name, machineType.Capacity, nil),
		preemptible:   c.cache.occupancy[m.Name].preemptible.used,
		queued:        int64(c.queues.length(m)),
		pendingImages: c.imagesPending(m),
	}
}

// hasImage reports whether the machine has fetched an image.
func (t *target) hasImage(image string) bool {
	_, ok := t.machine.images[image]
	return ok
}

// setRoomScarcity sets roomIsScarce of all targets: whether the waiting tasks of this shard need
// more than half of the free room of its machines, in any kind of resource or in their reports.
func (c *Controller) setRoomScarcity(targets []target) {
	var want, room machineRoom
	for _, j := range c.cache.openJobs {
		if j.counts.queued > 0 && !placedByLeader(j.Header.Spec) && c.cache.shardOf(j) == c.cfg.Controller {
			want = want.plus(roomForTask(j.Header.Spec), int64(j.counts.queued-j.queuedHere))
		}
	}
	for i := range targets {
		room = room.plus(targets[i].free, 1)
	}
	isScarce := !room.fits(want.plus(want, 1))
	for i := range targets {
		targets[i].roomIsScarce = isScarce
	}
}

// taskKind holds the properties of a task that decide whether a machine's queue takes it.
type taskKind struct {
	room        machineRoom // of one task
	preemptible bool        // queued only where it can start immediately
}

// kindOf returns the kind of a job's tasks. Preemptible tasks of a starving job may wait in queues
// like all other tasks, since otherwise none of them might ever start.
func (c *Controller) kindOf(j *Job) taskKind {
	return taskKind{roomForTask(j.Header.Spec), preemptible(j.Header.Spec) && !c.isStarving(j, placementOf(j, nil))}
}

// roomFor returns the room that tasks of a kind can get on the machine.
func (t *target) roomFor(kind taskKind) machineRoom {
	return roomWithPreemption(t.free, t.preemptible, kind.preemptible)
}

// isFull reports whether the machine's queue takes no more tasks of a kind. Queues are short:
// tasks that can't start soon remain among the pending jobs of the shard, where the order can still
// change. A preemptible task is queued only where it can start immediately: if it waited in the
// queue, it would start before other tasks that arrive later.
func (t *target) isFull(kind taskKind) bool {
	depth := int64(tuning.QueueDepth)
	if kind.preemptible {
		depth = 0
	}
	return t.queued >= t.roomFor(kind).countFitting(kind.room, tuning.MaxCountedSlots)+depth
}

// targetsWithRoom returns the indices of the targets whose queues still take a task of a kind. The
// result is cached in p.targetsByKind, and each call drops targets that have become full: when
// resources are scarce, few targets remain, while hundreds of jobs ask for them in one run.
func (p *placementRun) targetsWithRoom(kind taskKind) []int {
	indices, known := p.targetsByKind[kind]
	if !known {
		for i := range p.targets {
			if p.targets[i].machineType.Capacity.Fits(kind.room.resources) {
				indices = append(indices, i)
			}
		}
	}
	kept := indices[:0]
	for _, i := range indices {
		if !p.targets[i].isFull(kind) {
			kept = append(kept, i)
		}
	}
	p.targetsByKind[kind] = kept
	return kept
}

// choices returns this shard's machines that may take a task of the job, with their load and cost.
// The result is never nil. If cached is set, only machines are included that have the job's image
// or are about to fetch it.
func (p *placementRun) choices(j *Job, cached bool) []policy.Choice {
	c, spec := p.c, j.Header.Spec
	withRoom := p.targetsWithRoom(c.kindOf(j))
	cheapest := c.leastPrice(spec)
	choices := []policy.Choice{}
	c.Work.Targets += len(withRoom)
	for _, i := range withRoom {
		target := &p.targets[i]
		if !allowsMachine(spec, target.machine.Type, target.machine.Zone, target.machine.Spot) || target.machine.hasOnlyFailuresOf(j) {
			continue
		}
		if cached && !target.hasImage(spec.Image) && !slices.Contains(target.pendingImages, spec.Image) {
			continue
		}
		choice := policy.Choice{Name: target.machine.Name, Ref: i}
		if p.weigh(&choice, j, cheapest) {
			choices = append(choices, choice)
		}
	}
	return choices
}

// weigh sets load and cost of a choice for a task of the job. It returns false if the target's
// queue is full, so that the choice must be left out. The argument cheapest is the result of
// leastPrice for the job.
func (p *placementRun) weigh(choice *policy.Choice, j *Job, cheapest float64) bool {
	target, spec, kind := &p.targets[choice.Ref], j.Header.Spec, p.c.kindOf(j)
	if target.isFull(kind) {
		return false
	}
	choice.Load = target.load
	choice.Cost = target.fetchCost(spec)
	choice.Cost += p.c.queues.packCost(target, spec, kind, cheapest)
	return true
}

// fetchCost returns the expected delay by the fetch of a job's image, in seconds. Fetches share the
// machine's bandwidth: a further image also delays the other fetches, while an image that is
// already being fetched counts as half fetched.
func (t *target) fetchCost(spec *domain.JobSpec) float64 {
	if spec.Image == "" || t.machineType.FetchGBPerS <= 0 || t.hasImage(spec.Image) {
		return 0
	}
	fetch, others := spec.ImageGB/t.machineType.FetchGBPerS, float64(len(t.pendingImages))
	if slices.Contains(t.pendingImages, spec.Image) {
		return fetch * others / 2
	}
	return fetch * (1 + tuning.ConcurrentFetchCost*others)
}

// packCost returns a cost, in seconds, by which draws prefer fuller and cheaper machines among
// those where a task can start immediately. The task runs as fast on any of them, but a machine
// that stays empty can be returned to the cloud, and a full one fetches each image once for many
// tasks. The cost is 0 where the task can't start immediately and where resources are scarce.
func (q *queues) packCost(t *target, spec *domain.JobSpec, kind taskKind, cheapest float64) float64 {
	slots := t.machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
	room := t.roomFor(kind).countFitting(kind.room, tuning.MaxCountedSlots) - t.queued
	if room <= 0 || slots == 0 {
		return 0
	}
	if t.roomIsScarce {
		return 0 // no machine will stay empty, and many tasks on one machine slow down its fetches
	}
	price := t.machineType.Price
	if t.machine.Spot {
		price = t.machineType.SpotPrice
	}
	relativePrice := min(price/float64(slots)/cheapest, tuning.MaxPriceRatio)
	return q.runTime(spec) * (tuning.EmptyMachineRuns*float64(room)/float64(slots) + tuning.DoublePriceRuns*(relativePrice-1))
}

// leastPrice returns the lowest price per task, over all machine types that can run the job's
// tasks, or infinity if there are none.
func (c *Controller) leastPrice(spec *domain.JobSpec) float64 {
	cheapest := math.Inf(1)
	for i := range c.cache.machineTypes {
		machineType := &c.cache.machineTypes[i]
		if !machineTypeFits(spec, machineType) {
			continue
		}
		slots := float64(max(machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots), 1))
		cheapest = min(cheapest, machineType.Price/slots)
		if spec.Spot {
			cheapest = min(cheapest, machineType.SpotPrice/slots)
		}
	}
	return cheapest
}

// imagesPending returns the images that the tasks booked or queued on a machine need and that it
// hasn't fetched yet.
func (c *Controller) imagesPending(m *Machine) []string {
	var images []string
	add := func(id domain.TaskID) {
		j := c.cache.jobs[id.Job]
		if j == nil || j.Header.Spec == nil {
			return
		}
		image := j.Header.Spec.Image
		if _, ok := m.images[image]; !ok && image != "" && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	for id := range c.cache.bookedOn[m.Name] {
		add(id)
	}
	for _, id := range m.queue {
		if c.queues.isQueuedOn(id, m) {
			add(id)
		}
	}
	return images
}

// leastLoaded returns the choices with the lowest sum of load and cost, at most limit of them and
// in the given order, without those whose Ref is noTarget. With hundreds of machines in a shard the
// softmax gives the other choices almost no probability, while the computing time and the size of
// the gradient of a draw grow with the square of the number of choices.
func leastLoaded(all []policy.Choice, limit int) []policy.Choice {
	var choices []policy.Choice
	for i := range all {
		if all[i].Ref != noTarget {
			choices = append(choices, all[i])
		}
	}
	if len(choices) <= limit {
		return choices
	}
	score := make([]float64, len(choices))
	for i := range choices {
		score[i] = choices[i].Load + choices[i].Cost
	}
	sorted := slices.Clone(score)
	slices.Sort(sorted)
	cut := sorted[limit-1]
	var least []policy.Choice
	for i := range choices {
		if score[i] <= cut && len(least) < limit {
			least = append(least, choices[i])
		}
	}
	return least
}
