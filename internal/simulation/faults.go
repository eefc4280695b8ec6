package simulation

import (
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// fault is on for a while and strikes a share of what it may strike.
type fault struct {
	until       time.Duration
	probability float64       // chance to strike; 1: always
	maxDelay    time.Duration // how much later answers come at the most, for "slow" alone
}

// startFault puts a trouble on from now.
func (c *Cluster) startFault(name string, lasting time.Duration, share float64) {
	c.faults[name] = fault{until: c.Now + lasting, probability: share}
}

// shouldInject tells whether a trouble is on and chance wills it.
func (c *Cluster) shouldInject(name string) bool {
	t, isOn := c.faults[name]
	return isOn && c.Now < t.until && (t.probability >= 1 || c.rng.Float64() < t.probability)
}

// occurred counts something that troubles brought about.
func (c *Cluster) occurred(what string) {
	c.occurrences[what]++
}

// replyWithDelay answers, later than usual while the state service is slow.
func (c *Cluster) replyWithDelay(reply func(any), answer any) {
	if slow := c.faults["slow"]; c.Now < slow.until {
		c.occurred("slow answer")
		c.after(time.Duration(c.rng.Int64N(int64(slow.maxDelay))), func() { reply(answer) })
		return
	}
	reply(answer)
}

// trackLeader notices a change of leader: kept heartbeats reach every controller then.
func (c *Cluster) trackLeader(value []byte) {
	var view domain.View
	if json.Unmarshal(value, &view) != nil || view.Leader == c.leader {
		return
	}
	if c.leader != "" {
		c.occurred("new leader")
	}
	c.leader = view.Leader
	kept := c.recordedHeartbeats
	c.recordedHeartbeats = nil
	for _, heartbeat := range kept {
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

// heartbeatRequest is a machine's heartbeat as a controller receives it.
func heartbeatRequest(heartbeat domain.Heartbeat) func(uint64) scheduler.Event {
	return func(requestID uint64) scheduler.Event {
		return scheduler.HeartbeatReceived{RequestID: requestID, Heartbeat: heartbeat}
	}
}

func ignoreReply(scheduler.Effect) {}

// hang makes a machine stand still for a while; what was to happen on it follows then.
func (w *worker) hang(lasting time.Duration) {
	w.cluster.log("%s hangs", w.name)
	w.isHung = true
	w.cluster.after(lasting, func() {
		if w.isGone {
			return
		}
		w.cluster.log("%s goes on", w.name)
		w.isHung = false
		paused := w.deferredCalls
		w.deferredCalls = nil
		for _, f := range paused {
			w.whenResponsive(f)
		}
	})
}

// preempt gives notice that the provider takes the machine back.
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

// terminate ends a machine with all that is on it.
func (w *worker) terminate(how string) {
	w.cluster.log("%s %s", w.name, how)
	w.isGone, w.goneAt = true, w.cluster.Now
	w.tasks = map[domain.TaskID]*task{}
}
