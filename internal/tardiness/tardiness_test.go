package tardiness

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestMinimumNumberOfLateJobs compares the algorithm's result with all possible choices of late jobs.
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
			t.Fatalf("round %d: %d jobs chosen to be on time (all of them are: %t), the maximum is %d", round, n, ok, most)
		}
	}
}

// inTime returns the number of chosen jobs, which are given by a bit each, and reports whether all of
// them are on time if they are done one after the other.
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
		"no jobs":                                    {nil, 3, nil, 3},
		"exactly on time":                            {[]Job{{TimeLeft: 10, Work: 7, RunTime: 3}}, 0, []bool{false}, 7},
		"late because of its run time":               {[]Job{{TimeLeft: 10, Work: 7, RunTime: 4}}, 0, []bool{true}, 0},
		"run time exceeds the time left":             {[]Job{{TimeLeft: 10, Work: 1, RunTime: 11}}, 5, []bool{true}, 5},
		"late because of the begin":                  {[]Job{{TimeLeft: 10, Work: 7, RunTime: 3}}, 1, []bool{true}, 1},
		"the job with the most work is late":         {[]Job{{TimeLeft: 20, Work: 15}, {TimeLeft: 22, Work: 6}, {TimeLeft: 23, Work: 6}}, 0, []bool{true, false, false}, 12},
		"of equal work the earlier deadline is late": {[]Job{{TimeLeft: 12, Work: 8}, {TimeLeft: 10, Work: 8}}, 0, []bool{false, true}, 8},
		"of equal jobs the first is late":            {[]Job{{TimeLeft: 10, Work: 8}, {TimeLeft: 10, Work: 8}}, 0, []bool{true, false}, 8},
		"an earlier result is overwritten":           {[]Job{{TimeLeft: 10, Work: 8, Late: true}}, 0, []bool{false}, 8},
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
				t.Errorf("late: %t, the work of the others ends at %g; want %t, %g", late, end, x.late, x.end)
			}
		})
	}
}
