package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"brassglade/internal/policy"
)

// TestLeastLoaded: of the choices that the mask left those of least load and cost are drawn
// among, in their order, and no more than asked for even among equals.
func TestLeastLoaded(t *testing.T) {
	masked := policy.Choice{Name: "masked", Load: math.Inf(1), Ref: noTarget}
	all := []policy.Choice{
		{Name: "a", Load: 5, Ref: 0}, masked, {Name: "b", Load: 1, Cost: 1, Ref: 2},
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
				t.Errorf("%d least loaded: %v, not %v", test.most, names, test.want)
			}
		})
	}
	if got := leastLoaded([]policy.Choice{masked}, 4); got != nil {
		t.Errorf("all masked: %v", got)
	}
}

// TestPlaceRounds: where every slot is wanted each job has two rounds, first on machines with
// its image, and those late beyond all aims come last; otherwise there is one round for all.
func TestPlaceRounds(t *testing.T) {
	if got := placeRounds(false); !slices.Equal(got, []placeRound{{}}) {
		t.Errorf("with room: %+v", got)
	}
	inTime, late := &Job{}, &Job{beyondObjectives: true}
	var seen []bool // late, by round
	for _, round := range placeRounds(true) {
		if round.includes(inTime) == round.includes(late) {
			t.Fatalf("round %+v is for both or none", round)
		}
		if round.cached != (len(seen)%2 == 0) {
			t.Errorf("round %d is cached: %t", len(seen), round.cached)
		}
		seen = append(seen, round.includes(late))
	}
	if !slices.Equal(seen, []bool{false, false, true, true}) {
		t.Errorf("late jobs in rounds %v", seen)
	}
	if round := placeRounds(false)[0]; !round.includes(inTime) || !round.includes(late) {
		t.Error("the one round is not for all")
	}
}
