package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"brassglade/internal/policy"
)

// TestLeastLoaded checks that the choices with the lowest sum of load and cost are kept in their
// order, without removed choices, and no more than the limit even if several have equal sums.
func TestLeastLoaded(t *testing.T) {
	removed := policy.Choice{Name: "removed", Load: math.Inf(1), Ref: noTarget}
	all := []policy.Choice{
		{Name: "a", Load: 5, Ref: 0}, removed, {Name: "b", Load: 1, Cost: 1, Ref: 2},
		{Name: "c", Load: 0, Ref: 3}, {Name: "d", Load: 2, Ref: 4}, {Name: "e", Load: 2, Ref: 5},
	}
	for _, test := range []struct {
		most int
		want []string
	}{
		{1, []string{"c"}},
		{2, []string{"b", "c"}},
		{3, []string{"b", "c", "d"}},
		{4, []string{"b", "c", "d", "e"}},
		{5, []string{"a", "b", "c", "d", "e"}},
		{16, []string{"a", "b", "c", "d", "e"}},
	} {
		t.Run(fmt.Sprint(test.most), func(t *testing.T) {
			var names []string
			for _, choice := range leastLoaded(all, test.most) {
				names = append(names, choice.Name)
			}
			if !slices.Equal(names, test.want) {
				t.Errorf("%d least loaded choices: %v, want %v", test.most, names, test.want)
			}
		})
	}
	if got := leastLoaded([]policy.Choice{removed}, 4); got != nil {
		t.Errorf("result %v for removed choices only, want nil", got)
	}
}

// TestPlaceRounds checks that when resources are scarce each job has two rounds, the first only on
// machines with its image, and that jobs that can't meet any objective come last. Otherwise there
// is one round for all jobs.
func TestPlaceRounds(t *testing.T) {
	if got := placeRounds(false); !slices.Equal(got, []placeRound{{}}) {
		t.Errorf("rounds if resources are not scarce: %+v, want one round for all jobs", got)
	}
	inTime, late := &Job{}, &Job{beyondObjectives: true}
	var seen []bool // by round, whether it includes the late job
	for _, round := range placeRounds(true) {
		if round.includes(inTime) == round.includes(late) {
			t.Fatalf("round %+v includes both jobs or neither", round)
		}
		if round.cached != (len(seen)%2 == 0) {
			t.Errorf("round %d is limited to machines with the image: %t", len(seen), round.cached)
		}
		seen = append(seen, round.includes(late))
	}
	if !slices.Equal(seen, []bool{false, false, true, true}) {
		t.Errorf("rounds that include the late job: %v, want the last two of four", seen)
	}
	if round := placeRounds(false)[0]; !round.includes(inTime) || !round.includes(late) {
		t.Error("the only round does not include all jobs")
	}
}
