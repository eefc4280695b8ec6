package scheduler

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestValuesStaySmall: with 1,500 machines and values of 4 KiB neither the pages of cordons
// nor the overrides of a view outgrow their value, or they could never be written again.
func TestValuesStaySmall(t *testing.T) {
	c := leaderOfTwo()
	t.Run("pages of cordons", func(t *testing.T) { cordonPagesStaySmall(t, c) })
	t.Run("overrides of a view", func(t *testing.T) { overridesStaySmall(t, c) })
}

// manyMachines is the size of the fleet of TestValuesStaySmall.
const manyMachines = 1500

// leaderOfTwo leads another controller, c-1, with values of 4 KiB.
func leaderOfTwo() *Controller {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0", "c-1"}, ValueLimit: 4096, TransactionLimit: 8, FenceAge: 7 * time.Second}, "x")
	c.cache.view = &domain.View{Epoch: 3, Leader: "c-0", Members: map[string]string{"c-0": "x", "c-1": "y"}, Serving: []string{"c-0", "c-1"}}
	c.cache.members = map[string]string{"c-0": "x", "c-1": "y"}
	c.now = time.Minute
	c.membership.CacheLoaded()
	c.confirmNow()
	return c
}

// cordonPagesStaySmall: all machines are drained and gone, again and again.
func cordonPagesStaySmall(t *testing.T, c *Controller) {
	for round := 0; round < 30; round++ {
		cordonFurther(c)
		c.now += 10 * time.Second
		c.confirmNow()
		c.writeCordons()
		for id, pending := range c.commits.pending {
			for _, put := range pending.transaction.Puts {
				if len(put.Value) > c.cfg.ValueLimit {
					t.Fatalf("%s has %d bytes", put.Key, len(put.Value))
				}
			}
			c.onCommit(CommitAnswered{ID: id, Result: domain.Committed, Revision: uint64(round + 1)})
		}
	}
	if gone := len(c.cache.cordonPages["c-0"].Gone) + len(c.cache.cordonPages["c-1"].Gone); gone < 300 {
		t.Errorf("only %d machines are remembered as gone", gone)
	}
}

// cordonFurther drains the machines that aren't cordoned, and has those gone that drain.
func cordonFurther(c *Controller) {
	for i := 0; i < manyMachines; i++ {
		machine := fmt.Sprintf("n-%06d", i)
		switch c.cache.cordons[machine].State {
		case "":
			c.requestCordon(machine, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle})
		case domain.CordonDrain:
			c.requestCordon(machine, domain.Cordon{State: domain.CordonGone})
		}
	}
}

// overridesStaySmall: all machines of the other controller report here.
func overridesStaySmall(t *testing.T, c *Controller) {
	for i := 0; i < manyMachines; i++ {
		machine := fmt.Sprintf("n-%06d", 5000+i)
		if c.ownerOf(machine) == "c-1" {
			c.views.redirects[machine] = []redirect{{c.now - 8*time.Second, "c-1/y", 2, "a"}, {c.now - 2*time.Second, "c-1/y", 1, "a"}}
		}
	}
	c.peers.byName["c-1"] = &peerState{heardAt: c.now, machines: make([]PeerMachine, manyMachines)}
	view := c.desiredView()
	if view == nil || len(view.OwnerOverrides) < 50 {
		t.Fatalf("no overrides: %+v", view)
	}
	if bytes := len(codec.Encode(view)); bytes > c.cfg.ValueLimit {
		t.Errorf("the view has %d bytes", bytes)
	}
}

// TestRefusedCommitsCostNothing: what the key-value store refuses it doesn't count.
// A leader whose commits of eight changes were refused seven times of sixteen
// had paid a second's worth of its changes for each, and gangs waited beside
// eighty idle machines that were reserved for them.
func TestRefusedCommitsCostNothing(t *testing.T) {
	c := New(Settings{Node: "c-0", WriteRate: 8}, "x")
	transaction := domain.Transaction{Puts: make([]domain.Put, 8)}
	pending := c.commit(LaneTask, transaction, func(domain.CommitResult, CommitAnswered) {})
	if c.commits.tokens != 0 {
		t.Fatalf("%g left", c.commits.tokens)
	}
	c.onCommit(CommitAnswered{ID: pending.id, Result: domain.Refused})
	if c.commits.tokens != 8 {
		t.Errorf("%g left after a refusal", c.commits.tokens)
	}
	pending = c.commit(LaneTask, transaction, func(domain.CommitResult, CommitAnswered) {})
	c.onCommit(CommitAnswered{ID: pending.id, Result: domain.InDoubt}) // it may have been carried out
	if c.commits.tokens != 0 {
		t.Errorf("%g left after an unknown outcome", c.commits.tokens)
	}
}
