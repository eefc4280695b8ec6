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

// withBookedTask is an acting controller with one machine that it heard, and a task of job 1
// withBookedTask there and not yet started.
func withBookedTask(t *testing.T, drop Guard) (*Controller, *Machine) {
	t.Helper()
	c := acting()
	c.cfg.DisabledGuard, c.cfg.WorkerLease, c.cfg.HeartbeatInterval = drop, 20*time.Second, 3*time.Second
	c.apply(openJob(t, 1, 1, 1, 1000))
	m := c.heartbeats.addMachine("n-000001")
	m.ownedEpoch, m.ownedSince = 1, c.now
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: 1, PreemptionNotice: -1}, true)
	c.enqueue(domain.TaskID{Job: jobName(1), Index: 0}, m)
	commit := planned(t, c)
	c.onCommit(CommitAnswered{ID: commit.ID, Result: domain.Committed, Revision: 150})
	if c.cache.jobs[jobName(1)].task(0).State != domain.Booked {
		t.Fatal("not booked")
	}
	return c, m
}

// heartbeatAnswer is the answer to a heartbeat of the machine, given at once.
func heartbeatAnswer(c *Controller, m *Machine, sequence uint64, notice float64, seen ...domain.TaskReport) (status int, kinds []domain.CommandKind) {
	c.effects = nil
	c.confirmNow()
	c.onHeartbeat(HeartbeatReceived{RequestID: 9, Heartbeat: domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: sequence, FencingToken: 1, PreemptionNotice: notice, Tasks: seen}})
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

// TestGuardsAreEffective: what each guard keeps holds with it and doesn't without it.
// They guard against meetings that random days seldom bring about.
func TestGuardsAreEffective(t *testing.T) {
	id := domain.TaskID{Job: jobName(1), Index: 0}
	for guard, holds := range map[Guard]func(t *testing.T, drop Guard) bool{
		// A release without an answer may still be carried out: were the start sent
		// again, as the notice was withdrawn, the task would then start elsewhere.
		GuardPendingRelease: func(t *testing.T, drop Guard) bool {
			c, m := withBookedTask(t, drop)
			heartbeatAnswer(c, m, 2, 8)
			c.now += 2 * time.Second
			c.cache.jobs[id.Job].Header.StopThrough, m.fencingToken = 0, 1
			_, _ = heartbeatAnswer(c, m, 3, 8)
			pending := c.commits.taskCommit
			if pending == nil {
				pending = c.commits.pending[planned(t, c).ID]
			}
			c.onCommit(CommitAnswered{ID: pending.id, Result: domain.InDoubt})
			c.commits.nextTaskCommit.Set(c.now + time.Minute)
			_, kinds := heartbeatAnswer(c, m, 4, -1)
			return !slices.Contains(kinds, domain.StartTask)
		},
		// Whoever sees a view has seen every commit of the views before: a controller that
		// took its own proposal for seen could lack another's last booking.
		GuardView: func(t *testing.T, drop Guard) bool {
			c, _ := withBookedTask(t, drop)
			view := *c.cache.view
			view.Epoch = 2
			proposal := c.commit(LaneView, domain.Transaction{Puts: []domain.Put{{Key: codec.KeyView, Value: codec.Encode(view)}}}, func(domain.CommitResult, CommitAnswered) {})
			c.onCommit(CommitAnswered{ID: proposal.id, Result: domain.Committed, Revision: 160})
			return c.cache.view.Epoch == 1
		},
		// A forgotten attempt is unknown to its agent, and a start would run it anew.
		GuardForget: func(t *testing.T, drop Guard) bool {
			c, m := withBookedTask(t, drop)
			c.commits.nextTaskCommit.Set(c.now + time.Minute)
			_, kinds := heartbeatAnswer(c, m, 2, -1, domain.TaskReport{Task: id, Attempt: 1, State: domain.ReportedEnded, Cause: domain.CauseError})
			return !slices.Contains(kinds, domain.ForgetTask)
		},
		// A machine may be cordoned and returned between plan and commit.
		GuardCordons: func(t *testing.T, drop Guard) bool {
			c, m := withBookedTask(t, drop)
			c.apply(openJob(t, 2, 1, 1, 1000))
			c.enqueue(domain.TaskID{Job: jobName(2), Index: 0}, m)
			commit := planned(t, c)
			return slices.ContainsFunc(commit.Transaction.Conditions, func(k domain.Condition) bool { return k.Key == codec.PrefixCordons+c.cordonPageOf(m.Name) })
		},
		// Of a snapshot's pages the first is the oldest: a chunk on a later one may
		// belong to a header that is not there yet, and its revision would hide it.
		GuardSnapshot: func(t *testing.T, drop Guard) bool {
			c := acting()
			c.cfg.DisabledGuard = drop
			header := codec.JobHeader{State: domain.StateOpen, TaskCount: 1, ChunkSize: 1, Shard: "c-0", AcceptOrder: 1, Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{CPU: 1000}}}
			chunk := domain.KeyValue{Key: codec.PrefixTask + jobName(5) + "/0", ModRevision: 120, Value: codec.Encode(c.cache.chunkOf(map[string][]domain.Task{jobName(5): {{State: domain.Booked, Attempt: 1, Machine: "n-000001", AgentEpoch: 1, Zone: "a", Shard: "c-0"}}}))}
			c.loadSnapshot(SnapshotLoaded{Revision: 110, Items: []domain.KeyValue{chunk}})
			c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(5)), ModRevision: 115, Value: codec.Encode(header)})
			c.apply(chunk)
			return c.cache.jobs[jobName(5)].counts.booked == 1
		},
		// The tasks of an abandoned agent epoch may be on elsewhere: an answer would keep
		// alive what may still be there.
		GuardAbandonedEpoch: func(t *testing.T, drop Guard) bool {
			c, m := withBookedTask(t, drop)
			c.now += c.cfg.FenceAge + c.cfg.WorkerLease + 5*time.Second
			c.confirmNow()
			c.reviewMachines()
			if m.abandonedEpoch != 1 {
				t.Fatal("not abandoned")
			}
			status, _ := heartbeatAnswer(c, m, 2, -1)
			return status == 503
		},
		// What may change is answered behind a read index.
		GuardReadIndex: func(t *testing.T, drop Guard) bool {
			c, _ := withBookedTask(t, drop)
			c.effects = nil
			c.onJobQueried(JobQueried{1, jobName(1)})
			return said(c).Status == 0
		},
		GuardNeverRuns: func(t *testing.T, drop Guard) bool {
			c, _ := withBookedTask(t, drop)
			return c.neverRunsReason(&domain.JobSpec{Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{GPU: 1}}) != ""
		},
		// A controller that was cut off takes a job for unknown that another one accepted.
		GuardReadIndex + " ": func(t *testing.T, drop Guard) bool {
			c := acting()
			c.cfg.DisabledGuard = Guard(strings.TrimSpace(string(drop)))
			c.onJobQueried(JobQueried{1, jobName(7)})
			return said(c).Status == 0
		},
	} {
		t.Run(string(guard), func(t *testing.T) {
			if !holds(t, "") {
				t.Errorf("doesn't hold")
			}
			if holds(t, guard) {
				t.Errorf("holds without its guard")
			}
		})
	}
}

// TestPauseBetweenEvents: a controller that stood still answers nothing that it held, by
// what it knew before, until it has confirmed anew.
func TestPauseBetweenEvents(t *testing.T) {
	c, m := withBookedTask(t, "")
	c.heartbeats.pending[m.Name] = &pendingHeartbeat{m.Name, 7, 1, 1, c.now + tuning.HeartbeatHold}
	c.requests.waiting = append(c.requests.waiting, waiter{requestID: 8, jobID: jobName(1), askedAt: c.now})
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
		t.Errorf("after a minute's standstill: %v", got)
	}
}
