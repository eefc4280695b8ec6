package scheduler

import (
	"testing"

	"brassglade/internal/tardiness"
)

// TestLargestJobIsPostponed checks that the largest job is postponed if not all jobs can meet their
// first objectives.
func TestLargestJobIsPostponed(t *testing.T) {
	newJob := func(work, seconds float64) *rankedJob {
		return &rankedJob{timing: tardiness.Job{RunTime: 10, Work: work}, timesLeft: []float64{seconds, 2 * seconds}}
	}
	large, small, second, hopeless := newJob(60, 80), newJob(10, 40), newJob(15, 90), newJob(5, 4)
	assignObjectives([]*rankedJob{large, small, second, hopeless})
	if small.objective != 0 || second.objective != 0 {
		t.Errorf("small jobs have objectives %d and %d, want 0", small.objective, second.objective)
	}
	if large.objective != 1 {
		t.Errorf("the large job has objective %d, want 1", large.objective)
	}
	if hopeless.objective != 2 {
		t.Errorf("a job that is late even alone has objective %d, want 2 (none)", hopeless.objective)
	}
}

// TestJobsTryTheirNextObjective checks that jobs that would be late for their first objectives are
// assigned to their second ones, after the work of all jobs that meet their first.
func TestJobsTryTheirNextObjective(t *testing.T) {
	first := &rankedJob{timing: tardiness.Job{Work: 8}, timesLeft: []float64{10}}
	second := &rankedJob{timing: tardiness.Job{Work: 9}, timesLeft: []float64{10, 18}}
	third := &rankedJob{timing: tardiness.Job{Work: 9}, timesLeft: []float64{10, 16}}
	assignObjectives([]*rankedJob{first, second, third})
	if first.objective != 0 || second.objective != 1 || third.objective != 2 {
		t.Errorf("objectives %d, %d, %d, want 0, 1, 2", first.objective, second.objective, third.objective)
	}
}
