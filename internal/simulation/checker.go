package simulation

import (
	"fmt"
	"time"
)

// The rules of the protocol, as named in Cluster.Violations. A violation has the form
// "RULE: description".
const (
	// Placement of tasks.
	ruleQuota        = "quota"         // a team's running tasks stay within its limit
	ruleRanTwice     = "ran_twice"     // a task is on at most one machine at a time
	ruleBusy         = "busy"          // no attempt starts on a machine where another attempt at its task has not ended
	ruleWrongPlace   = "wrong_place"   // no task is in a zone or on a kind of machine that its job excludes
	ruleTooEarly     = "too_early"     // no task starts before its job's dependencies are done
	ruleRanCancelled = "ran_cancelled" // no task of a job is on a machine after the time limit of its cancellation
	ruleLateStart    = "late_start"    // no task of a cancelled job starts once all earlier responses have expired

	// Responses to users.
	ruleForgotten = "forgotten" // an accepted job stays known, and queries about it are answered
	ruleRefused   = "refused"   // jobs that can run are not refused; others are, with the right status
	ruleTaken     = "taken"     // a job that can't run is not accepted, and no job is accepted twice
	ruleInvented  = "invented"  // only submitted jobs are accepted
	ruleWentBack  = "went_back" // a reported final state stays, and no job is cancelled without a request
	ruleNotDone   = "not_done"  // a job reported done ran to completion
	ruleOrphaned  = "orphaned"  // jobs that depend on a cancelled job are cancelled, too

	// Progress of jobs.
	ruleStarved     = "starved"      // each job starts within minutes of becoming ready
	ruleLeftWaiting = "left_waiting" // no job waits while there is room that it may use
	ruleUnserved    = "unserved"     // at least half of the jobs of each class and team are served

	// Writes to the state service.
	ruleLimit   = "limit"   // no value or transaction exceeds the limits
	ruleMisread = "misread" // during an upgrade the previous version can rewrite values without loss

	// Messages between machines and controllers.
	ruleTooLong = "too_long" // no request body and no line of a response exceeds the limit

	// The script itself.
	ruleScript = "script" // every action of a script can be executed
)

// violated records a violation of a rule and adds it to the trace.
func (c *Cluster) violated(rule, format string, args ...any) {
	violation := rule + ": " + fmt.Sprintf(format, args...)
	c.Violations = append(c.Violations, violation)
	c.log("BROKEN %s", violation)
}

// StartChecks starts the checks that run every second, and the monitor that ends tasks of
// incomplete gangs, as the agents of a real cluster do. Further checks run when a task starts, a
// user receives a response or the state service receives a transaction.
func (c *Cluster) StartChecks() {
	c.everySecond(c.checkRunningTasks)
	c.everySecond(c.checkProgress)
	c.everySecond(c.checkLeftWaiting)
	monitor := &gangMonitor{cluster: c, incompleteSince: map[gangAttempt]time.Duration{}}
	c.everySecond(monitor.endIncompleteGangs)
}
