package core

import (
	"fmt"
	"testing"
	"time"
)

// TestValuesStaySmall: with 1,500 machines and values of 4 KiB neither the pages
// of marks nor the overrides of a view outgrow their value, or they could never
// be written again.
func TestValuesStaySmall(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0", "c-1"}, ValueB: 4096, TxnOps: 8, Fence: 7 * time.Second}, "x")
	c.st.view = &View{Epoch: 3, Leader: "c-0", Members: map[string]string{"c-0": "x", "c-1": "y"}, Serving: []string{"c-0", "c-1"}}
	c.st.members = map[string]string{"c-0": "x", "c-1": "y"}
	c.now, c.synced, c.fenceAt, c.grantAt = time.Minute, true, time.Minute, time.Minute
	for round := 0; round < 30; round++ {
		for i := 0; i < 1500; i++ {
			n := fmt.Sprintf("n-%06d", i)
			switch c.st.marks[n].State {
			case "":
				c.mark(n, MachineMark{MarkDrain, WhyIdle})
			case MarkDrain:
				c.mark(n, MachineMark{State: MarkGone})
			}
		}
		c.now += 10 * time.Second
		c.fenceAt, c.grantAt = c.now, c.now
		c.driveMarks()
		for id, p := range c.commits {
			for _, a := range p.t.Apply {
				if len(a.Value) > c.cfg.ValueB {
					t.Fatalf("%s has %d bytes", a.Key, len(a.Value))
				}
			}
			c.onCommit(EvCommit{ID: id, Result: Committed, Ledger: uint64(round + 1)})
		}
	}
	if n := len(c.st.pages["c-0"].Gone) + len(c.st.pages["c-1"].Gone); n < 300 {
		t.Errorf("only %d machines are remembered as gone", n)
	}
	for i := 0; i < 1500; i++ {
		n := fmt.Sprintf("n-%06d", 5000+i)
		if c.ownerOf(n) == "c-1" {
			c.bounces[n] = []bounce{{c.now - 8*time.Second, "c-1/y", 2, "a"}, {c.now - 2*time.Second, "c-1/y", 1, "a"}}
		}
	}
	c.peers["c-1"] = &peerView{at: c.now, machines: make([]PeerMachine, 1500)}
	v := c.desiredView()
	if v == nil || len(v.Over) < 50 {
		t.Fatalf("no overrides: %+v", v)
	}
	if n := len(enc(v)); n > c.cfg.ValueB {
		t.Errorf("the view has %d bytes", n)
	}
}

// TestRefusedCommitsCostNothing: what the state service refuses it doesn't count.
// A leader whose commits of eight changes were refused seven times of sixteen
// had paid a second's worth of its changes for each, and gangs waited beside
// eighty idle machines that were held for them.
func TestRefusedCommitsCostNothing(t *testing.T) {
	c := New(Settings{Node: "c-0", WriteRate: 8}, "x")
	txn := Txn{Apply: make([]Put, 8)}
	p := c.commit(LaneTask, txn, func(CommitResult, EvCommit) {})
	if c.tokens != 0 {
		t.Fatalf("%g left", c.tokens)
	}
	c.onCommit(EvCommit{ID: p.id, Result: Refused})
	if c.tokens != 8 {
		t.Errorf("%g left after a refusal", c.tokens)
	}
	p = c.commit(LaneTask, txn, func(CommitResult, EvCommit) {})
	c.onCommit(EvCommit{ID: p.id, Result: Unknown}) // it may have been carried out
	if c.tokens != 0 {
		t.Errorf("%g left after an unknown outcome", c.tokens)
	}
}
