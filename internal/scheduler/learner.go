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
// arriving tasks, an actor for work stealing, and a critic whose temporal-difference error
// updates both at the end of each learning window.
type learner struct {
	arrivals      policy.Actor // chooses the machine on which a task queues, or the shard that receives it
	steals        policy.Actor // chooses the queue or the shard from which work is stolen
	critic        policy.Critic
	windowEndedAt time.Duration
	sequence      uint64 // number of the last window that ended
	handovers     int    // tasks handed over to other shards in this window
	finishedTasks int    // tasks of this controller's machines that ended in this window
}

func newLearner() learner {
	return learner{
		arrivals: policy.NewLeastLoadedActor(),
		steals:   policy.NewMostLoadedActor(),
		critic:   policy.NewCritic(),
	}
}

// recordFinish counts a task that ended in the current window.
func (l *learner) recordFinish() { l.finishedTasks++ }

// endLearningWindow ends the learning window if its time is over: it updates the weights by the
// loads of all machines and publishes this controller's loads for the other controllers.
func (c *Controller) endLearningWindow() {
	learner := &c.learner
	if !c.mayAct() || c.now < learner.windowEndedAt+tuning.Window {
		return
	}
	learner.windowEndedAt = c.now
	learner.sequence++
	loads := c.ownLoads()
	all, handovers := c.allLoads(loads)
	features, imbalance := policy.Features(all)
	if learner.critic.HasWindow() && c.cfg.Learn {
		c.updateWeights(features, imbalance, handovers, len(all))
	}
	learner.critic.BeginWindow(features)
	c.publishWindow(loads)
	learner.handovers, learner.finishedTasks = 0, 0
}

// ownLoads returns the loads of this controller's machines that take tasks, in seconds, rounded
// to 0.1 s. Machine names are left out: the critic's features don't need them, and with the
// names the record of a few hundred machines would exceed the size limit of its value.
func (c *Controller) ownLoads() []float64 {
	loads := []float64{}
	for _, name := range c.heartbeats.machineNames() {
		if m := c.heartbeats.machines[name]; c.acceptsTasks(m) {
			loads = append(loads, math.Round(c.load(m)*10)/10)
		}
	}
	return loads
}

// allLoads returns the loads of the machines of all serving controllers, in seconds, and the
// number of tasks that these controllers handed over in their windows. The values of other
// controllers are those that they last published.
func (c *Controller) allLoads(own []float64) (loads []float64, handovers int) {
	handovers = c.learner.handovers
	for _, controller := range c.cache.view.Serving {
		if controller == c.cfg.Controller {
			loads = append(loads, own...)
			continue
		}
		if window := c.cache.windows[controller]; window != nil {
			loads = append(loads, window.Loads...)
			handovers += window.Passes
		}
	}
	return loads, handovers
}

// currentChoiceNames returns the names that later draws can choose: this controller's own
// machines and the serving controllers. Weights of other names may be dropped.
func (c *Controller) currentChoiceNames() map[string]bool {
	names := map[string]bool{}
	for _, name := range c.heartbeats.machineNames() {
		if c.owns(name) {
			names[name] = true
		}
	}
	for _, controller := range c.cache.view.Serving {
		names[controller] = true
	}
	return names
}

// updateWeights takes the temporal-difference step of the critic and the actors. Every
// tuning.ConsensusWindows windows it also averages the critic with those of the other controllers.
func (c *Controller) updateWeights(features []float64, imbalance float64, handovers, machines int) {
	learner := &c.learner
	delta := learner.critic.TemporalDifference(policy.Payoff(imbalance, handovers, machines), features)
	for _, i := range learner.critic.Step(delta) {
		c.info("critic weight was too large or not finite and has been reset", "weight_index", i)
	}
	names := c.currentChoiceNames()
	if n := learner.arrivals.Step(delta, names) + learner.steals.Step(delta, names); n > 0 {
		c.info("policy weights were too large or not finite and have been reset", "count", n)
	}
	c.debug("learning window ended", "imbalance", imbalance, "handovers", handovers, "temporal_difference", delta, "finished_tasks", learner.finishedTasks, "critic_weights", learner.critic.Weights())
	if learner.sequence%tuning.ConsensusWindows == 0 {
		learner.critic.AverageWith(c.peerCriticWeights())
	}
}

// peerCriticWeights returns the critic weights of the other serving controllers, as last published.
func (c *Controller) peerCriticWeights() [][]float64 {
	var weights [][]float64
	for _, controller := range c.cache.view.Serving {
		if window := c.cache.windows[controller]; controller != c.cfg.Controller && window != nil {
			weights = append(weights, window.CriticWeights)
		}
	}
	return weights
}

// publishWindow writes this controller's record of the window that ended. A failed write is
// ignored, since the record of the next window replaces this one.
func (c *Controller) publishWindow(loads []float64) {
	learner := &c.learner
	value := c.encodeWindow(codec.WindowRecord{
		Sequence: learner.sequence, Loads: loads, Passes: learner.handovers, CriticWeights: learner.critic.Weights(),
	})
	c.commit(LaneIdle, domain.Transaction{
		Puts: []domain.Put{{Key: codec.PrefixWindow + c.cfg.Controller, Value: value}},
	}, func(domain.CommitResult, CommitAnswered) {})
}
