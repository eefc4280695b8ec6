package scheduler

import (
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestNewAgentEpochIsNotAbandonedForTheOldOne: after an outage longer than the lease, a
// machine returns in a new agent epoch. The lease of that epoch must count from its first
// report, not from the last answer to the old epoch, or the new epoch would be abandoned at
// once.
func TestNewAgentEpochIsNotAbandonedForTheOldOne(t *testing.T) {
	c := New(Settings{Controller: "c-0", WorkerLease: 20 * time.Second, FenceAge: 7 * time.Second}, "x")
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
		t.Error("the new agent epoch, which was never answered, has not expired after its lease")
	}
}

// TestMemberKeyRetryDelay checks that the controller pauses before it writes the member key
// again after a refusal. An expired lease refuses the key every time, and in incident
// inc-16a3 the key was written eleven times in 60 ms.
func TestMemberKeyRetryDelay(t *testing.T) {
	c := New(Settings{Controller: "c-0", Controllers: []string{"c-0"}, FenceAge: 7 * time.Second}, "x")
	c.Step(0, Tick{})
	c.Step(time.Millisecond, LeaseAnswered{OK: true, LeaseID: 1})
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
		t.Errorf("member key written %d times in 300 ms, want once", writes)
	}
}

// TestHeartbeatRefusals checks the reason that is found for each kind of heartbeat that may
// not be answered with commands.
func TestHeartbeatRefusals(t *testing.T) {
	c, m := withBookedTask(t, "")
	newest := func() *domain.Heartbeat {
		return &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 2, FencingToken: 1, PreemptionNotice: -1}
	}
	if got := c.refusalByController(newest()); got != heartbeatAccepted {
		t.Errorf("heartbeat refused by the controller for reason %d", got)
	}
	if got := c.refusalByMachine(m, newest()); got != heartbeatAccepted {
		t.Errorf("heartbeat refused by the machine's state for reason %d", got)
	}
	stale := newest()
	stale.Sequence = 1
	if got := c.refusalByMachine(m, stale); got != staleHeartbeat {
		t.Errorf("a heartbeat that is not newer than the last one is refused for reason %d", got)
	}
	later := newest()
	later.FencingToken = c.cache.view.Epoch + 1
	if got := c.refusalByController(later); got != newerViewSeen {
		t.Errorf("a fencing token of a later view is refused for reason %d", got)
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
		t.Errorf("a heartbeat to an unconfirmed controller is refused for reason %d", got)
	}
}

// TestIsProvenStopped checks what proves that an attempt is stopped: the end that its machine
// reports, a later agent epoch, an abandoned agent epoch, the return of the machine, and a
// heartbeat that would list the attempt if its start had arrived, but doesn't. A direct
// response to commands proves nothing, nor does a heartbeat after which another controller's
// answer may still arrive.
func TestIsProvenStopped(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	c, m := withBookedTask(t, "")
	task := c.cache.jobs[id.Job].task(0)
	attempt := attemptID{id, task.Attempt}
	provenAfter := func(change func(*domain.Heartbeat), isHeartbeat bool) bool {
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
		{"running", reports(task.Attempt, domain.ReportedRunning), true, false},
		{"saving", reports(task.Attempt, domain.ReportedSaving), true, false},
		{"ended", reports(task.Attempt, domain.ReportedEnded), true, true},
		{"another attempt ended", reports(task.Attempt+1, domain.ReportedEnded), true, false},
		{"start lost", func(*domain.Heartbeat) {}, true, true},
		{"missing in a direct response", func(*domain.Heartbeat) {}, false, false},
		{"start may be in flight", func(heartbeat *domain.Heartbeat) { heartbeat.Sequence = 4 }, true, false},
		{"answer of an earlier owner may be in flight", func(heartbeat *domain.Heartbeat) { heartbeat.FencingToken = 0 }, true, false},
		{"later agent epoch", func(heartbeat *domain.Heartbeat) { heartbeat.AgentEpoch, heartbeat.Sequence = 2, 1 }, true, true},
	} {
		t.Run(test.what, func(t *testing.T) {
			if got := provenAfter(test.change, test.isHeartbeat); got != test.proven {
				t.Errorf("proven stopped: %v, want the opposite", got)
			}
		})
	}
	m.agentEpoch = 0
	if c.isProvenStopped(m, id, task) {
		t.Error("proven stopped by a report older than the booking's agent epoch")
	}
	m.abandonedEpoch = 1
	if !c.isProvenStopped(m, id, task) {
		t.Error("not proven stopped although the agent epoch is abandoned")
	}
	m.abandonedEpoch = 0
	c.cache.cordons[m.Name] = domain.Cordon{State: domain.CordonGone}
	if !c.isProvenStopped(m, id, task) {
		t.Error("not proven stopped although the machine was returned")
	}
}

// TestStartRefusalFor checks that a booked task may be started, and each reason against it.
func TestStartRefusalFor(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	for want, change := range map[startRefusal]func(*Controller, *Machine, *Job, attemptID){
		startAllowed: func(*Controller, *Machine, *Job, attemptID) {},
		alreadyReported: func(_ *Controller, m *Machine, _ *Job, attempt attemptID) {
			m.reported[id] = domain.TaskReport{Task: id, Attempt: attempt.Attempt}
		},
		gangStopped:           func(_ *Controller, _ *Machine, j *Job, attempt attemptID) { j.Header.StopUpTo = attempt.Attempt },
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
			t.Errorf("start refused for reason %d, want %d", got, want)
		}
	}
}
