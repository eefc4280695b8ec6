package scheduler

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestValuesStaySmall: with 1,500 machines and values of 4 KiB neither the pages
// of marks nor the overrides of a view outgrow their value, or they could never
// be written again.
func TestValuesStaySmall(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0", "c-1"}, ValueLimit: 4096, TransactionLimit: 8, FenceAge: 7 * time.Second}, "x")
	c.cache.view = &domain.View{Epoch: 3, Leader: "c-0", Members: map[string]string{"c-0": "x", "c-1": "y"}, Serving: []string{"c-0", "c-1"}}
	c.cache.members = map[string]string{"c-0": "x", "c-1": "y"}
	c.now = time.Minute
	c.membership.CacheLoaded()
	c.confirmNow()
	for round := 0; round < 30; round++ {
		for i := 0; i < 1500; i++ {
			n := fmt.Sprintf("n-%06d", i)
			switch c.cache.cordons[n].State {
			case "":
				c.cordon(n, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle})
			case domain.CordonDrain:
				c.cordon(n, domain.Cordon{State: domain.CordonGone})
			}
		}
		c.now += 10 * time.Second
		c.confirmNow()
		c.writeCordons()
		for id, p := range c.commits.pending {
			for _, a := range p.transaction.Puts {
				if len(a.Value) > c.cfg.ValueLimit {
					t.Fatalf("%s has %d bytes", a.Key, len(a.Value))
				}
			}
			c.onCommit(CommitAnswered{ID: id, Result: domain.Committed, Revision: uint64(round + 1)})
		}
	}
	if n := len(c.cache.cordonPages["c-0"].Gone) + len(c.cache.cordonPages["c-1"].Gone); n < 300 {
		t.Errorf("only %d machines are remembered as gone", n)
	}
	for i := 0; i < 1500; i++ {
		n := fmt.Sprintf("n-%06d", 5000+i)
		if c.ownerOf(n) == "c-1" {
			c.views.redirects[n] = []redirect{{c.now - 8*time.Second, "c-1/y", 2, "a"}, {c.now - 2*time.Second, "c-1/y", 1, "a"}}
		}
	}
	c.peers.byName["c-1"] = &peerState{heardAt: c.now, machines: make([]PeerMachine, 1500)}
	v := c.desiredView()
	if v == nil || len(v.OwnerOverrides) < 50 {
		t.Fatalf("no overrides: %+v", v)
	}
	if n := len(codec.Encode(v)); n > c.cfg.ValueLimit {
		t.Errorf("the view has %d bytes", n)
	}
}

// TestRefusedCommitsCostNothing: what the key-value store refuses it doesn't count.
// A leader whose commits of eight changes were refused seven times of sixteen
// had paid a second's worth of its changes for each, and gangs waited beside
// eighty idle machines that were held for them.
func TestRefusedCommitsCostNothing(t *testing.T) {
	c := New(Settings{Node: "c-0", WriteRate: 8}, "x")
	txn := domain.Transaction{Puts: make([]domain.Put, 8)}
	p := c.commit(LaneTask, txn, func(domain.CommitResult, CommitAnswered) {})
	if c.commits.tokens != 0 {
		t.Fatalf("%g left", c.commits.tokens)
	}
	c.onCommit(CommitAnswered{ID: p.id, Result: domain.Refused})
	if c.commits.tokens != 8 {
		t.Errorf("%g left after a refusal", c.commits.tokens)
	}
	p = c.commit(LaneTask, txn, func(domain.CommitResult, CommitAnswered) {})
	c.onCommit(CommitAnswered{ID: p.id, Result: domain.InDoubt}) // it may have been carried out
	if c.commits.tokens != 0 {
		t.Errorf("%g left after an unknown outcome", c.commits.tokens)
	}
}
