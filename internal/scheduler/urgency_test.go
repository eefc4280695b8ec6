package scheduler

import (
	"testing"

	"brassglade/internal/tardiness"
)

// TestTheLargestJobGivesWay: when not all can be in time, the largest job gives way.
func TestTheLargestJobGivesWay(t *testing.T) {
	newJob := func(work, goal float64) *urgent {
		return &urgent{timing: tardiness.Job{RunTime: 10, Work: work}, goals: []float64{goal, 2 * goal}}
	}
	large, small, second, hopeless := newJob(60, 80), newJob(10, 40), newJob(15, 90), newJob(5, 4)
	assignTiers([]*urgent{large, small, second, hopeless})
	if small.tier != 0 || second.tier != 0 {
		t.Errorf("small jobs at tiers %d, %d", small.tier, second.tier)
	}
	if large.tier != 1 {
		t.Errorf("the large job at tier %d", large.tier)
	}
	if hopeless.tier != 2 {
		t.Errorf("a job late even alone at tier %d", hopeless.tier)
	}
}

// TestNextAims: jobs that would be late for their first aims are put down for their second ones
// behind the work of all that meet their first.
func TestNextAims(t *testing.T) {
	first := &urgent{timing: tardiness.Job{Work: 8}, goals: []float64{10}}
	second := &urgent{timing: tardiness.Job{Work: 9}, goals: []float64{10, 18}}
	third := &urgent{timing: tardiness.Job{Work: 9}, goals: []float64{10, 16}}
	assignTiers([]*urgent{first, second, third})
	if first.tier != 0 || second.tier != 1 || third.tier != 2 {
		t.Errorf("tiers %d, %d, %d", first.tier, second.tier, third.tier)
	}
}
