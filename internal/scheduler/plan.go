package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// planner is what lasts from one plan to the next.
type planner struct {
	dirty               bool                     // something changed since the last plan
	nextPlan            steady.Gate              // a pace after the last one
	largeArraysTurn     bool                     // large arrays went first in the last plan
	largestReleasesTurn bool                     // the next releases go by how much their values have to change
	reserveLongestTexts bool                     // the next draft keeps room for the longest texts
	splitTurn           bool                     // the next commit brings a value to its new size
	foreignTurn         bool                     // the next commit is for a value of another shard
	foreignValues       map[string]bool          // values of other shards that wait for a change from here
	lastForeignValue    string                   // the last one that was changed
	releasesFrom        string                   // machine at which releases begin
	taskHandovers       map[domain.TaskID]string // to be handed over, and to which shard
	jobHandovers        map[string]string        // untouched jobs to be handed over, and to which shard
	pendingReleases     map[attemptID]bool       // attempts that a commit releases: no start of them may go out
	preempted           map[attemptID]bool       // bookings to be stopped for tasks that wait on the same machine
}

// newPlanner has planned nothing yet.
func newPlanner() planner {
	return planner{
		foreignValues:   map[string]bool{},
		taskHandovers:   map[domain.TaskID]string{},
		jobHandovers:    map[string]string{},
		pendingReleases: map[attemptID]bool{},
		preempted:       map[attemptID]bool{},
	}
}

// attemptID names one attempt of a task.
type attemptID struct {
	Task    domain.TaskID
	Attempt uint64
}

// planCommit sends the next task commit if there is something to commit. It is planned only
// once it can go out: what waits for credit meanwhile is outrun by others' commits.
//
// A commit is for one of three things, in turns: a value that has to be split, one value of
// another shard, or all that this controller's own values need. Own values and one of
// another shard never go together: any change of the other shard's fails the whole commit,
// and with several of them in each a controller can lose every time, for minutes. A draft
// that repeats a value in doubt (in_doubt.go) isn't empty: own values wait until it is
// through.
func (c *Controller) planCommit() {
	if !c.planner.dirty || !c.planner.nextPlan.IsOpen(c.now) || !c.canCommitTasks() {
		return
	}
	c.planner.nextPlan.Close(c.now + c.pace())
	c.planner.dirty = false
	clear(c.commits.oversizedInPlan)
	d := c.newDraft() // forgets the commit in doubt if that is settled by now
	if c.takeSplitTurn() {
		c.planSplits(d)
		if d.changes() > 0 {
			c.commits.lastChanges = d.changes()
			c.sendPlan(d)
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
	if c.cache.formatOn() && !c.planner.reserveLongestTexts && c.tooLarge(d.transaction()) {
		// The same again, at once, with room for the longest texts.
		c.planner.reserveLongestTexts, c.planner.dirty = true, true
		c.planner.nextPlan.Close(c.now)
		return
	}
	c.planner.reserveLongestTexts = false
	c.sendPlan(d)
}

// takeSplitTurn tells whether this commit is to split a value, which every second one is
// while there are values to split.
func (c *Controller) takeSplitTurn() bool {
	c.planner.splitTurn = !c.planner.splitTurn
	return c.planner.splitTurn && c.maySplit()
}

// maySplit tells whether there are values to split, all controllers read split ones, and no
// commit that may still change one is unsettled.
func (c *Controller) maySplit() bool {
	anyToSplit := len(c.cache.oversized)+len(c.commits.fullValues) > 0
	return anyToSplit && c.commits.inDoubt.key == "" && c.mayShrinkValues()
}

// planForeignValue plans the changes of one value of another shard, if it is the turn of
// those and one waits.
func (c *Controller) planForeignValue(d *draft) {
	if key := c.nextForeignValue(); key != "" && c.planner.foreignTurn {
		d.foreignKey, c.planner.lastForeignValue = key, key
		delete(c.planner.foreignValues, key)
		c.planTasks(d)
	}
	c.planner.foreignTurn = !c.planner.foreignTurn
}

// planOwnValues plans the changes of this shard's values, and notes which ones of other
// shards wait.
func (c *Controller) planOwnValues(d *draft) {
	clear(c.planner.foreignValues)
	c.planTasks(d)
	c.planner.dirty = c.planner.dirty || len(c.planner.foreignValues) > 0
}

// planStage is one step of a plan. It adds what it can to the draft; what finds no room
// there sets planner.dirty, so that the next plan tries again.
type planStage struct {
	budget func(*draft)
	plan   func(*Controller, *draft)
}

// planStages are the steps of a plan of own values. A transaction takes few changes and
// bytes, and each stage leaves some to those after it: finishes alone, of many jobs, would
// fill one after the other. Stages that book ask what teams' limits are claimed for (claims)
// anew, each with what those before it drafted.
var planStages = [...]planStage{
	// Gangs on machines that go away have seconds left to save their progress.
	{(*draft).allowAll, (*Controller).planGangStops},
	// A gang needs many machines at once, and starts before the rest takes some of them.
	// Two changes stay for the releases that make room for all else.
	{(*draft).leaveTwoChanges, (*Controller).planGangs},
	// Large arrays go before other jobs' tasks and after them in turns.
	{(*draft).leaveTwoChanges, (*Controller).planLargeArraysFirst},
	// Releases before bookings, which may use the room in the same commit. A quarter stays
	// for bookings, or a backlog of ends would leave machines idle.
	{(*draft).leaveQuarter, (*Controller).planReleases},
	{(*draft).allowAll, (*Controller).planBookings},
	{(*draft).allowAll, (*Controller).planLargeArraysLast},
	// What is not booked here may go elsewhere.
	{(*draft).allowAll, (*Controller).planHandovers},
	// Last, when the use of each team's limit is known.
	{(*draft).allowAll, (*Controller).planShares},
}

// foreignStages are the steps of a plan for one value of another shard: what this
// controller's machines do with that shard's tasks.
var foreignStages = [...]planStage{
	{(*draft).allowAll, (*Controller).planReleases},
	{(*draft).allowAll, (*Controller).planBookings},
}

// planTasks fills a draft stage by stage.
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

// allowAll lets a stage fill the draft.
func (d *draft) allowAll() { d.maxChanges, d.maxBytes = d.c.cfg.TransactionLimit, tuning.TxnBytes }

// leaveTwoChanges keeps two changes from a stage, unless transactions are small.
func (d *draft) leaveTwoChanges() {
	most := d.c.cfg.TransactionLimit
	d.maxChanges = min(most, max(tuning.SmallTransaction, most-2))
}

// leaveQuarter keeps a quarter of changes and bytes from a stage, unless the draft is that
// full already: two changes are always allowed.
func (d *draft) leaveQuarter() {
	most := d.c.cfg.TransactionLimit
	d.maxChanges = min(most, max(d.changes()+2, most-most/4))
	d.maxBytes = max(d.bytes, tuning.TxnBytes-tuning.TxnBytes/4)
}

// planLargeArraysFirst books large arrays where it is their turn to go first.
func (c *Controller) planLargeArraysFirst(d *draft) {
	if c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
}

// planLargeArraysLast books large arrays where they didn't go first.
func (c *Controller) planLargeArraysLast(d *draft) {
	if !c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
}

// planShares writes teams' shares of limits that no longer match what is used.
func (c *Controller) planShares(d *draft) { d.adjustShares() }
