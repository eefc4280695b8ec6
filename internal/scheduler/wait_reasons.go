package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// WaitReason names what keeps the waiting tasks of a job from starting. It is for operators
// alone: nothing is decided by it.
type WaitReason int

// The reasons.
const (
	WaitsForNothing     WaitReason = iota // none was found since the job's tasks last all started
	WaitsForLimit                         // its team's limit has no room
	WaitsForShare                         // its team's key can't be changed just now, and this controller's share has no room
	WaitsForGangs                         // the room that is left of the limit is kept for gangs of the team
	WaitsForStarvingJob                   // that room is kept for a job of the team that starves
	WaitsForPause                         // the job pauses after errors
	WaitsForMachine                       // no machine has room
	waitReasonCount
)

// String is the name in logs and metrics.
func (r WaitReason) String() string {
	return [waitReasonCount]string{"none", "limit", "share", "gangs", "starving_job", "pause", "machine"}[r]
}

// waitReasons are the reasons for the verdicts on a team's limit.
var waitReasons = map[quota.Verdict]WaitReason{
	quota.Admitted:               WaitsForNothing,
	quota.BeyondLimit:            WaitsForLimit,
	quota.ReservedForStarvingJob: WaitsForStarvingJob,
	quota.ReservedForGangs:       WaitsForGangs,
}

// noteWait records what keeps a job's tasks from starting, given its team's use of the limit,
// and logs it when that changed.
func (c *Controller) noteWait(j *Job, reason WaitReason, claims map[string]quotaClaim, used domain.Resources) {
	if j.waitReason == reason {
		return
	}
	j.waitReason = reason
	team := j.Header.Spec.Team
	limit, claim := c.cfg.Teams[team].Limit, claims[team]
	var keptFor string
	var kept domain.Resources
	switch reason {
	case WaitsForGangs:
		keptFor, kept = claim.FirstGang, claim.ReservedForGangs(limit)
	case WaitsForStarvingJob:
		keptFor, kept = claim.StarvingJob, claim.StarvingRequest
	}
	c.debug("job waits", "job", j.ID, "team", team, "reason", reason, "waiting", j.counts.queued,
		"used", used, "limit", limit, "kept", kept, "kept_for", keptFor)
}

// WaitingTasks names a number of waiting tasks: those of a team that wait for one reason.
type WaitingTasks struct {
	Team   string
	Reason WaitReason
}

// waitCounts counts waiting tasks for the status, which is asked for after every step.
type waitCounts struct {
	byReason map[WaitingTasks]int // replaced as a whole
	next     monotime.Deadline
}

// waitingTasks counts the waiting tasks of jobs that this controller places, as of lately.
func (c *Controller) waitingTasks() map[WaitingTasks]int {
	if !c.waits.next.HasPassed(c.now) {
		return c.waits.byReason
	}
	c.waits.next.Set(c.now + tuning.WaitCountInterval)
	c.waits.byReason = map[WaitingTasks]int{}
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
			c.waits.byReason[WaitingTasks{spec.Team, reason}] += j.counts.queued
		}
	}
	return c.waits.byReason
}
