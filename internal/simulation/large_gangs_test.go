package simulation

import (
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// largeGang returns a gang of small tasks, 160 of which fit on a machine.
func largeGang(tasks int) domain.JobSpec {
	return domain.JobSpec{
		ID: "job-000001", Class: "join", Team: "blue", Shape: domain.Gang, Priority: 1, TaskCount: tasks,
		Request: domain.Resources{CPU: 100, Memory: 100}, Image: "join", ImageGB: 0.5, EstimatedRuntime: 40,
	}
}

// gangBehind returns a gang of another team that needs a machine of its own.
func gangBehind() domain.JobSpec {
	return domain.JobSpec{
		ID: "job-000002", Class: "pin", Team: "red", Shape: domain.Gang, Priority: 1, TaskCount: 1,
		Request: domain.Resources{CPU: 14000, GPU: 4000, Memory: 1000}, Image: "pin", ImageGB: 0.5, EstimatedRuntime: 40,
	}
}

// TestGangTooLargeForOneCommit guards against a gang that is accepted, but has more tasks than one
// commit can book: it never started beside room for it, and kept all gangs behind it from starting.
func TestGangTooLargeForOneCommit(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := New(seed, Settings())
		c.StartChecks()
		gang, behind := largeGang(700), gangBehind()
		c.after(2*time.Second, func() { c.Submit(gang, 40*time.Second) })
		c.after(4*time.Second, func() { c.Submit(behind, 40*time.Second) })
		c.Run(200 * time.Second)
		expectCleanRun(t, c, "seed %d", seed)
		for _, spec := range []domain.JobSpec{gang, behind} {
			starts := c.firstRunTimes(spec.ID)
			if len(starts) != spec.TaskCount || starts[len(starts)-1] > 60 {
				t.Errorf("seed %d: %d of %d tasks of %s started by 60 s", seed, len(starts), spec.TaskCount, spec.ID)
			}
		}
		if starts := c.TaskStarts(); starts != 701 {
			t.Errorf("seed %d: %d starts, want one for each task", seed, starts)
		}
	}
}

// TestLeaderEndsWhileGangForms has the leader end between the commits that book a large gang. Its
// successor must book the others for the same attempt, or all of them anew, but start none before.
func TestLeaderEndsWhileGangForms(t *testing.T) {
	seen := 0
	for _, seed := range []uint64{1, 2, 3, 4} {
		c := New(seed, Settings())
		c.StartChecks()
		c.after(2*time.Second, func() { c.Submit(largeGang(1000), 30*time.Second) })
		crashed := false
		for !crashed && c.Now < 100*time.Second {
			c.Run(c.Now + 20*time.Millisecond)
			values := c.storedValues(codec.PrefixTask + "job-000001/")
			if crashed = values > 0 && values < 8; crashed { // 8 values have the bookings of all its tasks
				seen++
				c.process("leader").crash(3 * time.Second)
			}
		}
		c.Run(300 * time.Second)
		expectCleanRun(t, c, "seed %d", seed)
	}
	if seen == 0 {
		t.Error("in no run a leader ended while the gang was booked in part")
	}
}

// storedValues counts the keys of the state service that begin with a prefix.
func (c *Cluster) storedValues(prefix string) int {
	n := 0
	for key, e := range c.state.entries {
		if e.value != nil && strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
