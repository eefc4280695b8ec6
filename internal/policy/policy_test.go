package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"brassglade/internal/tuning"
)

// TestPolicyGradient compares the gathered gradient of log pi with finite
// differences, for weights and biases, over choices left by a mask.
func TestPolicyGradient(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 3, Cost: 1}, {Name: "b", Load: 5}, {Name: "c", Load: 4}}
	p := NewLeastLoadedActor()
	p.biases["a"] = 0.3
	k := 1
	p.AccumulateGradient(choices, p.Probabilities(choices), k)
	logp := func(q *Actor) float64 { return math.Log(q.Probabilities(choices)[k]) }
	const h = 1e-6
	for _, i := range []string{"a", "b", "c"} {
		q := NewLeastLoadedActor()
		q.biases["a"] = 0.3
		q.biases[i] += h
		if fd := (logp(&q) - logp(&p)) / h; math.Abs(fd-p.biasGradients[i]) > 1e-4 {
			t.Errorf("bias %s: gathered %g, finite difference %g", i, p.biasGradients[i], fd)
		}
		for _, j := range []string{"a", "b", "c"} {
			q := NewLeastLoadedActor()
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

// TestActorLearnsBetterChoice: with two equal loads of which one always costs more, the
// actor-critic moves its draws to the better one.
func TestActorLearnsBetterChoice(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	choices := []Choice{{Name: "bad", Load: 1}, {Name: "good", Load: 1}}
	p := NewLeastLoadedActor()
	theta := 0.0
	before := p.Probabilities(choices)[1]
	for w := 0; w < 20000; w++ {
		pr := p.Probabilities(choices)
		k := 0
		if r.Float64() > pr[0] {
			k = 1
		}
		p.AccumulateGradient(choices, pr, k)
		phi := -2.0
		if k == 1 {
			phi = 0
		}
		delta := phi + tuning.Gamma*theta - theta
		theta += tuning.CriticRate * delta
		p.Step(delta, nil)
	}
	if after := p.Probabilities(choices)[1]; before > 0.51 || after < 0.9 {
		t.Errorf("share of the better choice went from %.2f to %.2f", before, after)
	}
}

// TestWeightsStayBounded: non-finite steps leave no non-finite weights behind.
func TestWeightsStayBounded(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 1e9}, {Name: "b", Load: 0}}
	p := NewLeastLoadedActor()
	for i := 0; i < 50; i++ {
		p.AccumulateGradient(choices, p.Probabilities(choices), i%2)
		p.Step(-1e5, nil)
		for n, row := range p.weights {
			for m, v := range row {
				if math.IsNaN(v) || math.Abs(v) > tuning.WeightBound {
					t.Fatalf("weight %s,%s is %g", n, m, v)
				}
			}
		}
	}
	p.AccumulateGradient(choices, p.Probabilities(choices), 0)
	if n := p.draws; n != 1 {
		t.Fatalf("gathered %d", n)
	}
	p.Step(math.NaN(), nil)
	if math.IsNaN(p.biases["a"]) {
		t.Error("NaN got into a bias")
	}
}

// TestImbalance: the document's cost over all ordered pairs, over N-1.
func TestImbalance(t *testing.T) {
	if got := Imbalance([]float64{1, 4, 6}); got != 2*(3+5+2)/2.0 {
		t.Errorf("imbalance %g", got)
	}
	if Imbalance([]float64{5}) != 0 || Imbalance([]float64{2, 2, 2}) != 0 {
		t.Error("balanced loads cost something")
	}
}

// TestDraw: each choice has its part of the numbers in [0, 1), the last what is left.
func TestDraw(t *testing.T) {
	probabilities := []float64{0.25, 0.5, 0.25}
	for _, x := range []struct {
		uniform float64
		want    int
	}{{0, 0}, {0.2499, 0}, {0.25, 1}, {0.7499, 1}, {0.75, 2}, {0.9999, 2}} {
		if got := Draw(probabilities, x.uniform); got != x.want {
			t.Errorf("%g draws choice %d, not %d", x.uniform, got, x.want)
		}
	}
	// Rounding may leave the sum below one.
	if got := Draw([]float64{0.3, 0.3}, 0.99); got != 1 {
		t.Errorf("beyond the sum: %d", got)
	}
}

// TestInitialPreference: an actor prefers the least load at first, or the most.
func TestInitialPreference(t *testing.T) {
	choices := []Choice{{Name: "idle", Load: 0}, {Name: "busy", Load: 5}}
	least, most := NewLeastLoadedActor(), NewMostLoadedActor()
	if p := least.Probabilities(choices); p[0] <= p[1] {
		t.Errorf("towards the least load: %v", p)
	}
	if p := most.Probabilities(choices); p[0] >= p[1] {
		t.Errorf("towards the most load: %v", p)
	}
}

// TestPruning: names that are gone start anew when they come back.
func TestPruning(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 30}, {Name: "b", Load: 20}}
	p := NewLeastLoadedActor()
	p.AccumulateGradient(choices, p.Probabilities(choices), 0)
	p.Step(1, map[string]bool{"a": true})
	if _, ok := p.biases["a"]; !ok {
		t.Error("what is alive was forgotten")
	}
	if _, ok := p.biases["b"]; ok || p.weights["b"] != nil || p.weight("a", "b") != 0 {
		t.Error("what is gone was kept")
	}
}

// TestCriticStep: the weights go along the features at the window's start by the error,
// and runaway ones are named.
func TestCriticStep(t *testing.T) {
	c := NewCritic()
	if c.HasWindow() {
		t.Error("a window before the first")
	}
	c.BeginWindow([]float64{1, 0.5, 0, 0})
	if !c.HasWindow() {
		t.Error("no window after the first")
	}
	if delta := c.TemporalDifference(-2, []float64{1, 0, 0, 0}); delta != -2 {
		t.Errorf("error %g where nothing was expected", delta)
	}
	if reset := c.Step(-2); reset != nil || !slices.Equal(c.Weights(), []float64{tuning.CriticRate * -2, tuning.CriticRate * -2 * 0.5, 0, 0}) {
		t.Errorf("weights %v, reset %v", c.Weights(), reset)
	}
	value := c.Weights()[0]
	if got, want := c.TemporalDifference(0, []float64{1, 0, 0, 0}), tuning.Gamma*value-(value+0.5*c.Weights()[1]); math.Abs(got-want) > 1e-12 {
		t.Errorf("error %g, not %g", got, want)
	}
	if reset := c.Step(math.NaN()); !slices.Equal(reset, []int{0, 1, 2, 3}) || !slices.Equal(c.Weights(), make([]float64, 4)) {
		t.Errorf("not a number: weights %v, reset %v", c.Weights(), reset)
	}
	if reset := c.Step(tuning.WeightBound * 1.5 / tuning.CriticRate); !slices.Equal(reset, []int{0}) {
		t.Errorf("runaway: reset %v", reset)
	}
}

// TestAverageWith: the mean over the critics of as many features.
func TestAverageWith(t *testing.T) {
	c := Critic{weights: []float64{1, 2, 3, 4}}
	c.AverageWith([][]float64{{3, 2, 1, 0}, {99}, nil})
	if !slices.Equal(c.Weights(), []float64{2, 2, 2, 2}) {
		t.Errorf("weights %v", c.Weights())
	}
}

// TestPayoff: imbalance and passes per machine cost; without machines passes still do.
func TestPayoff(t *testing.T) {
	if got, want := Payoff(3, 8, 4), (-3-tuning.PassCost*2)*tuning.LoadScale; got != want {
		t.Errorf("payoff %g, not %g", got, want)
	}
	if got, want := Payoff(0, 2, 0), -2*tuning.PassCost*tuning.LoadScale; got != want {
		t.Errorf("payoff %g without machines, not %g", got, want)
	}
}

// TestFeatures: a constant, then mean, imbalance per machine and largest, scaled.
func TestFeatures(t *testing.T) {
	features, imbalance := Features([]float64{1, 3})
	if imbalance != 2 || !slices.Equal(features, []float64{1, 2 * tuning.LoadScale, 2 * tuning.LoadScale, 3 * tuning.LoadScale}) {
		t.Errorf("features %v, imbalance %g", features, imbalance)
	}
	if features, imbalance := Features(nil); imbalance != 0 || !slices.Equal(features, []float64{1, 0, 0, 0}) {
		t.Errorf("without machines: features %v, imbalance %g", features, imbalance)
	}
}
