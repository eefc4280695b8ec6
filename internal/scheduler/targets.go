package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/tuning"
)

// target is one of this controller's machines as a run of placing sees it.
type target struct {
	machine       *Machine
	machineType   *domain.MachineType
	load          float64          // expected delay there, s
	free          domain.Resources // not booked
	preemptible   domain.Resources // held by tasks that may be stopped for all others
	queued        int64            // tasks in the machine's queue
	pendingImages []string         // images on their way or about to be
	scarce        bool             // more waits than there is room for
}

// noTarget is the Ref of choices that are no machine, or that the mask took out.
const noTarget = -1

// newTarget looks at a machine as it is.
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

// hasImage tells whether the machine has fetched an image.
func (t *target) hasImage(image string) bool {
	_, ok := t.machine.images[image]
	return ok
}

// setScarce compares what waits in this shard with its room, in the amount that
// its machines have least of.
func (c *Controller) setScarce(targets []target) {
	var want, room domain.Resources
	for _, j := range c.cache.openJobs {
		if j.counts.queued > 0 && !placedByLeader(j.Header.Spec) && c.cache.shardOf(j) == c.cfg.Node {
			want = want.Plus(j.Header.Spec.Request, int64(j.counts.queued-j.queuedHere))
		}
	}
	for i := range targets {
		room = room.Plus(targets[i].free, 1)
	}
	scarce := 2*want.CPU > room.CPU || 2*want.GPU > room.GPU || 2*want.Memory > room.Memory
	for i := range targets {
		targets[i].scarce = scarce
	}
}

// taskKind is what decides whether a machine's queue takes a task.
type taskKind struct {
	request     domain.Resources
	preemptible bool // queued only where it starts at once
}

// kindOf is the kind of a job's tasks. Those of a starving job wait in queues like all
// others, or none of them might ever begin.
func (c *Controller) kindOf(j *Job) taskKind {
	return taskKind{j.Header.Spec.Request, preemptible(j.Header.Spec) && !c.isStarving(j, placementOf(j, nil))}
}

// roomFor is the room that tasks of a kind can have on the machine.
func (t *target) roomFor(kind taskKind) domain.Resources {
	return roomBeside(t.free, t.preemptible, kind.preemptible)
}

// isFull tells whether the queue takes no more tasks of a kind. Queues are small; what can't
// start soon waits in the shard's pool, where the order can still change. A preemptible task is
// queued only where it starts at once: waiting there it would go ahead of others that come
// later.
func (t *target) isFull(kind taskKind) bool {
	depth := int64(tuning.QueueDepth)
	if kind.preemptible {
		depth = 0
	}
	return t.queued >= t.roomFor(kind).CountFitting(kind.request, tuning.MaxCountedSlots)+depth
}

// roomyTargets are the targets whose queues still take a task of a kind. Where every
// slot is wanted these are few, while hundreds of jobs ask for them in one plan.
func (p *placing) roomyTargets(kind taskKind) []int {
	indices, known := p.roomy[kind]
	if !known {
		for i := range p.targets {
			if p.targets[i].machineType.Capacity.Fits(kind.request) {
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
	p.roomy[kind] = kept
	return kept
}

// choices are this shard's machines that may take a task of the job, weighed; never nil.
// Cached: only those that have its image, or will have it.
func (p *placing) choices(j *Job, cached bool) []policy.Choice {
	c, spec := p.c, j.Header.Spec
	roomy := p.roomyTargets(c.kindOf(j))
	cheapest := c.leastPrice(spec)
	choices := []policy.Choice{}
	c.Work.Targets += len(roomy)
	for _, i := range roomy {
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

// weigh fills in what a choice's target costs a task of the job now; false: the mask
// takes it out. Cheapest is the least price of a slot for such a task.
func (p *placing) weigh(choice *policy.Choice, j *Job, cheapest float64) bool {
	target, spec, kind := &p.targets[choice.Ref], j.Header.Spec, p.c.kindOf(j)
	if target.isFull(kind) {
		return false
	}
	choice.Load = target.load
	choice.Cost = target.fetchCost(spec)
	choice.Cost += p.c.queues.packCost(target, spec, kind, cheapest)
	return true
}

// fetchCost is the delay by the fetch of a job's image, s. Fetches share the machine's rate:
// another image delays all that wait there, while one already on its way is half there.
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

// packCost makes draws prefer fuller and cheaper machines among those where a task starts at
// once: it runs as fast on any of them, but a machine that stays empty can be returned, and a
// full one fetches each image once for many.
func (q *queues) packCost(t *target, spec *domain.JobSpec, kind taskKind, cheapest float64) float64 {
	slots := t.machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
	room := t.roomFor(kind).CountFitting(spec.Request, tuning.MaxCountedSlots) - t.queued
	if room <= 0 || slots == 0 {
		return 0
	}
	if t.scarce {
		return 0 // no machine will stay empty, and crowding slows its fetches
	}
	price := t.machineType.Price
	if t.machine.Spot {
		price = t.machineType.SpotPrice
	}
	dearness := min(price/float64(slots)/cheapest, tuning.MaxPriceRatio)
	return q.runTime(spec) * (tuning.EmptyMachineRuns*float64(room)/float64(slots) + tuning.DoublePriceRuns*(dearness-1))
}

// leastPrice is the least price of a slot for a task of the job.
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

// imagesPending lists the images that a machine's tasks still wait for.
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
		if c.queues.isIn(id, m) {
			add(id)
		}
	}
	return images
}

// leastLoaded are the most choices of least load and cost, in their order, without those
// that the mask took out. With hundreds of machines a shard the softmax gives the others
// nothing, and a draw's work and gradient grow with the square of the choices.
func leastLoaded(all []policy.Choice, most int) []policy.Choice {
	var choices []policy.Choice
	for i := range all {
		if all[i].Ref != noTarget {
			choices = append(choices, all[i])
		}
	}
	if len(choices) <= most {
		return choices
	}
	score := make([]float64, len(choices))
	for i := range choices {
		score[i] = choices[i].Load + choices[i].Cost
	}
	sorted := slices.Clone(score)
	slices.Sort(sorted)
	cut := sorted[most-1]
	var least []policy.Choice
	for i := range choices {
		if score[i] <= cut && len(least) < most {
			least = append(least, choices[i])
		}
	}
	return least
}
