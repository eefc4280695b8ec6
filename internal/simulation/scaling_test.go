package simulation

import (
	"fmt"
	"testing"
)

// TestLateAndMissingMachines: a zone's machines come up late, or never, while
// jobs wait. Those that never come are returned, as many are rented as are needed, and
// jobs that may run elsewhere do.
func TestLateAndMissingMachines(t *testing.T) {
	for _, how := range []string{"late", "never"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{1, 2, 3}
			for i, c := range expectCleanRuns(t, seeds, func(seed uint64) string { return slowBootScenario(seed, how) }) {
				if c.occurrences["up late"]+c.occurrences["never up"] == 0 {
					t.Fatalf("seed %d: no machine was rented in that zone", seeds[i])
				}
				// 24 tasks of a quarter of a machine each need six.
				if never := c.countNeverUp(); len(c.workers) > 18 || never > 0 {
					t.Errorf("seed %d: %d machines rented, %d never came up and are still paid for", seeds[i], len(c.workers), never)
				}
				for k := 1; k <= 6; k++ {
					if starts := c.firstRunTimes(fmt.Sprintf("job-%06d", k)); len(starts) < 4 || starts[3] > 100 {
						t.Errorf("seed %d: job %d ran at %.0f s", seeds[i], k, starts)
					}
				}
			}
		})
	}
}

// slowBootScenario has six arrays of four tasks, while machines of zone a come up late or never.
func slowBootScenario(seed uint64, how string) string {
	s := fmt.Sprintf("seed %d\nat 0 boots a %s for=60\n", seed, how)
	for k := 1; k <= 6; k++ {
		s += fmt.Sprintf("at %d submit job-%06d array 4 blue run=30\n", 2+3*k, k)
	}
	return s + "until 400\n"
}

// countNeverUp counts the machines that are paid for and have not come up.
func (c *Cluster) countNeverUp() int {
	n := 0
	for _, w := range c.workers {
		if !w.isUp && !w.isGone {
			n++
		}
	}
	return n
}
