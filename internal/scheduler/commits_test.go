package scheduler

import (
	"math"
	"testing"
	"time"

	"brassglade/internal/tuning"
)

// TestBudgetOfChangesGrowsBack: the budget of changes grows back, by a second's worth at most, and who becomes
// leader or is no longer starts at the full rate.
func TestBudgetOfChangesGrowsBack(t *testing.T) {
	const most = 8.0
	for name, test := range map[string]struct {
		before               commits
		elapsed              time.Duration
		isLeader             bool
		wantRate, wantTokens float64
	}{
		"half a second":                  {commits{rate: most}, 500 * time.Millisecond, false, most, most / 2},
		"a minute is worth a second":     {commits{rate: most}, time.Minute, false, most, most},
		"after refusals":                 {commits{rate: 2}, time.Second, false, 2 + tuning.RateRecovery*most, 2 + tuning.RateRecovery*most},
		"never beyond the most":          {commits{rate: most, tokens: 5}, time.Hour, false, most, most},
		"a smaller share of the changes": {commits{rate: 3 * most, tokens: 2 * most}, 0, false, most, most},
		"becomes leader, after refusals": {commits{rate: 2}, 0, true, most, 0},
		"still leads, after refusals":    {commits{rate: 2, leaderRate: true}, 0, true, 2, 0},
		"leads no longer":                {commits{rate: 2, leaderRate: true}, 0, false, most, 0},
		"owes changes":                   {commits{rate: most, tokens: -most}, 500 * time.Millisecond, false, most, -most / 2},
	} {
		t.Run(name, func(t *testing.T) {
			budget := test.before
			budget.tokensAt = time.Minute
			budget.refill(time.Minute+test.elapsed, most, test.isLeader)
			if math.Abs(budget.rate-test.wantRate) > 1e-9 || math.Abs(budget.tokens-test.wantTokens) > 1e-9 {
				t.Errorf("rate %g, %g tokens; want %g, %g", budget.rate, budget.tokens, test.wantRate, test.wantTokens)
			}
			if budget.leaderRate != test.isLeader || budget.tokensAt != time.Minute+test.elapsed {
				t.Errorf("leader's rate %v at %v", budget.leaderRate, budget.tokensAt)
			}
		})
	}
}
