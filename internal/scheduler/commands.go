package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

const (
	// saveSlackSeconds are added to what saving costs when a task is told to save and stop.
	saveSlackSeconds = 2
	// preemptionSaveSlackSeconds is the same before the cloud takes the machine.
	preemptionSaveSlackSeconds = 4
	// smallTaskShare: a task that needs one part in so many of a machine is small.
	smallTaskShare = 8
)

// pendingHeartbeat is a heartbeat whose answer waits for commands that are on their way.
type pendingHeartbeat struct {
	machine    string
	requestID  uint64
	sequence   uint64
	agentEpoch uint64
	answerBy   time.Duration // steady time at which it is answered in any case
}

// worthDelaying tells whether an answer given now would soon have had commands in it. A
// machine that has to wait for its next heartbeat starts its next task seconds later.
func (c *Controller) worthDelaying(m *Machine) bool {
	if c.commits.taskCommit != nil && c.commits.machines[m.Name] {
		return true // the commit in flight concerns it
	}
	if c.cache.hasUnstartedBooking(m) {
		return false
	}
	bookable := c.isBookable(m)
	if len(m.queue) > 0 && bookable || c.cache.hasUncommittedEnds(m) {
		return true
	}
	if !bookable || c.isReserved(m.Name) && len(m.reported) > 0 {
		return false
	}
	return len(m.reported) == 0 || c.cache.hasRoomForSmallTask(m)
}

// hasUnstartedBooking tells whether a task is booked on m that m doesn't report: there is
// something to start.
func (c *cache) hasUnstartedBooking(m *Machine) bool {
	for id := range c.bookedOn[m.Name] {
		if !m.lists(attemptID{id, c.jobs[id.Job].task(id.Index).Attempt}) {
			return true
		}
	}
	return false
}

// hasUncommittedEnds tells whether m reports ended tasks whose outcome isn't committed yet.
func (c *cache) hasUncommittedEnds(m *Machine) bool {
	for _, s := range m.reported {
		if s.State == domain.ReportedEnded && c.isBooking(m, s) {
			return true
		}
	}
	return false
}

// hasRoomForSmallTask tells whether a small task has room on m: the next one may come any
// moment.
func (c *cache) hasRoomForSmallTask(m *Machine) bool {
	capacity := c.machineType(m.Type).Capacity
	small := domain.Resources{
		CPU: capacity.CPU / smallTaskShare, GPU: capacity.GPU / smallTaskShare, Memory: capacity.Memory / smallTaskShare,
	}
	return c.freeOn(m.Name, capacity, nil).Fits(small)
}

// answerHeartbeat says 200 with the commands that follow from committed state alone, or 503
// if that may not be said any more.
func (c *Controller) answerHeartbeat(h *pendingHeartbeat) {
	if c.heartbeats.pending[h.machine] == h {
		delete(c.heartbeats.pending, h.machine)
	}
	m := c.heartbeats.machines[h.machine]
	if m == nil || !c.mayAnswer(m, h) {
		c.emit(HeartbeatReply{RequestID: h.requestID, Status: 503})
		return
	}
	commands := c.commandsFor(m, h.sequence)
	m.answeredAt, m.sentToken = c.now, c.cache.view.Epoch
	c.logCommands(m, commands)
	c.emit(HeartbeatReply{RequestID: h.requestID, Status: 200, FencingToken: c.cache.view.Epoch, Commands: commands})
}

// mayAnswer tells whether a heartbeat that was accepted may still be answered with 200.
func (c *Controller) mayAnswer(m *Machine, h *pendingHeartbeat) bool {
	return c.mayAct() && c.owns(h.machine) && !c.isAbandoned(m, h.agentEpoch) &&
		h.agentEpoch == m.agentEpoch && !c.cache.isReturned(h.machine)
}

// logCommands says for each start and stop why it was allowed: under which view, as of
// which revision, and how long ago both were confirmed.
func (c *Controller) logCommands(m *Machine, commands []domain.Command) {
	for _, o := range commands {
		if o.Kind == domain.ForgetTask {
			continue
		}
		c.debug("command", "kind", o.Kind, "task", o.Task, "machine", m.Name, "attempt", o.Attempt, "reason", o.Reason,
			"agent_epoch", m.agentEpoch, "epoch", c.cache.view.Epoch, "revision", c.cache.revision,
			"confirmed_s", (c.now - c.membership.Confirmed().Time()).Seconds())
	}
}

// commandsFor lists the commands for m: stops first, then what it may forget, then starts,
// so that room is made before it is used. The sequence is that of the heartbeat answered.
func (c *Controller) commandsFor(m *Machine, sequence uint64) []domain.Command {
	stops, forgets := c.commandsForReported(m)
	return slices.Concat(stops, forgets, c.startsFor(m, sequence))
}

// commandsForReported are the stops of tasks that m reports as live, and the commands to
// forget ended ones. An ended task is forgotten only once its outcome is committed: its
// start, sent again to an agent that doesn't know it any more, would begin it anew.
func (c *Controller) commandsForReported(m *Machine) (stops, forgets []domain.Command) {
	for _, id := range sortedTasks(m.reported) {
		s := m.reported[id]
		if s.State != domain.ReportedEnded {
			if stop, ok := c.stopCommand(m, s); ok {
				stops = append(stops, stop)
			}
			continue
		}
		if !c.cache.isBooking(m, s) || !c.guard(GuardForget) {
			forgets = append(forgets, domain.Command{Kind: domain.ForgetTask, Task: id, Attempt: s.Attempt, Reason: domain.ReasonSettled})
		}
	}
	return stops, forgets
}

// startsFor are the starts of what is booked on m and may start.
func (c *Controller) startsFor(m *Machine, sequence uint64) []domain.Command {
	var starts []domain.Command
	for _, id := range sortedTasks(c.cache.bookedOn[m.Name]) {
		j := c.cache.jobs[id.Job]
		t := j.task(id.Index)
		if c.whyNotStart(m, j, id, t) != startAllowed {
			continue
		}
		m.startsSent[attemptID{id, t.Attempt}] = sequence
		starts = append(starts, domain.Command{Kind: domain.StartTask, Task: id, Attempt: t.Attempt, Reason: domain.ReasonBooked})
	}
	return starts
}

// startRefusal is why a booked task isn't started.
type startRefusal int

const (
	startAllowed     startRefusal = iota
	alreadyThere                  // the machine reports the attempt
	gangStopped                   // the header stops this attempt of the gang everywhere
	otherEpoch                    // booked in another agent epoch than the machine's present one
	jobClosed                     // the job is cancelled or over
	releaseTried                  // the release's transaction may land late (invariant 4 of docs/design.md)
	machineTaken                  // the cloud takes the machine back
	attemptPreempted              // other work needs its room
	machineCleared                // the machine is emptied for a task that needs all of it
	gangBroken                    // not all tasks of the gang's attempt are booked
)

// whyNotStart tells whether t, which is booked on m, may be started there. Only a committed
// booking of the present agent epoch is, and only if its release was never tried.
func (c *Controller) whyNotStart(m *Machine, j *Job, id domain.TaskID, t domain.Task) startRefusal {
	attempt := attemptID{id, t.Attempt}
	switch {
	case m.lists(attempt):
		return alreadyThere
	case j.isStopped(t):
		return gangStopped
	case t.AgentEpoch != m.agentEpoch:
		return otherEpoch
	case j.Header.State != domain.StateOpen:
		return jobClosed
	case c.planner.pendingReleases[attempt] && c.guard(GuardPendingRelease):
		return releaseTried
	case m.preemptionAt >= 0:
		return machineTaken
	case c.planner.preempted[attempt]:
		return attemptPreempted
	case c.isEvictedFrom(m, j.Header.Spec):
		return machineCleared
	case !gangIntact(j, t):
		return gangBroken
	}
	return startAllowed
}

// isStopped tells whether the job's header stops the attempt that t is booked for.
func (j *Job) isStopped(t domain.Task) bool {
	return j.Header.StopThrough > 0 && j.Header.StopThrough >= t.Attempt
}

// isEvictedFrom tells whether the machine is emptied of the job's tasks for a task that
// needs all of it.
func (c *Controller) isEvictedFrom(m *Machine, sp *domain.JobSpec) bool {
	return c.isEvicting(m.Name) && !reservesMachines(sp)
}

// stopCommand tells whether a live task on m has to be stopped, and how. What is being
// saved is not told to save once more.
func (c *Controller) stopCommand(m *Machine, s domain.TaskReport) (domain.Command, bool) {
	stop := domain.Command{Kind: domain.StopTask, Task: s.Task, Attempt: s.Attempt, Reason: domain.ReasonNotBooked}
	j := c.cache.jobs[s.Task.Job]
	if j == nil || j.final() || !c.cache.isBooking(m, s) {
		return stop, true // nobody has any use for it
	}
	t, sp := j.task(s.Task.Index), j.Header.Spec
	saves := s.State == domain.ReportedSaving
	switch {
	case !gangIntact(j, t):
		stop.Reason = domain.ReasonGangBroken
		return stop, !saves
	case isTogether(sp):
		// Its progress is saved only if all are told together: the header tells
		// every owner (planGangStops).
		return saveAndStop(stop, sp, domain.ReasonGangStop), j.Header.StopThrough >= t.Attempt && !saves
	case c.isEvictedFrom(m, sp), c.planner.preempted[attemptID{s.Task, s.Attempt}]:
		return saveAndStop(stop, sp, domain.ReasonPreempted), !saves
	case m.preemptionAt >= 0:
		return c.stopBeforePreemption(m, stop, sp, saves)
	case c.cache.drainsRunning(m) && !saves:
		return saveAndStop(stop, sp, domain.ReasonDraining), true
	}
	return stop, false
}

// saveAndStop gives a stop its reason and a grace in which the task can save its progress.
func saveAndStop(stop domain.Command, sp *domain.JobSpec, reason domain.CommandReason) domain.Command {
	stop.GraceSeconds, stop.Reason = sp.CheckpointCost+saveSlackSeconds, reason
	return stop
}

// stopBeforePreemption tells whether a task has to save now since the cloud takes its
// machine. One without checkpoints runs on, since it may still finish; another for as long
// as saving still fits before the end, which may come after half of what was said.
func (c *Controller) stopBeforePreemption(m *Machine, stop domain.Command, sp *domain.JobSpec, saves bool) (domain.Command, bool) {
	stop.Reason = domain.ReasonPreemptionNotice
	if saves || sp.CheckpointInterval <= 0 || sp.CheckpointCost <= 0 {
		return stop, false
	}
	left := (m.preemptionAt - c.now - tuning.PreemptionMargin).Seconds()
	stop.GraceSeconds = max(left, sp.CheckpointCost)
	return stop, left/2 <= sp.CheckpointCost+preemptionSaveSlackSeconds
}

// drainsRunning tells whether m is drained for a reason for which its tasks have to go.
func (c *cache) drainsRunning(m *Machine) bool {
	cordon := c.cordons[m.Name]
	return cordon.State == domain.CordonDrain && cordon.Reason != domain.DrainIdle
}

// isTogether tells whether the job's tasks start and end together: a gang of several.
func isTogether(sp *domain.JobSpec) bool {
	return sp.Shape == domain.Gang && sp.TaskCount > 1
}

// gangIntact tells whether all tasks of t's attempt are booked, or done. A gang's task is on
// only while they are; otherwise the rest is stopped, and a new attempt starts all.
func gangIntact(j *Job, t domain.Task) bool {
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

// answerPendingHeartbeats answers pending heartbeats once there is nothing more to wait for.
// Hundreds are pending at a time, and events come for each: only those that the event
// touched are looked at again, and all of them once a pace.
func (c *Controller) answerPendingHeartbeats() {
	names := c.heartbeatsToReview()
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

// heartbeatsToReview lists the machines whose pending heartbeats, if any, are to be looked at
// now, in order: those touched since the last time, or all of them once a pace.
func (c *Controller) heartbeatsToReview() []string {
	h := &c.heartbeats
	defer clear(h.touched)
	switch {
	case len(h.pending) == 0:
		return nil
	case h.nextReview.IsOpen(c.now):
		h.nextReview.Close(c.now + c.pace())
		return slices.Sorted(maps.Keys(h.pending))
	case len(h.touched) == 0:
		return nil
	}
	return slices.Sorted(maps.Keys(h.touched))
}

// sendDirectStops sends stops straight to the agent, for work that is cancelled or has to
// go soon. They may arrive late, which does no harm, and heartbeats repeat them.
func (c *Controller) sendDirectStops(m *Machine) {
	if c.now < m.nextDirectStopAt || m.Addr == "" {
		return
	}
	var stops []domain.Command
	for _, id := range sortedTasks(m.reported) {
		s := m.reported[id]
		if s.State == domain.ReportedEnded {
			continue
		}
		if stop, ok := c.stopCommand(m, s); ok && !(s.State == domain.ReportedSaving && stop.GraceSeconds > 0) {
			stops = append(stops, stop)
		}
	}
	if len(stops) > 0 {
		m.nextDirectStopAt = c.now + tuning.StopRepeat
		c.logCommands(m, stops)
		c.emit(SendCommands{Machine: m.Name, Addr: m.Addr, FencingToken: c.cache.view.Epoch, AgentEpoch: m.agentEpoch, Commands: stops})
	}
}
