package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// withBookedTask returns a controller that may act, with one machine that has sent a
// heartbeat, and a task of job 1 that is booked there and not yet started. One guard is
// disabled.
func withBookedTask(t *testing.T, disabled Guard) (*Controller, *Machine) {
	t.Helper()
	c := actingController()
	c.cfg.DisabledGuard, c.cfg.WorkerLease, c.cfg.HeartbeatInterval = disabled, 20*time.Second, 3*time.Second
	c.apply(openJob(t, 1, 1, 1, 1000))
	m := c.heartbeats.addMachine("n-000001")
	m.ownedEpoch, m.ownedSince = 1, c.now
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: 1, PreemptionNotice: -1}, true)
	c.enqueue(domain.TaskID{Job: jobName(1), Index: 0}, m)
	commit := planTaskCommit(t, c)
	c.onCommit(CommitAnswered{ID: commit.ID, Result: domain.Committed, Revision: 150})
	if c.cache.jobs[jobName(1)].task(0).State != domain.Booked {
		t.Fatal("the task is not booked")
	}
	return c, m
}

// heartbeatAnswer sends a heartbeat of the machine with the given sequence, preemption notice
// and reported tasks, has it answered without delay, and returns the status and the kinds of
// the commands in the answer.
func heartbeatAnswer(c *Controller, m *Machine, sequence uint64, notice float64, reports ...domain.TaskReport) (status int, kinds []domain.CommandKind) {
	c.effects = nil
	c.confirmNow()
	c.onHeartbeat(HeartbeatReceived{RequestID: 9, Heartbeat: domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: sequence, FencingToken: 1, PreemptionNotice: notice, Tasks: reports}})
	for _, pending := range c.heartbeats.pending {
		c.answerHeartbeat(pending)
	}
	for _, effect := range c.effects {
		if reply, ok := effect.(HeartbeatReply); ok {
			status = reply.Status
			for _, command := range reply.Commands {
				kinds = append(kinds, command.Kind)
			}
		}
	}
	return status, kinds
}

// TestGuardsAreEffective checks that what each guard protects holds while it is enabled and
// fails while it is disabled. The combined faults that the guards protect against are rare in
// the random scenarios.
func TestGuardsAreEffective(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	for guard, holds := range map[Guard]func(t *testing.T, disabled Guard) bool{
		// A release whose outcome is unknown may still be committed, and the task would then be
		// booked elsewhere. Here the preemption notice that caused the release is withdrawn; the
		// start must not be sent again.
		GuardPendingRelease: func(t *testing.T, disabled Guard) bool {
			c, m := withBookedTask(t, disabled)
			heartbeatAnswer(c, m, 2, 8)
			c.now += 2 * time.Second
			c.cache.jobs[id.Job].Header.StopUpTo, m.fencingToken = 0, 1
			_, _ = heartbeatAnswer(c, m, 3, 8)
			pending := c.commits.taskCommit
			if pending == nil {
				pending = c.commits.pending[planTaskCommit(t, c).ID]
			}
			c.onCommit(CommitAnswered{ID: pending.id, Result: domain.InDoubt})
			c.commits.nextTaskCommit.Set(c.now + time.Minute)
			_, kinds := heartbeatAnswer(c, m, 4, -1)
			return !slices.Contains(kinds, domain.StartTask)
		},
		// A controller that has a view must have seen every commit made under earlier views. If it
		// took the view from its own proposal, it could lack the last booking of another one.
		GuardView: func(t *testing.T, disabled Guard) bool {
			c, _ := withBookedTask(t, disabled)
			view := *c.cache.view
			view.Epoch = 2
			proposal := c.commit(LaneView, domain.Transaction{Puts: []domain.Put{{Key: codec.KeyView, Value: codec.Encode(view)}}}, func(domain.CommitResult, CommitAnswered) {})
			c.onCommit(CommitAnswered{ID: proposal.id, Result: domain.Committed, Revision: 160})
			return c.cache.view.Epoch == 1
		},
		// An agent would run a forgotten attempt again if it received another start of it.
		GuardForget: func(t *testing.T, disabled Guard) bool {
			c, m := withBookedTask(t, disabled)
			c.commits.nextTaskCommit.Set(c.now + time.Minute)
			_, kinds := heartbeatAnswer(c, m, 2, -1, domain.TaskReport{Task: id, Attempt: 1, State: domain.ReportedEnded, Cause: domain.CauseError})
			return !slices.Contains(kinds, domain.ForgetTask)
		},
		// The booking must be conditional on the machine's cordons, since the machine may be
		// cordoned and returned between plan and commit.
		GuardCordons: func(t *testing.T, disabled Guard) bool {
			c, m := withBookedTask(t, disabled)
			c.apply(openJob(t, 2, 1, 1, 1000))
			c.enqueue(domain.TaskID{Job: jobName(2), Index: 0}, m)
			commit := planTaskCommit(t, c)
			return slices.ContainsFunc(commit.Transaction.Conditions, func(k domain.Condition) bool { return k.Key == codec.PrefixCordons+c.cordonPageOf(m.Name) })
		},
		// The first page of a snapshot is the oldest one. A chunk on a later page may belong to a
		// header that the snapshot lacks; it would be dropped, and its revision would keep it from
		// being applied again.
		GuardSnapshot: func(t *testing.T, disabled Guard) bool {
			c := actingController()
			c.cfg.DisabledGuard = disabled
			header := codec.JobHeader{State: domain.StateOpen, TaskCount: 1, ChunkSize: 1, Shard: "c-0", AcceptOrder: 1, Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{CPU: 1000}}}
			chunk := domain.KeyValue{Key: codec.PrefixTask + jobName(5) + "/0", ModRevision: 120, Value: codec.Encode(c.cache.chunkOf(map[string][]domain.Task{jobName(5): {{State: domain.Booked, Attempt: 1, Machine: "n-000001", AgentEpoch: 1, Zone: "a", Shard: "c-0"}}}))}
			c.loadSnapshot(SnapshotLoaded{Revision: 110, Items: []domain.KeyValue{chunk}})
			c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(5)), ModRevision: 115, Value: codec.Encode(header)})
			c.apply(chunk)
			return c.cache.jobs[jobName(5)].counts.booked == 1
		},
		// The tasks of an abandoned agent epoch may run elsewhere. An answer would renew the lease
		// under which they may still run on the machine.
		GuardAbandonedEpoch: func(t *testing.T, disabled Guard) bool {
			c, m := withBookedTask(t, disabled)
			c.now += c.cfg.FenceAge + c.cfg.WorkerLease + 5*time.Second
			c.confirmNow()
			c.reviewMachines()
			if m.abandonedEpoch != 1 {
				t.Fatal("the agent epoch is not abandoned after its lease")
			}
			status, _ := heartbeatAnswer(c, m, 2, -1)
			return status == 503
		},
		// A state that may still change is answered only after a read index.
		GuardReadIndex: func(t *testing.T, disabled Guard) bool {
			c, _ := withBookedTask(t, disabled)
			c.effects = nil
			c.onJobQueried(JobQueried{1, jobName(1)})
			return lastReply(c).Status == 0
		},
		GuardNeverRuns: func(t *testing.T, disabled Guard) bool {
			c, _ := withBookedTask(t, disabled)
			return c.neverRunsReason(&domain.JobSpec{Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{GPU: 1}}) != ""
		},
		// A controller that was cut off may lack a job that another one has accepted, so it must
		// not answer that the job is unknown before a read index. This is a second case for
		// GuardReadIndex: the space makes its key in the map a different one, and is removed
		// again before the guard is disabled.
		GuardReadIndex + " ": func(t *testing.T, disabled Guard) bool {
			c := actingController()
			c.cfg.DisabledGuard = Guard(strings.TrimSpace(string(disabled)))
			c.onJobQueried(JobQueried{1, jobName(7)})
			return lastReply(c).Status == 0
		},
	} {
		t.Run(string(guard), func(t *testing.T) {
			if !holds(t, "") {
				t.Errorf("the protected property does not hold while the guard is enabled")
			}
			if holds(t, guard) {
				t.Errorf("the protected property holds although the guard is disabled")
			}
		})
	}
}

// TestPauseBetweenEvents checks that a controller whose process stood still for longer than
// the fence age answers the heartbeats and requests that it held with 503, and does nothing
// else, until it has confirmed its view again.
func TestPauseBetweenEvents(t *testing.T) {
	c, m := withBookedTask(t, "")
	c.heartbeats.pending[m.Name] = &pendingHeartbeat{m.Name, 7, 1, 1, c.now + tuning.HeartbeatHold}
	c.requests.waiting = append(c.requests.waiting, waiter{requestID: 8, jobID: jobName(1), receivedAt: c.now})
	effects := c.Step(c.now+time.Minute, Tick{})
	got := map[string]int{}
	for _, effect := range effects {
		switch answer := effect.(type) {
		case HeartbeatReply:
			got[fmt.Sprint("worker ", answer.Status)]++
		case UserReply:
			got[fmt.Sprint("user ", answer.Status)]++
		case SendCommands, RentMachines, ReturnMachines:
			got["acts"]++
		}
	}
	if got["worker 503"] != 1 || got["user 503"] != 1 || got["acts"] > 0 {
		t.Errorf("effects after a pause of one minute: %v", got)
	}
}
