package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// TestPolicyGradient compares the gathered gradient of log pi with finite
// differences, for weights and biases, over choices left by a mask.
func TestPolicyGradient(t *testing.T) {
	cs := []choice{{name: "a", load: 3, cost: 1}, {name: "b", load: 5}, {name: "c", load: 4}}
	p := newPolicy(1)
	p.biases["a"] = 0.3
	k := 1
	p.gather(cs, p.probs(cs), k)
	logp := func(q *policy) float64 { return math.Log(q.probs(cs)[k]) }
	const h = 1e-6
	for _, i := range []string{"a", "b", "c"} {
		q := newPolicy(1)
		q.biases["a"] = 0.3
		q.biases[i] += h
		if fd := (logp(&q) - logp(&p)) / h; math.Abs(fd-p.biasGradients[i]) > 1e-4 {
			t.Errorf("bias %s: gathered %g, finite difference %g", i, p.biasGradients[i], fd)
		}
		for _, j := range []string{"a", "b", "c"} {
			q := newPolicy(1)
			q.biases["a"] = 0.3
			q.weights[i] = map[string]float64{j: p.weight(i, j) + h}
			fd := (logp(&q) - logp(&p)) / h
			if g := p.weightGradients[i][j] / tuning.LoadScale; math.Abs(fd-g) > 1e-4 {
				t.Errorf("weight %s,%s: gathered %g, finite difference %g", i, j, g, fd)
			}
		}
	}
	if p.weightGradients["z"] != nil {
		t.Error("a masked choice got a gradient")
	}
}

// TestStationaryGame: with two equal loads of which one always costs more, the
// actor-critic moves its draws to the better one.
func TestStationaryGame(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	cs := []choice{{name: "bad", load: 1}, {name: "good", load: 1}}
	p := newPolicy(1)
	theta := 0.0
	before := p.probs(cs)[1]
	for w := 0; w < 20000; w++ {
		pr := p.probs(cs)
		k := 0
		if r.Float64() > pr[0] {
			k = 1
		}
		p.gather(cs, pr, k)
		phi := -2.0
		if k == 1 {
			phi = 0
		}
		delta := phi + tuning.Gamma*theta - theta
		theta += tuning.CriticRate * delta
		p.step(delta, nil)
	}
	if after := p.probs(cs)[1]; before > 0.51 || after < 0.9 {
		t.Errorf("share of the better choice went from %.2f to %.2f", before, after)
	}
}

// TestRunawayWeights: non-finite steps leave no non-finite weights behind.
func TestRunawayWeights(t *testing.T) {
	cs := []choice{{name: "a", load: 1e9}, {name: "b", load: 0}}
	p := newPolicy(1)
	for i := 0; i < 50; i++ {
		p.gather(cs, p.probs(cs), i%2)
		p.step(-1e5, nil)
		for n, row := range p.weights {
			for m, v := range row {
				if math.IsNaN(v) || math.Abs(v) > tuning.WeightBound {
					t.Fatalf("weight %s,%s is %g", n, m, v)
				}
			}
		}
	}
	p.gather(cs, p.probs(cs), 0)
	if n := p.draws; n != 1 {
		t.Fatalf("gathered %d", n)
	}
	p.step(math.NaN(), nil)
	if math.IsNaN(p.biases["a"]) {
		t.Error("NaN got into a bias")
	}
}

// TestImbalance: the document's cost over all ordered pairs, over N-1.
func TestImbalance(t *testing.T) {
	if got := imbalance([]float64{1, 4, 6}); got != 2*(3+5+2)/2.0 {
		t.Errorf("imbalance %g", got)
	}
	if imbalance([]float64{5}) != 0 || imbalance([]float64{2, 2, 2}) != 0 {
		t.Error("balanced loads cost something")
	}
}

// TestTiers: when not all can be in time, the largest job gives way.
func TestTiers(t *testing.T) {
	mk := func(work, goal float64) *urgent {
		return &urgent{run: 10, work: work, goals: []float64{goal, 2 * goal}}
	}
	big, s1, s2, hopeless := mk(60, 80), mk(10, 40), mk(15, 90), mk(5, 4)
	assignTiers([]*urgent{big, s1, s2, hopeless})
	if s1.tier != 0 || s2.tier != 0 {
		t.Errorf("small jobs at tiers %d, %d", s1.tier, s2.tier)
	}
	if big.tier != 1 {
		t.Errorf("the large job at tier %d", big.tier)
	}
	if hopeless.tier != 2 {
		t.Errorf("a job late even alone at tier %d", hopeless.tier)
	}
}

// TestRendezvous: only the machines of a node that leaves change owner.
func TestRendezvous(t *testing.T) {
	three, two := &domain.View{Serving: []string{"a", "b", "c"}}, &domain.View{Serving: []string{"a", "c"}}
	n, c := map[string]int{}, &Controller{}
	for i := 0; i < 300; i++ {
		m := "n-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		o := c.owner(three, m, "")
		n[o]++
		if o != "b" && c.owner(two, m, "") != o {
			t.Fatalf("%s moved from %s to %s", m, o, c.owner(two, m, ""))
		}
	}
	for _, o := range three.Serving {
		if n[o] < 60 {
			t.Errorf("%s owns %d of 300", o, n[o])
		}
	}
}
