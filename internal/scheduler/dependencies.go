package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// Jobs that depend on other jobs. The final state of a job never changes. A committed header
// that says "done" is therefore enough for its dependents to start, and one that says
// "cancelled" cancels all its dependents, none of which has started. Every controller derives
// both from the headers it reads at the same revision; no further write is needed between a
// cancellation and its consequences.

// phase is the state of a job in the cache, derived from its header and its dependencies. The zero
// value is phaseNew.
type phase int

const (
	phaseNew       phase = iota // not determined yet
	phaseWaiting                // a job that it depends on is not done; not queued and not counted
	phaseOpen                   // its tasks may start
	phaseDone                   // all tasks done
	phaseCancelled              // by its user, or because a job that it depends on was cancelled
)

// mayStart reports whether tasks of a job may start at all. No other code decides this.
func (c *Controller) mayStart(j *Job) bool {
	return j.missingPieces == 0 && j.unfinishedDependencies == 0 && !j.dependencyFailed || !c.isGuardEnabled(GuardDependencies)
}

// phaseOf returns the phase that follows from a job's header and its dependencies.
func (c *Controller) phaseOf(j *Job) phase {
	switch {
	case j.Header.State == domain.StateDone:
		return phaseDone
	case j.Header.State == domain.StateCancelled || j.dependencyFailed:
		return phaseCancelled
	case c.mayStart(j):
		return phaseOpen
	}
	return phaseWaiting
}

// updatePhases updates the phase of a job, and then the phases of its direct and
// indirect dependents. It uses a work list instead of recursion, since users' pipelines may be
// of any length, and follows each dependency once.
func (c *Controller) updatePhases(j *Job) {
	pending := []*Job{j}
	for len(pending) > 0 {
		job := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		previous := job.phase
		c.setPhase(job, c.phaseOf(job))
		if job.phase == previous || job.phase < phaseDone {
			continue
		}
		for _, dependent := range c.cache.dependents[job.ID] {
			if job.phase == phaseDone {
				dependent.unfinishedDependencies--
				dependent.dependenciesDoneAt = max(dependent.dependenciesDoneAt, c.doneTime(job))
			} else if c.isGuardEnabled(GuardCascade) {
				dependent.dependencyFailed = true
			}
			pending = append(pending, dependent)
		}
		delete(c.cache.dependents, job.ID)
	}
}

// setPhase changes a job's phase and updates everything that depends on it. No other code may set
// the phase.
func (c *Controller) setPhase(j *Job, next phase) {
	old := j.phase
	if old == phaseOpen && next != old {
		c.removeOpenJob(j)
	}
	if next == phaseOpen && next != old {
		c.addOpenJob(j)
	}
	if next == phaseCancelled && !j.Header.Released {
		c.cache.awaitingRelease[j.ID] = j
	} else if next >= phaseDone {
		delete(c.cache.awaitingRelease, j.ID)
	}
	j.phase = next
	if next >= phaseDone && next != old {
		c.answerWaiters()
	}
}

// removeOpenJob removes a job from the open jobs and its tasks from the machines' queues.
func (c *Controller) removeOpenJob(j *Job) {
	if k := slices.Index(c.cache.openJobs, j); k >= 0 {
		c.cache.openJobs = append(c.cache.openJobs[:k:k], c.cache.openJobs[k+1:]...)
	}
	c.dequeueTasks(j, j.Header.TaskCount)
}

// addOpenJob adds a job to the open jobs. Its order and age count from the end of its last
// dependency. While a snapshot is loaded, they are derived from the times in the headers.
func (c *Controller) addOpenJob(j *Job) {
	j.readyAt = int64(c.now)
	if c.cache.loadingSnapshot {
		j.readyAt = max(j.submittedAt, j.dependenciesDoneAt)
	}
	c.cache.insertOpen(j)
	if j.phase == phaseWaiting && j.Header.Spec != nil && len(j.Header.Spec.Dependencies) > 0 {
		c.debug("job may start", "job", j.ID, "waited_s", (c.now - time.Duration(j.submittedAt)).Seconds())
	}
}

// doneTime returns the time at which a job was done, in ns of this controller's monotonic clock.
// While a snapshot is loaded, this is the time in the job's header, if it has one; otherwise it is
// the present time.
func (c *Controller) doneTime(j *Job) int64 {
	if c.cache.loadingSnapshot && j.Header.DoneAtMS > 0 {
		return min(int64(c.now), c.monotonicTime(j.Header.DoneAtMS))
	}
	return int64(c.now)
}

// linkDependencies reads the dependencies of a job that is new in the cache and links the job
// with them.
func (c *Controller) linkDependencies(j *Job) {
	spec := j.Header.Spec
	if spec == nil {
		return
	}
	j.priority, j.deadlineSeconds = spec.Priority, spec.Deadline
	j.deadlineAt = j.submittedAt + int64(spec.Deadline*float64(time.Second))
	if j.missingPieces = spec.DependencyListPieces; j.missingPieces > 0 {
		c.cache.countMissingPieces(j)
	}
	spec.Dependencies = codec.ParseJobNames(spec.DependencyText)
	c.addDependencies(j, spec.Dependencies)
	if j.missingPieces == 0 {
		c.resolveDependencyPieces(j)
	}
	for _, dependent := range c.cache.dependents[j.ID] {
		c.queues.inheritUrgency(j, dependent)
	}
	c.propagateUrgency(j)
}

// addDependencies registers a job as a dependent of each given job that is not over.
func (c *Controller) addDependencies(j *Job, ids []string) {
	for _, id := range ids {
		needed := c.cache.job(id)
		switch {
		case needed != nil && needed.phase == phaseDone:
			j.dependenciesDoneAt = max(j.dependenciesDoneAt, c.doneTime(needed))
		case needed != nil && needed.phase == phaseCancelled:
			j.dependencyFailed = c.isGuardEnabled(GuardCascade)
			if !j.dependencyFailed {
				j.unfinishedDependencies++
			}
		default:
			j.unfinishedDependencies++
			c.cache.dependents[id] = append(c.cache.dependents[id], j)
		}
	}
}

// inheritUrgency makes a job at least as urgent as a job that depends on it. It reports whether
// the job became more urgent.
func (q *queues) inheritUrgency(j, dependent *Job) bool {
	if dependent.Header.Spec == nil || dependent.phase >= phaseDone {
		return false
	}
	raised := dependent.priority > j.priority
	j.priority = max(j.priority, dependent.priority)
	if dependent.deadlineSeconds > 0 {
		latest := dependent.deadlineAt - int64((q.runTime(dependent.Header.Spec)+tuning.StartLag)*float64(time.Second))
		if j.deadlineSeconds == 0 || latest < j.deadlineAt {
			j.deadlineAt, j.deadlineSeconds, raised = latest, dependent.deadlineSeconds, true
		}
	}
	return raised
}

// latestFirst is a heap of jobs, the one accepted last on top. A job is accepted after all its
// dependencies, so propagateUrgency visits each job once, when its urgency is final.
type latestFirst []*Job

func (l latestFirst) Len() int           { return len(l) }
func (l latestFirst) Less(a, b int) bool { return l[a].Header.AcceptOrder > l[b].Header.AcceptOrder }
func (l latestFirst) Swap(a, b int)      { l[a], l[b] = l[b], l[a] }
func (l *latestFirst) Push(x any)        { *l = append(*l, x.(*Job)) }
func (l *latestFirst) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// propagateUrgency passes a job's priority and deadline on to its direct and indirect dependencies
// that are not over. A job's latest finish is the earliest, over its dependents with a deadline, of
// the dependent's latest finish less the dependent's run time and tuning.StartLag.
func (c *Controller) propagateUrgency(j *Job) {
	jobs := latestFirst{j}
	inHeap := map[*Job]bool{j: true}
	for len(jobs) > 0 {
		dependent := heap.Pop(&jobs).(*Job)
		delete(inHeap, dependent)
		if dependent.Header.Spec == nil {
			continue
		}
		for _, id := range dependent.Header.Spec.Dependencies {
			needed := c.cache.jobs[id]
			if needed == nil || needed.phase >= phaseDone {
				continue
			}
			if c.queues.inheritUrgency(needed, dependent) && !inHeap[needed] {
				inHeap[needed] = true
				heap.Push(&jobs, needed)
			}
		}
	}
}
