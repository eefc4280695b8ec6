package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

type pendingHeartbeat struct {
	machine    string
	requestID  uint64
	sequence   uint64
	agentEpoch uint64
	answerBy   time.Duration
}

// worthDelaying: an answer given now would soon have had orders in it. A machine
// that has to wait for its next report starts its next task seconds later.
func (c *Controller) worthDelaying(m *Machine) bool {
	if c.commits.taskCommit != nil && c.commits.machines[m.Name] {
		return true // the commit in flight concerns it
	}
	for id := range c.cache.bookedOn[m.Name] {
		if s, ok := m.reported[id]; !ok || s.Attempt != c.cache.jobs[id.Job].task(id.Index).Attempt {
			return false // something to start
		}
	}
	if len(m.queue) > 0 && c.isBookable(m) || c.hasUncommittedEnds(m) {
		return true
	}
	// Room for a small task: the next one may come any moment.
	if !c.isBookable(m) || c.isReserved(m.Name) && len(m.reported) > 0 {
		return false
	}
	f := c.machineType(m.Type)
	return len(m.reported) == 0 || c.freeOn(m.Name, f.Capacity, nil).Fits(domain.Resources{CPU: f.Capacity.CPU / 8, GPU: f.Capacity.GPU / 8, Memory: f.Capacity.Memory / 8})
}

// hasUncommittedEnds: m reports ended tasks whose outcome is not committed yet.
func (c *Controller) hasUncommittedEnds(m *Machine) bool {
	for _, s := range m.reported {
		if s.State == domain.ReportedEnded && c.isBooking(m, s) {
			return true
		}
	}
	return false
}

// answerHeartbeat says 200 with the orders that follow from committed state alone.
func (c *Controller) answerHeartbeat(h *pendingHeartbeat) {
	if c.heartbeats.pending[h.machine] == h {
		delete(c.heartbeats.pending, h.machine)
	}
	m := c.heartbeats.machines[h.machine]
	if m == nil || !c.mayAct() || !c.owns(h.machine) || c.guard(GuardDead) && h.agentEpoch <= m.abandonedEpoch || h.agentEpoch != m.agentEpoch ||
		c.cache.cordons[h.machine].State == domain.CordonGone {
		c.emit(HeartbeatReply{RequestID: h.requestID, Status: 503})
		return
	}
	orders := c.commandsFor(m, h.sequence)
	m.answeredAt, m.sentToken = c.now, c.cache.view.Epoch
	c.logCommands(m, orders)
	c.emit(HeartbeatReply{RequestID: h.requestID, Status: 200, FencingToken: c.cache.view.Epoch, Commands: orders})
}

// logCommands says for each start and stop why it was allowed: under which view, as of
// which revision, and how long ago both were confirmed.
func (c *Controller) logCommands(m *Machine, orders []domain.Command) {
	for _, o := range orders {
		if o.Kind == domain.ForgetTask {
			continue
		}
		c.debug("order", "verb", o.Kind, "task", o.Task, "machine", m.Name, "attempt", o.Attempt, "reason", o.Reason,
			"session", m.agentEpoch, "epoch", c.cache.view.Epoch, "revision", c.cache.revision, "confirmed_s", (c.now - c.membership.Confirmed().Time()).Seconds())
	}
}

// commandsFor for m: halts first, then clears, then runs. A run goes out only for
// a committed booking of this session whose release was never attempted.
func (c *Controller) commandsFor(m *Machine, tally uint64) []domain.Command {
	var halts, clears, runs []domain.Command
	for _, id := range sortedTasks(m.reported) {
		s := m.reported[id]
		if s.State == domain.ReportedEnded {
			if !c.isBooking(m, s) || !c.guard(GuardClear) {
				clears = append(clears, domain.Command{Kind: domain.ForgetTask, Task: id, Attempt: s.Attempt, Reason: domain.ReasonSettled})
			}
			continue
		}
		if o, ok := c.stopCommand(m, s); ok {
			halts = append(halts, o)
		}
	}
	for _, id := range sortedTasks(c.cache.bookedOn[m.Name]) {
		j := c.cache.jobs[id.Job]
		t := j.task(id.Index)
		k := attemptID{id, t.Attempt}
		if s, ok := m.reported[id]; ok && s.Attempt == t.Attempt {
			continue
		}
		if j.Header.StopThrough >= t.Attempt && j.Header.StopThrough > 0 {
			continue
		}
		if t.AgentEpoch != m.agentEpoch || j.Header.State != domain.StateOpen || c.planner.pendingReleases[k] && c.guard(GuardDoom) || m.preemptionAt >= 0 || c.planner.preempted[k] || c.isEvicting(m.Name) && !reservesMachines(j.Header.Spec) || !c.gangIntact(j, t) {
			continue
		}
		m.startsSent[k] = tally
		runs = append(runs, domain.Command{Kind: domain.StartTask, Task: id, Attempt: t.Attempt, Reason: domain.ReasonBooked})
	}
	return slices.Concat(halts, clears, runs)
}

// stopCommand tells whether a live task on m has to be stopped, and how.
func (c *Controller) stopCommand(m *Machine, s domain.TaskReport) (domain.Command, bool) {
	o := domain.Command{Kind: domain.StopTask, Task: s.Task, Attempt: s.Attempt, Reason: domain.ReasonNotBooked}
	j := c.cache.jobs[s.Task.Job]
	if j == nil || j.final() || !c.isBooking(m, s) {
		return o, true // nobody has any use for it
	}
	t := j.task(s.Task.Index)
	sp := j.Header.Spec
	if !c.gangIntact(j, t) {
		o.Reason = domain.ReasonGangBroken
		return o, s.State != domain.ReportedSaving
	}
	mark := c.cache.cordons[m.Name]
	if sp.Shape == domain.Gang && sp.TaskCount > 1 {
		// Its progress is saved only if all are told together: the header
		// tells every owner (planGangStops).
		o.GraceSeconds, o.Reason = sp.CheckpointCost+2, domain.ReasonGangStop
		return o, j.Header.StopThrough >= t.Attempt && s.State != domain.ReportedSaving
	}
	switch {
	case c.isEvicting(m.Name) && !reservesMachines(sp), c.planner.preempted[attemptID{s.Task, s.Attempt}]:
		o.GraceSeconds, o.Reason = sp.CheckpointCost+2, domain.ReasonPreempted
		return o, s.State != domain.ReportedSaving
	case m.preemptionAt >= 0:
		o.Reason = domain.ReasonPreemptionNotice
		left := (m.preemptionAt - c.now - tuning.PreemptionMargin).Seconds()
		if s.State == domain.ReportedSaving {
			return o, false
		}
		// Let a task without checkpoints run on: it may still finish.
		if sp.CheckpointInterval <= 0 || sp.CheckpointCost <= 0 {
			return o, false
		}
		// Run on for as long as saving still fits before the recall, whose
		// length may be half of what was said.
		o.GraceSeconds = max(left, sp.CheckpointCost)
		return o, left/2 <= sp.CheckpointCost+4
	case mark.State == domain.CordonDrain && mark.Reason != domain.DrainIdle && s.State != domain.ReportedSaving:
		o.GraceSeconds, o.Reason = sp.CheckpointCost+2, domain.ReasonDraining
		return o, true
	}
	return o, false
}

// gangIntact: a gang's task is on only while all tasks of its attempt are
// booked; otherwise the rest is stopped, and a new attempt starts all.
func (c *Controller) gangIntact(j *Job, t domain.Task) bool {
	if j.Header.Spec.Shape != domain.Gang || j.Header.Spec.TaskCount == 1 {
		return true
	}
	for i := range j.Tasks {
		if o := j.Tasks[i]; o.State == domain.Queued || o.State == domain.Booked && o.Attempt != t.Attempt {
			return false
		}
	}
	return true
}

// answerPendingHeartbeats answers held check-ins once there is nothing more to wait for.
// Hundreds are held at a time, and events come for each: only those that the
// event touched are looked at again, and all of them once a pace.
func (c *Controller) answerPendingHeartbeats() {
	if len(c.heartbeats.pending) == 0 {
		clear(c.heartbeats.touched)
		return
	}
	var names []string
	if c.now >= c.heartbeats.nextReviewAt {
		c.heartbeats.nextReviewAt = c.now + c.pace()
		names = slices.Sorted(maps.Keys(c.heartbeats.pending))
	} else {
		if len(c.heartbeats.touched) == 0 {
			return
		}
		names = slices.Sorted(maps.Keys(c.heartbeats.touched))
	}
	clear(c.heartbeats.touched)
	c.Work.PendingHeartbeats += len(names)
	for _, n := range names {
		h := c.heartbeats.pending[n]
		if h == nil {
			continue
		}
		if m := c.heartbeats.machines[n]; m == nil || c.now >= h.answerBy || !c.worthDelaying(m) {
			c.answerHeartbeat(h)
		}
	}
}

// sendDirectStops sends halts of cancelled work straight to the worker; they may
// arrive late, which does no harm, and are repeated by check-ins.
func (c *Controller) sendDirectStops(m *Machine) {
	if c.now < m.nextDirectStopAt || m.Addr == "" {
		return
	}
	var halts []domain.Command
	for _, id := range sortedTasks(m.reported) {
		s := m.reported[id]
		if s.State == domain.ReportedEnded {
			continue
		}
		if o, ok := c.stopCommand(m, s); ok && !(s.State == domain.ReportedSaving && o.GraceSeconds > 0) {
			halts = append(halts, o)
		}
	}
	if len(halts) > 0 {
		m.nextDirectStopAt = c.now + tuning.StopRepeat
		c.logCommands(m, halts)
		c.emit(SendCommands{Machine: m.Name, Addr: m.Addr, FencingToken: c.cache.view.Epoch, AgentEpoch: m.agentEpoch, Commands: halts})
	}
}
