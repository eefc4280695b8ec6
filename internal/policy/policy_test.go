package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"brassglade/internal/tuning"
)

// TestPolicyGradient compares the accumulated gradient of log pi with finite differences, for weights
// and biases. A choice that is left out must get no gradient.
func TestPolicyGradient(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 3, Cost: 1}, {Name: "b", Load: 5}, {Name: "c", Load: 4}}
	actor := NewLeastLoadedActor()
	actor.biases["a"] = 0.3
	chosen := 1
	actor.AccumulateGradient(choices, actor.Probabilities(choices), chosen)
	logPi := func(changed *Actor) float64 { return math.Log(changed.Probabilities(choices)[chosen]) }
	const h = 1e-6
	for _, i := range []string{"a", "b", "c"} {
		changed := NewLeastLoadedActor()
		changed.biases["a"] = 0.3
		changed.biases[i] += h
		if finiteDifference := (logPi(&changed) - logPi(&actor)) / h; math.Abs(finiteDifference-actor.biasGradients[i]) > 1e-4 {
			t.Errorf("bias %s: accumulated gradient %g, finite difference %g", i, actor.biasGradients[i], finiteDifference)
		}
		for _, j := range []string{"a", "b", "c"} {
			changed := NewLeastLoadedActor()
			changed.biases["a"] = 0.3
			changed.weights[i] = map[string]float64{j: actor.weight(i, j) + h}
			finiteDifference := (logPi(&changed) - logPi(&actor)) / h
			if g := actor.weightGradients[i][j] / tuning.LoadScale; math.Abs(finiteDifference-g) > 1e-4 {
				t.Errorf("weight %s,%s: accumulated gradient %g, finite difference %g", i, j, g, finiteDifference)
			}
		}
	}
	if actor.weightGradients["z"] != nil {
		t.Error("a choice that was left out got a gradient")
	}
}

// TestActorLearnsBetterChoice checks that the actor-critic learns to draw the better of two choices that
// have equal loads, when one of them always has a lower payoff.
func TestActorLearnsBetterChoice(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	choices := []Choice{{Name: "bad", Load: 1}, {Name: "good", Load: 1}}
	actor := NewLeastLoadedActor()
	criticWeight := 0.0
	before := actor.Probabilities(choices)[1]
	for window := 0; window < 20000; window++ {
		probabilities := actor.Probabilities(choices)
		chosen := 0
		if r.Float64() > probabilities[0] {
			chosen = 1
		}
		actor.AccumulateGradient(choices, probabilities, chosen)
		payoff := -2.0
		if chosen == 1 {
			payoff = 0
		}
		delta := payoff + tuning.Gamma*criticWeight - criticWeight
		criticWeight += tuning.CriticRate * delta
		actor.Step(delta, nil)
	}
	if after := actor.Probabilities(choices)[1]; before > 0.51 || after < 0.9 {
		t.Errorf("probability of the better choice went from %.2f to %.2f", before, after)
	}
}

// TestWeightsStayBounded checks that excessive or non-finite steps leave no weight that is too large or
// not a number.
func TestWeightsStayBounded(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 1e9}, {Name: "b", Load: 0}}
	actor := NewLeastLoadedActor()
	for i := 0; i < 50; i++ {
		actor.AccumulateGradient(choices, actor.Probabilities(choices), i%2)
		actor.Step(-1e5, nil)
		for n, row := range actor.weights {
			for m, v := range row {
				if math.IsNaN(v) || math.Abs(v) > tuning.WeightBound {
					t.Fatalf("weight %s,%s is %g", n, m, v)
				}
			}
		}
	}
	actor.AccumulateGradient(choices, actor.Probabilities(choices), 0)
	if n := actor.draws; n != 1 {
		t.Fatalf("%d draws counted, want 1", n)
	}
	actor.Step(math.NaN(), nil)
	if math.IsNaN(actor.biases["a"]) {
		t.Error("a bias is NaN")
	}
}

// TestImbalance checks the thesis' cost: the differences of all ordered pairs, divided by N-1.
func TestImbalance(t *testing.T) {
	if got := Imbalance([]float64{1, 4, 6}); got != 2*(3+5+2)/2.0 {
		t.Errorf("wrong imbalance %g", got)
	}
	if Imbalance([]float64{5}) != 0 || Imbalance([]float64{2, 2, 2}) != 0 {
		t.Error("balanced loads have an imbalance")
	}
}

// TestDraw checks that each choice is drawn by its part of the numbers in [0, 1), and the last choice by
// all that remain.
func TestDraw(t *testing.T) {
	probabilities := []float64{0.25, 0.5, 0.25}
	for _, x := range []struct {
		uniform float64
		want    int
	}{{0, 0}, {0.2499, 0}, {0.25, 1}, {0.7499, 1}, {0.75, 2}, {0.9999, 2}} {
		if got := Draw(probabilities, x.uniform); got != x.want {
			t.Errorf("%g draws choice %d, want %d", x.uniform, got, x.want)
		}
	}
	// Rounding may make the sum of the probabilities less than one.
	if got := Draw([]float64{0.3, 0.3}, 0.99); got != 1 {
		t.Errorf("a number beyond the sum of the probabilities draws choice %d", got)
	}
}

// TestInitialPreference checks that a new actor prefers the least or the most load, as it was made.
func TestInitialPreference(t *testing.T) {
	choices := []Choice{{Name: "idle", Load: 0}, {Name: "busy", Load: 5}}
	least, most := NewLeastLoadedActor(), NewMostLoadedActor()
	if p := least.Probabilities(choices); p[0] <= p[1] {
		t.Errorf("actor for the least load: probabilities %v", p)
	}
	if p := most.Probabilities(choices); p[0] >= p[1] {
		t.Errorf("actor for the most load: probabilities %v", p)
	}
}

// TestPruning checks that names which are not alive are dropped, so that they have initial values if
// they come back.
func TestPruning(t *testing.T) {
	choices := []Choice{{Name: "a", Load: 30}, {Name: "b", Load: 20}}
	actor := NewLeastLoadedActor()
	actor.AccumulateGradient(choices, actor.Probabilities(choices), 0)
	actor.Step(1, map[string]bool{"a": true})
	if _, ok := actor.biases["a"]; !ok {
		t.Error("a name that is alive was dropped")
	}
	if _, ok := actor.biases["b"]; ok || actor.weights["b"] != nil || actor.weight("a", "b") != 0 {
		t.Error("a name that is not alive was kept")
	}
}

// TestCriticStep checks that the weights move along the features at the start of the window in
// proportion to the error, and that weights out of bounds are reset and returned.
func TestCriticStep(t *testing.T) {
	c := NewCritic()
	if c.HasWindow() {
		t.Error("a new critic has a window")
	}
	c.BeginWindow([]float64{1, 0.5, 0, 0})
	if !c.HasWindow() {
		t.Error("no window after BeginWindow")
	}
	if delta := c.TemporalDifference(-2, []float64{1, 0, 0, 0}); delta != -2 {
		t.Errorf("error %g of a critic with zero weights, want -2", delta)
	}
	if reset := c.Step(-2); reset != nil || !slices.Equal(c.Weights(), []float64{tuning.CriticRate * -2, tuning.CriticRate * -2 * 0.5, 0, 0}) {
		t.Errorf("after an error of -2: weights %v, reset %v", c.Weights(), reset)
	}
	value := c.Weights()[0]
	if got, want := c.TemporalDifference(0, []float64{1, 0, 0, 0}), tuning.Gamma*value-(value+0.5*c.Weights()[1]); math.Abs(got-want) > 1e-12 {
		t.Errorf("error %g, want %g", got, want)
	}
	if reset := c.Step(math.NaN()); !slices.Equal(reset, []int{0, 1, 2, 3}) || !slices.Equal(c.Weights(), make([]float64, 4)) {
		t.Errorf("after an error of NaN: weights %v, reset %v", c.Weights(), reset)
	}
	if reset := c.Step(tuning.WeightBound * 1.5 / tuning.CriticRate); !slices.Equal(reset, []int{0}) {
		t.Errorf("after an excessive error: reset %v", reset)
	}
}

// TestAverageWith checks that the mean is taken over the weights of equal length only.
func TestAverageWith(t *testing.T) {
	c := Critic{weights: []float64{1, 2, 3, 4}}
	c.AverageWith([][]float64{{3, 2, 1, 0}, {99}, nil})
	if !slices.Equal(c.Weights(), []float64{2, 2, 2, 2}) {
		t.Errorf("wrong weights after averaging: %v", c.Weights())
	}
}

// TestPayoff checks that imbalance and passes lower the payoff per machine, and that passes count in
// full without machines.
func TestPayoff(t *testing.T) {
	if got, want := Payoff(3, 8, 4), (-3-tuning.PassCost*2)*tuning.LoadScale; got != want {
		t.Errorf("payoff %g, want %g", got, want)
	}
	if got, want := Payoff(0, 2, 0), -2*tuning.PassCost*tuning.LoadScale; got != want {
		t.Errorf("payoff %g without machines, want %g", got, want)
	}
}

// TestFeatures checks the features: a constant, and the scaled mean, imbalance per machine and maximum.
func TestFeatures(t *testing.T) {
	features, imbalance := Features([]float64{1, 3})
	if imbalance != 2 || !slices.Equal(features, []float64{1, 2 * tuning.LoadScale, 2 * tuning.LoadScale, 3 * tuning.LoadScale}) {
		t.Errorf("wrong features %v or imbalance %g", features, imbalance)
	}
	if features, imbalance := Features(nil); imbalance != 0 || !slices.Equal(features, []float64{1, 0, 0, 0}) {
		t.Errorf("without machines: features %v, imbalance %g", features, imbalance)
	}
}
