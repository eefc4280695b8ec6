package simulation

import (
	"time"

	"brassglade/internal/domain"
)

// causePeers is the cause reported when a task is ended because its gang lacks members.
const causePeers = "peers"

// task is an attempt at a task on a machine.
type task struct {
	attempt uint64
	state   string // as reported in heartbeats
	cause   string // why it ended
	saved   bool   // it saved its progress before it ended
}

// isOnMachine reports whether the task has its image and has not ended.
func (t *task) isOnMachine() bool {
	return t.state == domain.ReportedWaiting || t.state == domain.ReportedRunning || t.state == domain.ReportedSaving
}

// hasNotEnded reports whether the task takes up room, which it does from the fetch of its image on.
func (t *task) hasNotEnded() bool { return t.state != domain.ReportedEnded }

// executeCommands executes a controller's commands.
func (w *worker) executeCommands(commands []domain.Command) {
	for _, command := range commands {
		switch command.Kind {
		case domain.ForgetTask:
			w.forgetTask(command)
		case domain.StopTask:
			w.stopTask(command)
		case domain.StartTask:
			w.startTask(command)
		}
	}
}

func (w *worker) forgetTask(command domain.Command) {
	t := w.tasks[command.Task]
	if t != nil && t.attempt == command.Attempt && t.state == domain.ReportedEnded {
		delete(w.tasks, command.Task)
	}
}

// stopTask ends an attempt. A running task with checkpoints saves its progress first if the
// command's grace period is long enough.
func (w *worker) stopTask(command domain.Command) {
	t := w.tasks[command.Task]
	if t == nil || t.attempt != command.Attempt || t.state == domain.ReportedEnded {
		return
	}
	spec := &w.cluster.jobs[command.Task.Job].spec
	if t.state == domain.ReportedRunning && spec.CheckpointInterval > 0 && command.GraceSeconds >= spec.CheckpointCost {
		t.state = domain.ReportedSaving
		w.cluster.after(time.Duration(spec.CheckpointCost*float64(time.Second)), func() {
			w.whenResponsive(func() {
				if w.tasks[command.Task] == t && t.state == domain.ReportedSaving {
					w.endTask(command.Task, t, domain.CauseStopped, true)
				}
			})
		})
		return
	}
	if t.state != domain.ReportedSaving || command.GraceSeconds == 0 {
		w.endTask(command.Task, t, domain.CauseStopped, false)
	}
}

// startTask starts an attempt by fetching its image, which takes 0.5 to 2 s.
func (w *worker) startTask(command domain.Command) {
	id := command.Task
	job := w.cluster.jobs[id.Job]
	if t := w.tasks[id]; t != nil {
		w.checkNoOtherAttempt(t, command)
		return
	}
	w.checkDependenciesDone(id, job)
	w.checkNotLateStart(id, job)
	t := &task{attempt: command.Attempt, state: domain.ReportedFetching}
	w.tasks[id] = t
	if !machineCapacity.Fits(w.used()) {
		w.endTask(id, t, domain.CauseNoRoom, false)
		return
	}
	agentEpoch := w.agentEpoch
	w.cluster.after(time.Duration(500+w.cluster.rng.IntN(1500))*time.Millisecond, func() {
		w.whenResponsive(func() {
			if w.agentEpoch == agentEpoch && w.tasks[id] == t && t.state == domain.ReportedFetching {
				w.imageFetched(id, t, job)
			}
		})
	})
}

// used returns the resources that the tasks that have not ended take up.
func (w *worker) used() domain.Resources {
	var used domain.Resources
	for id, t := range w.tasks {
		if t.hasNotEnded() {
			used = used.Plus(w.cluster.jobs[id.Job].spec.Request, 1)
		}
	}
	return used
}

// endTask ends an attempt and schedules a heartbeat to report it.
func (w *worker) endTask(id domain.TaskID, t *task, cause string, saved bool) {
	t.state, t.cause, t.saved = domain.ReportedEnded, cause, saved
	w.cluster.log("%s/%d try %d ends on %s: %s", id.Job, id.Index, t.attempt, w.name, cause)
	w.scheduleHeartbeat()
}

// imageFetched handles the end of a fetch. The task is on the machine from now on, unless it fails.
func (w *worker) imageFetched(id domain.TaskID, t *task, job *jobRecord) {
	if w.failsAllTasks || job.failsEverywhere {
		w.endTask(id, t, domain.CauseError, false)
		return
	}
	w.checkRunsOnce(id, t)
	w.checkZoneRules(id, job)
	w.checkPlace(id, job)
	w.checkNotCancelled(id, job)
	t.state = domain.ReportedWaiting
	// In a large fleet these checks, which cover all machines, run only once per second.
	if !w.cluster.isLarge() {
		w.cluster.checkRunningTasks()
	}
	if job.spec.Shape != domain.Gang || job.spec.TaskCount == 1 {
		w.runTask(id, t, job)
		return
	}
	w.cluster.startGangIfComplete(id.Job, t.attempt, job)
}

// gangMember is an attempt at a task of a gang, with its machine.
type gangMember struct {
	worker *worker
	id     domain.TaskID
	task   *task
}

// startGangIfComplete runs the tasks of a gang once all tasks of an attempt have their images.
func (c *Cluster) startGangIfComplete(id string, attempt uint64, job *jobRecord) {
	var waiting []gangMember
	for _, w := range c.workers {
		for i := 0; i < job.spec.TaskCount; i++ {
			taskID := domain.TaskID{Job: id, Index: i}
			if t := w.tasks[taskID]; t != nil && t.attempt == attempt && t.state == domain.ReportedWaiting {
				waiting = append(waiting, gangMember{w, taskID, t})
			}
		}
	}
	if len(waiting) != job.spec.TaskCount {
		return
	}
	for _, m := range waiting {
		m.worker.runTask(m.id, m.task, job)
	}
}

// runTask starts running a task. The task finishes after the job's runtime, or immediately if it
// was finished before; tasks of services don't finish.
func (w *worker) runTask(id domain.TaskID, t *task, job *jobRecord) {
	job.hasStarted = true
	t.state = domain.ReportedRunning
	w.cluster.log("%s/%d try %d runs on %s (%s)", id.Job, id.Index, t.attempt, w.name, w.zone)
	w.scheduleHeartbeat()
	if job.spec.Shape == domain.Service {
		return
	}
	remaining := job.runtime
	if job.done[id.Index] {
		remaining = 0
	}
	agentEpoch := w.agentEpoch
	w.cluster.after(remaining, func() {
		w.whenResponsive(func() {
			if w.agentEpoch == agentEpoch && w.tasks[id] == t && t.state == domain.ReportedRunning {
				w.finishTask(id, t, job)
			}
		})
	})
}

// finishTask records that a task ran to completion. For a task of a gang, it records all tasks of
// the gang as done. The fault "endings" cancels the job when its last task finishes.
func (w *worker) finishTask(id domain.TaskID, t *task, job *jobRecord) {
	job.done[id.Index] = true
	if job.spec.Shape == domain.Gang {
		for i := 0; i < job.spec.TaskCount; i++ {
			job.done[i] = true
		}
	}
	if len(job.done) == job.spec.TaskCount && job.isSubmitted && w.cluster.shouldInject("endings") {
		w.cluster.occurred("cancelled at its end")
		w.cluster.Cancel(id.Job)
	}
	w.endTask(id, t, domain.CauseDone, false)
}

// tasksOnMachines returns the number of a job's tasks on machines.
func (c *Cluster) tasksOnMachines(job string) int {
	n := 0
	for _, w := range c.workers {
		for id, t := range w.tasks {
			if id.Job == job && t.isOnMachine() && !w.isGone {
				n++
			}
		}
	}
	return n
}

// gangAttempt identifies an attempt to run all tasks of a gang together.
type gangAttempt struct {
	job     string
	attempt uint64
}

// gangMonitor ends running tasks of gangs that have lacked members for Settings.GangPeerWait, as the
// agents of a real cluster do.
type gangMonitor struct {
	cluster         *Cluster
	incompleteSince map[gangAttempt]time.Duration
}

// endIncompleteGangs checks all gangs once.
func (g *gangMonitor) endIncompleteGangs() {
	running := g.countRunning()
	for _, w := range g.cluster.workers {
		for _, id := range w.taskIDs() {
			t, job := w.tasks[id], g.cluster.jobs[id.Job]
			gang := gangAttempt{id.Job, t.attempt}
			if t.state != domain.ReportedRunning || job.spec.Shape != domain.Gang || running[gang] >= job.spec.TaskCount || len(job.done) > 0 {
				continue
			}
			if _, known := g.incompleteSince[gang]; !known {
				g.incompleteSince[gang] = g.cluster.Now
			}
			if g.cluster.Now-g.incompleteSince[gang] < g.cluster.settings.GangPeerWait {
				continue
			}
			w.whenResponsive(func() {
				if t.state == domain.ReportedRunning {
					w.endTask(id, t, causePeers, false)
				}
			})
		}
	}
}

// countRunning returns the number of running tasks of each gang on machines that do not hang.
func (g *gangMonitor) countRunning() map[gangAttempt]int {
	running := map[gangAttempt]int{}
	for _, w := range g.cluster.workers {
		if w.isHung {
			continue
		}
		for id, t := range w.tasks {
			if t.state == domain.ReportedRunning && g.cluster.jobs[id.Job].spec.Shape == domain.Gang {
				running[gangAttempt{id.Job, t.attempt}]++
			}
		}
	}
	return running
}
