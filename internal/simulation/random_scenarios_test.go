package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// randomScenario returns a random script of jobs and overlapping faults. drop is the guard to
// disable; empty: none.
func randomScenario(seed uint64, drop string) string {
	r := rand.New(rand.NewPCG(seed, 99))
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", seed)
	b.WriteString(dropGuardLine(drop))
	team := []string{"red", "blue"}
	for i := 0; i < 22; i++ {
		at := 1 + r.IntN(220)
		id := fmt.Sprintf("job-%06d", 100+i)
		switch r.IntN(6) {
		case 0:
			fmt.Fprintf(&b, "at %d submit %s gang %d %s run=%d gpu=2 ckpt=10\n", at, id, 1+r.IntN(3), team[r.IntN(2)], 10+r.IntN(30))
		case 1:
			fmt.Fprintf(&b, "at %d submit %s gang 2 blue run=%d gpu=1 onezone spot\n", at, id, 10+r.IntN(20))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d spot\n", at, id, 1+r.IntN(9), team[r.IntN(2)], 5+r.IntN(90))
		}
		if r.IntN(5) == 0 {
			fmt.Fprintf(&b, "at %d cancel %s\n", at+2+r.IntN(40), id)
		}
	}
	for i := 0; i < 12; i++ {
		at := 30 + r.IntN(220)
		machine := fmt.Sprintf("n-%06d", 1+r.IntN(10))
		switch r.IntN(14) {
		case 11:
			fmt.Fprintf(&b, "at %d deaf %s for=%d\n", at, machine, 20+r.IntN(80))
		case 12:
			fmt.Fprintf(&b, "at %d copies %s for=%d most=%d\n", at, machine, 20+r.IntN(60), 5+r.IntN(50))
		case 13:
			fmt.Fprintf(&b, "at %d cut c-0 state %s for=40\nat %d cut c-0 c-1 drop for=40\nat %d cut c-0 c-2 drop for=40\n", at, randomCutMode(r), at, at)
		case 0:
			fmt.Fprintf(&b, "at %d crash %s back=%.1f\n", at, randomController(r), oneOf(r, 0.2, 4))
		case 1:
			fmt.Fprintf(&b, "at %d crash all back=3\n", at)
		case 2:
			fmt.Fprintf(&b, "at %d cut %s state %s for=%d\n", at, randomController(r), randomCutMode(r), 5+r.IntN(40))
		case 3:
			fmt.Fprintf(&b, "at %d cut %s * %s for=%d\n", at, randomController(r), randomCutMode(r), 5+r.IntN(40))
		case 4:
			fmt.Fprintf(&b, "at %d cut c-0 c-1 %s for=30\nat %d cut c-1 c-2 %s for=25\n", at, randomCutMode(r), at+2, randomCutMode(r))
		case 5:
			fmt.Fprintf(&b, "at %d state down for=%d\n", at, 3+r.IntN(50))
		case 6:
			fmt.Fprintf(&b, "at %d state refuse %s for=%d\n", at, randomController(r), 5+r.IntN(40))
		case 7:
			fmt.Fprintf(&b, "at %d cloud down for=30\n", at)
		case 8:
			fmt.Fprintf(&b, "at %d hang %s for=%d\n", at, machine, 5+r.IntN(30))
		case 9:
			fmt.Fprintf(&b, "at %d take %s\n", at, machine)
		case 10:
			fmt.Fprintf(&b, "at %d notice %s in=6\n", at, machine)
		}
	}
	b.WriteString("until 900\n")
	return b.String()
}

// zoneScenario returns a random script like randomScenario, with zone-bound jobs among the
// others.
func zoneScenario(seed uint64, drop string) string {
	return randomScenario(seed, drop) + zoneBoundLoad(rand.New(rand.NewPCG(seed, 61)), 16, 200)
}

// upgradeScenario returns a random script that begins with the previous version. The controllers
// are replaced one by one during faults, and one that is not replaced yet may crash and come back
// as the previous version. Then the limits of the state service fall. drop is the guard to
// disable; empty: none.
func upgradeScenario(seed uint64, drop string) string {
	r := rand.New(rand.NewPCG(seed, 17))
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\nold\nnext value=1024 ops=4\n", seed)
	b.WriteString(dropGuardLine(drop))
	largeArray, cpu := 60, 1
	if seed%2 == 0 { // more machines, whose packs grow large
		b.WriteString("fill 40\n")
		largeArray, cpu = 250, 8
	}
	for i := 0; i < 26; i++ {
		at, id := 1+r.IntN(200), fmt.Sprintf("job-%06d", 100+i)
		n := 1 + r.IntN(8)
		if i%5 == 0 {
			n = largeArray + r.IntN(160) // fills packs, or is stored in chunks of its own
		}
		if r.IntN(4) == 0 {
			fmt.Fprintf(&b, "at %d submit %s gang %d blue run=%d gpu=1 ckpt=10\n", at, id, 1+r.IntN(3), 10+r.IntN(30))
		} else {
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d gpu=0 cpu=%d spot\n", at, id, n, 5+r.IntN(40), cpu)
		}
	}
	for i, controller := range r.Perm(3) {
		at := 60 + 14*i + r.IntN(6)
		fmt.Fprintf(&b, "at %d upgrade c-%d back=%.1f\n", at, controller, oneOf(r, 0.2, 4))
		if r.IntN(2) == 0 { // another controller, maybe one not replaced yet, crashes
			fmt.Fprintf(&b, "at %d crash c-%d back=%.1f\n", at+5, r.IntN(3), oneOf(r, 0.2, 3))
		}
	}
	for i := 0; i < 4; i++ {
		at, controller := 50+r.IntN(120), fmt.Sprintf("c-%d", r.IntN(3))
		switch r.IntN(7) {
		case 0:
			fmt.Fprintf(&b, "at %d state down for=%d\n", at, 3+r.IntN(40))
		case 1:
			fmt.Fprintf(&b, "at %d crash all back=3\n", at)
		case 2:
			fmt.Fprintf(&b, "at %d cut %s state %s for=%d\n", at, controller, randomCutMode(r), 5+r.IntN(40))
		case 3:
			fmt.Fprintf(&b, "at %d cut %s * %s for=%d\n", at, controller, randomCutMode(r), 5+r.IntN(40))
		case 4:
			fmt.Fprintf(&b, "at %d take n-%06d\n", at, 1+r.IntN(10))
		case 5:
			fmt.Fprintf(&b, "at %d crash %s back=0.2\n", at, controller)
		case 6:
			fmt.Fprintf(&b, "at %d state refuse %s for=%d\n", at, controller, 5+r.IntN(30))
		}
	}
	fmt.Fprintf(&b, "at %d limits\n", 110+r.IntN(60))
	writePipelines(&b, r, 110, 8)
	b.WriteString("until 900\n")
	return b.String()
}

// TestRandomScenarios plays random scenarios of overlapping faults. No rule may be violated, and
// every accepted job must reach a final state.
func TestRandomScenarios(t *testing.T) {
	t.Parallel()
	// The last three seeds broke ran_twice before controllers distinguished new sessions of
	// agents from old ones (docs/incidents/own-day-sessions.md).
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 107, 132, 144}
	expectStarts(t, 800, expectCleanRuns(t, seeds, func(seed uint64) string { return randomScenario(seed, "") }))
}

// TestRandomZoneScenarios plays zone-bound jobs during overlapping faults. No task may start in a
// zone that the other tasks of its job rule out, and all jobs must reach a final state. In
// production two arrays ran in two zones each: docs/incidents/production-wrong-place.md.
func TestRandomZoneScenarios(t *testing.T) {
	t.Parallel()
	// With the last three seeds, jobs once waited without end for machines in zones that they can't use.
	seeds := []uint64{301, 302, 303, 304, 305, 306, 307, 308, 309, 310, 311, 312, 1058, 1110, 1254}
	expectStarts(t, 1500, expectCleanRuns(t, seeds, func(seed uint64) string { return zoneScenario(seed, "") }))
}

// expectStarts requires that at least so many tasks started in all clusters together. With fewer
// the scenarios would test little.
func expectStarts(t *testing.T, atLeast int, clusters []*Cluster) {
	t.Helper()
	starts := 0
	for _, c := range clusters {
		starts += c.TaskStarts()
	}
	if starts < atLeast {
		t.Errorf("only %d tasks started in all scenarios together", starts)
	}
}

// TestRandomPipelines plays random pipelines during overlapping faults. No rule may be violated,
// and every job of a pipeline must reach a final state.
func TestRandomPipelines(t *testing.T) {
	t.Parallel()
	seeds := []uint64{201, 202, 203, 204, 205, 206, 207, 208}
	expectCleanRuns(t, seeds, func(seed uint64) string { return pipelineScenario(seed, "") })
}

// TestRandomUpgrades replaces the previous version during faults, while the limits of the state
// service fall and pipelines are submitted. No rule may be violated, few transactions may be
// refused as too large, and the new format must be turned on.
func TestRandomUpgrades(t *testing.T) {
	t.Parallel()
	refused, shrunk := 0, 0
	seeds := []uint64{1, 3, 5, 4, 8, 12, 14, 22}
	for i, c := range expectCleanRuns(t, seeds, func(seed uint64) string { return upgradeScenario(seed, "") }) {
		refused, shrunk = refused+c.state.refusedAsTooLarge, shrunk+c.shrunkValues
		if c.state.refusedAsTooLarge > 12 {
			t.Errorf("seed %d: %d transactions were refused as too large, want at most 12", seeds[i], c.state.refusedAsTooLarge)
		}
		if !c.isFormatOn() {
			t.Errorf("seed %d: the new format was never turned on", seeds[i])
		}
	}
	if shrunk < 4 {
		t.Errorf("only %d values were made smaller, want at least 4", shrunk)
	}
	t.Logf("%d values made smaller, %d transactions refused as too large in all", shrunk, refused)
}
