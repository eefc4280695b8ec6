package simulation

import (
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/ownership"
)

// TestLargeArrayUsesMachinesOfAllOwners guards against tasks of a large array that wait for the
// machines of one controller beside empty ones of another. Each value of the array has an owner, and
// the owners have unequal numbers of machines: an array that fits all of them must start at once.
func TestLargeArrayUsesMachinesOfAllOwners(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := New(seed, Settings())
		c.marketCapacity = 1 // of each zone and price model: four machines in all
		c.StartChecks()
		array := domain.JobSpec{
			ID: "job-000001", Class: "shards", Team: "blue", Shape: domain.Array, Priority: 1, TaskCount: 1000,
			Request: domain.Resources{CPU: 64, Memory: 32}, Spot: true, Image: "shards", ImageGB: 0.5, EstimatedRuntime: 60,
		}
		const submittedAt = 2
		c.after(submittedAt*time.Second, func() { c.Submit(array, 60*time.Second) })
		c.Run(100 * time.Second)
		machines := map[string]int{}
		for _, w := range c.workers {
			machines[ownership.Rendezvous(w.name, c.settings.Controllers)]++
		}
		t.Logf("seed %d: machines by owner: %v", seed, machines)
		starts := c.firstRunTimes(array.ID)
		// Machines are up 16 s after the submission at the latest, and a heartbeat later the tasks start,
		// which takes 2 s for the image.
		if len(starts) < array.TaskCount || starts[array.TaskCount-1] > submittedAt+25 {
			t.Errorf("seed %d: %d of %d tasks started, the last at %.0f s", seed, len(starts), array.TaskCount, starts[len(starts)-1])
		}
		expectCleanRun(t, c, "seed %d", seed)
	}
}
