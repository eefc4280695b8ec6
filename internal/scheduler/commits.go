package scheduler

import (
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// commits is the state of writing to the key-value store: the transactions in flight, the task
// commit whose outcome is unknown (in doubt), the keys that task commits leave out for a time, and
// the rate of changes that this controller may make.
//
// A task commit moves tasks between states. At most one is in flight. It is drafted in draft.go,
// filled by the stages of a plan (plan.go), and sent and completed in this file.
type commits struct {
	nextID           uint64                    // numbers commits and reads; each id is used once
	pending          map[uint64]*pendingCommit // commits without a response, by id
	taskCommit       *pendingCommit            // the one task commit in flight; nil: none
	nextTaskCommit   monotime.Deadline         // no task commit before then; set after one that was refused or is in doubt
	minRevision      uint64                    // the cache must reach this revision before the next task commit
	inDoubt          inDoubtCommit             // value by which later task commits exclude one whose outcome is unknown
	rate             float64                   // present rate of task commits, changes a second
	tokens           float64                   // changes that may be made now; negative after urgent commits
	tokensAt         time.Duration             // when tokens were last refilled
	isLeaderRate     bool                      // rate is the rate of a leader
	lastChanges      int                       // number of changes in the last task commit
	affectedMachines map[string]bool           // machines whose bookings the task commit in flight changes
	avoidUntil       map[string]time.Duration  // key -> time until which task commits leave it out
	mustShrinkInPlan map[string]bool           // results of mustShrinkValue during the present plan, by key
	fullValues       map[string]bool           // keys of values that had no room for a booking
}

// newCommits returns the state for a rate in changes a second, with one second's worth of tokens.
func newCommits(rate float64) commits {
	return commits{
		pending:          map[uint64]*pendingCommit{},
		avoidUntil:       map[string]time.Duration{},
		mustShrinkInPlan: map[string]bool{},
		fullValues:       map[string]bool{},
		rate:             rate,
		tokens:           rate,
	}
}

// pendingCommit is a transaction whose response has not arrived yet.
type pendingCommit struct {
	id          uint64
	transaction domain.Transaction
	onAnswer    func(domain.CommitResult, CommitAnswered)
}

// commit sends a transaction; onAnswer is called once, with its outcome.
func (c *Controller) commit(lane int, transaction domain.Transaction, onAnswer func(domain.CommitResult, CommitAnswered)) *pendingCommit {
	c.commits.nextID++
	c.commits.tokens -= float64(len(transaction.Puts))
	pending := &pendingCommit{id: c.commits.nextID, transaction: transaction, onAnswer: onAnswer}
	c.commits.pending[pending.id] = pending
	c.emit(Commit{ID: pending.id, Lane: lane, Transaction: transaction})
	return pending
}

// onCommit handles the response to a commit. Responses to commits of an earlier incarnation, and
// second responses to one commit, are ignored.
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

// applyCommitted applies this controller's own committed changes to the cache before the watch
// delivers them.
func (c *Controller) applyCommitted(transaction domain.Transaction, revision uint64) {
	for _, put := range transaction.Puts {
		// The view is taken from the watch only: a controller that sees epoch e must have seen
		// all commits of earlier epochs.
		if put.Key == codec.KeyView && c.isGuardEnabled(GuardView) {
			continue
		}
		c.apply(domain.KeyValue{Key: put.Key, Value: put.Value, ModRevision: revision})
	}
}

// --- rate of changes ---

// fullWriteRate returns how many changes a second this controller may make if none of its commits
// was refused lately; 0: no limit.
func (c *Controller) fullWriteRate() float64 { return c.cfg.WriteRate * c.writeWeight() }

// refill adds the tokens that accrued since the last call, up to one second's worth. full is the
// controller's full rate in changes a second; a rate that was reduced by refusals grows back to
// it. A controller that becomes the leader, or stops being it, starts at its full rate.
func (s *commits) refill(now time.Duration, full float64, isLeader bool) {
	seconds := (now - s.tokensAt).Seconds()
	if s.isLeaderRate != isLeader {
		s.isLeaderRate = isLeader
		s.rate = full
	}
	s.rate = min(full, s.rate+seconds*tuning.RateRecovery*full)
	s.tokens = min(s.rate, s.tokens+seconds*s.rate)
	s.tokensAt = now
}

// refund returns the tokens of a refused commit: nothing was written, and the state service
// doesn't count it. Without the refund a leader whose large commits were refused, while small
// ones of other controllers passed, spent a second's worth of tokens on each attempt.
func (s *commits) refund(changes int, full float64) {
	s.tokens = min(full, s.tokens+float64(changes))
}

// hasCredit reports whether there are tokens for a task commit as large as the last one. The
// tokens of tuning.TaskCredit seconds suffice for a commit of any size.
func (s *commits) hasCredit(writeRate float64) bool {
	return writeRate <= 0 || s.tokens >= min(float64(s.lastChanges), tuning.TaskCredit*writeRate)
}

// reduceRate lowers the rate after a refusal, but not below fair. A refusal means that all
// controllers together write more than the store accepts and that it refuses users' submissions
// as well, so each controller returns towards its fair share.
func (s *commits) reduceRate(fair float64) {
	s.rate = max(min(fair, s.rate), s.rate*tuning.RateDecrease)
}

// --- avoided keys ---

// isKeyAvoided reports whether task commits leave a key out at present.
func (s *commits) isKeyAvoided(key string, now time.Duration) bool {
	until, ok := s.avoidUntil[key]
	return ok && now < until
}

// checkAvoided reports whether task commits leave a key out at present, as isKeyAvoided does. It
// also changes the state: if the key's entry in avoidUntil has expired, it deletes the entry.
func (s *commits) checkAvoided(key string, now time.Duration) bool {
	if s.isKeyAvoided(key, now) {
		return true
	}
	delete(s.avoidUntil, key)
	return false
}

// isTaskAvoided reports whether task commits leave out the value with task i of a job after a
// conflict. If so, it requests another plan, so that the task is considered again.
func (c *Controller) isTaskAvoided(j *Job, i int) bool {
	if len(c.commits.avoidUntil) == 0 {
		return false
	}
	if !c.commits.checkAvoided(j.Header.ValueKey(j.ID, i), c.now) {
		return false
	}
	c.planner.dirty = true
	return true
}

// avoidConflictedKeys leaves the teams' shares, packs, chunks and cells that failed in a conflict
// out of task commits for a short, random time. Otherwise one value that several controllers
// change could make the commits with all other changes of this controller fail.
func (c *Controller) avoidConflictedKeys(failed []string) {
	for _, key := range failed {
		switch kind, _ := codec.ParseKey(key); kind {
		case codec.KindTeam, codec.KindPack, codec.KindTasks:
			c.commits.avoidUntil[key] = c.now + tuning.MinConflictAvoidance + time.Duration(c.rng.Int64N(int64(tuning.ConflictAvoidanceJitter)))
		}
	}
}

// --- the task commit in flight ---

// canCommitTasks reports whether a task commit may be sent now.
func (c *Controller) canCommitTasks() bool {
	s := &c.commits
	return s.taskCommit == nil && c.mayAct() && s.nextTaskCommit.HasPassed(c.now) && c.cache.revision >= s.minRevision && s.hasCredit(c.cfg.WriteRate)
}

// commitDraft sends a draft as the task commit. The draft may release attempts of tasks from their
// machines. From then on, no start of such an attempt may be sent to an agent, because the commit
// may be carried out late.
func (c *Controller) commitDraft(d *draft) {
	transaction := d.transaction()
	for _, attempt := range d.releases {
		c.planner.pendingReleases[attempt] = true
	}
	c.commits.affectedMachines = d.machines
	c.debug("sending task commit", "epoch", c.cache.view.Epoch, "revision", c.cache.revision,
		"headers", len(d.headers), "values", len(d.keys)+len(d.rawPuts), "teams", len(d.shares),
		"tasks", len(d.changed), "released", len(d.releases),
		"conditions", len(transaction.Conditions), "bytes", transactionBytes(transaction))
	c.commits.taskCommit = c.commit(LaneTask, transaction, func(result domain.CommitResult, answer CommitAnswered) {
		c.onTaskCommitResult(d, transaction, result, answer)
	})
}

// onTaskCommitResult handles the outcome of the task commit in flight.
func (c *Controller) onTaskCommitResult(d *draft, transaction domain.Transaction, result domain.CommitResult, answer CommitAnswered) {
	c.commits.taskCommit = nil
	c.planner.dirty = true
	for name := range d.machines {
		c.heartbeats.toReview[name] = true
	}
	switch result {
	case domain.Committed:
		c.debug("task committed", "revision", answer.Revision)
		for _, callback := range d.onCommit {
			callback()
		}
	case domain.Conflict:
		c.debug("task commit conflict", "failed", answer.Failed)
		c.commits.minRevision = max(c.commits.minRevision, answer.Revision)
		c.avoidConflictedKeys(answer.Failed)
	default:
		c.debug("task commit refused or in doubt", "result", int(result))
		c.backOff(result)
		if result == domain.InDoubt {
			c.commits.markInDoubt(transaction, c.cache.modRevisions)
		} else if answer.Malformed {
			c.commits.inDoubt = inDoubtCommit{} // the value in doubt may be the one that is too large now
		}
	}
}

// backOff delays the next task commit by a short, random time after one that was refused or got
// no response. A refusal while the state service is reachable reduces the rate, too.
func (c *Controller) backOff(result domain.CommitResult) {
	if result == domain.Refused && c.membership.IsStateReachable() {
		c.commits.reduceRate(c.cfg.FairWriteRate * c.writeWeight())
	}
	c.commits.nextTaskCommit.Set(c.now + tuning.MinCommitBackoff + time.Duration(c.rng.Int64N(int64(tuning.CommitBackoffJitter))))
}

// --- sizes ---

// maxValueBytes returns the size, in bytes, that a value is planned to have at most after a
// transaction that changes it.
func (c *Controller) maxValueBytes(key string) int {
	return min(c.valueLimit(), c.cache.valueSizes[key]+tuning.MaxValueGrowth)
}

// requestBytes returns the most bytes that the request with a transaction takes.
func requestBytes(transaction domain.Transaction) int {
	bytes := tuning.CommandsHeaderBytes
	for _, condition := range transaction.Conditions {
		bytes += len(condition.Key) + tuning.TransactionEntryBytes
	}
	for _, put := range transaction.Puts {
		bytes += len(put.Key) + len(put.Value) + tuning.TransactionEntryBytes
	}
	return bytes
}

// transactionBytes returns the total size of a transaction's values, in bytes.
func transactionBytes(transaction domain.Transaction) int {
	bytes := 0
	for _, put := range transaction.Puts {
		bytes += len(put.Value)
	}
	return bytes
}

// hasValueTooLarge reports whether a transaction contains a value that grew beyond its limit in
// this draft. This can happen because the estimates used in drafting cover usual cases only.
func (c *Controller) hasValueTooLarge(transaction domain.Transaction) bool {
	for _, put := range transaction.Puts {
		if len(put.Value) > c.cfg.ValueLimit && !c.cache.oversized[put.Key] {
			return true
		}
	}
	return false
}

// mustShrinkValueInPlan is mustShrinkValue, evaluated once per plan and key.
func (c *Controller) mustShrinkValueInPlan(key string) bool {
	if !c.cache.oversized[key] {
		return false
	}
	mustShrink, known := c.commits.mustShrinkInPlan[key]
	if !known {
		mustShrink = c.mustShrinkValue(key)
		c.commits.mustShrinkInPlan[key] = mustShrink
	}
	return mustShrink
}
