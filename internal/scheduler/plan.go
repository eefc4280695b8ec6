package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// planner is the state that is kept from one plan to the next.
//
// The fields whose names end in Turn alternate. splitTurn, largeArraysTurn and largestReleasesTurn
// hold the turn of the latest plan that used them; the next such plan inverts them first.
// foreignTurn holds the turn of the next plan, which inverts it after it has used it.
type planner struct {
	dirty                 bool                     // a new plan is needed: something changed, or the last draft had no room for it
	nextPlan              monotime.Deadline        // when the next plan may be made, planInterval after the last one
	largeArraysTurn       bool                     // latest plan: large arrays went before other jobs' tasks
	largestReleasesTurn   bool                     // latest plan: values with the most releases could go first
	assumeMaxBookingBytes bool                     // the next draft plans with the largest size of a booking
	oversizedDrafts       int                      // drafts in a row that were too long for a request
	splitTurn             bool                     // latest plan: its commit was to split a value, if there was one to split
	foreignTurn           bool                     // next plan: its commit may be for a value of another shard
	foreignValues         map[string]bool          // other shards' values that wait for a change by this controller
	lastForeignValue      string                   // key of the one that was changed last
	firstReleaseMachine   string                   // machine whose releases come first in the next plan
	taskHandovers         map[domain.TaskID]string // by task to be handed over: the shard that gets it
	jobHandovers          map[string]string        // by job to be handed over with all its tasks: the shard that gets it
	pendingReleases       map[attemptID]bool       // attempts that a commit releases; no start of them may be sent
	preempted             map[attemptID]bool       // bookings to be stopped for tasks that wait on the same machine
}

// newPlanner returns a planner that has planned nothing yet.
func newPlanner() planner {
	return planner{
		foreignValues:   map[string]bool{},
		taskHandovers:   map[domain.TaskID]string{},
		jobHandovers:    map[string]string{},
		pendingReleases: map[attemptID]bool{},
		preempted:       map[attemptID]bool{},
	}
}

// attemptID identifies one attempt of a task.
type attemptID struct {
	Task    domain.TaskID
	Attempt uint64
}

// planCommit plans and sends the next task commit if there is something to commit. It plans only
// when a commit can be sent immediately: if a plan had to wait for the write rate, commits of other
// controllers would change its values in the meantime and make it fail.
//
// There are three kinds of commit, which take turns:
//
//   - one that splits a value that has to be split,
//   - one that changes one value of another shard,
//   - one that makes all changes that this shard's values need.
//
// Values of this shard and of another are never changed in the same commit. If the other shard's
// controller changes its value first, the whole commit fails. With several such values in each
// commit, all commits of a controller can fail for minutes.
//
// While the outcome of a commit is unknown, every draft writes one of that commit's values again
// (in_doubt.go). No draft is then empty, so the changes of this shard's values, which are planned
// only after an empty draft, wait until the outcome is known.
func (c *Controller) planCommit() {
	if !c.planner.dirty || !c.planner.nextPlan.HasPassed(c.now) || !c.canCommitTasks() {
		return
	}
	c.planner.nextPlan.Set(c.now + c.planInterval())
	c.planner.dirty = false
	clear(c.commits.mustShrinkInPlan)
	d := c.newDraft() // forgets the in-doubt commit if its outcome is known by now
	if c.takeSplitTurn() {
		c.planSplits(d)
		if d.changes() > 0 {
			c.commits.lastChanges = d.changes()
			c.commitUnlessTooLong(d)
			return
		}
		d = c.newDraft()
	}
	c.planForeignValue(d)
	if d.changes() == 0 {
		d = c.newDraft()
		c.planOwnValues(d)
	}
	c.commits.lastChanges = d.changes()
	if d.changes() == 0 {
		c.planner.taskHandovers = map[domain.TaskID]string{}
		return
	}
	if c.cache.isFormatOn() && !c.planner.assumeMaxBookingBytes && c.hasValueTooLarge(d.transaction()) {
		c.planner.assumeMaxBookingBytes = true // plan again, with the largest size of a booking
		c.replanNow()
		return
	}
	c.planner.assumeMaxBookingBytes = false
	c.commitUnlessTooLong(d)
}

// commitUnlessTooLong sends the draft as one transaction. If the request would be longer than the
// protocol allows, it has another draft planned instead, with half as many changes: a request that is
// refused for its length would be planned again as it was.
func (c *Controller) commitUnlessTooLong(d *draft) {
	if c.maxPlanChanges() > tuning.SmallTransaction && requestBytes(d.transaction()) > tuning.BodyLimit {
		c.planner.oversizedDrafts++
		c.replanNow()
		return
	}
	c.planner.oversizedDrafts = 0
	c.commitDraft(d)
}

// replanNow has another draft planned at the next opportunity.
func (c *Controller) replanNow() {
	c.planner.dirty = true
	c.planner.nextPlan.Set(c.now)
}

// maxPlanChanges returns how many changes the present plan may make: those that a transaction may
// have, or fewer after drafts that were too long for a request.
func (c *Controller) maxPlanChanges() int {
	limit := c.cfg.TransactionLimit
	return max(min(limit, tuning.SmallTransaction), limit>>c.planner.oversizedDrafts)
}

// takeSplitTurn reports whether this commit is to split a value: every second one is while there
// are values to split.
func (c *Controller) takeSplitTurn() bool {
	c.planner.splitTurn = !c.planner.splitTurn
	return c.planner.splitTurn && c.maySplit()
}

// maySplit reports whether there are values to split, all controllers can read split values or the
// values can't be written otherwise (mayShrinkValues), and no in-doubt commit may still change one.
func (c *Controller) maySplit() bool {
	anyToSplit := len(c.cache.oversized)+len(c.commits.fullValues) > 0
	return anyToSplit && c.commits.inDoubt.key == "" && c.mayShrinkValues()
}

// planForeignValue plans the changes of one value of another shard, if it is the turn of such
// values and one waits.
func (c *Controller) planForeignValue(d *draft) {
	if key := c.nextForeignValue(); key != "" && c.planner.foreignTurn {
		d.foreignKey, c.planner.lastForeignValue = key, key
		delete(c.planner.foreignValues, key)
		c.planTasks(d)
	}
	c.planner.foreignTurn = !c.planner.foreignTurn
}

// planOwnValues plans the changes of this shard's values, and collects the other shards' values
// that wait for a change.
func (c *Controller) planOwnValues(d *draft) {
	clear(c.planner.foreignValues)
	c.planTasks(d)
	c.planner.dirty = c.planner.dirty || len(c.planner.foreignValues) > 0
}

// planStage is one stage of a plan. It adds what it can to the draft. If the draft has no room for
// something, the stage sets planner.dirty, so that the next plan tries again.
type planStage struct {
	budget func(*draft)
	plan   func(*Controller, *draft)
}

// planStages are the stages of a plan for own values. A transaction has few changes and bytes, and
// each stage leaves some to the later ones: otherwise the ends of many jobs' tasks alone would
// fill one transaction after another. Stages that book tasks compute the claims on teams' limits
// (claims) anew, with what earlier stages drafted.
var planStages = [...]planStage{
	// Gangs on machines about to be taken away have only seconds left to save their progress.
	{(*draft).allowAll, (*Controller).planGangStops},
	// A gang needs many machines at the same time, so it is placed before other jobs take some of them.
	// Two changes are left for releases, which make room for everything else.
	{(*draft).reserveTwoChanges, (*Controller).planGangs},
	// Large arrays alternate between going before and after other jobs' tasks.
	{(*draft).reserveTwoChanges, (*Controller).planLargeArraysFirst},
	// Releases come before bookings, which may use the room in the same commit. A quarter of the
	// transaction is left for bookings, or a backlog of ended tasks would keep machines idle.
	{(*draft).reserveQuarter, (*Controller).planReleases},
	{(*draft).allowAll, (*Controller).planBookings},
	{(*draft).allowAll, (*Controller).planLargeArraysLast},
	// What is not booked here may be handed over to another shard.
	{(*draft).allowAll, (*Controller).planHandovers},
	// This stage is last, since the use of each team's limit is known only then.
	{(*draft).allowAll, (*Controller).planShares},
}

// foreignStages are the stages of a plan for one value of another shard. They cover what
// happens to that shard's tasks on this controller's machines.
var foreignStages = [...]planStage{
	{(*draft).allowAll, (*Controller).planReleases},
	{(*draft).allowAll, (*Controller).planBookings},
}

// planTasks runs the stages of a plan on a draft.
func (c *Controller) planTasks(d *draft) {
	stages := planStages[:]
	if d.foreignKey != "" {
		stages = foreignStages[:]
	} else {
		c.planner.largeArraysTurn = !c.planner.largeArraysTurn
	}
	for _, stage := range stages {
		stage.budget(d)
		stage.plan(c, d)
	}
}

// allowAll lets a stage use the whole budget of the draft.
func (d *draft) allowAll() { d.maxChanges, d.maxBytes = d.c.maxPlanChanges(), tuning.TxnBytes }

// reserveTwoChanges reserves two changes for later stages, unless transactions are small.
func (d *draft) reserveTwoChanges() {
	limit := d.c.maxPlanChanges()
	d.maxChanges = min(limit, max(tuning.SmallTransaction, limit-2))
}

// reserveQuarter reserves a quarter of the changes and bytes for later stages, as far as they are
// not used yet. The present stage always gets two changes, if the transaction has them.
func (d *draft) reserveQuarter() {
	limit := d.c.maxPlanChanges()
	d.maxChanges = min(limit, max(d.changes()+2, limit-limit/4))
	d.maxBytes = max(d.bytes, tuning.TxnBytes-tuning.TxnBytes/4)
}

// planLargeArraysFirst books large arrays in plans in which they go before other jobs' tasks.
func (c *Controller) planLargeArraysFirst(d *draft) {
	if c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
}

// planLargeArraysLast books large arrays in all other plans.
func (c *Controller) planLargeArraysLast(d *draft) {
	if !c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
}

// planShares writes those shares of teams' limits that no longer match the bookings.
func (c *Controller) planShares(d *draft) { d.adjustShares() }
