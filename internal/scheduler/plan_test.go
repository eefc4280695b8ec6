package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/steady"
)

// stocked is a controller of five that may act, with idle machines and a job of many tasks
// in their queues, in the smallest transactions in use.
func stocked(t *testing.T, machines int) *Controller {
	t.Helper()
	c := acting()
	c.cfg.Nodes = []string{"c-0", "c-1", "c-2", "c-3", "c-4"} // which share the pages of cordons
	c.apply(openJob(t, 1, 4*machines, 1, 1000))
	for i := 0; i < machines; i++ {
		m := c.heartbeats.addMachine(fmt.Sprintf("n-%06d", i))
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
		for k := 0; k < 4; k++ {
			c.enqueue(domain.TaskID{Job: jobName(1), Index: 4*i + k}, m)
		}
	}
	return c
}

// openJob is the header of an array in the pack c-0/0.
func openJob(t *testing.T, i, n, prio int, cpu int64) domain.KeyValue {
	t.Helper()
	return domain.KeyValue{Key: codec.KeyJob(jobName(i)), ModRevision: uint64(i + 10), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: n, ChunkSize: n, Pack: "c-0/0", Shard: "c-0", AcceptOrder: uint64(i + 1),
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, Priority: domain.Priority(prio), TaskCount: n, Request: domain.Resources{CPU: cpu}, EstimatedRuntime: 10, Spot: true}})}
}

// TestSmallTransactionsBookMany: a commit of 4 changes may have 16 conditions. With
// six kept back for each further change, and 28 bytes planned for each booking, half
// of 1,168 machines stood idle beside a backlog.
func TestSmallTransactionsBookMany(t *testing.T) {
	c := stocked(t, 30)
	d := c.newDraft()
	for i := 0; i < 4; i++ { // what releases put in before
		d.addCondition(fmt.Sprintf("b/pack/c-0/%d", 90+i))
	}
	c.planBookings(d)
	if n := len(d.changed); n < 100 {
		t.Errorf("%d of 120 tasks are booked", n)
	}
	txn := d.transaction()
	if len(txn.Conditions) > 16 || len(txn.Puts) > 4 || c.tooLarge(txn) {
		t.Errorf("%d conditions, %d changes, too large %v", len(txn.Conditions), len(txn.Puts), c.tooLarge(txn))
	}
}

// TestUrgentGoesAhead: a small urgent task that fits doesn't wait in a machine's
// queue behind a large one that doesn't; tasks of one priority stay in order.
func TestUrgentGoesAhead(t *testing.T) {
	for prio, want := range map[int]string{1: "", 2: jobName(3)} {
		c := acting()
		m := c.heartbeats.addMachine("n-000001")
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
		c.cache.occupancy[m.Name] = occupancy{taskSum: taskSum{used: domain.Resources{CPU: 14000}}}
		c.apply(openJob(t, 2, 1, 1, 5000))
		c.apply(openJob(t, 3, 1, prio, 1000))
		c.enqueue(domain.TaskID{Job: jobName(2), Index: 0}, m)
		c.enqueue(domain.TaskID{Job: jobName(3), Index: 0}, m)
		d := c.newDraft()
		c.planBookings(d)
		got := ""
		for id := range d.changed {
			got = id.Job
		}
		if got != want {
			t.Errorf("priority %d: %q is booked, want %q", prio, got, want)
		}
	}
}

// TestRestingByShard: in a wide fleet each shard keeps the room that its own jobs need.
// By the sum over all, the shard with a backlog rested the machines it wanted.
func TestRestingByShard(t *testing.T) {
	c := largeFleetLeader()
	for _, p := range c.peers.byName {
		for i := range p.machines {
			p.machines[i].Type = "box"
		}
	}
	h := codec.JobHeader{State: domain.StateOpen, TaskCount: 300, ChunkSize: 300, Pack: "c-0/0", Shard: "c-0", AcceptOrder: 2,
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 300, Request: domain.Resources{CPU: 16000}, Spot: true}}
	c.cfg.Teams = map[string]domain.Quota{"red": {}}
	c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(1)), Value: codec.Encode(h), ModRevision: 5})
	c.peers.inventoryAt = steady.Instant{}
	c.planResting(c.machines(), c.pendingWork(c.machines()))
	awake := map[string]int{}
	for _, m := range c.inventory() {
		if !c.scaling.resting[m.name] {
			awake[m.owner]++
		}
	}
	if awake["c-0"] < 300 {
		t.Errorf("%v machines are awake by shard; c-0 wants 300", awake)
	}
}

// planned returns the task commit that the controller wants now; empty: none.
func planned(t *testing.T, c *Controller) Commit {
	t.Helper()
	c.now += time.Second
	c.confirmNow()
	c.effects, c.planner.dirty, c.commits.tokens = nil, true, 1e6
	c.planCommit()
	for _, e := range c.effects {
		if x, ok := e.(Commit); ok && x.Lane == LaneTask {
			return x
		}
	}
	return Commit{}
}

// excludeEachOther tells whether two transactions change a value that both found unchanged:
// whichever is carried out first, the other never is.
func excludeEachOther(a, b domain.Transaction) bool {
	had := map[string]uint64{}
	for _, k := range a.Conditions {
		had[k.Key] = k.ModRevision
	}
	for _, k := range b.Conditions {
		revision, both := had[k.Key]
		writes := func(t domain.Transaction) bool {
			return slices.ContainsFunc(t.Puts, func(p domain.Put) bool { return p.Key == k.Key })
		}
		if both && revision == k.ModRevision && writes(a) && writes(b) {
			return true
		}
	}
	return false
}

// TestCommitsInDoubtExcludeEachOther: a commit without an answer may be carried out
// after newer ones of this controller. Two that change different values, each within the
// controller's share of a team's limit, together broke the limit, so the later ones write a
// value of the first again. The team's key is left out of them, since it lost a
// conflict just now and the share has room.
func TestCommitsInDoubtExcludeEachOther(t *testing.T) {
	for kind, spec := range map[string]struct {
		pack   string
		inline bool
	}{"pack": {pack: "c-0/1"}, "chunk": {}, "header": {inline: true}, "team": {pack: "c-0/1"}} {
		c := acting()
		c.cfg.Teams = map[string]domain.Quota{"red": {Limit: domain.Resources{CPU: 16000}}}
		c.apply(domain.KeyValue{Key: codec.PrefixTeam + "red", ModRevision: 5, Value: codec.Encode(codec.TeamShares{ByNode: map[string]domain.Resources{"c-0": {CPU: 4000}, "c-1": {CPU: 12000}}})})
		c.commits.avoidUntil[codec.PrefixTeam+"red"] = time.Hour
		h := codec.JobHeader{State: domain.StateOpen, TaskCount: 4, ChunkSize: 4, Pack: spec.pack, Inline: spec.inline, Shard: "c-0", AcceptOrder: 1,
			Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, Priority: 1, TaskCount: 4, Request: domain.Resources{CPU: 1000}, EstimatedRuntime: 10, Spot: true}}
		c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(2)), ModRevision: 6, Value: codec.Encode(h)})
		c.apply(openJob(t, 1, 4, 1, 1000))
		m := c.heartbeats.addMachine("n-000001")
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
		for i := range 4 {
			c.enqueue(domain.TaskID{Job: jobName(2), Index: i}, m)
		}
		if kind == "team" {
			c.dequeueAll(m.Name)
			delete(c.commits.avoidUntil, codec.PrefixTeam+"red") // it has too large a share, and gives it back
		}
		first := planned(t, c)
		if len(first.Transaction.Puts) == 0 {
			t.Fatalf("%s: nothing planned", kind)
		}
		c.onCommit(CommitAnswered{ID: first.ID, Result: domain.InDoubt})
		c.dequeueAll(m.Name)
		for i := range 4 {
			c.enqueue(domain.TaskID{Job: jobName(1), Index: i}, m)
		}
		second := planned(t, c)
		if len(second.Transaction.Puts) == 0 || !excludeEachOther(first.Transaction, second.Transaction) {
			t.Errorf("%s: both %v and %v may be carried out", kind, first.Transaction, second.Transaction)
		}
		c.onCommit(CommitAnswered{ID: second.ID, Result: domain.InDoubt})
		third := planned(t, c)
		if !excludeEachOther(first.Transaction, third.Transaction) || !excludeEachOther(second.Transaction, third.Transaction) {
			t.Errorf("%s: the third, %v, excludes not all before it", kind, third.Transaction)
		}
		c.onCommit(CommitAnswered{ID: third.ID, Result: domain.Committed, Revision: 200})
		if d := c.newDraft(); c.commits.inDoubt.key != "" || d.changes() > 0 {
			t.Errorf("%s: %d values are written again though all is settled", kind, d.changes())
		}
	}
}

// TestLargeArraysReserveNoMachines: the leader reserves machines for gangs that wait, not for
// an array of thousands of tasks, which would keep all of them from other jobs.
func TestLargeArraysReserveNoMachines(t *testing.T) {
	for shape, reserved := range map[domain.Shape]bool{domain.Array: false, domain.Gang: true} {
		c := stocked(t, 10)
		h := codec.JobHeader{State: domain.StateOpen, TaskCount: 3000, ChunkSize: 100, Shard: "c-0", AcceptOrder: 50,
			Spec: &domain.JobSpec{Class: "large", Team: "red", Shape: shape, Priority: 1, TaskCount: 3000, Request: domain.Resources{CPU: 4000}, EstimatedRuntime: 5}}
		if shape == domain.Gang {
			h.TaskCount, h.Spec.TaskCount = 4, 4
		}
		c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(9)), Value: codec.Encode(h), ModRevision: 60})
		pending := c.pendingWork(c.machines())
		if len(pending) < 2 {
			t.Fatalf("%s: %d jobs want machines", shape, len(pending))
		}
		c.planReservations(c.machines(), pending)
		if got := len(c.scaling.reserved) > 0; got != reserved {
			t.Errorf("%s: %d machines are reserved", shape, len(c.scaling.reserved))
		}
	}
}
