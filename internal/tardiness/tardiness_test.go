package tardiness

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestMinimumNumberOfLateJobs compares the rule with all ways to choose which jobs are late.
func TestMinimumNumberOfLateJobs(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for round := range 300 {
		jobs := make([]*Job, 1+r.IntN(8))
		for i := range jobs {
			jobs[i] = &Job{Work: float64(1 + r.IntN(20)), TimeLeft: float64(1 + r.IntN(60))}
		}
		most := 0
		for chosen := range 1 << len(jobs) {
			if n, ok := inTime(jobs, chosen); ok {
				most = max(most, n)
			}
		}
		FewestLate(slices.Clone(jobs), 0)
		kept := 0
		for i, job := range jobs {
			if !job.Late {
				kept |= 1 << i
			}
		}
		if n, ok := inTime(jobs, kept); !ok || n != most {
			t.Fatalf("round %d: %d jobs chosen to be in time (all are: %t), %d could be", round, n, ok, most)
		}
	}
}

// inTime counts the chosen jobs, a bit for each, and tells whether all of them are in time
// one after the other.
func inTime(jobs []*Job, chosen int) (n int, ok bool) {
	var in []*Job
	for i, job := range jobs {
		if chosen&(1<<i) != 0 {
			in = append(in, job)
		}
	}
	slices.SortFunc(in, func(a, b *Job) int { return int(a.TimeLeft - b.TimeLeft) })
	end := 0.0
	for _, job := range in {
		if end += job.Work; end > job.TimeLeft {
			return len(in), false
		}
	}
	return len(in), true
}

func TestFewestLate(t *testing.T) {
	for name, x := range map[string]struct {
		jobs  []Job
		begin float64
		late  []bool
		end   float64
	}{
		"none":                         {nil, 3, nil, 3},
		"just in time":                 {[]Job{{TimeLeft: 10, Work: 7, RunTime: 3}}, 0, []bool{false}, 7},
		"late by its run time":         {[]Job{{TimeLeft: 10, Work: 7, RunTime: 4}}, 0, []bool{true}, 0},
		"late even alone":              {[]Job{{TimeLeft: 10, Work: 1, RunTime: 11}}, 5, []bool{true}, 5},
		"late by a late begin":         {[]Job{{TimeLeft: 10, Work: 7, RunTime: 3}}, 1, []bool{true}, 1},
		"the most work gives way":      {[]Job{{TimeLeft: 20, Work: 15}, {TimeLeft: 22, Work: 6}, {TimeLeft: 23, Work: 6}}, 0, []bool{true, false, false}, 12},
		"of equal work the first does": {[]Job{{TimeLeft: 12, Work: 8}, {TimeLeft: 10, Work: 8}}, 0, []bool{false, true}, 8},
		"of equals the first does":     {[]Job{{TimeLeft: 10, Work: 8}, {TimeLeft: 10, Work: 8}}, 0, []bool{true, false}, 8},
		"an old answer is forgotten":   {[]Job{{TimeLeft: 10, Work: 8, Late: true}}, 0, []bool{false}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			var jobs []*Job
			for i := range x.jobs {
				jobs = append(jobs, &x.jobs[i])
			}
			end := FewestLate(jobs, x.begin)
			var late []bool
			for i := range x.jobs {
				late = append(late, x.jobs[i].Late)
			}
			if !slices.Equal(late, x.late) || end != x.end {
				t.Errorf("late: %t, the others end at %g; want %t, %g", late, end, x.late, x.end)
			}
		})
	}
}
