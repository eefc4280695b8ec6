package simulation

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// smallTasks returns an array of tasks so small that 2,000 of them fit the resources of a machine.
func smallTasks(number, tasks int) domain.JobSpec {
	return domain.JobSpec{
		ID: fmt.Sprintf("job-%06d", number), Class: "shards", Team: "blue", Shape: domain.Array, Priority: 1, TaskCount: tasks,
		Request: domain.Resources{CPU: 8, Memory: 32}, Spot: true, Image: "shards", ImageGB: 0.5, EstimatedRuntime: 40,
	}
}

// TestSmallTasksFitReports guards against machines that get more tasks than their reports can list:
// no controller read such a report, so the machine was returned as lost with all its tasks, and so
// was each one after it. The tasks are booked by the leader, or from the queues of the shards, or
// both at once.
func TestSmallTasksFitReports(t *testing.T) {
	for _, test := range []struct {
		name        string
		arrays      []int // tasks of each
		mostRentals int
	}{
		{"by the leader", []int{1300}, 3},
		{"from queues", []int{600, 600, 600}, 5},
		{"both", []int{1300, 500, 500}, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range []uint64{1, 2, 3} {
				c := New(seed, Settings())
				c.StartChecks()
				tasks := 0
				for i, count := range test.arrays {
					c.after(2*time.Second, func() { c.Submit(smallTasks(i+1, count), 40*time.Second) })
					tasks += count
				}
				c.Run(200 * time.Second)
				expectCleanRun(t, c, "seed %d", seed)
				if starts := c.TaskStarts(); starts != tasks {
					t.Errorf("seed %d: %d starts, want one for each of the %d tasks", seed, starts, tasks)
				}
				if len(c.workers) > test.mostRentals {
					t.Errorf("seed %d: %d machines rented, want at most %d", seed, len(c.workers), test.mostRentals)
				}
			}
		})
	}
}

// TestOverbookedMachineKeepsReporting guards against a machine with more bookings than its report
// can list, as an earlier version or two controllers at once may leave them. Only as many tasks may
// start there as the report can list, and they must run on while the others start elsewhere.
func TestOverbookedMachineKeepsReporting(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		settings := Settings()
		settings.DisabledGuard = scheduler.GuardReportRoom
		c := New(seed, settings)
		c.StartChecks()
		const replicas = 1300 // in two services, each too small to be placed by the leader
		for number := 1; number <= 2; number++ {
			service := smallTasks(number, replicas/2)
			service.Shape, service.Spot = domain.Service, false
			c.after(2*time.Second, func() { c.Submit(service, 0) })
		}
		c.Run(40 * time.Second)
		if before := c.TaskStarts(); len(c.workers) != 1 || before < replicas/2 || before >= replicas {
			t.Fatalf("seed %d: %d replicas run on %d machines, want a part of them on one", seed, before, len(c.workers))
		}
		c.settings.DisabledGuard = scheduler.GuardNone
		for _, p := range c.processes {
			p.crash(time.Second)
		}
		c.Run(150 * time.Second)
		running, starts := c.tasksOnMachines("job-000001")+c.tasksOnMachines("job-000002"), c.TaskStarts()
		if running != replicas || starts != replicas {
			t.Errorf("seed %d: %d of %d replicas run after %d starts", seed, running, replicas, starts)
		}
		expectCleanRun(t, c, "seed %d", seed)
	}
}

// TestCancelledSmallTasksStop guards against a cancellation of more tasks on a machine than one
// message can stop: nothing stopped them, and the machine lost its lease with the task of another
// job.
func TestCancelledSmallTasksStop(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		c := New(seed, Settings())
		c.StartChecks()
		other := smallTasks(1, 1)
		other.Request, other.EstimatedRuntime = domain.Resources{CPU: 1000, Memory: 1000}, 100
		c.after(2*time.Second, func() { c.Submit(other, 100*time.Second) })
		c.after(2*time.Second, func() { c.Submit(smallTasks(2, 900), 300*time.Second) })
		c.after(2*time.Second, func() { c.Submit(smallTasks(3, 900), 300*time.Second) })
		c.Run(40 * time.Second)
		if running := c.tasksOnMachines("job-000002") + c.tasksOnMachines("job-000003"); running != 1800 {
			t.Fatalf("seed %d: %d small tasks run, want 1800", seed, running)
		}
		c.Cancel("job-000002")
		c.Cancel("job-000003")
		c.Run(60 * time.Second)
		if running := c.tasksOnMachines("job-000002") + c.tasksOnMachines("job-000003"); running != 0 {
			t.Errorf("seed %d: %d tasks run 20 s after their cancellation", seed, running)
		}
		c.Run(135 * time.Second) // the other job ran for 100 s without a break
		if state := c.jobs[other.ID].finalState; state != stateDone {
			t.Errorf("seed %d: the other job's state is %q", seed, state)
		}
		expectCleanRun(t, c, "seed %d", seed)
	}
}
