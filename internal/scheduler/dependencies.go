package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// Jobs that depend on others. A final state never changes, so a committed header that
// says done is proof enough for all that comes after it, and one that says cancelled
// cancels all that depends on it: nothing of these has started. Both follow from what
// every controller reads at the same revision; no write stands between a cancellation and
// its consequences.

// phase is where a job in the cache stands.
type phase int

const (
	phaseNew       phase = iota // just met
	phaseWaiting                // a job that it depends on is not done: in no queue, in no count
	phaseOpen                   // its tasks may start
	phaseDone                   // all tasks done
	phaseCancelled              // by its user, or for a job that it depends on
)

// mayStart is the one place that says whether tasks of a job may start at all.
func (c *Controller) mayStart(j *Job) bool {
	return j.missingPieces == 0 && j.unfinishedDependencies == 0 && !j.dependencyFailed || !c.guard(GuardDependencies)
}

// phaseOf is the phase that a job's header and those before it call for.
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

// settlePhase puts a job into the phase that its header and those before it call for,
// and all after it: from one to the next over a list, however long the users'
// pipelines are, each edge once.
func (c *Controller) settlePhase(j *Job) {
	work := []*Job{j}
	for len(work) > 0 {
		job := work[len(work)-1]
		work = work[:len(work)-1]
		was := job.phase
		c.setPhase(job, c.phaseOf(job))
		if job.phase == was || job.phase < phaseDone {
			continue
		}
		for _, dependent := range c.cache.dependents[job.ID] {
			if job.phase == phaseDone {
				dependent.unfinishedDependencies--
				dependent.dependenciesDoneAt = max(dependent.dependenciesDoneAt, c.endOf(job))
			} else if c.guard(GuardCascade) {
				dependent.dependencyFailed = true
			}
			work = append(work, dependent)
		}
		delete(c.cache.dependents, job.ID)
	}
}

// setPhase is the one change of a job's phase.
func (c *Controller) setPhase(j *Job, next phase) {
	old := j.phase
	if old == phaseOpen && next != old {
		c.leaveOpen(j)
	}
	if next == phaseOpen && next != old {
		c.enterOpen(j)
	}
	if next == phaseCancelled && !j.Header.Released {
		c.cache.awaitingRelease[j.ID] = j
	} else if next >= phaseDone {
		delete(c.cache.awaitingRelease, j.ID)
	}
	j.phase = next
	if next >= phaseDone && next != old {
		c.wakeWaiters()
	}
}

// leaveOpen takes a job out of those whose tasks may start, and its tasks out of queues.
func (c *Controller) leaveOpen(j *Job) {
	if k := slices.Index(c.cache.openJobs, j); k >= 0 {
		c.cache.openJobs = append(c.cache.openJobs[:k:k], c.cache.openJobs[k+1:]...)
	}
	c.dequeueTasks(j, j.Header.TaskCount)
}

// enterOpen puts a job among those whose tasks may start. Order and ages count from the last
// job before it; after a restart from the times that the headers tell.
func (c *Controller) enterOpen(j *Job) {
	j.readyAt = int64(c.now)
	if c.cache.loadingSnapshot {
		j.readyAt = max(j.submittedAt, j.dependenciesDoneAt)
	}
	c.cache.insertOpen(j)
	if j.phase == phaseWaiting && j.Header.Spec != nil && len(j.Header.Spec.Dependencies) > 0 {
		c.debug("job may start", "job", j.ID, "waited_s", (c.now - time.Duration(j.submittedAt)).Seconds())
	}
}

// endOf is when a job was done, as its header tells or, if it doesn't, now.
func (c *Controller) endOf(j *Job) int64 {
	if c.cache.loadingSnapshot && j.Header.DoneAtMS > 0 {
		return min(int64(c.now), c.monotonicTime(j.Header.DoneAtMS))
	}
	return int64(c.now)
}

// linkDependencies reads what a job just met depends on and joins it to those jobs.
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
	spec.Dependencies = codec.ParseNames(spec.DependencyText)
	c.dependOn(j, spec.Dependencies)
	if j.missingPieces == 0 {
		c.takeDependencyPieces(j)
	}
	for _, dependent := range c.cache.dependents[j.ID] {
		c.queues.inheritUrgency(j, dependent)
	}
	c.propagateUrgency(j)
}

// dependOn joins a job to those that it depends on, as far as they are not over.
func (c *Controller) dependOn(j *Job, ids []string) {
	for _, id := range ids {
		needed := c.cache.jobs[id]
		switch {
		case needed != nil && needed.phase == phaseDone:
			j.dependenciesDoneAt = max(j.dependenciesDoneAt, c.endOf(needed))
		case needed != nil && needed.phase == phaseCancelled:
			j.dependencyFailed = c.guard(GuardCascade)
			if !j.dependencyFailed {
				j.unfinishedDependencies++
			}
		default:
			j.unfinishedDependencies++
			c.cache.dependents[id] = append(c.cache.dependents[id], j)
		}
	}
}

// inheritUrgency makes a job as urgent as a dependent, which needs it. True: it became more
// so.
func (q *queues) inheritUrgency(j, dependent *Job) bool {
	if dependent.Header.Spec == nil || dependent.phase >= phaseDone {
		return false
	}
	more := dependent.priority > j.priority
	j.priority = max(j.priority, dependent.priority)
	if dependent.deadlineSeconds > 0 {
		latest := dependent.deadlineAt - int64((q.runTime(dependent.Header.Spec)+tuning.StartLag)*float64(time.Second))
		if j.deadlineSeconds == 0 || latest < j.deadlineAt {
			j.deadlineAt, j.deadlineSeconds, more = latest, dependent.deadlineSeconds, true
		}
	}
	return more
}

// latestFirst is a heap of jobs, the latest accepted first. A job is accepted after all
// that it depends on, so each comes up once, with all that it has to pass on.
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

// propagateUrgency passes a job's priority and deadline on to all before it that are not
// over: the latest finish of each is the least, over those that need it, of theirs
// less their own time.
func (c *Controller) propagateUrgency(j *Job) {
	jobs := latestFirst{j}
	waiting := map[*Job]bool{j: true} // in the heap
	for len(jobs) > 0 {
		dependent := heap.Pop(&jobs).(*Job)
		delete(waiting, dependent)
		if dependent.Header.Spec == nil {
			continue
		}
		for _, id := range dependent.Header.Spec.Dependencies {
			needed := c.cache.jobs[id]
			if needed == nil || needed.phase >= phaseDone {
				continue
			}
			if c.queues.inheritUrgency(needed, dependent) && !waiting[needed] {
				waiting[needed] = true
				heap.Push(&jobs, needed)
			}
		}
	}
}
