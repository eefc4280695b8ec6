package scheduler

import (
	"math"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/policy"
	"brassglade/internal/tuning"
)

// learner is the online actor-critic of one controller (package policy): an actor for
// arrivals, one for steals, and the critic that moves both at the end of each window.
type learner struct {
	arrivals      policy.Actor // where tasks queue, and to which shards they are passed
	steals        policy.Actor // from which queues and shards work is stolen
	critic        policy.Critic
	windowEndedAt time.Duration
	sequence      uint64 // of the window that ended last
	passes        int    // tasks handed over to other shards in this window
	finishes      int    // tasks that ended in this window
}

func newLearner() learner {
	return learner{
		arrivals: policy.NewLeastLoadedActor(),
		steals:   policy.NewMostLoadedActor(),
		critic:   policy.NewCritic(),
	}
}

// recordFinish counts a task that ended.
func (l *learner) recordFinish() { l.finishes++ }

// endLearningWindow ends windows: learns from the loads of all machines and publishes this
// controller's loads for the others.
func (c *Controller) endLearningWindow() {
	learner := &c.learner
	if !c.mayAct() || c.now < learner.windowEndedAt+tuning.Window {
		return
	}
	learner.windowEndedAt = c.now
	learner.sequence++
	loads := c.ownLoads()
	all, passes := c.allLoads(loads)
	features, imbalance := policy.Features(all)
	if learner.critic.HasWindow() && c.cfg.Learn {
		c.learn(features, imbalance, passes, len(all))
	}
	learner.critic.BeginWindow(features)
	c.publishWindow(loads)
	learner.passes, learner.finishes = 0, 0
}

// ownLoads are the loads of this controller's machines that take tasks, rounded to 0.1 s.
// They go without names: the critic's features need none, and with them the record
// of a few hundred machines would not fit its value.
func (c *Controller) ownLoads() []float64 {
	loads := []float64{}
	for _, name := range c.heartbeats.machineNames() {
		if m := c.heartbeats.machines[name]; c.takesTasks(m) {
			loads = append(loads, math.Round(c.load(m)*10)/10)
		}
	}
	return loads
}

// allLoads are the loads of all serving controllers' machines, and the tasks that these
// passed: own ones as they are, the others' as they last published them.
func (c *Controller) allLoads(own []float64) (loads []float64, passes int) {
	passes = c.learner.passes
	for _, node := range c.cache.view.Serving {
		if node == c.cfg.Controller {
			loads = append(loads, own...)
			continue
		}
		if window := c.cache.windows[node]; window != nil {
			loads = append(loads, window.Loads...)
			passes += window.Passes
		}
	}
	return loads, passes
}

// choicesAlive are the names that draws may meet again: own machines and serving controllers.
func (c *Controller) choicesAlive() map[string]bool {
	alive := map[string]bool{}
	for _, name := range c.heartbeats.machineNames() {
		if c.owns(name) {
			alive[name] = true
		}
	}
	for _, node := range c.cache.view.Serving {
		alive[node] = true
	}
	return alive
}

// learn takes the temporal-difference step of critic and actors, and the consensus step of
// the critic every ConsensusEvery windows.
func (c *Controller) learn(features []float64, imbalance float64, passes, machines int) {
	learner := &c.learner
	delta := learner.critic.TemporalDifference(policy.Payoff(imbalance, passes, machines), features)
	for _, i := range learner.critic.Step(delta) {
		c.info("critic weight reset", "i", i)
	}
	alive := c.choicesAlive()
	if n := learner.arrivals.Step(delta, alive) + learner.steals.Step(delta, alive); n > 0 {
		c.info("policy weights reset", "count", n)
	}
	c.debug("window", "imbalance", imbalance, "passes", passes, "delta", delta, "finishes", learner.finishes, "theta", learner.critic.Weights())
	if learner.sequence%tuning.ConsensusEvery == 0 {
		learner.critic.AverageWith(c.othersCriticWeights())
	}
}

// othersCriticWeights are the critics of the other serving controllers, as last published.
func (c *Controller) othersCriticWeights() [][]float64 {
	var weights [][]float64
	for _, node := range c.cache.view.Serving {
		if window := c.cache.windows[node]; node != c.cfg.Controller && window != nil {
			weights = append(weights, window.CriticWeights)
		}
	}
	return weights
}

// publishWindow writes this controller's record of the window that ended. Nothing depends
// on whether the write succeeds: the next one comes soon.
func (c *Controller) publishWindow(loads []float64) {
	learner := &c.learner
	value := c.encodeWindow(codec.WindowRecord{
		Sequence: learner.sequence, Loads: loads, Passes: learner.passes, CriticWeights: learner.critic.Weights(),
	})
	c.commit(LaneIdle, domain.Transaction{
		Puts: []domain.Put{{Key: codec.PrefixWindow + c.cfg.Controller, Value: value}},
	}, func(domain.CommitResult, CommitAnswered) {})
}
