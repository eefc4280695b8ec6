package policy

import (
	"slices"

	"brassglade/internal/tuning"
)

// featureCount is the number of features of the critic.
const featureCount = 4

// Critic is a linear estimate of the discounted payoff to come from the loads of all
// machines as they are.
type Critic struct {
	weights     []float64 // by feature
	windowStart []float64 // features at the window's start; nil before the first window's end
}

// NewCritic is a critic that expects nothing yet.
func NewCritic() Critic { return Critic{weights: make([]float64, featureCount)} }

// Weights are the critic's weights, for the other controllers; the caller must not
// change them.
func (c *Critic) Weights() []float64 { return c.weights }

// HasWindow tells whether a window has begun, so that its end has an error.
func (c *Critic) HasWindow() bool { return c.windowStart != nil }

// BeginWindow notes the features at the start of a window.
func (c *Critic) BeginWindow(features []float64) { c.windowStart = features }

// value is the critic's estimate where the features are such.
func (c *Critic) value(features []float64) float64 {
	sum := 0.0
	for i := range c.weights {
		sum += c.weights[i] * features[i]
	}
	return sum
}

// TemporalDifference is the error of the critic over the window that ends: the payoff and
// the discounted (gamma) estimate at its end, less the estimate at its start.
func (c *Critic) TemporalDifference(payoff float64, features []float64) float64 {
	return payoff + tuning.Gamma*c.value(features) - c.value(c.windowStart)
}

// Step moves the weights by the temporal-difference error along the features at the window's
// start. It returns the indices of weights that ran away and went back to zero.
func (c *Critic) Step(delta float64) (reset []int) {
	for i := range c.weights {
		c.weights[i] += tuning.CriticRate * delta * c.windowStart[i]
		if !isBounded(c.weights[i]) {
			c.weights[i] = 0
			reset = append(reset, i)
		}
	}
	return reset
}

// AverageWith is the consensus step: the critic takes the mean of its own weights and the
// others'. Those of another length, as another version may have them, don't count.
func (c *Critic) AverageWith(others [][]float64) {
	sum := slices.Clone(c.weights)
	n := 1.0
	for _, weights := range others {
		if len(weights) != len(sum) {
			continue
		}
		for i := range sum {
			sum[i] += weights[i]
		}
		n++
	}
	for i := range sum {
		sum[i] /= n
	}
	c.weights = sum
}

// Features of the loads for the critic: a constant, the mean, the imbalance, the largest.
// They need no names, so they carry over when machines come and go. The second result is
// the imbalance per machine: the sum over all pairs grows with the number of machines,
// so critic and payoff both take it per machine, or fixed rates diverge.
func Features(loads []float64) (features []float64, imbalancePerMachine float64) {
	if len(loads) == 0 {
		return []float64{1, 0, 0, 0}, 0
	}
	mean, most := 0.0, 0.0
	for _, load := range loads {
		mean += load
		most = max(most, load)
	}
	mean /= float64(len(loads))
	imbalancePerMachine = Imbalance(loads) / float64(len(loads))
	const scale = tuning.LoadScale
	return []float64{1, mean * scale, imbalancePerMachine * scale, most * scale}, imbalancePerMachine
}

// Imbalance is the thesis' cost of N loads: 1/(N-1) times the summed |x_j - x_k| over
// all ordered pairs.
func Imbalance(loads []float64) float64 {
	if len(loads) < 2 {
		return 0
	}
	// In order, the i-th is larger than i others and smaller than the rest.
	sorted := slices.Sorted(slices.Values(loads))
	sum := 0.0
	for i, load := range sorted {
		sum += load * float64(2*i-len(sorted)+1)
	}
	return 2 * sum / float64(len(loads)-1)
}

// Payoff of a window: less the more imbalanced the machines are and the more tasks were
// passed between shards, per machine.
func Payoff(imbalancePerMachine float64, passes, machines int) float64 {
	return (-imbalancePerMachine - tuning.PassCost*float64(passes)/float64(max(machines, 1))) * tuning.LoadScale
}
