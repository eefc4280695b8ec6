// Package policy is the online actor-critic by which controllers learn where to queue tasks
// and whom to steal from: a linear softmax policy per kind of decision (Actor), and one linear
// critic over the loads of all machines (Critic), whose temporal-difference error moves both.
//
// It follows the thesis named in docs/design.md under "Sources" (chapters 4 to 6). What is kept
// of it, what is changed and why stands there under "The ordinary path: kept, changed, why".
// All is a pure function of what is passed in: random numbers come from the caller.
package policy

import (
	"maps"
	"math"
	"slices"

	"brassglade/internal/tuning"
)

// Choice is one option of a draw: a machine's queue, or a whole shard at its mean load.
type Choice struct {
	Name string
	Load float64 // expected delay there, s
	Cost float64 // further delay and dearness of choosing it, s
	Ref  int     // what the caller means by it; the policy doesn't read it
}

// Actor is a linear softmax policy over choices that come and go: a weight for each pair of
// names and a bias for each name, with the starting values for names not met yet. It gathers
// the policy gradient of its draws until the next Step.
type Actor struct {
	initialSign     float64 // of the starting weight on a choice's own load
	weights         map[string]map[string]float64
	biases          map[string]float64
	weightGradients map[string]map[string]float64 // summed since the last step
	biasGradients   map[string]float64
	draws           int // since the last step, of those with something to choose
}

// NewLeastLoadedActor is an actor that at first prefers choices of least load.
func NewLeastLoadedActor() Actor { return newActor(1) }

// NewMostLoadedActor is an actor that at first prefers choices of most load.
func NewMostLoadedActor() Actor { return newActor(-1) }

func newActor(sign float64) Actor {
	return Actor{
		initialSign: sign, weights: map[string]map[string]float64{}, biases: map[string]float64{},
		weightGradients: map[string]map[string]float64{}, biasGradients: map[string]float64{},
	}
}

// weight is the entry of W by which the load of one choice counts for another.
func (a *Actor) weight(name, other string) float64 {
	if row, ok := a.weights[name]; ok {
		if weight, ok := row[other]; ok {
			return weight
		}
	}
	if name == other {
		return a.initialSign * tuning.LoadWeight
	}
	return 0
}

// Probabilities is softmax(W x + B - cost), x being the loads, over the choices that the
// mask left: those that can't be taken are not among them.
func (a *Actor) Probabilities(choices []Choice) []float64 {
	z := make([]float64, len(choices))
	top := math.Inf(-1)
	for i := range choices {
		z[i] = a.biases[choices[i].Name] - choices[i].Cost
		for j := range choices {
			z[i] += a.weight(choices[i].Name, choices[j].Name) * choices[j].Load
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

// Draw is the choice that a random number, uniform in [0, 1), stands for.
func Draw(probabilities []float64, uniform float64) int {
	k := 0
	for ; k < len(probabilities)-1; k++ {
		if uniform -= probabilities[k]; uniform < 0 {
			break
		}
	}
	return k
}

// AccumulateGradient adds the gradient of log pi, the logarithm of the probability of what was chosen.
// With one choice there is nothing to learn.
func (a *Actor) AccumulateGradient(choices []Choice, probabilities []float64, chosen int) {
	if len(choices) < 2 {
		return
	}
	a.draws++
	for i := range choices {
		gradient := -probabilities[i]
		if i == chosen {
			gradient++
		}
		a.biasGradients[choices[i].Name] += gradient
		row := a.weightGradients[choices[i].Name]
		if row == nil {
			row = map[string]float64{}
			a.weightGradients[choices[i].Name] = row
		}
		for j := range choices {
			row[choices[j].Name] += gradient * choices[j].Load * tuning.LoadScale
		}
	}
}

// Step moves the weights along the gathered gradients by the temporal-difference error, and
// forgets names that are not alive (nil: keeps all). Runaway or non-finite values go back to
// their start; it returns how many did.
func (a *Actor) Step(delta float64, alive map[string]bool) (reset int) {
	if a.draws > 0 && isBounded(delta/1e6) {
		reset = a.applyGradients(tuning.ActorRate * delta / float64(a.draws))
	}
	clear(a.weightGradients)
	clear(a.biasGradients)
	a.draws = 0
	if alive != nil {
		a.prune(alive)
	}
	return reset
}

// applyGradients adds the gathered gradients, so many times, to weights and biases.
func (a *Actor) applyGradients(rate float64) (reset int) {
	for _, name := range slices.Sorted(maps.Keys(a.weightGradients)) {
		if bias := a.biases[name] + rate*a.biasGradients[name]; isBounded(bias) {
			a.biases[name] = bias
		} else {
			delete(a.biases, name)
			reset++
		}
		if a.weights[name] == nil {
			a.weights[name] = map[string]float64{}
		}
		for other, gradient := range a.weightGradients[name] {
			if weight := a.weight(name, other) + rate*gradient; isBounded(weight) {
				a.weights[name][other] = weight
			} else {
				delete(a.weights[name], other)
				reset++
			}
		}
	}
	return reset
}

// prune drops the weights of names that are not alive.
func (a *Actor) prune(alive map[string]bool) {
	for name, row := range a.weights {
		if !alive[name] {
			delete(a.weights, name)
			delete(a.biases, name)
			continue
		}
		for other := range row {
			if !alive[other] {
				delete(row, other)
			}
		}
	}
}

// isBounded tells whether a value is finite and not a runaway.
func isBounded(value float64) bool {
	return !math.IsNaN(value) && math.Abs(value) <= tuning.WeightBound
}
