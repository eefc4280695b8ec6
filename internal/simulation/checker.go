package simulation

import (
	"fmt"
	"time"
)

// The rules of the protocol, as Broken names them. A violation is "RULE: how".
const (
	// What runs where.
	ruleQuota        = "quota"         // a team uses no more than its limit
	ruleRanTwice     = "ran_twice"     // no task is on two machines at once
	ruleBusy         = "busy"          // no attempt starts beside another one of its task on a machine
	ruleWrongPlace   = "wrong_place"   // no task is in a zone or on a kind of machine that its job rules out
	ruleTooEarly     = "too_early"     // no task starts before its job's dependencies are done
	ruleRanCancelled = "ran_cancelled" // nothing of a job is on machines long after its user was told cancelled
	ruleLateStart    = "late_start"    // nothing starts once the answers that could bring it have expired

	// What users are told.
	ruleForgotten = "forgotten" // an accepted job stays known, and questions about it are answered
	ruleRefused   = "refused"   // a job that can run is not refused, one that can't in the right way
	ruleTaken     = "taken"     // a job that can't run is not accepted, and none is accepted twice
	ruleInvented  = "invented"  // no job is accepted that nobody submitted
	ruleWentBack  = "went_back" // a final state stays, and nothing is cancelled unasked
	ruleNotDone   = "not_done"  // a job that is told done ran to its end
	ruleOrphaned  = "orphaned"  // what depends on a cancelled job is cancelled, too

	// What comes to its end.
	ruleStarved     = "starved"      // each job begins within minutes once it may
	ruleLeftWaiting = "left_waiting" // no job waits beside room that it may use
	ruleUnserved    = "unserved"     // at the end of a day most of each class and team was served

	// What the state service gets.
	ruleLimit   = "limit"   // no value or transaction beyond the limits
	ruleMisread = "misread" // before the upgrade is over, all that is written passes through the version before whole

	// The script itself.
	ruleScript = "script" // each action of a script can be played
)

// violated notes that a rule was broken.
func (c *Cluster) violated(rule, format string, args ...any) {
	violation := rule + ": " + fmt.Sprintf(format, args...)
	c.Violations = append(c.Violations, violation)
	c.log("BROKEN %s", violation)
}

// StartChecks starts the checks that run every second, and the agents' look at their gangs'
// other members. Other checks run where a task starts, a user gets an answer or a transaction
// comes.
func (c *Cluster) StartChecks() {
	c.everySecond(c.checkRunningTasks)
	c.everySecond(c.checkProgress)
	c.everySecond(c.checkLeftWaiting)
	peers := &gangMonitor{cluster: c, incompleteSince: map[gangAttempt]time.Duration{}}
	c.everySecond(peers.endIncompleteGangs)
}
