package simulation

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// clusterWithTeamWithoutQuota is the small deployment with a further team that has neither guarantee
// nor limit.
func clusterWithTeamWithoutQuota(seed uint64, fill int) *Cluster {
	settings := Settings()
	settings.Teams["guest"] = domain.Quota{}
	c := New(seed, settings)
	c.marketCapacity = fill
	c.StartChecks()
	return c
}

// TestIdleWorkIsPreempted: a guest's array of idle priority fills all machines with tasks
// of five minutes. Other teams' jobs start as soon as some of these have saved, no
// ordinary machine is rented for the guest, and all its tasks are done in the end.
func TestIdleWorkIsPreempted(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := clusterWithTeamWithoutQuota(seed, 2)
		idle := domain.JobSpec{ID: "job-000001", Class: "sims", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 40,
			Request: domain.Resources{CPU: 4000, Memory: 8000}, Spot: true, Image: "sims", ImageGB: 1, EstimatedRuntime: 300, CheckpointInterval: 10, CheckpointCost: 2}
		c.after(2*time.Second, func() { c.Submit(idle, 300*time.Second) })
		c.Run(59 * time.Second)
		if n := len(c.firstRunTimes(idle.ID)); n < 16 {
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
			starts := c.firstRunTimes(job)
			if len(starts) < 2 || starts[1]-float64(60+8*i) > 15 {
				t.Errorf("seed %d: %s ran at %v, submitted at %d", seed, job, starts, 60+8*i)
			}
		}
		expectCleanRun(t, c, "seed %d", seed)
	}
}

// TestLargeArrayLeavesWriteBudget: a guest's array of thousands of short tasks runs on the
// machines of a grown deployment. The releases of its tasks must leave room in the
// commits for the bookings of the other teams' jobs, which go on starting.
func TestLargeArrayLeavesWriteBudget(t *testing.T) {
	c := largeCluster(5, 60, func(s *scheduler.Settings) { s.Teams["guest"] = domain.Quota{} })
	c.submitLargeLoad(500, 350*time.Millisecond)
	array := domain.JobSpec{ID: "job-900001", Class: "sweep", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 12000,
		Request: domain.Resources{CPU: 250, Memory: 900}, Spot: true, Image: "sweep", ImageGB: 0.5, EstimatedRuntime: 5}
	c.Run(60 * time.Second)
	before := c.Starts()
	c.Run(80 * time.Second)
	quiet := c.Starts() - before
	c.Submit(array, 5*time.Second)
	c.Run(100 * time.Second)
	before, guests := c.Starts(), len(c.firstRunTimes(array.ID))
	c.Run(140 * time.Second)
	guests = len(c.firstRunTimes(array.ID)) - guests
	others := c.Starts() - before - guests
	t.Logf("others' starts in 20 s: %d alone, %d beside the array, of which %d tasks started in 40 s", quiet, others/2, guests)
	if others < quiet || guests < 1000 {
		t.Errorf("beside the array %d tasks of others started in 40 s, %d in 20 s before it; %d tasks of the array", others, quiet, guests)
	}
	expectNoViolation(t, c)
}
