package scheduler

import (
	"math"
	"testing"
	"time"

	"brassglade/internal/tuning"
)

// TestWriteTokensRefill: tokens accrue up to one second's worth, a rate that refusals reduced
// grows back, and a controller that becomes the leader, or stops being it, starts at its full
// rate.
func TestWriteTokensRefill(t *testing.T) {
	const fullRate = 8.0
	for name, test := range map[string]struct {
		before               commits
		elapsed              time.Duration
		isLeader             bool
		wantRate, wantTokens float64
	}{
		"half a second":                  {commits{rate: fullRate}, 500 * time.Millisecond, false, fullRate, fullRate / 2},
		"at most one second's worth":     {commits{rate: fullRate}, time.Minute, false, fullRate, fullRate},
		"after refusals":                 {commits{rate: 2}, time.Second, false, 2 + tuning.RateRecovery*fullRate, 2 + tuning.RateRecovery*fullRate},
		"at most the full rate":          {commits{rate: fullRate, tokens: 5}, time.Hour, false, fullRate, fullRate},
		"full rate became smaller":       {commits{rate: 3 * fullRate, tokens: 2 * fullRate}, 0, false, fullRate, fullRate},
		"becomes leader, after refusals": {commits{rate: 2}, 0, true, fullRate, 0},
		"remains leader, after refusals": {commits{rate: 2, isLeaderRate: true}, 0, true, 2, 0},
		"stops being leader":             {commits{rate: 2, isLeaderRate: true}, 0, false, fullRate, 0},
		"negative tokens":                {commits{rate: fullRate, tokens: -fullRate}, 500 * time.Millisecond, false, fullRate, -fullRate / 2},
	} {
		t.Run(name, func(t *testing.T) {
			state := test.before
			state.tokensAt = time.Minute
			state.refill(time.Minute+test.elapsed, fullRate, test.isLeader)
			if math.Abs(state.rate-test.wantRate) > 1e-9 || math.Abs(state.tokens-test.wantTokens) > 1e-9 {
				t.Errorf("rate %g, %g tokens; want %g, %g", state.rate, state.tokens, test.wantRate, test.wantTokens)
			}
			if state.isLeaderRate != test.isLeader || state.tokensAt != time.Minute+test.elapsed {
				t.Errorf("leader's rate: %v, tokens refilled at %v", state.isLeaderRate, state.tokensAt)
			}
		})
	}
}
