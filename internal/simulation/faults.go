package simulation

import (
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// fault is an injected fault, or an unusual behaviour of users or machines, that lasts until a point
// of virtual time.
type fault struct {
	until       time.Duration
	probability float64       // of an injection each time the fault applies; 1: always
	maxDelay    time.Duration // maximum delay of a response; only for the fault "slow"
}

// startFault starts a fault, which is injected with the given probability each time it applies.
func (c *Cluster) startFault(name string, duration time.Duration, probability float64) {
	c.faults[name] = fault{until: c.Now + duration, probability: probability}
}

// shouldInject reports whether a fault is active and to be injected now, which is drawn at random
// if its probability is below 1.
func (c *Cluster) shouldInject(name string) bool {
	f, isActive := c.faults[name]
	return isActive && c.Now < f.until && (f.probability >= 1 || c.rng.Float64() < f.probability)
}

// occurred counts an occurrence by its description. Tests check the counts to be sure that faults
// took effect.
func (c *Cluster) occurred(description string) {
	c.occurrences[description]++
}

// replyWithDelay passes on a response, after a random delay while the fault "slow" is active.
func (c *Cluster) replyWithDelay(reply func(any), response any) {
	if slow := c.faults["slow"]; c.Now < slow.until {
		c.occurred("slow answer")
		c.after(time.Duration(c.rng.Int64N(int64(slow.maxDelay))), func() { reply(response) })
		return
	}
	reply(response)
}

// trackLeader records the leader of a new view. If it changed, the recorded heartbeats are sent to
// every controller, each after a random delay of 1 to 400 ms.
func (c *Cluster) trackLeader(value []byte) {
	var view domain.View
	if json.Unmarshal(value, &view) != nil || view.Leader == c.leader {
		return
	}
	if c.leader != "" {
		c.occurred("new leader")
	}
	c.leader = view.Leader
	recorded := c.recordedHeartbeats
	c.recordedHeartbeats = nil
	for _, heartbeat := range recorded {
		for _, p := range c.processes {
			c.after(time.Duration(1+c.rng.IntN(400))*time.Millisecond, func() {
				w := c.workersByName[heartbeat.Machine]
				if !w.isGone && (heartbeat.AgentEpoch < w.agentEpoch || heartbeat.Sequence < w.sequence) {
					c.occurred("old heartbeat under a new leader")
				}
				p.request(heartbeatRequest(heartbeat), ignoreReply)
			})
		}
	}
}

// heartbeatRequest returns the request by which a controller receives a machine's heartbeat.
func heartbeatRequest(heartbeat domain.Heartbeat) func(uint64) scheduler.Event {
	return func(requestID uint64) scheduler.Event {
		return scheduler.HeartbeatReceived{RequestID: requestID, Heartbeat: heartbeat}
	}
}

func ignoreReply(scheduler.Effect) {}

// hang makes a machine unresponsive for a duration. The calls deferred meanwhile run at its end.
func (w *worker) hang(duration time.Duration) {
	w.cluster.log("%s hangs", w.name)
	w.isHung = true
	w.cluster.after(duration, func() {
		if w.isGone {
			return
		}
		w.cluster.log("%s goes on", w.name)
		w.isHung = false
		deferred := w.deferredCalls
		w.deferredCalls = nil
		for _, f := range deferred {
			w.whenResponsive(f)
		}
	})
}

// preempt announces that the provider will preempt the machine after the notice period.
func (w *worker) preempt(notice time.Duration) {
	w.cluster.log("%s is recalled", w.name)
	w.preemptedAt = w.cluster.Now + notice
	w.scheduleHeartbeat()
	w.cluster.after(notice, func() {
		if !w.isGone {
			w.terminate("is taken")
		}
	})
}

// terminate removes a machine and all its tasks; reason is added to the trace.
func (w *worker) terminate(reason string) {
	w.cluster.log("%s %s", w.name, reason)
	w.isGone, w.goneAt = true, w.cluster.Now
	w.tasks = map[domain.TaskID]*task{}
}
