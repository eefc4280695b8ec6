package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"brassglade/internal/domain"
)

// newStealController is an acting controller with a peer and idle machines of its own.
func newStealController(t *testing.T, machines int) *Controller {
	t.Helper()
	c := acting()
	c.cfg.Nodes = []string{"c-0", "c-1"}
	c.cache.view.Serving = []string{"c-0", "c-1"}
	c.cache.view.OwnerOverrides = map[string]string{}
	for i := 0; i < machines; i++ {
		m := c.heartbeats.addMachine(fmt.Sprintf("n-%06d", i))
		c.cache.view.OwnerOverrides[m.Name] = "c-0"
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
	}
	return c
}

// TestStealResponse: a peer that asks gets what it has room for, unplaced tasks first, then
// those that would wait in the queue of their machine, and never those that start at once.
func TestStealResponse(t *testing.T) {
	id := func(job, index int) domain.TaskID { return domain.TaskID{Job: jobName(job), Index: index} }
	for _, test := range []struct {
		name    string
		from    string
		request StealRequest
		change  func(*Controller)
		want    []domain.TaskID
	}{
		{name: "unplaced ones, then the one that has to wait", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			want:    []domain.TaskID{id(1, 2), id(2, 0), id(2, 1)}},
		{name: "as many as asked for", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 1},
			want:    []domain.TaskID{id(2, 0)}},
		{name: "exactly what there is room for", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 2000}, MaxTasks: 8},
			want:    []domain.TaskID{id(2, 0), id(2, 1)}},
		{name: "less room than one takes", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 999}, MaxTasks: 8}},
		{name: "a peer that doesn't serve", from: "c-2",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8}},
		{name: "a team at its limit", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			change: func(c *Controller) {
				c.cfg.Teams = map[string]domain.Quota{"red": {Limit: domain.Resources{CPU: 1}}}
			}},
		{name: "a job paused after errors", from: "c-1",
			request: StealRequest{Type: "box", Zone: "a", Room: domain.Resources{CPU: 32000}, MaxTasks: 8},
			change:  func(c *Controller) { c.cache.jobs[jobName(2)].pausedUntil = int64(c.now) + 1 },
			want:    []domain.TaskID{id(1, 2)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newStealController(t, 1)
			m := c.heartbeats.machines["n-000000"]
			c.apply(openJob(t, 1, 3, 1, 6000)) // in the queue: two start at once, one has to wait
			c.apply(openJob(t, 2, 2, 1, 1000)) // in no queue
			for i := 0; i < 3; i++ {
				c.enqueue(id(1, i), m)
			}
			if test.change != nil {
				test.change(c)
			}
			c.onSteal(test.from, &test.request)
			if got := sortedTasks(maps.Clone(c.planner.taskHandovers)); !slices.Equal(got, test.want) {
				t.Errorf("%v handed over, not %v", got, test.want)
			}
			for task, to := range c.planner.taskHandovers {
				if to != test.from {
					t.Errorf("%v goes to %s", task, to)
				}
			}
		})
	}
}

// TestStealJobs: in a large fleet whole jobs go, of which the peer has room for at least half,
// nothing is booked or queued, and that haven't wandered far.
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
		{name: "one is queued here", tasks: 5, change: func(c *Controller, j *Job) {
			c.enqueue(domain.TaskID{Job: j.ID}, c.heartbeats.machines["n-000000"])
		}},
		{name: "handed over as often as may be", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Handovers = 3 }},
		{name: "handed over once less", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Handovers = 2 }, want: true},
		{name: "of another shard", tasks: 5, change: func(_ *Controller, j *Job) { j.Header.Shard = "c-1" }},
		{name: "on its way already", tasks: 5, change: func(c *Controller, j *Job) { c.planner.jobHandovers[j.ID] = "elsewhere" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newStealController(t, 1)
			c.peers.byName["c-1"] = &peerState{heardAt: c.now, machines: make([]PeerMachine, 1500), fits: map[fitKey]bool{}}
			c.apply(openJob(t, 1, test.tasks, 1, 1000))
			j := c.cache.jobs[jobName(1)]
			if test.change != nil {
				test.change(c, j)
			}
			c.onSteal("c-1", request)
			if got := c.planner.jobHandovers[j.ID] == "c-1"; got != test.want {
				t.Errorf("given: %t", got)
			}
			if len(c.planner.taskHandovers) > 0 {
				t.Errorf("single tasks were given")
			}
		})
	}
}

// TestStealLocal: an idle machine takes tasks that have to wait in another queue, and leaves
// those that start there at once.
func TestStealLocal(t *testing.T) {
	c := newStealController(t, 2)
	behind, idle := c.heartbeats.machines["n-000000"], c.heartbeats.machines["n-000001"]
	c.apply(openJob(t, 1, 4, 1, 8000))
	for i := 0; i < 4; i++ {
		c.enqueue(domain.TaskID{Job: jobName(1), Index: i}, behind)
	}
	c.stealLocal([]*Machine{behind, idle})
	for i, want := range []string{behind.Name, behind.Name, idle.Name, idle.Name} {
		if got := c.queues.machineOf[domain.TaskID{Job: jobName(1), Index: i}]; got != want {
			t.Errorf("task %d is in the queue of %s, not %s", i, got, want)
		}
	}
	if got := c.queues.length(behind); got != 2 {
		t.Errorf("%d tasks are left", got)
	}
	c.queues.dropStaleEntries(behind)
	if len(behind.queue) != 2 || len(idle.queue) != 2 {
		t.Errorf("queues of %d and %d entries", len(behind.queue), len(idle.queue))
	}
}
