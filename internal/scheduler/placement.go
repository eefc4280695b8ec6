package scheduler

import (
	"brassglade/internal/domain"
)

// This file is the one place that answers where a job's tasks are, seen from a draft (nil:
// as committed). Every rule about a job's tasks together asks it:
//
//   - Committed bookings count as the cache has them, until their release is committed.
//     A release is drafted only for what is proven off its machine (isProvenOff).
//   - What is in the draft counts in place of the committed record: one plan may look at
//     a job several times, and its commit is carried out as a whole or not at all.
//   - A commit of this controller that is in doubt doesn't count. The draft and that commit
//     exclude each other (in_doubt.go): if it was carried out, this one won't be.
//   - Another leader's commits count once they are in the cache. Those that aren't were
//     conditional on an older view, and all such come before this controller's view.

// placement counts a job's tasks by state.
type placement struct {
	queued, booked, done int
}

// placementOf counts a job's tasks as the draft would leave them.
func placementOf(j *Job, d *draft) placement {
	counts := j.counts
	d.eachCopied(j, func(committed, drafted *domain.Task) {
		counts.count(committed.State, -1)
		counts.count(drafted.State, 1)
	})
	return counts
}

// count adds n tasks of a state; n < 0: takes them away.
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

// bookedZones counts a job's booked tasks by zone as the draft would leave them. A zone
// without any is not listed.
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

// countZone adds a task n times to its zone if it is booked.
func countZone(zones map[string]int, task *domain.Task, n int) {
	if task.State != domain.Booked {
		return
	}
	if zones[task.Zone] += n; zones[task.Zone] == 0 {
		delete(zones, task.Zone)
	}
}

// eachCopied calls visit for each task of the job that the draft (nil: none) has a copy of.
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

// oneZoneChoices are the zones that further tasks of a job may go to whose tasks must all
// be in one, given its booked ones: any of all while there are none, then theirs. No zone
// where they are in several, as earlier versions could leave them: a start in any of these
// would break the rule until the tasks in the others have ended.
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

// mostPerZone is how many tasks of a job may be in one zone whose tasks must be spread:
// at most half, rounded up.
func mostPerZone(spec *domain.JobSpec) int { return (spec.TaskCount + 1) / 2 }
