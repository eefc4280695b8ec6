// Package policy implements the online actor-critic method by which controllers learn where to queue
// tasks and from where to steal them. Each kind of decision has a linear softmax policy (Actor). One
// linear critic (Critic) estimates the value of the loads of all machines, and its temporal-difference
// error updates the weights of critic and actors.
//
// The method follows the thesis that docs/design.md names under "Sources" (chapters 4 to 6). The
// differences and their reasons are listed there under "The ordinary path: kept, changed, why". The
// package uses no clock and no random source: random numbers are passed in by the caller.
package policy

import (
	"maps"
	"math"
	"slices"

	"brassglade/internal/tuning"
)

// Choice is one option to draw from: the queue of a machine, or a whole shard with its mean load.
type Choice struct {
	Name string
	Load float64 // expected delay there, s
	Cost float64 // further delay and cost of choosing it, expressed in s
	Ref  int     // for use by the caller; ignored by the policy
}

// Actor is a linear softmax policy over a changing set of choices. It has a weight for each pair of
// names and a bias for each name; names that it has not learned yet have initial values. It
// accumulates the policy gradient of its draws until the next Step.
type Actor struct {
	initialSign     float64 // sign of the initial weight of a choice's own load
	weights         map[string]map[string]float64
	biases          map[string]float64
	weightGradients map[string]map[string]float64 // sums since the last step
	biasGradients   map[string]float64
	draws           int // number of draws from several choices since the last step
}

// NewLeastLoadedActor returns an actor that initially prefers the choices with the least load.
func NewLeastLoadedActor() Actor { return newActor(1) }

// NewMostLoadedActor returns an actor that initially prefers the choices with the most load.
func NewMostLoadedActor() Actor { return newActor(-1) }

func newActor(sign float64) Actor {
	return Actor{
		initialSign: sign, weights: map[string]map[string]float64{}, biases: map[string]float64{},
		weightGradients: map[string]map[string]float64{}, biasGradients: map[string]float64{},
	}
}

// weight returns the entry of the weight matrix W by which the load of the choice called other
// counts for the choice called name.
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

// Probabilities returns the probability of each choice: softmax(W x + B - cost), where x are the loads,
// W the weights and B the biases. The caller has already left out the choices that can't be taken.
func (a *Actor) Probabilities(choices []Choice) []float64 {
	logits := make([]float64, len(choices))
	largest := math.Inf(-1)
	for i := range choices {
		logits[i] = a.biases[choices[i].Name] - choices[i].Cost
		for j := range choices {
			logits[i] += a.weight(choices[i].Name, choices[j].Name) * choices[j].Load
		}
		largest = max(largest, logits[i])
	}
	sum := 0.0
	for i := range logits {
		logits[i] = math.Exp(logits[i] - largest)
		sum += logits[i]
	}
	for i := range logits {
		logits[i] /= sum
	}
	return logits
}

// Draw returns the index of the choice that is drawn by a random number, uniform in [0, 1).
func Draw(probabilities []float64, uniform float64) int {
	chosen := 0
	for ; chosen < len(probabilities)-1; chosen++ {
		if uniform -= probabilities[chosen]; uniform < 0 {
			break
		}
	}
	return chosen
}

// AccumulateGradient adds the gradient of log pi, where pi is the probability of the chosen choice. It
// ignores draws from a single choice, since there is nothing to learn from them.
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

// Step moves the weights and biases along the accumulated gradients, in proportion to the
// temporal-difference error delta. It resets values that are not finite or exceed
// tuning.WeightBound to their initial values, and returns how many these were. If delta is not a
// number or excessive, the weights stay as they are. In any case Step discards the gradients and the
// names that are not in alive; nil keeps all names.
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

// applyGradients adds the accumulated gradients, times rate, to the weights and biases. It returns the
// number of values that it reset.
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

// prune drops the weights and biases of names that are not alive.
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

// isBounded reports whether a value is a number and its magnitude at most tuning.WeightBound.
func isBounded(value float64) bool {
	return !math.IsNaN(value) && math.Abs(value) <= tuning.WeightBound
}
