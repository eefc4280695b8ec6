package core

import (
	"testing"
	"time"
)

// TestNewSessionIsNotGivenUpForTheOld: after an outage longer than the lease a
// worker comes in a new session. Its lease runs from that session's beginning,
// not from the last answer to the old one.
func TestNewSessionIsNotGivenUpForTheOld(t *testing.T) {
	c := New(Settings{Node: "c-0", Lease: 20 * time.Second, Fence: 7 * time.Second}, "x")
	m := newMachine("n-1")
	c.now = 10 * time.Second
	c.takeReport(m, &Report{Machine: "n-1", Shift: 1, Tally: 5}, true)
	m.last200 = c.now
	c.now = 100 * time.Second
	if !c.leaseOver(m) {
		t.Error("the old session's lease is not over")
	}
	c.takeReport(m, &Report{Machine: "n-1", Shift: 2, Tally: 1}, true)
	if c.leaseOver(m) {
		t.Error("the new session is taken for dead before it was answered")
	}
	c.now += 22 * time.Second
	if !c.leaseOver(m) {
		t.Error("the new session, never answered, outlives its lease")
	}
}

// TestMemberKeyIsNotHammered: a grant that ran out refuses the member key; the
// node waits before it tries again (incident inc-16a3: eleven times in 60 ms).
func TestMemberKeyIsNotHammered(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0"}, Fence: 7 * time.Second}, "x")
	c.Step(0, EvTick{})
	c.Step(time.Millisecond, EvGrant{OK: true, Permit: 1})
	writes := 0
	for ms := 2; ms < 300; ms++ {
		for id, p := range c.commits {
			if p.t.Apply[0].Key == preMember+"c-0" {
				writes++
				c.Step(time.Duration(ms)*time.Millisecond, EvCommit{ID: id, Result: Refused})
				break
			}
		}
		c.Step(time.Duration(ms)*time.Millisecond, EvTick{})
	}
	if writes != 1 {
		t.Errorf("written %d times in 300 ms", writes)
	}
}
