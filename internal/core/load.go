package core

import (
	"math"
	"slices"

	"brassglade/internal/tuning"
)

// runTime is the expected run time of a task, corrected by what the class
// showed so far.
func (c *Core) runTime(sp *Spec) float64 {
	e := sp.Est
	if e <= 0 {
		e = tuning.SeedRun
	}
	if r := c.runs[sp.Class]; r != nil && r.n >= 3 {
		e *= min(max(r.v, 0.25), 4)
	}
	return e
}

// load is L/mu: tasks queued and booked over the smoothed service rate of all
// slots, in seconds. Tasks that yield delay no others and don't count.
func (c *Core) load(m *Machine) float64 {
	f := c.flavor(m.Type)
	if f == nil {
		return 0
	}
	o := c.st.occ[m.Name]
	// Whole ms: sums don't depend on order.
	l, need, run := o.n-o.idle.n, o.used.Plus(o.idle.used, -1), o.run-o.idle.run
	for _, id := range m.queue {
		if c.placed[id] != m.Name {
			continue
		}
		if j := c.st.jobs[id.Job]; j != nil && j.H.Spec != nil && !yields(j.H.Spec) {
			l++
			need = need.Plus(j.H.Spec.Need, 1)
			run += int64(1000 * c.runTime(j.H.Spec))
		}
	}
	if l == 0 {
		return 0
	}
	k := int64(l)
	mean := Res{need.CPU / k, need.GPU / k, need.Mem / k}
	slots := max(f.Size.Times(mean, 64), 1)
	t := float64(run) / 1000 / float64(l)
	if m.rate.n >= 3 {
		t = (t + m.rate.v) / 2
	}
	return float64(l) * t / float64(slots)
}

func (c *Core) meanLoad() float64 {
	if c.meanAt >= 0 && c.now-c.meanAt < c.pace() {
		return c.mean
	}
	s, n := 0.0, 0
	for _, name := range c.machNames() {
		m := c.mach[name]
		if c.owns(name) && c.bookable(m) && !c.kept(name) {
			s += c.load(m)
			n++
		}
	}
	c.mean, c.meanAt = 0, c.now
	if n > 0 {
		c.mean = (s + c.poolRun) / float64(n)
	}
	return c.mean
}

// choice is a target of a draw.
type choice struct {
	name string  // machine or part
	load float64 // s
	cost float64 // s on top: the image fetch
	m    *Machine
	t    *target
}

// draw picks from the masked softmax over the given choices, which are those
// the mask left, and lets the learner gather the gradient.
func (c *Core) draw(p *policy, cs []choice) int {
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

// coming lists the images that a machine's tasks still wait for.
func (c *Core) coming(m *Machine) []string {
	var l []string
	add := func(id TaskID) {
		if j := c.st.jobs[id.Job]; j != nil && j.H.Spec != nil {
			im := j.H.Spec.Image
			if _, ok := m.images[im]; !ok && im != "" && !slices.Contains(l, im) {
				l = append(l, im)
			}
		}
	}
	for id := range c.st.byMach[m.Name] {
		add(id)
	}
	for _, id := range m.queue {
		if c.placed[id] == m.Name {
			add(id)
		}
	}
	return l
}

// packCost makes draws prefer fuller and cheaper machines among those where a task starts
// at once: it runs as fast on any of them, but a machine that stays empty can
// be returned, and a full one fetches each image once for many.
func (c *Core) packCost(t *target, sp *Spec, kind taskKind, cheap float64) float64 {
	all := t.f.Size.Times(sp.Need, 64)
	room := t.roomFor(kind).Times(sp.Need, 64) - t.queued
	if room <= 0 || all == 0 {
		return 0
	}
	if t.scarce {
		return 0 // no machine will stay empty, and crowding slows its fetches
	}
	price := t.f.Price
	if t.m.Spot {
		price = t.f.Spot
	}
	dear := min(price/float64(all)/cheap, tuning.DearMost)
	return c.runTime(sp) * (tuning.PackRuns*float64(room)/float64(all) + tuning.DearRuns*(dear-1))
}

// leastPrice is the least price of a slot for a task of the job.
func (c *Core) leastPrice(sp *Spec) float64 {
	cheap := math.Inf(1)
	for i := range c.st.flavors {
		if fl := &c.st.flavors[i]; c.typeFits(sp, fl) {
			k := float64(max(fl.Size.Times(sp.Need, 64), 1))
			cheap = min(cheap, fl.Price/k)
			if sp.Spot {
				cheap = min(cheap, fl.Spot/k)
			}
		}
	}
	return cheap
}

// best are the k choices of least load and cost, in their order. With hundreds
// of machines a part the softmax gives the others nothing, and a draw's work
// and gradient grow with the square of the targets.
func best(all []choice, k int) []choice {
	var cs []choice
	for i := range all {
		if all[i].m != nil {
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
