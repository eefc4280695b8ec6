package scheduler

import (
	"fmt"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestCordonPagesAndOverridesFitValueLimit: with 1,500 machines and a limit of 4 KiB, neither the
// pages of cordons nor the overrides of a view exceed the limit of a value. A value that did
// could never be written again.
func TestCordonPagesAndOverridesFitValueLimit(t *testing.T) {
	c := leaderOfTwo()
	t.Run("pages of cordons", func(t *testing.T) { cordonPagesStaySmall(t, c) })
	t.Run("overrides of a view", func(t *testing.T) { overridesStaySmall(t, c) })
}

// fleetSize is the fleet size in TestCordonPagesAndOverridesFitValueLimit.
const fleetSize = 1500

// leaderOfTwo returns the leader of two controllers, c-0 and c-1, with a value limit of 4 KiB.
func leaderOfTwo() *Controller {
	c := New(Settings{Controller: "c-0", Controllers: []string{"c-0", "c-1"}, ValueLimit: 4096, TransactionLimit: 8, FenceAge: 7 * time.Second}, "x")
	c.cache.view = &domain.View{Epoch: 3, Leader: "c-0", Members: map[string]string{"c-0": "x", "c-1": "y"}, Serving: []string{"c-0", "c-1"}}
	c.cache.members = map[string]string{"c-0": "x", "c-1": "y"}
	c.now = time.Minute
	c.membership.CacheLoaded()
	c.confirmNow()
	return c
}

// cordonPagesStaySmall drains all machines and marks them as gone, repeatedly.
func cordonPagesStaySmall(t *testing.T, c *Controller) {
	for round := 0; round < 30; round++ {
		advanceCordons(c)
		c.now += 10 * time.Second
		c.confirmNow()
		c.writeCordons()
		for id, pending := range c.commits.pending {
			for _, put := range pending.transaction.Puts {
				if len(put.Value) > c.cfg.ValueLimit {
					t.Fatalf("%s has %d bytes, more than the limit of a value", put.Key, len(put.Value))
				}
			}
			c.onCommit(CommitAnswered{ID: id, Result: domain.Committed, Revision: uint64(round + 1)})
		}
	}
	if gone := len(c.cache.cordonPages["c-0"].Gone) + len(c.cache.cordonPages["c-1"].Gone); gone < 300 {
		t.Errorf("only %d machines are remembered as gone", gone)
	}
}

// advanceCordons drains the machines without a cordon, and marks the draining ones as gone.
func advanceCordons(c *Controller) {
	for i := 0; i < fleetSize; i++ {
		machine := fmt.Sprintf("n-%06d", i)
		switch c.cache.cordons[machine].State {
		case "":
			c.requestCordon(machine, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle})
		case domain.CordonDrain:
			c.requestCordon(machine, domain.Cordon{State: domain.CordonGone})
		}
	}
}

// overridesStaySmall has all machines of the other controller send their heartbeats to this one.
func overridesStaySmall(t *testing.T, c *Controller) {
	for i := 0; i < fleetSize; i++ {
		machine := fmt.Sprintf("n-%06d", 5000+i)
		if c.ownerOf(machine) == "c-1" {
			c.views.redirects[machine] = []redirect{{c.now - 8*time.Second, "c-1/y", 2, "a"}, {c.now - 2*time.Second, "c-1/y", 1, "a"}}
		}
	}
	c.peers.byName["c-1"] = &peerState{receivedAt: c.now, machines: make([]PeerMachine, fleetSize)}
	view := c.desiredView()
	if view == nil || len(view.OwnerOverrides) < 50 {
		t.Fatalf("fewer than 50 overrides: %+v", view)
	}
	if bytes := len(codec.Encode(view)); bytes > c.cfg.ValueLimit {
		t.Errorf("the view has %d bytes, more than the limit of a value", bytes)
	}
}

// TestRefusedCommitRefundsTokens: the key-value store doesn't count what it refuses. Without the
// refund, a leader whose commits of eight changes were refused seven times of sixteen spent a
// second's worth of tokens on each of them, and gangs waited while eighty idle machines were
// reserved for them.
func TestRefusedCommitRefundsTokens(t *testing.T) {
	c := New(Settings{Controller: "c-0", WriteRate: 8}, "x")
	transaction := domain.Transaction{Puts: make([]domain.Put, 8)}
	pending := c.commit(LaneTask, transaction, func(domain.CommitResult, CommitAnswered) {})
	if c.commits.tokens != 0 {
		t.Fatalf("%g tokens left after a commit", c.commits.tokens)
	}
	c.onCommit(CommitAnswered{ID: pending.id, Result: domain.Refused})
	if c.commits.tokens != 8 {
		t.Errorf("%g tokens left after a refusal", c.commits.tokens)
	}
	pending = c.commit(LaneTask, transaction, func(domain.CommitResult, CommitAnswered) {})
	c.onCommit(CommitAnswered{ID: pending.id, Result: domain.InDoubt}) // it may have been carried out
	if c.commits.tokens != 0 {
		t.Errorf("%g tokens left after an unknown outcome", c.commits.tokens)
	}
}
