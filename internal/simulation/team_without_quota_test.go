package simulation

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// clusterWithTeamWithoutQuota returns the small deployment with a further team, "guest", that has
// neither a guarantee nor a limit.
func clusterWithTeamWithoutQuota(seed uint64, fill int) *Cluster {
	settings := Settings()
	settings.Teams["guest"] = domain.Quota{}
	c := New(seed, settings)
	c.marketCapacity = fill
	c.StartChecks()
	return c
}

// TestIdleWorkIsPreempted fills all machines with tasks of five minutes of an array of idle
// priority, whose team has no quota. Jobs of another team must start as soon as some of these
// tasks have saved their progress, no on-demand machine may be rented for the array, and all its
// tasks must be done in the end.
func TestIdleWorkIsPreempted(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := clusterWithTeamWithoutQuota(seed, 2)
		idle := domain.JobSpec{ID: "job-000001", Class: "sims", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 40,
			Request: domain.Resources{CPU: 4000, Memory: 8000}, Spot: true, Image: "sims", ImageGB: 1, EstimatedRuntime: 300, CheckpointInterval: 10, CheckpointCost: 2}
		c.after(2*time.Second, func() { c.Submit(idle, 300*time.Second) })
		c.Run(59 * time.Second)
		if n := len(c.firstRunTimes(idle.ID)); n < 16 {
			t.Fatalf("seed %d: only %d idle tasks ran, want at least 16", seed, n)
		}
		for _, w := range c.workers {
			if !w.isSpot {
				t.Errorf("seed %d: an on-demand machine was rented for idle work", seed)
			}
		}
		const jobs = 8
		for i := 0; i < jobs; i++ {
			spec := domain.JobSpec{ID: fmt.Sprintf("job-%06d", 100+i), Class: "c", Team: "blue", Shape: domain.Array, Priority: 1, TaskCount: 2,
				Request: domain.Resources{CPU: 4000, GPU: 1000, Memory: 4000}, Spot: true, Image: "img", ImageGB: 1, EstimatedRuntime: 20}
			c.after(time.Duration(60+8*i)*time.Second-c.Now, func() { c.Submit(spec, 20*time.Second) })
		}
		c.Run(1500 * time.Second)
		for i := 0; i < jobs; i++ {
			job := fmt.Sprintf("job-%06d", 100+i)
			starts := c.firstRunTimes(job)
			if len(starts) < 2 || starts[1]-float64(60+8*i) > 15 {
				t.Errorf("seed %d: tasks of %s first ran at %v s, want two within 15 s of the submission at %d s", seed, job, starts, 60+8*i)
			}
		}
		expectCleanRun(t, c, "seed %d", seed)
	}
}

// TestLargeArrayLeavesWriteBudget runs an array of 12,000 short tasks of a team without quota in
// a large deployment. The commits that release its tasks must leave room for the bookings of
// other teams' jobs, which must go on starting at no less than half their rate.
func TestLargeArrayLeavesWriteBudget(t *testing.T) {
	c := largeCluster(5, 60, func(s *scheduler.Settings) { s.Teams["guest"] = domain.Quota{} })
	c.submitLargeLoad(500, 350*time.Millisecond)
	array := domain.JobSpec{ID: "job-900001", Class: "sweep", Team: "guest", Shape: domain.Array, Priority: tuning.PriorityIdle, TaskCount: 12000,
		Request: domain.Resources{CPU: 250, Memory: 900}, Spot: true, Image: "sweep", ImageGB: 0.5, EstimatedRuntime: 5}
	c.Run(60 * time.Second)
	before := c.TaskStarts()
	c.Run(80 * time.Second)
	othersAlone := c.TaskStarts() - before
	c.Submit(array, 5*time.Second)
	c.Run(100 * time.Second)
	before, ofArray := c.TaskStarts(), len(c.firstRunTimes(array.ID))
	c.Run(140 * time.Second)
	ofArray = len(c.firstRunTimes(array.ID)) - ofArray
	others := c.TaskStarts() - before - ofArray
	t.Logf("starts of other jobs in 20 s: %d before the array, %d beside it; %d tasks of the array started in 40 s", othersAlone, others/2, ofArray)
	if others < othersAlone || ofArray < 1000 {
		t.Errorf("beside the array %d tasks of other jobs started in 40 s, want at least the %d of 20 s before it; %d tasks of the array, want at least 1000", others, othersAlone, ofArray)
	}
	expectNoViolation(t, c)
}
