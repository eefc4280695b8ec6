package scheduler

import "testing"

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
