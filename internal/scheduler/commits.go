package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// commits is the writing side towards the state service: what is under way, and how
// many changes a second this controller may still make.
type commits struct {
	nextID          uint64
	pending         map[uint64]*pendingCommit
	taskCommit      *pendingCommit           // the one commit of tasks in flight
	blockedUntil    time.Duration            // no commit of tasks before
	minRevision     uint64                   // the cache must reach this revision before the next one
	inDoubt         inDoubtCommit            // a commit of tasks whose outcome is unknown
	rate            float64                  // changes a second for commits of tasks, at present
	tokens          float64                  // changes that may be made now
	tokensAt        time.Duration            // when tokens were last counted
	leaderRate      bool                     // rate is that of a leader
	lastChanges     int                      // changes of the last commit of tasks
	machines        map[string]bool          // that the commit in flight concerns
	avoidUntil      map[string]time.Duration // keys left out of commits until then
	oversizedInPlan map[string]bool          // answers of isOversized in the present plan
	fullValues      map[string]bool          // values that had no room for a booking
}

func newCommits(rate float64) commits {
	return commits{
		pending: map[uint64]*pendingCommit{}, avoidUntil: map[string]time.Duration{},
		oversizedInPlan: map[string]bool{}, fullValues: map[string]bool{}, rate: rate, tokens: rate,
	}
}

// pendingCommit is a transaction without an answer yet.
type pendingCommit struct {
	id          uint64
	transaction domain.Transaction
	onAnswer    func(domain.CommitResult, CommitAnswered)
}

func (c *Controller) commit(lane int, t domain.Transaction, done func(domain.CommitResult, CommitAnswered)) *pendingCommit {
	c.commits.nextID++
	c.commits.tokens -= float64(len(t.Puts))
	p := &pendingCommit{id: c.commits.nextID, transaction: t, onAnswer: done}
	c.commits.pending[p.id] = p
	c.emit(Commit{ID: p.id, Lane: lane, Transaction: t})
	return p
}

func (c *Controller) onCommit(e CommitAnswered) {
	p := c.commits.pending[e.ID]
	if p == nil {
		return
	}
	delete(c.commits.pending, e.ID)
	if e.Result == domain.Committed {
		for _, a := range p.transaction.Puts {
			// The view is taken from the watch alone, so that whoever sees
			// epoch e has seen all commits of earlier epochs.
			if a.Key != codec.KeyView || !c.guard(GuardView) {
				c.apply(domain.KeyValue{Key: a.Key, Value: a.Value, ModRevision: e.Revision})
			}
		}
	}
	// Nothing was written, and the state service charges nothing for it. A leader
	// whose large commits were refused among others' small ones had spent its
	// second's worth each time all the same.
	if e.Result == domain.Refused {
		if e.Malformed {
			c.recordRefusal(p.transaction)
		}
		c.commits.tokens = min(c.cfg.WriteRate*c.weight(), c.commits.tokens+float64(len(p.transaction.Puts)))
	}
	p.onAnswer(e.Result, e)
}

// refill adds the changes that came free since the last step: the rate grows back to
// mostRate, in changes a second, after refusals made it smaller, and what isn't used within
// a second is lost. Who becomes leader, or is no longer, starts at the full rate of its
// weight.
func (k *commits) refill(now time.Duration, mostRate float64, isLeader bool) {
	elapsed := (now - k.tokensAt).Seconds()
	if k.leaderRate != isLeader {
		k.leaderRate = isLeader
		k.rate = mostRate
	}
	k.rate = min(mostRate, k.rate+elapsed*tuning.RateRegain*mostRate)
	k.tokens = min(k.rate, k.tokens+elapsed*k.rate)
	k.tokensAt = now
}
