package simulation

import (
	"fmt"
	"testing"
)

// TestLateAndMissingMachines makes the machines of a zone come up late, or never, while jobs wait.
// Machines that never come up must be returned, no more may be rented than the jobs need, and
// jobs that may run in another zone must do so.
func TestLateAndMissingMachines(t *testing.T) {
	for _, how := range []string{"late", "never"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{1, 2, 3}
			for i, c := range expectCleanRuns(t, seeds, func(seed uint64) string { return slowBootScenario(seed, how) }) {
				if c.occurrences["up late"]+c.occurrences["never up"] == 0 {
					t.Fatalf("seed %d: no machine was rented in that zone", seeds[i])
				}
				// 24 tasks that need a quarter of a machine each fill six machines.
				if never := c.countNeverUp(); len(c.workers) > 18 || never > 0 {
					t.Errorf("seed %d: %d machines rented, want at most 18; %d never came up and were not returned", seeds[i], len(c.workers), never)
				}
				for k := 1; k <= 6; k++ {
					if starts := c.firstRunTimes(fmt.Sprintf("job-%06d", k)); len(starts) < 4 || starts[3] > 100 {
						t.Errorf("seed %d: the tasks of job %d first ran at %.0f s, want four by 100 s", seeds[i], k, starts)
					}
				}
			}
		})
	}
}

// slowBootScenario returns a script with six arrays of four tasks, in which the machines that are
// rented in zone a in the first minute come up late or never.
func slowBootScenario(seed uint64, how string) string {
	s := fmt.Sprintf("seed %d\nat 0 boots a %s for=60\n", seed, how)
	for k := 1; k <= 6; k++ {
		s += fmt.Sprintf("at %d submit job-%06d array 4 blue run=30\n", 2+3*k, k)
	}
	return s + "until 400\n"
}

// countNeverUp counts the machines that are still rented and have not come up.
func (c *Cluster) countNeverUp() int {
	n := 0
	for _, w := range c.workers {
		if !w.isUp && !w.isGone {
			n++
		}
	}
	return n
}
