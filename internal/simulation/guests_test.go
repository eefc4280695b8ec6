package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// withGuest is the small deployment with a further team that has neither guarantee
// nor limit.
func clusterWithGuest(seed uint64, fill int) *Cluster {
	settings := Settings()
	settings.Teams["guest"] = domain.Quota{}
	c := New(seed, settings)
	c.marketCapacity = fill
	c.StartChecks()
	return c
}

// firstRuns tells when each task first ran, in seconds, by the trace.
func (c *Cluster) firstRuns(job string) []float64 {
	first := map[string]float64{}
	for _, l := range c.Trace {
		var at float64
		var task string
		if n, _ := fmt.Sscanf(l, "%f %s", &at, &task); n != 2 || !strings.HasPrefix(task, job+"/") || !strings.Contains(l, " runs on ") {
			continue
		}
		if _, ok := first[task]; !ok {
			first[task] = at
		}
	}
	var times []float64
	for _, at := range first {
		times = append(times, at)
	}
	slices.Sort(times)
	return times
}

// TestIdleWorkYields: a guest's array of idle priority fills all machines with tasks
// of five minutes. Other teams' jobs start as soon as some of these have saved, no
// ordinary machine is rented for the guest, and all its tasks are done in the end.
func TestIdleWorkYields(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := clusterWithGuest(seed, 2)
		idle := domain.JobSpec{ID: "job-000001", Class: "sims", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 40,
			Request: domain.Resources{CPU: 4000, Memory: 8000}, Spot: true, Image: "sims", ImageGB: 1, EstimatedRuntime: 300, CheckpointInterval: 10, CheckpointCost: 2}
		c.after(2*time.Second, func() { c.Submit(idle, 300*time.Second) })
		c.Run(59 * time.Second)
		if n := len(c.firstRuns(idle.ID)); n < 16 {
			t.Fatalf("seed %d: only %d idle tasks ran", seed, n)
		}
		for _, w := range c.workers {
			if !w.isSpot {
				t.Errorf("seed %d: an ordinary machine was rented for idle work", seed)
			}
		}
		const jobs = 8
		for i := 0; i < jobs; i++ {
			sp := domain.JobSpec{ID: fmt.Sprintf("job-%06d", 100+i), Class: "c", Team: "blue", Shape: domain.Array, Priority: 1, TaskCount: 2,
				Request: domain.Resources{CPU: 4000, GPU: 1000, Memory: 4000}, Spot: true, Image: "img", ImageGB: 1, EstimatedRuntime: 20}
			c.after(time.Duration(60+8*i)*time.Second-c.Now, func() { c.Submit(sp, 20*time.Second) })
		}
		c.Run(1500 * time.Second)
		for i := 0; i < jobs; i++ {
			job := fmt.Sprintf("job-%06d", 100+i)
			starts := c.firstRuns(job)
			if len(starts) < 2 || starts[1]-float64(60+8*i) > 15 {
				t.Errorf("seed %d: %s ran at %v, submitted at %d", seed, job, starts, 60+8*i)
			}
		}
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: broken %v, unfinished %v", seed, c.Broken, c.Unfinished())
		}
	}
}

// TestLargeArrayLeavesChanges: a guest's array of thousands of short tasks runs on the
// machines of a grown deployment. The releases of its tasks must leave room in the
// commits for the bookings of the other teams' jobs, which go on starting.
func TestLargeArrayLeavesChanges(t *testing.T) {
	c := grownCluster(5, 60, func(s *scheduler.Settings) { s.Teams["guest"] = domain.Quota{} })
	c.submitGrownLoad(500, 350*time.Millisecond)
	array := domain.JobSpec{ID: "job-900001", Class: "sweep", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 12000,
		Request: domain.Resources{CPU: 250, Memory: 900}, Spot: true, Image: "sweep", ImageGB: 0.5, EstimatedRuntime: 5}
	c.Run(60 * time.Second)
	before := c.Starts()
	c.Run(80 * time.Second)
	quiet := c.Starts() - before
	c.Submit(array, 5*time.Second)
	c.Run(100 * time.Second)
	before, guests := c.Starts(), len(c.firstRuns(array.ID))
	c.Run(140 * time.Second)
	guests = len(c.firstRuns(array.ID)) - guests
	others := c.Starts() - before - guests
	t.Logf("others' starts in 20 s: %d alone, %d beside the array, of which %d tasks started in 40 s", quiet, others/2, guests)
	if others < quiet || guests < 1000 {
		t.Errorf("beside the array %d tasks of others started in 40 s, %d in 20 s before it; %d tasks of the array", others, quiet, guests)
	}
	if len(c.Broken) > 0 {
		t.Errorf("%d broken rules, first %s", len(c.Broken), c.Broken[0])
	}
}

// TestMachinesOfAZoneComeLateOrNever: a zone's machines come up late, or never, while
// jobs wait. Those that never come are returned, as many are rented as are needed, and
// jobs that may run elsewhere do.
func TestMachinesOfAZoneComeLateOrNever(t *testing.T) {
	for _, how := range []string{"late", "never"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{1, 2, 3}
			for i, c := range playAll(t, seeds, func(seed uint64) string {
				s := fmt.Sprintf("seed %d\nat 0 boots a %s for=60\n", seed, how)
				for k := 1; k <= 6; k++ {
					s += fmt.Sprintf("at %d submit job-%06d array 4 blue run=30\n", 2+3*k, k)
				}
				return s + "until 400\n"
			}) {
				if c.occurrences["up late"]+c.occurrences["never up"] == 0 {
					t.Fatalf("seed %d: no machine was rented in that zone", seeds[i])
				}
				never := 0
				for _, w := range c.workers {
					if !w.isUp && !w.isGone {
						never++
					}
				}
				// 24 tasks of a quarter of a machine each need six.
				if len(c.workers) > 18 || never > 0 {
					t.Errorf("seed %d: %d machines rented, %d never came up and are still paid for", seeds[i], len(c.workers), never)
				}
				for k := 1; k <= 6; k++ {
					if starts := c.firstRuns(fmt.Sprintf("job-%06d", k)); len(starts) < 4 || starts[3] > 100 {
						t.Errorf("seed %d: job %d ran at %.0f s", seeds[i], k, starts)
					}
				}
				if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
					t.Errorf("seed %d: broken %v, unfinished %v", seeds[i], c.Broken, c.Unfinished())
				}
			}
		})
	}
}

// TestPollStorm: users ask ten times as often for a minute. Their polls share read
// indexes, so that the state service hardly notices, and nearly all are answered.
func TestPollStorm(t *testing.T) {
	s := "rates\nat 40 storm for=60\n"
	for k := 1; k <= 60; k++ {
		s += fmt.Sprintf("at %d submit job-%06d array 2 blue run=60 spot\n", 1+k%20, k)
	}
	asked := func(until string) int {
		c, err := Play(s + until)
		if err != nil {
			t.Fatal(err)
		}
		return c.state.requests
	}
	before, after := asked("until 41\n"), asked("until 99\n")
	c, err := Play(s + "until 900\n")
	if err != nil {
		t.Fatal(err)
	}
	answered, failed := c.occurrences["poll answered 200"], 0
	for what, n := range c.occurrences {
		if strings.HasPrefix(what, "poll answered") {
			failed += n
		}
	}
	failed -= answered
	requests := after - before
	t.Logf("%d polls answered, %d not, %d requests to the state service", answered, failed, requests)
	if answered < 2000 || 50*failed > answered || 2*requests > answered {
		t.Errorf("%d polls answered, %d not, %d requests to the state service", answered, failed, requests)
	}
	if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
		t.Errorf("broken %v, unfinished %v", c.Broken, c.Unfinished())
	}
}
