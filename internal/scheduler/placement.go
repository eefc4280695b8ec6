package scheduler

import (
	"brassglade/internal/domain"
)

// This file alone determines where a job's tasks are, as seen from a draft or, with a nil draft,
// as committed. Every rule that concerns all tasks of a job together uses it:
//
//   - A committed booking counts as it is in the cache until its release is committed. Only a
//     booking whose attempt is proven stopped is released (isProvenStopped).
//   - A change in the draft counts in place of the committed record: one plan may look at a job
//     several times, and its commit is carried out completely or not at all.
//   - An in-doubt commit of this controller does not count. It and the draft exclude each other
//     (in_doubt.go): if that commit was carried out, the draft's will not be.
//   - Commits of other leaders count once they are in the cache. Those of earlier leaders were
//     conditional on an older view, so they were carried out, if at all, before the present
//     view was written, and a cache that has the view has them, too.

// placement counts a job's tasks by state.
type placement struct {
	queued, booked, done int
}

// placementOf counts a job's tasks by state as they would be after the draft.
func placementOf(j *Job, d *draft) placement {
	counts := j.counts
	d.eachCopied(j, func(committed, drafted *domain.Task) {
		counts.count(committed.State, -1)
		counts.count(drafted.State, 1)
	})
	return counts
}

// count adds n tasks of a state; n may be negative.
func (p *placement) count(state domain.TaskState, n int) {
	switch state {
	case domain.Queued:
		p.queued += n
	case domain.Booked:
		p.booked += n
	case domain.Done:
		p.done += n
	}
}

// bookedZones counts a job's booked tasks by zone as they would be after the draft. Zones without
// a booked task are left out.
func bookedZones(j *Job, d *draft) map[string]int {
	zones := map[string]int{}
	for i := range j.Tasks {
		countZone(zones, &j.Tasks[i], 1)
	}
	d.eachCopied(j, func(committed, drafted *domain.Task) {
		countZone(zones, committed, -1)
		countZone(zones, drafted, 1)
	})
	return zones
}

// countZone adds n to the count of a task's zone if the task is booked.
func countZone(zones map[string]int, task *domain.Task, n int) {
	if task.State != domain.Booked {
		return
	}
	if zones[task.Zone] += n; zones[task.Zone] == 0 {
		delete(zones, task.Zone)
	}
}

// eachCopied calls visit for each task of the job that the draft has a copy of. The draft may be
// nil.
func (d *draft) eachCopied(j *Job, visit func(committed, drafted *domain.Task)) {
	if d == nil || !d.c.isGuardEnabled(GuardDraft) {
		return
	}
	for _, from := range d.copiedCells[j.ID] {
		cell := d.cells[cellRef{j.ID, from}]
		for i := range cell {
			committed := j.task(from + i)
			visit(&committed, &cell[i])
		}
	}
}

// oneZoneChoices returns the zones that further tasks of a job may go to if all its tasks must be
// in one zone, given its booked ones: all zones if none is booked, else the zone of the booked
// ones. If these are in several zones, as earlier versions could leave them, it returns none: a
// start in any zone would break the rule until the tasks in the others have ended.
func oneZoneChoices(booked map[string]int, all []string) []string {
	if len(booked) == 0 {
		return all
	}
	if len(booked) > 1 {
		return nil
	}
	for zone := range booked {
		return []string{zone}
	}
	return nil
}

// mostPerZone returns how many tasks of a job may be in one zone if they must be spread over
// zones: half of them, rounded up.
func mostPerZone(spec *domain.JobSpec) int { return (spec.TaskCount + 1) / 2 }
