package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// pendingHeartbeat is a heartbeat whose answer is delayed for commands that are expected
// soon.
type pendingHeartbeat struct {
	machine    string
	requestID  uint64
	sequence   uint64
	agentEpoch uint64
	answerBy   time.Duration // monotonic time at which it is answered in any case
}

// shouldDelayAnswer reports whether commands for m are expected so soon that the answer to
// its heartbeat should wait for them. A command that misses this answer waits for the
// machine's next heartbeat, seconds later.
func (c *Controller) shouldDelayAnswer(m *Machine) bool {
	if c.commits.taskCommit != nil && c.commits.affectedMachines[m.Name] {
		return true // the task commit in flight has changes for m
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

// hasUnstartedBooking reports whether a task is booked on m that m doesn't report, so that
// there may be a task to start.
func (c *cache) hasUnstartedBooking(m *Machine) bool {
	for id := range c.bookedOn[m.Name] {
		if !m.listsAttempt(attemptID{id, c.jobs[id.Job].task(id.Index).Attempt}) {
			return true
		}
	}
	return false
}

// hasUncommittedEnds reports whether m reports ended tasks whose end isn't committed yet.
func (c *cache) hasUncommittedEnds(m *Machine) bool {
	for _, report := range m.reported {
		if report.State == domain.ReportedEnded && c.isBooking(m, report) {
			return true
		}
	}
	return false
}

// hasRoomForSmallTask reports whether a small task (tuning.SmallTaskDivisor) fits on m. Such a
// task may be submitted at any moment.
func (c *cache) hasRoomForSmallTask(m *Machine) bool {
	capacity := c.machineType(m.Type).Capacity
	small := machineRoom{
		resources: domain.Resources{
			CPU: capacity.CPU / tuning.SmallTaskDivisor, GPU: capacity.GPU / tuning.SmallTaskDivisor, Memory: capacity.Memory / tuning.SmallTaskDivisor,
		},
		reportBytes: tuning.MaxTaskReportBytes,
	}
	return c.freeOn(m.Name, capacity, nil).fits(small)
}

// answerHeartbeat answers a heartbeat with 200 and the commands that follow from committed
// state alone, or with 503 if the controller may no longer answer with 200.
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

// mayAnswer reports whether a heartbeat that was accepted may still be answered with 200.
func (c *Controller) mayAnswer(m *Machine, pending *pendingHeartbeat) bool {
	return c.mayAct() && c.owns(pending.machine) && !c.isAbandoned(m, pending.agentEpoch) &&
		pending.agentEpoch == m.agentEpoch && !c.cache.isReturned(pending.machine)
}

// logCommands logs each start and stop with the state that it is based on: the epoch of the
// view, the revision of the cache, and how many seconds ago the view was confirmed.
func (c *Controller) logCommands(m *Machine, commands []domain.Command) {
	for _, command := range commands {
		if command.Kind == domain.ForgetTask {
			continue
		}
		c.debug("command sent", "kind", command.Kind, "task", command.Task, "machine", m.Name, "attempt", command.Attempt, "reason", command.Reason,
			"agent_epoch", m.agentEpoch, "epoch", c.cache.view.Epoch, "revision", c.cache.revision,
			"confirmed_s", (c.now - c.membership.ViewConfirmedAt().Time()).Seconds())
	}
}

// commandsFor returns the commands for m: stops first, then tasks to forget, then starts, so
// that room is freed before it is used. sequence is that of the heartbeat being answered. Commands
// that don't fit into one answer are left to the next one.
func (c *Controller) commandsFor(m *Machine, sequence uint64) []domain.Command {
	stops, forgets := c.commandsForReported(m)
	commands, _ := splitByMessage(slices.Concat(stops, forgets))
	return append(commands, c.startsFor(m, sequence, newStartBudget(m, commands))...)
}

// commandsForReported returns the stops for live tasks that m reports, and the commands to
// forget ended ones. An ended task is forgotten only once its outcome is committed: an agent
// that has forgotten the attempt would run the task again if the start were sent again.
func (c *Controller) commandsForReported(m *Machine) (stops, forgets []domain.Command) {
	for id, report := range m.reported {
		if report.State != domain.ReportedEnded {
			if stop, ok := c.stopCommand(m, report); ok {
				stops = append(stops, stop)
			}
			continue
		}
		if !c.cache.isBooking(m, report) || !c.isGuardEnabled(GuardForget) {
			forgets = append(forgets, domain.Command{Kind: domain.ForgetTask, Task: id, Attempt: report.Attempt, Reason: domain.ReasonOutcomeCommitted})
		}
	}
	sortByTask(stops)
	sortByTask(forgets)
	return stops, forgets
}

// sortByTask sorts commands in place by job and index of their tasks.
func sortByTask(commands []domain.Command) {
	slices.SortFunc(commands, func(a, b domain.Command) int { return compareTasks(a.Task, b.Task) })
}

// startsFor returns the starts of the tasks that are booked on m and may start, as far as the
// budget has room for them.
func (c *Controller) startsFor(m *Machine, sequence uint64, budget startBudget) []domain.Command {
	var starts []domain.Command
	clear(m.unlistable)
	for _, id := range sortedTasks(c.cache.bookedOn[m.Name]) {
		j := c.cache.jobs[id.Job]
		task := j.task(id.Index)
		if c.startRefusalFor(m, j, id, task) != startAllowed {
			continue
		}
		attempt := attemptID{id, task.Attempt}
		start := domain.Command{Kind: domain.StartTask, Task: id, Attempt: task.Attempt, Reason: domain.ReasonBooked}
		switch budget.take(start) {
		case startFits:
			m.startsSent[attempt] = sequence
			starts = append(starts, start)
		case reportFull:
			m.unlistable[attempt] = true
		case answerFull:
			return starts
		}
	}
	return starts
}

// startRefusal is the reason why a booked task is not started.
type startRefusal int

const (
	startAllowed          startRefusal = iota
	alreadyReported                    // the machine reports the attempt
	gangStopped                        // the job's header stops this attempt of the gang on all machines
	agentEpochDiffers                  // booked for an agent epoch that is not the machine's current one
	jobClosed                          // the job is cancelled or over
	releaseAttempted                   // its release may still be committed (invariant 4 of docs/design.md)
	machineBeingPreempted              // the cloud has announced that it takes the machine back
	attemptPreempted                   // other work needs the room of the attempt
	machineBeingEvicted                // the machine is being emptied for a task that needs all of it
	gangIncomplete                     // not all tasks of the gang's attempt are booked
)

// startRefusalFor returns why a task that is booked on m may not be started there,
// startAllowed if it may. A task may start only under a committed booking for the current
// agent epoch whose release was never tried.
func (c *Controller) startRefusalFor(m *Machine, j *Job, id domain.TaskID, task domain.Task) startRefusal {
	attempt := attemptID{id, task.Attempt}
	switch {
	case m.listsAttempt(attempt):
		return alreadyReported
	case j.isStopped(task):
		return gangStopped
	case task.AgentEpoch != m.agentEpoch:
		return agentEpochDiffers
	case j.Header.State != domain.StateOpen:
		return jobClosed
	case c.planner.pendingReleases[attempt] && c.isGuardEnabled(GuardPendingRelease):
		return releaseAttempted
	case m.preemptionAt >= 0:
		return machineBeingPreempted
	case c.planner.preempted[attempt]:
		return attemptPreempted
	case c.isEvictedFrom(m, j.Header.Spec):
		return machineBeingEvicted
	case !isGangIntact(j, task):
		return gangIncomplete
	}
	return startAllowed
}

// isStopped reports whether the job's header stops the attempt that the task is booked for.
func (j *Job) isStopped(task domain.Task) bool {
	return j.Header.StopUpTo > 0 && j.Header.StopUpTo >= task.Attempt
}

// isEvictedFrom reports whether the job's tasks have to leave the machine, which is being
// emptied for a task that needs all of it.
func (c *Controller) isEvictedFrom(m *Machine, spec *domain.JobSpec) bool {
	return c.isEvicting(m.Name) && !reservesMachines(spec)
}

// stopCommand returns the stop of a live task on m, and whether it is to be sent. A task that
// is saving its progress is not told to save again.
func (c *Controller) stopCommand(m *Machine, report domain.TaskReport) (domain.Command, bool) {
	stop := domain.Command{Kind: domain.StopTask, Task: report.Task, Attempt: report.Attempt, Reason: domain.ReasonNotBooked}
	j := c.cache.jobs[report.Task.Job]
	if j == nil || j.isFinal() || !c.cache.isBooking(m, report) {
		return stop, true // the job is unknown or over, or the attempt is not booked
	}
	task, spec := j.task(report.Task.Index), j.Header.Spec
	saving := report.State == domain.ReportedSaving
	switch {
	case !isGangIntact(j, task):
		stop.Reason = domain.ReasonGangBroken
		return stop, !saving
	case isMultiTaskGang(spec):
		// The progress of a gang is saved only if all its tasks are told to stop together, so
		// the job's header tells every owner of a machine with such a task (planGangStops).
		return saveAndStop(stop, spec, domain.ReasonGangStop), j.Header.StopUpTo >= task.Attempt && !saving
	case c.isEvictedFrom(m, spec), c.planner.preempted[attemptID{report.Task, report.Attempt}]:
		return saveAndStop(stop, spec, domain.ReasonPreempted), !saving
	case m.preemptionAt >= 0:
		return c.stopBeforePreemption(m, stop, spec, saving)
	case c.cache.drainStopsTasks(m) && !saving:
		return saveAndStop(stop, spec, domain.ReasonDraining), true
	}
	return stop, false
}

// saveAndStop returns the stop with the reason and a grace period in which the task can save
// its progress.
func saveAndStop(stop domain.Command, spec *domain.JobSpec, reason domain.CommandReason) domain.Command {
	stop.GraceSeconds, stop.Reason = spec.CheckpointCost+tuning.SaveSlackSeconds, reason
	return stop
}

// stopBeforePreemption returns the stop of a task on a machine that the cloud takes back, and
// whether it is to be sent now. A task without checkpoints runs on, since it may still
// finish. One with checkpoints runs on for as long as saving its progress still fits into
// half of the announced time that is left, since the cloud may take the machine after half of
// that time already.
func (c *Controller) stopBeforePreemption(m *Machine, stop domain.Command, spec *domain.JobSpec, saving bool) (domain.Command, bool) {
	stop.Reason = domain.ReasonPreemptionNotice
	if saving || spec.CheckpointInterval <= 0 || spec.CheckpointCost <= 0 {
		return stop, false
	}
	left := (m.preemptionAt - c.now - tuning.PreemptionMargin).Seconds()
	stop.GraceSeconds = max(left, spec.CheckpointCost)
	return stop, left/2 <= spec.CheckpointCost+tuning.PreemptionSaveSlackSeconds
}

// drainStopsTasks reports whether m is being drained for a reason for which its running tasks
// have to leave it. They may stay if it is drained for being idle.
func (c *cache) drainStopsTasks(m *Machine) bool {
	cordon := c.cordons[m.Name]
	return cordon.State == domain.CordonDrain && cordon.Reason != domain.DrainIdle
}

// answerPendingHeartbeats answers the pending heartbeats for which no command is expected any
// more, or whose answerBy has come. Hundreds may be pending and events are frequent, so an
// event causes a review of only those heartbeats that it concerns, and all of them are reviewed
// once per planInterval.
func (c *Controller) answerPendingHeartbeats() {
	names := c.heartbeatsToReview()
	c.Work.PendingHeartbeats += len(names)
	for _, name := range names {
		pending := c.heartbeats.pending[name]
		if pending == nil {
			continue
		}
		if m := c.heartbeats.machines[name]; m == nil || c.now >= pending.answerBy || !c.shouldDelayAnswer(m) {
			c.answerHeartbeat(pending)
		}
	}
}

// heartbeatsToReview returns, sorted by name, the machines whose pending heartbeats (if any)
// are to be reviewed now: those that events since the last review concern, or all of them
// once per planInterval.
func (c *Controller) heartbeatsToReview() []string {
	heartbeats := &c.heartbeats
	defer clear(heartbeats.toReview)
	switch {
	case len(heartbeats.pending) == 0:
		return nil
	case heartbeats.nextReview.HasPassed(c.now):
		heartbeats.nextReview.Set(c.now + c.planInterval())
		return slices.Sorted(maps.Keys(heartbeats.pending))
	case len(heartbeats.toReview) == 0:
		return nil
	}
	return slices.Sorted(maps.Keys(heartbeats.toReview))
}

// sendDirectStops sends stops directly to the agent, for work that is cancelled or has to
// leave soon. A stop that arrives late does no harm, and the answers to heartbeats repeat it.
func (c *Controller) sendDirectStops(m *Machine) {
	if !m.nextDirectStop.HasPassed(c.now) || m.Addr == "" {
		return
	}
	var stops []domain.Command
	for _, report := range m.reported {
		if report.State == domain.ReportedEnded {
			continue
		}
		if stop, ok := c.stopCommand(m, report); ok && !(report.State == domain.ReportedSaving && stop.GraceSeconds > 0) {
			stops = append(stops, stop)
		}
	}
	sortByTask(stops)
	for len(stops) > 0 {
		var message []domain.Command
		message, stops = splitByMessage(stops)
		m.nextDirectStop.Set(c.now + tuning.StopRepeat)
		c.logCommands(m, message)
		c.emit(SendCommands{Machine: m.Name, Addr: m.Addr, FencingToken: c.cache.view.Epoch, AgentEpoch: m.agentEpoch, Commands: message})
	}
}
