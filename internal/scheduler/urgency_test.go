package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestTiers: when not all can be in time, the largest job gives way.
func TestTiers(t *testing.T) {
	mk := func(work, goal float64) *urgent {
		return &urgent{run: 10, work: work, goals: []float64{goal, 2 * goal}}
	}
	big, s1, s2, hopeless := mk(60, 80), mk(10, 40), mk(15, 90), mk(5, 4)
	assignTiers([]*urgent{big, s1, s2, hopeless})
	if s1.tier != 0 || s2.tier != 0 {
		t.Errorf("small jobs at tiers %d, %d", s1.tier, s2.tier)
	}
	if big.tier != 1 {
		t.Errorf("the large job at tier %d", big.tier)
	}
	if hopeless.tier != 2 {
		t.Errorf("a job late even alone at tier %d", hopeless.tier)
	}
}

// TestFewestLate compares Moore and Hodgson's rule with all ways to choose which jobs are late:
// none has fewer.
func TestFewestLate(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for round := 0; round < 300; round++ {
		jobs := make([]*urgent, 1+r.IntN(8))
		for i := range jobs {
			jobs[i] = &urgent{work: float64(1 + r.IntN(20)), goals: []float64{float64(1 + r.IntN(60))}}
		}
		most := 0
		for chosen := 0; chosen < 1<<len(jobs); chosen++ {
			if n, ok := inTime(jobs, chosen); ok {
				most = max(most, n)
			}
		}
		assignTiers(jobs)
		kept := 0
		for i, u := range jobs {
			if u.tier == 0 {
				kept |= 1 << i
			}
		}
		if n, ok := inTime(jobs, kept); !ok || n != most {
			t.Fatalf("round %d: %d jobs put down to be in time (all are: %t), %d could be", round, n, ok, most)
		}
	}
}

// inTime counts the chosen jobs, and tells whether all of them meet their first aims one
// after the other.
func inTime(jobs []*urgent, chosen int) (n int, ok bool) {
	var in []*urgent
	for i, u := range jobs {
		if chosen&(1<<i) != 0 {
			in = append(in, u)
		}
	}
	slices.SortFunc(in, func(a, b *urgent) int { return int(a.goals[0] - b.goals[0]) })
	end := 0.0
	for _, u := range in {
		if end += u.work; end > u.goals[0] {
			return len(in), false
		}
	}
	return len(in), true
}

// TestNextAims: jobs that would be late for their first aims are put down for their second ones
// behind the work of all that meet their first.
func TestNextAims(t *testing.T) {
	first := &urgent{work: 8, goals: []float64{10}}
	second := &urgent{work: 9, goals: []float64{10, 18}}
	third := &urgent{work: 9, goals: []float64{10, 16}}
	assignTiers([]*urgent{first, second, third})
	if first.tier != 0 || second.tier != 1 || third.tier != 2 {
		t.Errorf("tiers %d, %d, %d", first.tier, second.tier, third.tier)
	}
}
