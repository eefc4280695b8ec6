package simulation

import (
	"net/http"
	"sort"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// replyAgeLimit is the time from a heartbeat beyond which a machine drops the reply to it.
const replyAgeLimit = 4 * time.Second

// minHeartbeatGap is the shortest time from a heartbeat to an extra one for a change on the machine.
const minHeartbeatGap = 500 * time.Millisecond

// lateBootFactor is the factor by which "boots ZONE late" extends the boot time.
const lateBootFactor = 2

// worker is a rented machine with its agent.
type worker struct {
	cluster    *Cluster
	name, zone string
	isSpot     bool
	rentedAt   time.Duration
	isUp       bool
	isGone     bool
	goneAt     time.Duration
	tasks      map[domain.TaskID]*task

	agentEpoch     uint64 // session of the agent; a lost lease starts a new one
	sequence       uint64 // sequence number of the last heartbeat made
	fencingToken   uint64 // the highest token seen
	controller     int    // index in Cluster.processes of the controller that it sends heartbeats to
	awaitsReply    bool   // a heartbeat is in flight
	heartbeatAt    time.Duration
	leaseRenewedAt time.Duration // when the last heartbeat accepted with status 200 was sent
	acceptedAt     time.Duration // when the last reply with status 200 was accepted

	isHung            bool
	deferredCalls     []func()      // calls to make when it no longer hangs
	failsAllTasks     bool          // action "sick"
	preemptedAt       time.Duration // when the cloud provider will take it; < 0: no notice given
	noInboundUntil    time.Duration // action "deaf": until then no reply or command reaches it
	noOutboundUntil   time.Duration // action "mute": until then its heartbeats reach no controller
	recordUntil       time.Duration // action "keep": until then its heartbeats are recorded for replay
	duplicateUntil    time.Duration // action "copies": until then delayed copies of its heartbeats are sent
	maxDuplicateDelay time.Duration // maximum delay of a copy
}

// newWorker adds a rented machine, which boots in 8 to 14 s unless a fault changes that.
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

// taskIDs returns the IDs of the machine's tasks, in order, including ended ones not yet forgotten.
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

// whenResponsive runs f now or, while the machine hangs, when it no longer does. It drops f if the
// machine is gone.
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

// checkLease ends the session and all tasks when no heartbeat was accepted within
// Settings.WorkerLease. It does so even while the machine hangs, since a machine kills its tasks
// before it does anything else when it resumes.
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

// heartbeatLoop sends a heartbeat every 2.25 to 3.75 s.
func (w *worker) heartbeatLoop() {
	pause := time.Duration(2250+w.cluster.rng.IntN(1500)) * time.Millisecond
	w.cluster.after(pause, func() { w.whenResponsive(w.heartbeatLoop) })
	w.heartbeat()
}

// scheduleHeartbeat schedules an extra heartbeat for a change on the machine, at least
// minHeartbeatGap after the last one.
func (w *worker) scheduleHeartbeat() {
	w.heartbeatAfter(max(0, minHeartbeatGap-(w.cluster.Now-w.heartbeatAt)))
}

func (w *worker) heartbeatAfter(pause time.Duration) {
	w.cluster.after(pause, func() { w.whenResponsive(w.heartbeat) })
}

// makeHeartbeat returns a new heartbeat with the state of the machine and its tasks.
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

// heartbeat sends a heartbeat and handles the reply, unless one is in flight.
func (w *worker) heartbeat() {
	c := w.cluster
	if w.awaitsReply || w.isGone {
		return
	}
	w.awaitsReply, w.heartbeatAt = true, c.Now
	heartbeat := w.makeHeartbeat()
	isTooLong := w.isTooLong("a heartbeat", reportSize(&heartbeat))
	sent, agentEpoch := c.Now, w.agentEpoch
	p := c.processes[w.controller]
	if c.Now < w.duplicateUntil {
		// Send a delayed copy of the heartbeat to any controller.
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
		if isTooLong {
			reply(scheduler.HeartbeatReply{Status: http.StatusBadRequest})
			return
		}
		p.request(heartbeatRequest(heartbeat), func(e scheduler.Effect) {
			if c.Now >= w.noInboundUntil {
				reply(e)
			}
		})
	}, func(response any) {
		w.whenResponsive(func() {
			w.awaitsReply = false
			reply, _ := response.(scheduler.HeartbeatReply)
			w.handleHeartbeatReply(w.checkReplySize(reply), sent, agentEpoch)
		})
	})
}

// handleHeartbeatReply executes the commands of a reply, or selects another controller if there is
// no reply with status 200. It drops replies for an earlier session, with an old fencing token or
// older than replyAgeLimit.
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

// receiveCommands executes commands that a controller sent directly, unless they are for another
// session or have an old fencing token, and replies with a heartbeat. It doesn't read a request
// that is too long.
func (w *worker) receiveCommands(e scheduler.SendCommands, reply func(any)) {
	if w.cluster.Now < w.noInboundUntil || w.isTooLong("a request with commands", commandsSize(e.Commands)) {
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
