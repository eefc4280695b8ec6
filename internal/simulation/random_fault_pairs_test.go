package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// pairableFaults are the faults that are combined in pairs. Each function returns the script
// lines of one fault at a time in seconds.
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

// faultPairScenario returns a script of mixed jobs and five pairs of random faults; the second
// fault of a pair begins up to 3 s after the first.
func faultPairScenario(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 53))
	s := fmt.Sprintf("seed %d\nat 1 looks for=600\n", seed)
	if seed%3 == 0 {
		s += "zones\n"
	}
	s += mixedLoad(r, 26, 190)
	for at := 35.0; at < 200; at += 38 {
		first, second := r.IntN(len(pairableFaults)), r.IntN(len(pairableFaults))
		s += pairableFaults[first](r, at) + pairableFaults[second](r, at+3*r.Float64())
	}
	return s + "until 900\n"
}

// TestRandomFaultPairs plays random pairs of faults, five pairs a scenario, while users query all
// controllers after each change that they learn of. With the last two seeds, jobs once kept
// waiting although machines had room for them.
func TestRandomFaultPairs(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 138, 229} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := faultPairScenario(seed)
			c := mustPlay(t, script)
			expectCleanRun(t, c, "script\n%s", script)
			if c.occurrences["answer to a close look"] < 100 || c.TaskStarts() < 40 {
				t.Errorf("%d tasks started, want at least 40; occurrences: %v", c.TaskStarts(), c.occurrences)
			}
		})
	}
}
