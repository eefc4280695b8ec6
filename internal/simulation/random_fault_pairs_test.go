package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// pairableFaults are one line or two each, for days that pair any two of them.
var pairableFaults = []func(r *rand.Rand, at float64) string{
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash leader back=%.1f", oneOf(r, 0.2, 4))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash %s back=%.1f", randomController(r), oneOf(r, 0.2, 4))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash all back=%.1f", oneOf(r, 0.3, 3, 24))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cut %s state %s for=%d", randomController(r), randomCutMode(r), 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cut %s * %s for=%d", randomController(r), randomCutMode(r), 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "state down for=%d", 3+r.IntN(45)) },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "state refuse leader for=%d", 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "slow for=%d by=1.4", 5+r.IntN(25)) },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "freeze %s for=%d", randomController(r), 2+r.IntN(30))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "late all for=%d share=0.4", 5+r.IntN(20))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "lost all for=%d share=0.4", 5+r.IntN(20))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cloud down for=30") + scriptLine(at+1, "take %s", randomMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "hang %s for=%d", randomMachine(r), 3+r.IntN(25)) + scriptLine(at+1, "notice %s in=6", randomMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "deaf %s for=%d", randomMachine(r), 5+r.IntN(35)) + scriptLine(at, "mute %s for=%d", randomMachine(r), 5+r.IntN(35))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "keep %s for=30", randomMachine(r)) + scriptLine(at+6, "crash leader back=4") + scriptLine(at, "copies %s for=20 most=40", randomMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "calloff %d hang=%d", 2+r.IntN(3), 25*r.IntN(2))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "endings for=20 share=0.7") },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "odd for=20") + scriptLine(at, "quick for=20")
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cutzone %s %s for=%d", oneOf(r, "a", "b"), randomCutMode(r), 5+r.IntN(35))
	},
}

// faultPairScenario is a day of mixed work with five pairs of troubles.
func faultPairScenario(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 53))
	s := fmt.Sprintf("seed %d\nat 1 looks for=600\n", seed)
	if seed%3 == 0 {
		s += "zones\n"
	}
	s += mixedLoad(r, 26, 190)
	for at := 35.0; at < 200; at += 38 {
		a, b := r.IntN(len(pairableFaults)), r.IntN(len(pairableFaults))
		s += pairableFaults[a](r, at) + pairableFaults[b](r, at+3*r.Float64())
	}
	return s + "until 900\n"
}

// TestRandomFaultPairs pairs troubles at random, five pairs a day, while users look
// closely at all that happens. On the last two days jobs were left waiting beside room.
func TestRandomFaultPairs(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 138, 229} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := faultPairScenario(seed)
			c := mustPlay(t, s)
			expectCleanRun(t, c, "on\n%s", s)
			if c.occurrences["answer to a close look"] < 100 || c.Starts() < 40 {
				t.Errorf("%d starts, %v", c.Starts(), c.occurrences)
			}
		})
	}
}
