package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// policy is a linear softmax policy over targets that come and go: a weight
// for each pair of names and a bias for each name, with the starting values
// for names not met yet.
type policy struct {
	sign            float64 // of the starting weight on a target's own load
	weights         map[string]map[string]float64
	biases          map[string]float64
	weightGradients map[string]map[string]float64 // gradients of this window
	biasGradients   map[string]float64
	draws           int
}

func newPolicy(sign float64) policy {
	return policy{
		sign: sign, weights: map[string]map[string]float64{}, biases: map[string]float64{},
		weightGradients: map[string]map[string]float64{}, biasGradients: map[string]float64{},
	}
}

func (p *policy) weight(i, j string) float64 {
	if r, ok := p.weights[i]; ok {
		if v, ok := r[j]; ok {
			return v
		}
	}
	if i == j {
		return p.sign * tuning.LoadWeight
	}
	return 0
}

// probs is softmax(W x + B - cost) over the choices left by the mask.
func (p *policy) probs(cs []choice) []float64 {
	z := make([]float64, len(cs))
	top := math.Inf(-1)
	for i := range cs {
		z[i] = p.biases[cs[i].name] - cs[i].cost
		for j := range cs {
			z[i] += p.weight(cs[i].name, cs[j].name) * cs[j].load
		}
		top = max(top, z[i])
	}
	sum := 0.0
	for i := range z {
		z[i] = math.Exp(z[i] - top)
		sum += z[i]
	}
	for i := range z {
		z[i] /= sum
	}
	return z
}

// gather adds the gradient of log pi for a draw made.
func (p *policy) gather(cs []choice, pr []float64, k int) {
	if len(cs) < 2 {
		return
	}
	p.draws++
	for i := range cs {
		g := -pr[i]
		if i == k {
			g++
		}
		p.biasGradients[cs[i].name] += g
		r := p.weightGradients[cs[i].name]
		if r == nil {
			r = map[string]float64{}
			p.weightGradients[cs[i].name] = r
		}
		for j := range cs {
			r[cs[j].name] += g * cs[j].load * tuning.LoadScale
		}
	}
}

// step moves the weights along the gathered gradients; runaway or non-finite
// values go back to their start. It returns how many did.
func (p *policy) step(delta float64, alive map[string]bool) (reset int) {
	ok := func(v float64) bool { return !math.IsNaN(v) && math.Abs(v) <= tuning.WeightBound }
	if p.draws > 0 && ok(delta/1e6) {
		k := tuning.ActorRate * delta / float64(p.draws)
		for _, i := range slices.Sorted(maps.Keys(p.weightGradients)) {
			if v := p.biases[i] + k*p.biasGradients[i]; ok(v) {
				p.biases[i] = v
			} else {
				delete(p.biases, i)
				reset++
			}
			if p.weights[i] == nil {
				p.weights[i] = map[string]float64{}
			}
			for j, g := range p.weightGradients[i] {
				if v := p.weight(i, j) + k*g; ok(v) {
					p.weights[i][j] = v
				} else {
					delete(p.weights[i], j)
					reset++
				}
			}
		}
	}
	clear(p.weightGradients)
	clear(p.biasGradients)
	p.draws = 0
	if alive != nil {
		for i := range p.weights {
			if !alive[i] {
				delete(p.weights, i)
				delete(p.biases, i)
				continue
			}
			for j := range p.weights[i] {
				if !alive[j] {
					delete(p.weights[i], j)
				}
			}
		}
	}
	return reset
}

// learner is the online actor-critic of one node.
type learner struct {
	arrive, steal policy
	criticWeights []float64
	windowEndedAt time.Duration
	seq           uint64
	passes        int
	finishes      int
	lastFeatures  []float64 // features at the window's start
}

func (l *learner) init(string) {
	l.arrive = newPolicy(1)
	l.steal = newPolicy(-1) // steals look for the most loaded
	l.criticWeights = make([]float64, 4)
}

// features of the loads for the linear critic: a constant, the mean, the
// imbalance, the largest. They need no names, so they carry over.
func features(x []float64) ([]float64, float64) {
	if len(x) == 0 {
		return []float64{1, 0, 0, 0}, 0
	}
	mean, most := 0.0, 0.0
	for _, v := range x {
		mean += v
		most = max(most, v)
	}
	mean /= float64(len(x))
	// The payoff sums over all pairs, so it grows with the number of machines;
	// critic and payoff both take it per machine, or fixed rates diverge.
	imb := imbalance(x) / float64(len(x))
	s := tuning.LoadScale
	return []float64{1, mean * s, imb * s, most * s}, imb
}

// imbalance is 1/(N-1) times the summed |x_j - x_k| over all ordered pairs.
func imbalance(x []float64) float64 {
	if len(x) < 2 {
		return 0
	}
	// In order, the i-th is larger than i others and smaller than the rest.
	y := slices.Sorted(slices.Values(x))
	s := 0.0
	for i, v := range y {
		s += v * float64(2*i-len(y)+1)
	}
	return 2 * s / float64(len(x)-1)
}

func dot(a, b []float64) float64 {
	s := 0.0
	for i := range a {
		s += a[i] * b[i]
	}
	return s
}

// endLearningWindow ends windows: writes the record, takes the temporal-difference
// step, and averages the critics every ConsensusEvery windows.
func (c *Controller) endLearningWindow() {
	l := &c.learner
	if !c.mayAct() || c.now < l.windowEndedAt+tuning.Window {
		return
	}
	l.windowEndedAt = c.now
	l.seq++
	// Loads go without names: the critic's features need none, and with them
	// the record of a few hundred machines would not fit its value.
	loads := []float64{}
	alive := map[string]bool{}
	for _, name := range c.machineNames() {
		if m := c.heartbeats.machines[name]; c.owns(name) {
			alive[name] = true
			if c.isBookable(m) && !c.isReserved(name) {
				loads = append(loads, math.Round(c.load(m)*10)/10)
			}
		}
	}
	var x []float64
	passes := l.passes
	for _, n := range c.cache.view.Serving {
		alive[n] = true
		ls := loads
		if n != c.cfg.Node {
			w := c.cache.windows[n]
			if w == nil {
				continue
			}
			ls = w.Loads
			passes += w.Passes
		}
		x = append(x, ls...)
	}
	f, imb := features(x)
	if l.lastFeatures != nil && c.cfg.Learn {
		phi := (-imb - tuning.PassCost*float64(passes)/float64(max(len(x), 1))) * tuning.LoadScale
		delta := phi + tuning.Gamma*dot(l.criticWeights, f) - dot(l.criticWeights, l.lastFeatures)
		for i := range l.criticWeights {
			l.criticWeights[i] += tuning.CriticRate * delta * l.lastFeatures[i]
			if math.IsNaN(l.criticWeights[i]) || math.Abs(l.criticWeights[i]) > tuning.WeightBound {
				l.criticWeights[i] = 0
				c.info("critic weight reset", "i", i)
			}
		}
		r := l.arrive.step(delta, alive) + l.steal.step(delta, alive)
		if r > 0 {
			c.info("policy weights reset", "count", r)
		}
		c.debug("window", "imbalance", imb, "passes", passes, "delta", delta, "finishes", l.finishes, "theta", l.criticWeights)
		if l.seq%tuning.ConsensusEvery == 0 {
			c.consensus()
		}
	}
	l.lastFeatures = f
	rec := codec.WindowRecord{Sequence: l.seq, Loads: loads, Passes: l.passes, CriticWeights: l.criticWeights}
	l.passes, l.finishes = 0, 0
	b := c.encodeWindow(rec)
	c.commit(LaneIdle, domain.Transaction{Puts: []domain.Put{{Key: codec.PrefixWindow + c.cfg.Node, Value: b}}}, func(domain.CommitResult, CommitAnswered) {})
}

// consensus averages the critics over the serving nodes.
func (c *Controller) consensus() {
	sum := slices.Clone(c.learner.criticWeights)
	n := 1.0
	for _, o := range c.cache.view.Serving {
		w := c.cache.windows[o]
		if o == c.cfg.Node || w == nil || len(w.CriticWeights) != len(sum) {
			continue
		}
		for i := range sum {
			sum[i] += w.CriticWeights[i]
		}
		n++
	}
	for i := range sum {
		sum[i] /= n
	}
	c.learner.criticWeights = sum
}

func (c *Controller) recordFinish(*Machine) { c.learner.finishes++ }
