package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// WaitReason is the reason why the waiting tasks of a job can't start. It is shown to operators in
// logs and metrics; no decision depends on it.
type WaitReason int

// The wait reasons.
const (
	WaitsForNothing     WaitReason = iota // no reason was found since all tasks of the job last started
	WaitsForLimit                         // the team's limit has no room
	WaitsForShare                         // this controller's share of the limit has no room, and the team's key can't be changed now
	WaitsForGangs                         // the remaining room of the limit is held back for waiting gangs of the team
	WaitsForStarvingJob                   // the remaining room of the limit is held back for a starving job of the team
	WaitsForPause                         // the job is paused after errors
	WaitsForMachine                       // no machine has room for the task
	waitReasonCount
)

// String returns the name of the reason in logs and metrics.
func (r WaitReason) String() string {
	return [waitReasonCount]string{"none", "limit", "share", "gangs", "starving_job", "pause", "machine"}[r]
}

// reasonsByVerdict maps each verdict on a team's limit to a wait reason.
var reasonsByVerdict = map[quota.Verdict]WaitReason{
	quota.Admitted:               WaitsForNothing,
	quota.BeyondLimit:            WaitsForLimit,
	quota.ReservedForStarvingJob: WaitsForStarvingJob,
	quota.ReservedForGangs:       WaitsForGangs,
}

// recordWaitReason records why a job's tasks can't start, and logs it if the reason has changed. The
// argument used is the team's present use of its limit.
func (c *Controller) recordWaitReason(j *Job, reason WaitReason, claims map[string]quotaClaim, used domain.Resources) {
	if j.waitReason == reason {
		return
	}
	j.waitReason = reason
	team := j.Header.Spec.Team
	limit, claim := c.cfg.Teams[team].Limit, claims[team]
	var heldBackFor string
	var heldBack domain.Resources
	switch reason {
	case WaitsForGangs:
		heldBackFor, heldBack = claim.FirstGang, claim.ReservedForGangs(limit)
	case WaitsForStarvingJob:
		heldBackFor, heldBack = claim.StarvingJob, claim.StarvingRequest
	}
	c.debug("job waits", "job", j.ID, "team", team, "reason", reason, "waiting_tasks", j.counts.queued,
		"used", used, "limit", limit, "held_back", heldBack, "held_back_for", heldBackFor)
}

// WaitingTasksKey identifies a count of waiting tasks: those of one team that wait for one reason.
type WaitingTasksKey struct {
	Team   string
	Reason WaitReason
}

// waitCounts caches the counts of waiting tasks, since the status is read after every step.
type waitCounts struct {
	byReason map[WaitingTasksKey]int // replaced by a new map for each count, never changed later
	next     monotime.Deadline
}

// waitingTasks returns the numbers of waiting tasks of jobs that this controller places. They are
// counted anew every tuning.WaitCountInterval.
func (c *Controller) waitingTasks() map[WaitingTasksKey]int {
	if !c.waits.next.HasPassed(c.now) {
		return c.waits.byReason
	}
	c.waits.next.Set(c.now + tuning.WaitCountInterval)
	c.waits.byReason = map[WaitingTasksKey]int{}
	for _, j := range c.cache.openJobs {
		spec := j.Header.Spec
		isPlacedHere := c.cache.shardOf(j) == c.cfg.Controller
		if placedByLeader(spec) {
			isPlacedHere = c.isLeader()
		}
		if j.counts.queued > 0 && isPlacedHere {
			reason := j.waitReason
			if j.isPaused(c.now) {
				reason = WaitsForPause
			}
			c.waits.byReason[WaitingTasksKey{spec.Team, reason}] += j.counts.queued
		}
	}
	return c.waits.byReason
}
