package scheduler

import (
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestNewAgentEpochIsNotAbandonedForTheOldOne: after an outage longer than the lease a machine
// comes back in a new agent epoch. Its lease runs from the beginning of that epoch, not
// from the last answer to the old one.
func TestNewAgentEpochIsNotAbandonedForTheOldOne(t *testing.T) {
	c := New(Settings{Node: "c-0", WorkerLease: 20 * time.Second, FenceAge: 7 * time.Second}, "x")
	m := newMachine("n-1")
	c.now = 10 * time.Second
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: "n-1", AgentEpoch: 1, Sequence: 5}, true)
	m.answeredAt = c.now
	c.now = 100 * time.Second
	if !c.hasMachineLeaseExpired(m) {
		t.Error("the lease of the old agent epoch has not expired")
	}
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: "n-1", AgentEpoch: 2, Sequence: 1}, true)
	if c.hasMachineLeaseExpired(m) {
		t.Error("the new agent epoch is abandoned before it was answered")
	}
	c.now += 22 * time.Second
	if !c.hasMachineLeaseExpired(m) {
		t.Error("the new agent epoch, never answered, outlives its lease")
	}
}

// TestMemberKeyRetryDelay: a lease that expired refuses the member key; the controller
// waits before it tries again (incident inc-16a3: eleven times in 60 ms).
func TestMemberKeyRetryDelay(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0"}, FenceAge: 7 * time.Second}, "x")
	c.Step(0, Tick{})
	c.Step(time.Millisecond, LeaseGranted{OK: true, LeaseID: 1})
	writes := 0
	for milliseconds := 2; milliseconds < 300; milliseconds++ {
		now := time.Duration(milliseconds) * time.Millisecond
		for id, pending := range c.commits.pending {
			if pending.transaction.Puts[0].Key == codec.PrefixMember+"c-0" {
				writes++
				c.Step(now, CommitAnswered{ID: id, Result: domain.Refused})
				break
			}
		}
		c.Step(now, Tick{})
	}
	if writes != 1 {
		t.Errorf("written %d times in 300 ms", writes)
	}
}

// TestHeartbeatRefusals: each reason not to answer a heartbeat with commands is told from
// the others.
func TestHeartbeatRefusals(t *testing.T) {
	c, m := withBookedTask(t, "")
	newest := func() *domain.Heartbeat {
		return &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 2, FencingToken: 1, PreemptionNotice: -1}
	}
	if got := c.refusalByController(newest()); got != heartbeatAccepted {
		t.Errorf("refused for reason %d", got)
	}
	if got := c.refusalByMachine(m, newest()); got != heartbeatAccepted {
		t.Errorf("refused for reason %d", got)
	}
	late := newest()
	late.Sequence = 1
	if got := c.refusalByMachine(m, late); got != staleHeartbeat {
		t.Errorf("a late copy is refused for reason %d", got)
	}
	later := newest()
	later.FencingToken = c.cache.view.Epoch + 1
	if got := c.refusalByController(later); got != newerViewSeen {
		t.Errorf("a token of a later view is refused for reason %d", got)
	}
	m.abandonedEpoch = 1
	if got := c.refusalByMachine(m, newest()); got != agentEpochAbandoned {
		t.Errorf("an abandoned agent epoch is refused for reason %d", got)
	}
	m.abandonedEpoch = 0
	c.cache.cordons[m.Name] = domain.Cordon{State: domain.CordonGone}
	if got := c.refusalByMachine(m, newest()); got != machineReturned {
		t.Errorf("a returned machine is refused for reason %d", got)
	}
	c.now += time.Hour
	if got := c.refusalByController(newest()); got != controllerMayNotAct {
		t.Errorf("without confirmation it is refused for reason %d", got)
	}
}

// TestIsProvenStopped: an attempt is proven off by the end that its machine reports, by a later
// agent epoch, by an abandoned one, by the machine's return, and by a heartbeat that should
// show its start and doesn't; not by a direct answer, nor by another controller's answer.
func TestIsProvenStopped(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	c, m := withBookedTask(t, "")
	task := c.cache.jobs[id.Job].task(0)
	attempt := attemptID{id, task.Attempt}
	said := func(change func(*domain.Heartbeat), isHeartbeat bool) bool {
		heartbeat := &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 5, FencingToken: 1, PreemptionNotice: -1}
		change(heartbeat)
		c.recordHeartbeat(m, heartbeat, isHeartbeat)
		return c.isProvenStopped(m, id, task)
	}
	reports := func(attempt uint64, state string) func(*domain.Heartbeat) {
		return func(heartbeat *domain.Heartbeat) {
			heartbeat.Tasks = []domain.TaskReport{{Task: id, Attempt: attempt, State: state}}
		}
	}
	m.startsSent[attempt] = 4
	for _, test := range []struct {
		what        string
		change      func(*domain.Heartbeat)
		isHeartbeat bool
		proven      bool
	}{
		{"it runs", reports(task.Attempt, domain.ReportedRunning), true, false},
		{"it saves", reports(task.Attempt, domain.ReportedSaving), true, false},
		{"it ended", reports(task.Attempt, domain.ReportedEnded), true, true},
		{"another attempt ended", reports(task.Attempt+1, domain.ReportedEnded), true, false},
		{"its start got lost", func(*domain.Heartbeat) {}, true, true},
		{"a direct answer lacks it", func(*domain.Heartbeat) {}, false, false},
		{"its start may be under way", func(heartbeat *domain.Heartbeat) { heartbeat.Sequence = 4 }, true, false},
		{"an earlier owner's answer may be under way", func(heartbeat *domain.Heartbeat) { heartbeat.FencingToken = 0 }, true, false},
		{"a later agent epoch", func(heartbeat *domain.Heartbeat) { heartbeat.AgentEpoch, heartbeat.Sequence = 2, 1 }, true, true},
	} {
		t.Run(test.what, func(t *testing.T) {
			if got := said(test.change, test.isHeartbeat); got != test.proven {
				t.Errorf("proven off: %v", got)
			}
		})
	}
	m.agentEpoch = 0
	if c.isProvenStopped(m, id, task) {
		t.Error("proven off by a word older than its agent epoch")
	}
	m.abandonedEpoch = 1
	if !c.isProvenStopped(m, id, task) {
		t.Error("not proven off by an abandoned agent epoch")
	}
	m.abandonedEpoch = 0
	c.cache.cordons[m.Name] = domain.Cordon{State: domain.CordonGone}
	if !c.isProvenStopped(m, id, task) {
		t.Error("not proven off by the machine's return")
	}
}

// TestStartRefusalFor: a booked task is started once, unless a reason stands against it.
func TestStartRefusalFor(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	for want, change := range map[startRefusal]func(*Controller, *Machine, *Job, attemptID){
		startAllowed: func(*Controller, *Machine, *Job, attemptID) {},
		alreadyReported: func(_ *Controller, m *Machine, _ *Job, attempt attemptID) {
			m.reported[id] = domain.TaskReport{Task: id, Attempt: attempt.Attempt}
		},
		gangStopped:           func(_ *Controller, _ *Machine, j *Job, attempt attemptID) { j.Header.StopThrough = attempt.Attempt },
		agentEpochDiffers:     func(_ *Controller, m *Machine, _ *Job, _ attemptID) { m.agentEpoch++ },
		jobClosed:             func(_ *Controller, _ *Machine, j *Job, _ attemptID) { j.Header.State = domain.StateCancelled },
		releaseAttempted:      func(c *Controller, _ *Machine, _ *Job, attempt attemptID) { c.planner.pendingReleases[attempt] = true },
		machineBeingPreempted: func(c *Controller, m *Machine, _ *Job, _ attemptID) { m.preemptionAt = c.now },
		attemptPreempted:      func(c *Controller, _ *Machine, _ *Job, attempt attemptID) { c.planner.preempted[attempt] = true },
	} {
		c, m := withBookedTask(t, "")
		j := c.cache.jobs[id.Job]
		task := j.task(0)
		change(c, m, j, attemptID{id, task.Attempt})
		if got := c.startRefusalFor(m, j, id, task); got != want {
			t.Errorf("refused for reason %d, not %d", got, want)
		}
	}
}
