package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// runTime is the expected run time of a task, corrected by what the class
// showed so far.
func (c *Controller) runTime(sp *domain.JobSpec) float64 {
	e := sp.EstimatedRuntime
	if e <= 0 {
		e = tuning.SeedRun
	}
	if r := c.queues.runTimeRatios[sp.Class]; r != nil && r.samples >= 3 {
		e *= min(max(r.value, 0.25), 4)
	}
	return e
}

// load is L/mu: tasks queued and booked over the smoothed service rate of all
// slots, in seconds. Tasks that yield delay no others and don't count.
func (c *Controller) load(m *Machine) float64 {
	f := c.machineType(m.Type)
	if f == nil {
		return 0
	}
	o := c.cache.occupancy[m.Name]
	// Whole ms: sums don't depend on order.
	l, need, run := o.tasks-o.preemptible.tasks, o.used.Plus(o.preemptible.used, -1), o.runTimeMS-o.preemptible.runTimeMS
	for _, id := range m.queue {
		if c.queues.machineOf[id] != m.Name {
			continue
		}
		if j := c.cache.jobs[id.Job]; j != nil && j.Header.Spec != nil && !preemptible(j.Header.Spec) {
			l++
			need = need.Plus(j.Header.Spec.Request, 1)
			run += int64(1000 * c.runTime(j.Header.Spec))
		}
	}
	if l == 0 {
		return 0
	}
	k := int64(l)
	mean := domain.Resources{CPU: need.CPU / k, GPU: need.GPU / k, Memory: need.Memory / k}
	slots := max(f.Capacity.CountFitting(mean, 64), 1)
	t := float64(run) / 1000 / float64(l)
	if m.runTime.samples >= 3 {
		t = (t + m.runTime.value) / 2
	}
	return float64(l) * t / float64(slots)
}

func (c *Controller) meanLoad() float64 {
	if c.queues.meanLoadAt >= 0 && c.now-c.queues.meanLoadAt < c.pace() {
		return c.queues.meanLoad
	}
	s, n := 0.0, 0
	for _, name := range c.machineNames() {
		m := c.heartbeats.machines[name]
		if c.owns(name) && c.isBookable(m) && !c.isReserved(name) {
			s += c.load(m)
			n++
		}
	}
	c.queues.meanLoad, c.queues.meanLoadAt = 0, c.now
	if n > 0 {
		c.queues.meanLoad = (s + c.queues.poolRunTime) / float64(n)
	}
	return c.queues.meanLoad
}

// choice is a target of a draw.
type choice struct {
	name    string  // machine or part
	load    float64 // s
	cost    float64 // s on top: the image fetch
	machine *Machine
	target  *target
}

// draw picks from the masked softmax over the given choices, which are those
// the mask left, and lets the learner gather the gradient.
func (c *Controller) draw(p *policy, cs []choice) int {
	if len(cs) == 0 {
		return -1
	}
	pr := p.probs(cs)
	x := c.rng.Float64()
	k := 0
	for ; k < len(pr)-1; k++ {
		if x -= pr[k]; x < 0 {
			break
		}
	}
	p.gather(cs, pr, k)
	return k
}

// imagesPending lists the images that a machine's tasks still wait for.
func (c *Controller) imagesPending(m *Machine) []string {
	var l []string
	add := func(id domain.TaskID) {
		if j := c.cache.jobs[id.Job]; j != nil && j.Header.Spec != nil {
			im := j.Header.Spec.Image
			if _, ok := m.images[im]; !ok && im != "" && !slices.Contains(l, im) {
				l = append(l, im)
			}
		}
	}
	for id := range c.cache.bookedOn[m.Name] {
		add(id)
	}
	for _, id := range m.queue {
		if c.queues.machineOf[id] == m.Name {
			add(id)
		}
	}
	return l
}

// packCost makes draws prefer fuller and cheaper machines among those where a task starts
// at once: it runs as fast on any of them, but a machine that stays empty can
// be returned, and a full one fetches each image once for many.
func (c *Controller) packCost(t *target, sp *domain.JobSpec, kind taskKind, cheap float64) float64 {
	all := t.machineType.Capacity.CountFitting(sp.Request, 64)
	room := t.roomFor(kind).CountFitting(sp.Request, 64) - t.queued
	if room <= 0 || all == 0 {
		return 0
	}
	if t.scarce {
		return 0 // no machine will stay empty, and crowding slows its fetches
	}
	price := t.machineType.Price
	if t.machine.Spot {
		price = t.machineType.SpotPrice
	}
	dear := min(price/float64(all)/cheap, tuning.MaxDearness)
	return c.runTime(sp) * (tuning.PackRuns*float64(room)/float64(all) + tuning.DearRuns*(dear-1))
}

// leastPrice is the least price of a slot for a task of the job.
func (c *Controller) leastPrice(sp *domain.JobSpec) float64 {
	cheap := math.Inf(1)
	for i := range c.cache.machineTypes {
		if fl := &c.cache.machineTypes[i]; c.machineTypeFits(sp, fl) {
			k := float64(max(fl.Capacity.CountFitting(sp.Request, 64), 1))
			cheap = min(cheap, fl.Price/k)
			if sp.Spot {
				cheap = min(cheap, fl.SpotPrice/k)
			}
		}
	}
	return cheap
}

// leastLoaded are the k choices of least load and cost, in their order. With hundreds
// of machines a part the softmax gives the others nothing, and a draw's work
// and gradient grow with the square of the targets.
func leastLoaded(all []choice, k int) []choice {
	var cs []choice
	for i := range all {
		if all[i].machine != nil {
			cs = append(cs, all[i])
		}
	}
	if len(cs) <= k {
		return cs
	}
	score := make([]float64, len(cs))
	for i := range cs {
		score[i] = cs[i].load + cs[i].cost
	}
	sorted := slices.Clone(score)
	slices.Sort(sorted)
	cut := sorted[k-1]
	var l []choice
	for i := range cs {
		if score[i] <= cut && len(l) < k {
			l = append(l, cs[i])
		}
	}
	return l
}
