package core

import (
	"fmt"
	"testing"
)

// stocked is an acting node of five with idle machines and a job of many tasks in
// their queues, in the smallest transactions in use.
func stocked(t *testing.T, machines int) *Core {
	t.Helper()
	c := acting()
	c.cfg.Nodes = []string{"c-0", "c-1", "c-2", "c-3", "c-4"} // homes of marks
	c.apply(openJob(t, 1, 4*machines, 1, 1000))
	for i := 0; i < machines; i++ {
		m := c.addMachine(fmt.Sprintf("n-%06d", i))
		c.takeReport(m, &Report{Machine: m.Name, Type: "box", Zone: "a", Shift: 1, Tally: 1, Recall: -1}, true)
		for k := 0; k < 4; k++ {
			c.enqueue(TaskID{jobName(1), 4*i + k}, m)
		}
	}
	return c
}

// openJob is the header of an array in the pack c-0/0.
func openJob(t *testing.T, i, n, prio int, cpu int64) KV {
	t.Helper()
	return KV{Key: keyJob(jobName(i)), Stamp: uint64(i + 10), Value: enc(Header{State: JobOpen, N: n, Chunk: n, Pack: "c-0/0", Part: "c-0", Order: uint64(i + 1),
		Spec: &Spec{Class: "c", Team: "red", Shape: Array, Prio: prio, N: n, Need: Res{CPU: cpu}, Est: 10, Spot: true}})}
}

// TestSmallTransactionsBookMany: a commit of 4 changes may have 16 conditions. With
// six kept back for each further change, and 28 bytes planned for each booking, half
// of 1,168 machines stood idle beside a backlog.
func TestSmallTransactionsBookMany(t *testing.T) {
	c := stocked(t, 30)
	d := c.newDraft()
	for i := 0; i < 4; i++ { // what releases put in before
		d.cond(fmt.Sprintf("b/pack/c-0/%d", 90+i))
	}
	c.planBookings(d)
	if n := len(d.changed); n < 100 {
		t.Errorf("%d of 120 tasks are booked", n)
	}
	txn := d.txn()
	if len(txn.When) > 16 || len(txn.Apply) > 4 || c.tooLarge(txn) {
		t.Errorf("%d conditions, %d changes, too large %v", len(txn.When), len(txn.Apply), c.tooLarge(txn))
	}
}

// TestUrgentGoesAhead: a small urgent task that fits doesn't wait in a machine's
// queue behind a large one that doesn't; tasks of one priority stay in order.
func TestUrgentGoesAhead(t *testing.T) {
	for prio, want := range map[int]string{1: "", 2: jobName(3)} {
		c := acting()
		m := c.addMachine("n-000001")
		c.takeReport(m, &Report{Machine: m.Name, Type: "box", Zone: "a", Shift: 1, Tally: 1, Recall: -1}, true)
		c.st.occ[m.Name] = occ{used: Res{CPU: 14000}}
		c.apply(openJob(t, 2, 1, 1, 5000))
		c.apply(openJob(t, 3, 1, prio, 1000))
		c.enqueue(TaskID{jobName(2), 0}, m)
		c.enqueue(TaskID{jobName(3), 0}, m)
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

// TestRestByPart: in a wide fleet each part keeps the room that its own jobs need.
// By the sum over all, the part with a backlog rested the machines it wanted.
func TestRestByPart(t *testing.T) {
	c := wideCore()
	for _, p := range c.peers {
		for i := range p.machines {
			p.machines[i].Type = "box"
		}
	}
	h := Header{State: JobOpen, N: 300, Chunk: 300, Pack: "c-0/0", Part: "c-0", Order: 2,
		Spec: &Spec{Class: "c", Team: "red", Shape: Array, N: 300, Need: Res{CPU: 16000}, Spot: true}}
	c.cfg.Teams = map[string]Limits{"red": {}}
	c.apply(KV{Key: keyJob(jobName(1)), Value: enc(h), Stamp: 5})
	c.invAt = -1
	c.decideRest(c.machines(), c.pending())
	awake := map[string]int{}
	for _, m := range c.inventory() {
		if !c.fleet.rest[m.name] {
			awake[m.owner]++
		}
	}
	if awake["c-0"] < 300 {
		t.Errorf("%v machines are awake by part; c-0 wants 300", awake)
	}
}
