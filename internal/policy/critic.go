package policy

import (
	"slices"

	"brassglade/internal/tuning"
)

// featureCount is the number of features of the critic.
const featureCount = 4

// Critic is a linear estimate of the discounted future payoff, given the present loads of all machines.
type Critic struct {
	weights     []float64 // by feature, in the order of Features
	windowStart []float64 // features at the start of the window; nil before the first window
}

// NewCritic returns a critic whose weights, and so its estimates, are zero.
func NewCritic() Critic { return Critic{weights: make([]float64, featureCount)} }

// Weights returns the critic's weights, which are published to the other controllers. The caller must
// not modify them.
func (c *Critic) Weights() []float64 { return c.weights }

// HasWindow reports whether a window has begun. TemporalDifference and Step may only be called then.
func (c *Critic) HasWindow() bool { return c.windowStart != nil }

// BeginWindow records the features at the start of a window.
func (c *Critic) BeginWindow(features []float64) { c.windowStart = features }

// value returns the critic's estimate for the given features.
func (c *Critic) value(features []float64) float64 {
	sum := 0.0
	for i := range c.weights {
		sum += c.weights[i] * features[i]
	}
	return sum
}

// TemporalDifference returns the error of the critic over the window that ends: the payoff, plus the
// estimate at the end of the window discounted by tuning.Gamma, minus the estimate at its start.
func (c *Critic) TemporalDifference(payoff float64, features []float64) float64 {
	return payoff + tuning.Gamma*c.value(features) - c.value(c.windowStart)
}

// Step moves the weights along the features at the start of the window, in proportion to the
// temporal-difference error delta. It resets weights that are not finite or exceed
// tuning.WeightBound to zero, and returns their indices.
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

// AverageWith is the consensus step: it sets the critic's weights to the mean of its own and the
// others' weights. It ignores weights of a different length, which another version may have.
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

// Features returns the features of the loads for the critic: a constant, the mean, the imbalance per
// machine and the maximum. They don't depend on the names of machines, so they remain valid when
// machines are added or removed. The second result is the unscaled imbalance per machine. Both the
// critic and the payoff use it per machine, because the sum over all pairs grows with the number of
// machines and learning with fixed rates would diverge.
func Features(loads []float64) (features []float64, imbalancePerMachine float64) {
	if len(loads) == 0 {
		return []float64{1, 0, 0, 0}, 0
	}
	mean, maximum := 0.0, 0.0
	for _, load := range loads {
		mean += load
		maximum = max(maximum, load)
	}
	mean /= float64(len(loads))
	imbalancePerMachine = Imbalance(loads) / float64(len(loads))
	const scale = tuning.LoadScale
	return []float64{1, mean * scale, imbalancePerMachine * scale, maximum * scale}, imbalancePerMachine
}

// Imbalance returns the thesis' cost of N loads x: the sum of |x_j - x_k| over all ordered pairs,
// divided by N-1.
func Imbalance(loads []float64) float64 {
	if len(loads) < 2 {
		return 0
	}
	// In sorted order the i-th load is added i times and subtracted for each load after it.
	sorted := slices.Sorted(slices.Values(loads))
	sum := 0.0
	for i, load := range sorted {
		sum += load * float64(2*i-len(sorted)+1)
	}
	return 2 * sum / float64(len(loads)-1)
}

// Payoff returns the payoff of a window. It decreases with the imbalance and with the number of tasks
// passed between shards, each per machine.
func Payoff(imbalancePerMachine float64, passes, machines int) float64 {
	return (-imbalancePerMachine - tuning.PassCost*float64(passes)/float64(max(machines, 1))) * tuning.LoadScale
}
