package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// pendingHeartbeat is a heartbeat whose answer waits for commands that are on their way.
type pendingHeartbeat struct {
	machine    string
	requestID  uint64
	sequence   uint64
	agentEpoch uint64
	answerBy   time.Duration // steady time at which it is answered in any case
}

// isWorthDelaying tells whether an answer given now would soon have had commands in it. A
// machine that has to wait for its next heartbeat starts its next task seconds later.
func (c *Controller) isWorthDelaying(m *Machine) bool {
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
		if !m.listsAttempt(attemptID{id, c.jobs[id.Job].task(id.Index).Attempt}) {
			return true
		}
	}
	return false
}

// hasUncommittedEnds tells whether m reports ended tasks whose outcome isn't committed yet.
func (c *cache) hasUncommittedEnds(m *Machine) bool {
	for _, report := range m.reported {
		if report.State == domain.ReportedEnded && c.isBooking(m, report) {
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
		CPU: capacity.CPU / tuning.SmallTaskDivisor, GPU: capacity.GPU / tuning.SmallTaskDivisor, Memory: capacity.Memory / tuning.SmallTaskDivisor,
	}
	return c.freeOn(m.Name, capacity, nil).Fits(small)
}

// answerHeartbeat says 200 with the commands that follow from committed state alone, or 503
// if that may not be said any more.
func (c *Controller) answerHeartbeat(pending *pendingHeartbeat) {
	if c.heartbeats.pending[pending.machine] == pending {
		delete(c.heartbeats.pending, pending.machine)
	}
	m := c.heartbeats.machines[pending.machine]
	if m == nil || !c.mayAnswer(m, pending) {
		c.emit(HeartbeatReply{RequestID: pending.requestID, Status: StatusUnavailable})
		return
	}
	commands := c.commandsFor(m, pending.sequence)
	m.answeredAt, m.sentToken = c.now, c.cache.view.Epoch
	c.logCommands(m, commands)
	c.emit(HeartbeatReply{RequestID: pending.requestID, Status: StatusOK, FencingToken: c.cache.view.Epoch, Commands: commands})
}

// mayAnswer tells whether a heartbeat that was accepted may still be answered with 200.
func (c *Controller) mayAnswer(m *Machine, pending *pendingHeartbeat) bool {
	return c.mayAct() && c.owns(pending.machine) && !c.isAbandoned(m, pending.agentEpoch) &&
		pending.agentEpoch == m.agentEpoch && !c.cache.isReturned(pending.machine)
}

// logCommands says for each start and stop why it was allowed: under which view, as of
// which revision, and how long ago both were confirmed.
func (c *Controller) logCommands(m *Machine, commands []domain.Command) {
	for _, command := range commands {
		if command.Kind == domain.ForgetTask {
			continue
		}
		c.debug("command", "kind", command.Kind, "task", command.Task, "machine", m.Name, "attempt", command.Attempt, "reason", command.Reason,
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
		report := m.reported[id]
		if report.State != domain.ReportedEnded {
			if stop, ok := c.stopCommand(m, report); ok {
				stops = append(stops, stop)
			}
			continue
		}
		if !c.cache.isBooking(m, report) || !c.guard(GuardForget) {
			forgets = append(forgets, domain.Command{Kind: domain.ForgetTask, Task: id, Attempt: report.Attempt, Reason: domain.ReasonSettled})
		}
	}
	return stops, forgets
}

// startsFor are the starts of what is booked on m and may start.
func (c *Controller) startsFor(m *Machine, sequence uint64) []domain.Command {
	var starts []domain.Command
	for _, id := range sortedTasks(c.cache.bookedOn[m.Name]) {
		j := c.cache.jobs[id.Job]
		task := j.task(id.Index)
		if c.whyNotStart(m, j, id, task) != startAllowed {
			continue
		}
		m.startsSent[attemptID{id, task.Attempt}] = sequence
		starts = append(starts, domain.Command{Kind: domain.StartTask, Task: id, Attempt: task.Attempt, Reason: domain.ReasonBooked})
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

// whyNotStart tells whether a task that is booked on m may be started there. Only a committed
// booking of the present agent epoch is, and only if its release was never tried.
func (c *Controller) whyNotStart(m *Machine, j *Job, id domain.TaskID, task domain.Task) startRefusal {
	attempt := attemptID{id, task.Attempt}
	switch {
	case m.listsAttempt(attempt):
		return alreadyThere
	case j.isStopped(task):
		return gangStopped
	case task.AgentEpoch != m.agentEpoch:
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
	case !isGangIntact(j, task):
		return gangBroken
	}
	return startAllowed
}

// isStopped tells whether the job's header stops the attempt that the task is booked for.
func (j *Job) isStopped(task domain.Task) bool {
	return j.Header.StopThrough > 0 && j.Header.StopThrough >= task.Attempt
}

// isEvictedFrom tells whether the machine is emptied of the job's tasks for a task that
// needs all of it.
func (c *Controller) isEvictedFrom(m *Machine, spec *domain.JobSpec) bool {
	return c.isEvicting(m.Name) && !reservesMachines(spec)
}

// stopCommand tells whether a live task on m has to be stopped, and how. What is being
// saved is not told to save once more.
func (c *Controller) stopCommand(m *Machine, report domain.TaskReport) (domain.Command, bool) {
	stop := domain.Command{Kind: domain.StopTask, Task: report.Task, Attempt: report.Attempt, Reason: domain.ReasonNotBooked}
	j := c.cache.jobs[report.Task.Job]
	if j == nil || j.final() || !c.cache.isBooking(m, report) {
		return stop, true // nobody has any use for it
	}
	task, spec := j.task(report.Task.Index), j.Header.Spec
	saves := report.State == domain.ReportedSaving
	switch {
	case !isGangIntact(j, task):
		stop.Reason = domain.ReasonGangBroken
		return stop, !saves
	case isTogether(spec):
		// Its progress is saved only if all are told together: the header tells
		// every owner (planGangStops).
		return saveAndStop(stop, spec, domain.ReasonGangStop), j.Header.StopThrough >= task.Attempt && !saves
	case c.isEvictedFrom(m, spec), c.planner.preempted[attemptID{report.Task, report.Attempt}]:
		return saveAndStop(stop, spec, domain.ReasonPreempted), !saves
	case m.preemptionAt >= 0:
		return c.stopBeforePreemption(m, stop, spec, saves)
	case c.cache.drainsRunning(m) && !saves:
		return saveAndStop(stop, spec, domain.ReasonDraining), true
	}
	return stop, false
}

// saveAndStop gives a stop its reason and a grace in which the task can save its progress.
func saveAndStop(stop domain.Command, spec *domain.JobSpec, reason domain.CommandReason) domain.Command {
	stop.GraceSeconds, stop.Reason = spec.CheckpointCost+tuning.SaveSlackSeconds, reason
	return stop
}

// stopBeforePreemption tells whether a task has to save now since the cloud takes its
// machine. One without checkpoints runs on, since it may still finish; another for as long
// as saving still fits before the end, which may come after half of what was said.
func (c *Controller) stopBeforePreemption(m *Machine, stop domain.Command, spec *domain.JobSpec, saves bool) (domain.Command, bool) {
	stop.Reason = domain.ReasonPreemptionNotice
	if saves || spec.CheckpointInterval <= 0 || spec.CheckpointCost <= 0 {
		return stop, false
	}
	left := (m.preemptionAt - c.now - tuning.PreemptionMargin).Seconds()
	stop.GraceSeconds = max(left, spec.CheckpointCost)
	return stop, left/2 <= spec.CheckpointCost+tuning.PreemptionSaveSlackSeconds
}

// drainsRunning tells whether m is drained for a reason for which its tasks have to go.
func (c *cache) drainsRunning(m *Machine) bool {
	cordon := c.cordons[m.Name]
	return cordon.State == domain.CordonDrain && cordon.Reason != domain.DrainIdle
}

// isTogether tells whether the job's tasks start and end together: a gang of several.
func isTogether(spec *domain.JobSpec) bool {
	return spec.Shape == domain.Gang && spec.TaskCount > 1
}

// isGangIntact tells whether all tasks of the task's attempt are booked, or done. A gang's task
// is on only while they are; otherwise the rest is stopped, and a new attempt starts all.
func isGangIntact(j *Job, task domain.Task) bool {
	if j.Header.Spec.Shape != domain.Gang || j.Header.Spec.TaskCount == 1 {
		return true
	}
	for i := range j.Tasks {
		if other := j.Tasks[i]; other.State == domain.Queued || other.State == domain.Booked && other.Attempt != task.Attempt {
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
	for _, name := range names {
		pending := c.heartbeats.pending[name]
		if pending == nil {
			continue
		}
		if m := c.heartbeats.machines[name]; m == nil || c.now >= pending.answerBy || !c.isWorthDelaying(m) {
			c.answerHeartbeat(pending)
		}
	}
}

// heartbeatsToReview lists the machines whose pending heartbeats, if any, are to be looked at
// now, in order: those touched since the last time, or all of them once a pace.
func (c *Controller) heartbeatsToReview() []string {
	heartbeats := &c.heartbeats
	defer clear(heartbeats.touched)
	switch {
	case len(heartbeats.pending) == 0:
		return nil
	case heartbeats.nextReview.IsOpen(c.now):
		heartbeats.nextReview.Close(c.now + c.pace())
		return slices.Sorted(maps.Keys(heartbeats.pending))
	case len(heartbeats.touched) == 0:
		return nil
	}
	return slices.Sorted(maps.Keys(heartbeats.touched))
}

// sendDirectStops sends stops straight to the agent, for work that is cancelled or has to
// go soon. They may arrive late, which does no harm, and heartbeats repeat them.
func (c *Controller) sendDirectStops(m *Machine) {
	if !m.nextDirectStop.IsOpen(c.now) || m.Addr == "" {
		return
	}
	var stops []domain.Command
	for _, id := range sortedTasks(m.reported) {
		report := m.reported[id]
		if report.State == domain.ReportedEnded {
			continue
		}
		if stop, ok := c.stopCommand(m, report); ok && !(report.State == domain.ReportedSaving && stop.GraceSeconds > 0) {
			stops = append(stops, stop)
		}
	}
	if len(stops) > 0 {
		m.nextDirectStop.Close(c.now + tuning.StopRepeat)
		c.logCommands(m, stops)
		c.emit(SendCommands{Machine: m.Name, Addr: m.Addr, FencingToken: c.cache.view.Epoch, AgentEpoch: m.agentEpoch, Commands: stops})
	}
}
