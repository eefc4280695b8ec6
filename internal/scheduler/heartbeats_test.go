package scheduler

import (
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestNewSessionIsNotGivenUpForTheOld: after an outage longer than the lease a
// worker comes in a new session. Its lease runs from that session's beginning,
// not from the last answer to the old one.
func TestNewSessionIsNotGivenUpForTheOld(t *testing.T) {
	c := New(Settings{Node: "c-0", WorkerLease: 20 * time.Second, FenceAge: 7 * time.Second}, "x")
	m := newMachine("n-1")
	c.now = 10 * time.Second
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: "n-1", AgentEpoch: 1, Sequence: 5}, true)
	m.answeredAt = c.now
	c.now = 100 * time.Second
	if !c.leaseExpired(m) {
		t.Error("the old session's lease is not over")
	}
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: "n-1", AgentEpoch: 2, Sequence: 1}, true)
	if c.leaseExpired(m) {
		t.Error("the new session is taken for dead before it was answered")
	}
	c.now += 22 * time.Second
	if !c.leaseExpired(m) {
		t.Error("the new session, never answered, outlives its lease")
	}
}

// TestMemberKeyIsNotHammered: a grant that ran out refuses the member key; the
// node waits before it tries again (incident inc-16a3: eleven times in 60 ms).
func TestMemberKeyIsNotHammered(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0"}, FenceAge: 7 * time.Second}, "x")
	c.Step(0, Tick{})
	c.Step(time.Millisecond, LeaseGranted{OK: true, LeaseID: 1})
	writes := 0
	for ms := 2; ms < 300; ms++ {
		for id, p := range c.commits.pending {
			if p.transaction.Puts[0].Key == codec.PrefixMember+"c-0" {
				writes++
				c.Step(time.Duration(ms)*time.Millisecond, CommitAnswered{ID: id, Result: domain.Refused})
				break
			}
		}
		c.Step(time.Duration(ms)*time.Millisecond, Tick{})
	}
	if writes != 1 {
		t.Errorf("written %d times in 300 ms", writes)
	}
}
