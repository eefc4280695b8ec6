package simulation

import (
	"net/http"
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// replyAgeLimit is the age beyond which a machine drops the answer to a heartbeat.
const replyAgeLimit = 4 * time.Second

// minHeartbeatGap is the least time between two heartbeats that news brought about.
const minHeartbeatGap = 500 * time.Millisecond

// lateBootFactor is how many times as long machines take that come up late.
const lateBootFactor = 2

// worker is one machine with its agent.
type worker struct {
	cluster    *Cluster
	name, zone string
	isSpot     bool
	rentedAt   time.Duration
	isUp       bool
	isGone     bool
	goneAt     time.Duration
	tasks      map[domain.TaskID]*task

	agentEpoch     uint64 // of the agent's session; a lost lease begins a new one
	sequence       uint64 // of the last heartbeat made
	fencingToken   uint64 // the highest seen
	controller     int    // whom it sends heartbeats to, an index of the processes
	awaitsReply    bool   // to a heartbeat under way
	heartbeatAt    time.Duration
	leaseRenewedAt time.Duration // sending time of the last heartbeat that was answered
	acceptedAt     time.Duration // when it last got a 200

	isHung            bool
	deferredCalls     []func()      // what follows when it no longer hangs
	failsAllTasks     bool          // fails all that it starts
	preemptedAt       time.Duration // when the provider takes it back; < 0: no notice
	noInboundUntil    time.Duration // until then nothing reaches it, though its heartbeats arrive
	noOutboundUntil   time.Duration // until then it reaches no controller; commands reach it
	recordUntil       time.Duration // until then its heartbeats are kept for the next leader
	duplicateUntil    time.Duration // until then copies of its heartbeats come late
	maxDuplicateDelay time.Duration // at the most
}

// newWorker rents a machine, which boots for a while.
func newWorker(c *Cluster, name, zone string, spot bool) *worker {
	w := &worker{cluster: c, name: name, zone: zone, isSpot: spot, rentedAt: c.Now, agentEpoch: 1, tasks: map[domain.TaskID]*task{}, preemptedAt: -1}
	c.workers = append(c.workers, w)
	c.workersByName[name] = w
	boot := time.Duration(8000+c.rng.IntN(6000)) * time.Millisecond
	if c.shouldInject("quick") {
		boot = time.Duration(300+c.rng.IntN(1700)) * time.Millisecond
		c.occurred("up within two seconds")
	}
	if c.shouldInject("boots late " + zone) {
		boot *= lateBootFactor
		c.occurred("up late")
	}
	if c.shouldInject("boots never " + zone) {
		c.occurred("never up")
		return w
	}
	c.after(boot, func() {
		if w.isGone {
			return
		}
		w.isUp, w.leaseRenewedAt, w.controller = true, c.Now, c.rng.IntN(len(c.processes))
		w.heartbeatLoop()
		w.checkLease()
	})
	return w
}

// taskIDs lists the tasks that the machine knows, in order.
func (w *worker) taskIDs() []domain.TaskID {
	ids := make([]domain.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		return ids[a].Job < ids[b].Job || ids[a].Job == ids[b].Job && ids[a].Index < ids[b].Index
	})
	return ids
}

// whenResponsive runs f now, or when the machine no longer hangs.
func (w *worker) whenResponsive(f func()) {
	if w.isGone {
		return
	}
	if w.isHung {
		w.deferredCalls = append(w.deferredCalls, f)
		return
	}
	f()
}

// checkLease ends the session when no heartbeat was answered in time; also while the
// machine hangs, since its tasks are killed before anything else then.
func (w *worker) checkLease() {
	c := w.cluster
	if w.isGone {
		return
	}
	if c.Now-w.leaseRenewedAt > c.settings.WorkerLease {
		c.log("%s loses its lease, shift %d", w.name, w.agentEpoch+1)
		w.agentEpoch++
		w.tasks = map[domain.TaskID]*task{}
		w.leaseRenewedAt = c.Now
	}
	c.after(100*time.Millisecond, w.checkLease)
}

// heartbeatLoop sends heartbeats every three seconds or so.
func (w *worker) heartbeatLoop() {
	pause := time.Duration(2250+w.cluster.rng.IntN(1500)) * time.Millisecond
	w.cluster.after(pause, func() { w.whenResponsive(w.heartbeatLoop) })
	w.heartbeat()
}

// scheduleHeartbeat sends a heartbeat for some news.
func (w *worker) scheduleHeartbeat() {
	w.heartbeatAfter(max(0, minHeartbeatGap-(w.cluster.Now-w.heartbeatAt)))
}

func (w *worker) heartbeatAfter(pause time.Duration) {
	w.cluster.after(pause, func() { w.whenResponsive(w.heartbeat) })
}

// makeHeartbeat says what is on the machine.
func (w *worker) makeHeartbeat() domain.Heartbeat {
	w.sequence++
	heartbeat := domain.Heartbeat{Machine: w.name, Addr: w.name, Type: "box", Zone: w.zone, Spot: w.isSpot,
		AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken, PreemptionNotice: -1}
	if w.preemptedAt >= 0 {
		heartbeat.PreemptionNotice = max(0, (w.preemptedAt - w.cluster.Now).Seconds())
	}
	for _, id := range w.taskIDs() {
		t := w.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, domain.TaskReport{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return heartbeat
}

// heartbeat sends a heartbeat and does what the answer says, unless one is under way.
func (w *worker) heartbeat() {
	c := w.cluster
	if w.awaitsReply || w.isGone {
		return
	}
	w.awaitsReply, w.heartbeatAt = true, c.Now
	heartbeat := w.makeHeartbeat()
	sent, agentEpoch := c.Now, w.agentEpoch
	p := c.processes[w.controller]
	if c.Now < w.duplicateUntil {
		// A copy of the heartbeat comes late, here or to another controller.
		other := c.processes[c.rng.IntN(len(c.processes))]
		c.after(time.Duration(1+c.rng.Int64N(int64(w.maxDuplicateDelay))), func() {
			other.request(heartbeatRequest(heartbeat), ignoreReply)
		})
	}
	if c.Now < w.recordUntil {
		c.recordedHeartbeats = append(c.recordedHeartbeats, heartbeat)
	}
	c.call(w.name, p.name, replyAgeLimit, func(reply func(any)) {
		if c.Now < w.noOutboundUntil {
			return
		}
		p.request(heartbeatRequest(heartbeat), func(e scheduler.Effect) {
			if c.Now >= w.noInboundUntil {
				reply(e)
			}
		})
	}, func(answer any) {
		w.whenResponsive(func() {
			w.awaitsReply = false
			reply, _ := answer.(scheduler.HeartbeatReply)
			w.handleHeartbeatReply(reply, sent, agentEpoch)
		})
	})
}

// handleHeartbeatReply does what the answer to a heartbeat says, or turns to another controller.
func (w *worker) handleHeartbeatReply(reply scheduler.HeartbeatReply, sent time.Duration, agentEpoch uint64) {
	c := w.cluster
	switch reply.Status {
	case http.StatusOK:
		if agentEpoch != w.agentEpoch || reply.FencingToken < w.fencingToken || c.Now-sent > replyAgeLimit {
			return
		}
		w.fencingToken, w.leaseRenewedAt, w.acceptedAt = reply.FencingToken, sent, c.Now
		w.executeCommands(reply.Commands)
		return
	case http.StatusMisdirectedRequest: // another controller owns the machine
		for i, p := range c.processes {
			if p.name == reply.Owner && i != w.controller {
				w.controller = i
				w.heartbeatAfter(200 * time.Millisecond)
				return
			}
		}
	}
	w.controller = (w.controller + 1) % len(c.processes)
	w.heartbeatAfter(time.Second)
}

// receiveCommands carries out commands sent straight here.
func (w *worker) receiveCommands(e scheduler.SendCommands, reply func(any)) {
	if w.cluster.Now < w.noInboundUntil {
		return
	}
	w.whenResponsive(func() {
		if e.FencingToken >= w.fencingToken && e.AgentEpoch == w.agentEpoch {
			if w.cluster.Now < w.noOutboundUntil {
				w.cluster.occurred("commands to a mute machine")
			}
			w.fencingToken = e.FencingToken
			w.executeCommands(e.Commands)
		}
		reply(w.makeHeartbeat())
	})
}
