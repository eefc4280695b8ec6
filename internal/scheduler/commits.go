package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// commits is the writing side towards the key-value store: which transactions are in
// flight, which one is in doubt, what is left out of the next, and how many changes a
// second this controller may still make.
//
// Of task commits, those that move tasks between states, one at most is in flight. It is
// drafted (draft.go), filled by the stages of a plan (plan.go) and sent and settled here.
type commits struct {
	nextID          uint64                    // numbers commits and reads, each id is used once
	pending         map[uint64]*pendingCommit // by id
	taskCommit      *pendingCommit            // the one task commit in flight; nil: none
	nextTaskCommit  steady.Gate               // closed for a little after one that was refused or in doubt
	minRevision     uint64                    // the cache must reach this revision before the next task commit
	inDoubt         inDoubtCommit             // a task commit whose outcome is unknown
	rate            float64                   // changes a second for task commits, at present
	tokens          float64                   // changes that may be made now; below zero after urgent ones
	tokensAt        time.Duration             // when tokens were last counted
	leaderRate      bool                      // rate is that of a leader
	lastChanges     int                       // changes of the last task commit
	machines        map[string]bool           // that the task commit in flight concerns
	avoidUntil      map[string]time.Duration  // keys left out of task commits until then
	oversizedInPlan map[string]bool           // answers of isOversized in the present plan
	fullValues      map[string]bool           // values that had no room for a booking
}

// newCommits has a full second's worth of changes, at a rate in changes a second.
func newCommits(rate float64) commits {
	return commits{
		pending:         map[uint64]*pendingCommit{},
		avoidUntil:      map[string]time.Duration{},
		oversizedInPlan: map[string]bool{},
		fullValues:      map[string]bool{},
		rate:            rate,
		tokens:          rate,
	}
}

// pendingCommit is a transaction without an answer yet.
type pendingCommit struct {
	id          uint64
	transaction domain.Transaction
	onAnswer    func(domain.CommitResult, CommitAnswered)
}

// commit sends a transaction; onAnswer is called once with what became of it.
func (c *Controller) commit(lane int, transaction domain.Transaction, onAnswer func(domain.CommitResult, CommitAnswered)) *pendingCommit {
	c.commits.nextID++
	c.commits.tokens -= float64(len(transaction.Puts))
	pending := &pendingCommit{id: c.commits.nextID, transaction: transaction, onAnswer: onAnswer}
	c.commits.pending[pending.id] = pending
	c.emit(Commit{ID: pending.id, Lane: lane, Transaction: transaction})
	return pending
}

// onCommit settles the commit that an answer belongs to. Answers of commits that an
// earlier incarnation sent, or that were answered already, are passed over.
func (c *Controller) onCommit(answer CommitAnswered) {
	pending := c.commits.pending[answer.ID]
	if pending == nil {
		return
	}
	delete(c.commits.pending, answer.ID)
	switch answer.Result {
	case domain.Committed:
		c.applyCommitted(pending.transaction, answer.Revision)
	case domain.Refused:
		if answer.Malformed {
			c.recordRefusal(pending.transaction)
		}
		c.commits.refund(len(pending.transaction.Puts), c.fullWriteRate())
	}
	pending.onAnswer(answer.Result, answer)
}

// applyCommitted takes what this controller wrote into the cache ahead of the watch.
func (c *Controller) applyCommitted(transaction domain.Transaction, revision uint64) {
	for _, put := range transaction.Puts {
		// The view is taken from the watch alone, so that whoever sees
		// epoch e has seen all commits of earlier epochs.
		if put.Key == codec.KeyView && c.guard(GuardView) {
			continue
		}
		c.apply(domain.KeyValue{Key: put.Key, Value: put.Value, ModRevision: revision})
	}
}

// --- credit ---

// fullWriteRate is how many changes a second this controller may make when none of its
// commits was refused lately; 0: no bound.
func (c *Controller) fullWriteRate() float64 { return c.cfg.WriteRate * c.weight() }

// refill counts the changes that may be made by now: the rate grows back to the full one,
// in changes a second, after refusals made it smaller, and what isn't used within a second
// is lost. Who becomes the leader, or stops being it, starts at the full rate of its weight.
func (s *commits) refill(now time.Duration, full float64, isLeader bool) {
	seconds := (now - s.tokensAt).Seconds()
	if s.leaderRate != isLeader {
		s.leaderRate = isLeader
		s.rate = full
	}
	s.rate = min(full, s.rate+seconds*tuning.RateRecovery*full)
	s.tokens = min(s.rate, s.tokens+seconds*s.rate)
	s.tokensAt = now
}

// refund gives the changes of a refused commit back: nothing was written, and the state
// service charges nothing for it. A leader whose large commits were refused among others'
// small ones had spent its second's worth each time all the same.
func (s *commits) refund(changes int, full float64) {
	s.tokens = min(full, s.tokens+float64(changes))
}

// hasCredit tells whether a task commit as large as the last one may go out, or one of
// tuning.TaskCredit seconds' worth of changes if that is less.
func (s *commits) hasCredit(writeRate float64) bool {
	return writeRate <= 0 || s.tokens >= min(float64(s.lastChanges), tuning.TaskCredit*writeRate)
}

// slowDown lowers the rate after a refusal, to no less than fair. All controllers together
// want more than the store takes, and it refuses users' submissions as well: each goes back
// towards its fair share.
func (s *commits) slowDown(fair float64) {
	s.rate = max(min(fair, s.rate), s.rate*tuning.RateDecrease)
}

// --- avoided keys ---

// isAvoiding tells whether a key is left out of task commits.
func (s *commits) isAvoiding(key string, now time.Duration) bool {
	until, ok := s.avoidUntil[key]
	return ok && now < until
}

// avoids is isAvoiding that forgets the key once its time is over.
func (s *commits) avoids(key string, now time.Duration) bool {
	if s.isAvoiding(key, now) {
		return true
	}
	delete(s.avoidUntil, key)
	return false
}

// isAvoided tells whether the value of task i of a job lost a conflict just now. What is
// left out for that is planned again.
func (c *Controller) isAvoided(j *Job, i int) bool {
	if len(c.commits.avoidUntil) == 0 {
		return false
	}
	if !c.commits.avoids(j.Header.KeyOf(j.ID, i), c.now) {
		return false
	}
	c.planner.dirty = true
	return true
}

// avoidContested leaves values that lost a conflict out for a little, of random length:
// one contested value must not keep failing all else that this controller has to write.
func (c *Controller) avoidContested(failed []string) {
	for _, key := range failed {
		switch kind, _ := codec.ParseKey(key); kind {
		case codec.KindTeam, codec.KindPack, codec.KindTasks:
			c.commits.avoidUntil[key] = c.now + tuning.MinConflictAvoidance + time.Duration(c.rng.Int64N(int64(tuning.ConflictAvoidanceJitter)))
		}
	}
}

// --- the one task commit in flight ---

// canCommitTasks tells whether a task commit could go out now.
func (c *Controller) canCommitTasks() bool {
	s := &c.commits
	return s.taskCommit == nil && c.mayAct() && s.nextTaskCommit.IsOpen(c.now) && c.cache.revision >= s.minRevision && s.hasCredit(c.cfg.WriteRate)
}

// sendPlan commits a draft and settles what comes of it. From now on no start of an
// attempt that it releases may go out: the commit may be carried out late.
func (c *Controller) sendPlan(d *draft) {
	transaction := d.transaction()
	for _, attempt := range d.releases {
		c.planner.pendingReleases[attempt] = true
	}
	c.commits.machines = d.machines
	c.debug("task commit", "epoch", c.cache.view.Epoch, "read_at", c.cache.revision,
		"headers", len(d.headers), "values", len(d.keys)+len(d.rawPuts), "teams", len(d.shares),
		"tasks", len(d.changed), "released", len(d.releases),
		"conditions", len(transaction.Conditions), "bytes", transactionBytes(transaction))
	c.commits.taskCommit = c.commit(LaneTask, transaction, func(result domain.CommitResult, answer CommitAnswered) {
		c.settlePlan(d, transaction, result, answer)
	})
}

// settlePlan takes the outcome of the task commit that was in flight.
func (c *Controller) settlePlan(d *draft, transaction domain.Transaction, result domain.CommitResult, answer CommitAnswered) {
	c.commits.taskCommit = nil
	c.planner.dirty = true
	for name := range d.machines {
		c.heartbeats.touched[name] = true
	}
	switch result {
	case domain.Committed:
		c.debug("task committed", "revision", answer.Revision)
		for _, then := range d.onCommit {
			then()
		}
	case domain.Conflict:
		c.debug("task commit conflict", "failed", answer.Failed)
		c.commits.minRevision = max(c.commits.minRevision, answer.Revision)
		c.avoidContested(answer.Failed)
	default:
		c.debug("task commit not confirmed", "result", int(result))
		c.backOff(result)
		if result == domain.InDoubt {
			c.commits.markInDoubt(transaction, c.cache.modRevisions)
		} else if answer.Malformed {
			c.commits.inDoubt = inDoubtCommit{} // it may be the value in doubt that is too large by now
		}
	}
}

// backOff waits a little, of random length, after a task commit that was refused or got
// no answer.
func (c *Controller) backOff(result domain.CommitResult) {
	if result == domain.Refused && c.membership.IsStateReachable() {
		c.commits.slowDown(c.cfg.FairWriteRate * c.weight())
	}
	c.commits.nextTaskCommit.Close(c.now + tuning.MinCommitBackoff + time.Duration(c.rng.Int64N(int64(tuning.CommitBackoffJitter))))
}

// --- sizes ---

// valueBytes is what a value may take in a transaction that changes it.
func (c *Controller) valueBytes(key string) int {
	return min(c.valueBound(), c.cache.valueSizes[key]+tuning.MaxValueGrowth)
}

// transactionBytes is what a transaction's values take.
func transactionBytes(transaction domain.Transaction) int {
	bytes := 0
	for _, put := range transaction.Puts {
		bytes += len(put.Value)
	}
	return bytes
}

// tooLarge tells whether a transaction has a value that outgrew its bound in this
// draft: estimates are for what is usual.
func (c *Controller) tooLarge(transaction domain.Transaction) bool {
	for _, put := range transaction.Puts {
		if len(put.Value) > c.cfg.ValueLimit && !c.cache.oversized[put.Key] {
			return true
		}
	}
	return false
}

// isOversizedInPlan asks isOversized once a plan.
func (c *Controller) isOversizedInPlan(key string) bool {
	if !c.cache.oversized[key] {
		return false
	}
	oversized, known := c.commits.oversizedInPlan[key]
	if !known {
		oversized = c.isOversized(key)
		c.commits.oversizedInPlan[key] = oversized
	}
	return oversized
}
