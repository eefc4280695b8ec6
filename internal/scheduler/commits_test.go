package scheduler

import (
	"math"
	"testing"
	"time"

	"brassglade/internal/tuning"
)

// TestRefill: the budget of changes grows back, by a second's worth at most, and who becomes
// leader or is no longer starts at the full rate.
func TestRefill(t *testing.T) {
	const most = 8.0
	for name, x := range map[string]struct {
		before               commits
		elapsed              time.Duration
		isLeader             bool
		wantRate, wantTokens float64
	}{
		"half a second":                  {commits{rate: most}, 500 * time.Millisecond, false, most, most / 2},
		"a minute is worth a second":     {commits{rate: most}, time.Minute, false, most, most},
		"after refusals":                 {commits{rate: 2}, time.Second, false, 2 + tuning.RateRegain*most, 2 + tuning.RateRegain*most},
		"never beyond the most":          {commits{rate: most, tokens: 5}, time.Hour, false, most, most},
		"a smaller part of the changes":  {commits{rate: 3 * most, tokens: 2 * most}, 0, false, most, most},
		"becomes leader, after refusals": {commits{rate: 2}, 0, true, most, 0},
		"still leads, after refusals":    {commits{rate: 2, leaderRate: true}, 0, true, 2, 0},
		"leads no longer":                {commits{rate: 2, leaderRate: true}, 0, false, most, 0},
		"owes changes":                   {commits{rate: most, tokens: -most}, 500 * time.Millisecond, false, most, -most / 2},
	} {
		k := x.before
		k.tokensAt = time.Minute
		k.refill(time.Minute+x.elapsed, most, x.isLeader)
		if math.Abs(k.rate-x.wantRate) > 1e-9 || math.Abs(k.tokens-x.wantTokens) > 1e-9 {
			t.Errorf("%s: rate %g, %g tokens; want %g, %g", name, k.rate, k.tokens, x.wantRate, x.wantTokens)
		}
		if k.leaderRate != x.isLeader || k.tokensAt != time.Minute+x.elapsed {
			t.Errorf("%s: leader's rate %v at %v", name, k.leaderRate, k.tokensAt)
		}
	}
}
