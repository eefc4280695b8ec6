package scheduler

import (
	"testing"

	"brassglade/internal/tardiness"
)

// TestLargestJobIsPostponed: when not all can be in time, the largest job gives way.
func TestLargestJobIsPostponed(t *testing.T) {
	newJob := func(work, goal float64) *rankedJob {
		return &rankedJob{timing: tardiness.Job{Run: 10, Work: work}, objectiveTimes: []float64{goal, 2 * goal}}
	}
	large, small, second, hopeless := newJob(60, 80), newJob(10, 40), newJob(15, 90), newJob(5, 4)
	assignObjectives([]*rankedJob{large, small, second, hopeless})
	if small.objective != 0 || second.objective != 0 {
		t.Errorf("small jobs at tiers %d, %d", small.objective, second.objective)
	}
	if large.objective != 1 {
		t.Errorf("the large job at tier %d", large.objective)
	}
	if hopeless.objective != 2 {
		t.Errorf("a job late even alone at tier %d", hopeless.objective)
	}
}

// TestJobsTryTheirNextObjective: jobs that would be late for their first aims are put down for their second ones
// behind the work of all that meet their first.
func TestJobsTryTheirNextObjective(t *testing.T) {
	first := &rankedJob{timing: tardiness.Job{Work: 8}, objectiveTimes: []float64{10}}
	second := &rankedJob{timing: tardiness.Job{Work: 9}, objectiveTimes: []float64{10, 18}}
	third := &rankedJob{timing: tardiness.Job{Work: 9}, objectiveTimes: []float64{10, 16}}
	assignObjectives([]*rankedJob{first, second, third})
	if first.objective != 0 || second.objective != 1 || third.objective != 2 {
		t.Errorf("tiers %d, %d, %d", first.objective, second.objective, third.objective)
	}
}
