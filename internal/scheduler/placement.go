package scheduler

import (
	"brassglade/internal/domain"
)

// This file is the one place that answers where a job's tasks are, seen from a draft (nil:
// as committed). Every rule about a job's tasks together asks it:
//
//   - Committed bookings count as the cache has them, until their release is committed.
//     A release is drafted only for what is proven off its machine (provenOff).
//   - What the draft holds counts in place of the committed record: one plan may look at
//     a job several times, and its commit is carried out as a whole or not at all.
//   - A commit of this node whose outcome is unknown doesn't count. The draft and that
//     commit exclude each other (markInDoubt): if it was carried out, this one won't be.
//   - Another leader's commits count once they are in the cache. Those that aren't were
//     conditional on an older view, and all such come before this node's view.

// placement counts a job's tasks by state.
type placement struct {
	queued, booked, done int
}

// placementOf counts a job's tasks as the draft would leave them.
func (c *Controller) placementOf(j *Job, d *draft) placement {
	p := j.counts
	d.eachCopied(j, func(committed, drafted *domain.Task) {
		p.count(committed.State, -1)
		p.count(drafted.State, 1)
	})
	return p
}

// count adds k tasks of a state.
func (p *placement) count(s domain.TaskState, k int) {
	switch s {
	case domain.Queued:
		p.queued += k
	case domain.Booked:
		p.booked += k
	case domain.Done:
		p.done += k
	}
}

// bookedZones counts a job's booked tasks by zone as the draft would leave them. A zone
// without any is not listed.
func (c *Controller) bookedZones(j *Job, d *draft) map[string]int {
	zones := map[string]int{}
	count := func(t *domain.Task, k int) {
		if t.State != domain.Booked {
			return
		}
		if zones[t.Zone] += k; zones[t.Zone] == 0 {
			delete(zones, t.Zone)
		}
	}
	for i := range j.Tasks {
		count(&j.Tasks[i], 1)
	}
	d.eachCopied(j, func(committed, drafted *domain.Task) {
		count(committed, -1)
		count(drafted, 1)
	})
	return zones
}

// eachCopied calls f for each task of which the draft has a copy.
func (d *draft) eachCopied(j *Job, f func(committed, drafted *domain.Task)) {
	if d == nil || !d.c.guard(GuardDraft) {
		return
	}
	for _, from := range d.copiedCells[j.ID] {
		cell := d.cells[cellRef{j.ID, from}]
		for i := range cell {
			committed := j.task(from + i)
			f(&committed, &cell[i])
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
func mostPerZone(sp *domain.JobSpec) int { return (sp.TaskCount + 1) / 2 }
