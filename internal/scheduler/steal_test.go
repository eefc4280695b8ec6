package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"brassglade/internal/domain"
)

// newStealController returns an acting controller with one peer and the given number of idle
// machines of its own.
func newStealController(t *testing.T, machines int) *Controller {
	t.Helper()
	c := actingController()
	c.cfg.Controllers = []string{"c-0", "c-1"}
	c.cache.view.Serving = []string{"c-0", "c-1"}
	c.cache.view.OwnerOverrides = map[string]string{}
	for i := 0; i < machines; i++ {
		m := c.heartbeats.addMachine(fmt.Sprintf("n-%06d", i))
		c.cache.view.OwnerOverrides[m.Name] = "c-0"
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
	}
	return c
}

// TestStealResponse checks that a peer that asks for work gets the tasks for which it has room:
// first those in no queue, then those that would have to wait in the queue of their machine, but
// never those that can start immediately.
func TestStealResponse(t *testing.T) {
	id := func(job, index int) domain.TaskID { return domain.TaskID{Job: jobName(job), Index: index} }
	for _, test := range []struct {
		name    string
		from    string
		request StealRequest
		change  func(*Controller)
		want    []domain.TaskID
	}{
		{name: "tasks in no queue, then the task that has to wait", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			want:    []domain.TaskID{id(1, 2), id(2, 0), id(2, 1)}},
		{name: "no more tasks than requested", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 1},
			want:    []domain.TaskID{id(2, 0)}},
		{name: "room for exactly two tasks", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 2000}, MaxTasks: 8},
			want:    []domain.TaskID{id(2, 0), id(2, 1)}},
		{name: "room for less than one task", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 999}, MaxTasks: 8}},
		{name: "peer that is not serving", from: "c-2",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8}},
		{name: "team at its limit", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			change: func(c *Controller) {
				c.cfg.Teams = map[string]domain.Quota{"red": {Limit: domain.Resources{CPU: 1}}}
			}},
		{name: "job paused after errors", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			change:  func(c *Controller) { c.cache.jobs[jobName(2)].pausedUntil = int64(c.now) + 1 },
			want:    []domain.TaskID{id(1, 2)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newStealController(t, 1)
			m := c.heartbeats.machines["n-000000"]
			c.apply(openJob(t, 1, 3, 1, 6000)) // queued on the machine: two can start immediately, one has to wait
			c.apply(openJob(t, 2, 2, 1, 1000)) // in no queue
			for i := 0; i < 3; i++ {
				c.enqueue(id(1, i), m)
			}
			if test.change != nil {
				test.change(c)
			}
			c.onSteal(test.from, &test.request)
			if got := sortedTasks(maps.Clone(c.planner.taskHandovers)); !slices.Equal(got, test.want) {
				t.Errorf("tasks handed over: %v, want %v", got, test.want)
			}
			for task, to := range c.planner.taskHandovers {
				if to != test.from {
					t.Errorf("task %v is handed over to %s, want the peer that asked", task, to)
				}
			}
		})
	}
}

// TestStealJobs checks that in a large fleet whole jobs are handed over. The peer must have room
// for at least half of the tasks, no task may be booked or queued, and the job must have been
// handed over fewer than tuning.MaxHops times.
func TestStealJobs(t *testing.T) {
	request := &StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 5000}, MaxTasks: 100}
	for _, test := range []struct {
		name   string
		tasks  int
		change func(*Controller, *Job)
		want   bool
	}{
		{name: "room for all", tasks: 5, want: true},
		{name: "room for exactly half", tasks: 10, want: true},
		{name: "room for less than half", tasks: 11},
		{name: "a task is queued on a machine", tasks: 5, change: func(c *Controller, j *Job) {
			c.enqueue(domain.TaskID{Job: j.ID}, c.heartbeats.machines["n-000000"])
		}},
		{name: "handed over MaxHops times", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Handovers = 3 }},
		{name: "handed over MaxHops - 1 times", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Handovers = 2 }, want: true},
		{name: "job of another shard", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Shard = "c-1" }},
		{name: "already being handed over", tasks: 5, change: func(c *Controller, j *Job) { c.planner.jobHandovers[j.ID] = "elsewhere" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newStealController(t, 1)
			c.peers.byName["c-1"] = &peerState{receivedAt: c.now, machines: make([]PeerMachine, 1500), fits: map[fitKey]bool{}}
			c.apply(openJob(t, 1, test.tasks, 1, 1000))
			j := c.cache.jobs[jobName(1)]
			if test.change != nil {
				test.change(c, j)
			}
			c.onSteal("c-1", request)
			if got := c.planner.jobHandovers[j.ID] == "c-1"; got != test.want {
				t.Errorf("job handed over: %t", got)
			}
			if len(c.planner.taskHandovers) > 0 {
				t.Errorf("single tasks were handed over, want whole jobs only")
			}
		})
	}
}

// TestStealLocal checks that an idle machine takes tasks that have to wait in the queue of another
// machine, and leaves those that can start there immediately.
func TestStealLocal(t *testing.T) {
	c := newStealController(t, 2)
	backlogged, idle := c.heartbeats.machines["n-000000"], c.heartbeats.machines["n-000001"]
	c.apply(openJob(t, 1, 4, 1, 8000))
	for i := 0; i < 4; i++ {
		c.enqueue(domain.TaskID{Job: jobName(1), Index: i}, backlogged)
	}
	c.stealLocal([]*Machine{backlogged, idle})
	for i, want := range []string{backlogged.Name, backlogged.Name, idle.Name, idle.Name} {
		if got := c.queues.machineOf[domain.TaskID{Job: jobName(1), Index: i}]; got != want {
			t.Errorf("task %d is in the queue of %s, want %s", i, got, want)
		}
	}
	if got := c.queues.length(backlogged); got != 2 {
		t.Errorf("%d tasks are left in the queue of the backlogged machine, want 2", got)
	}
	c.queues.dropStaleEntries(backlogged)
	if len(backlogged.queue) != 2 || len(idle.queue) != 2 {
		t.Errorf("queues have %d and %d entries, want 2 each", len(backlogged.queue), len(idle.queue))
	}
}
