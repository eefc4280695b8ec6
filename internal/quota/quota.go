// Package quota is the arithmetic of teams' limits and guarantees. It knows neither jobs
// nor machines: whoever asks sums up what counts against a limit. In all limits 0 means none.
package quota

import (
	"math"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// Within tells whether a use stays within a limit: it may reach it.
func Within(use, limit domain.Resources) bool {
	return (limit.CPU == 0 || use.CPU <= limit.CPU) &&
		(limit.GPU == 0 || use.GPU <= limit.GPU) &&
		(limit.Memory == 0 || use.Memory <= limit.Memory)
}

// OnlyLimited leaves out of an amount what a limit does not bound.
func OnlyLimited(amount, limit domain.Resources) domain.Resources {
	if limit.CPU == 0 {
		amount.CPU = 0
	}
	if limit.GPU == 0 {
		amount.GPU = 0
	}
	if limit.Memory == 0 {
		amount.Memory = 0
	}
	return amount
}

// Slack is how much of a team's limit one of so many controllers sets aside beyond its
// bookings, so that at size hardly any commit has to change the team's key. It is nothing
// where the limit is only a few tasks like the requested one, and less the less is left,
// which is the part of the limit that no controller has set aside.
func Slack(limit, left, request domain.Resources, controllers int) domain.Resources {
	n := int64(controllers)
	return domain.Resources{
		CPU:    resourceSlack(limit.CPU, left.CPU, request.CPU, n),
		GPU:    resourceSlack(limit.GPU, left.GPU, request.GPU, n),
		Memory: resourceSlack(limit.Memory, left.Memory, request.Memory, n),
	}
}

// resourceSlack is the slack in one kind of resource.
func resourceSlack(limit, left, request, controllers int64) int64 {
	slack := max(0, min(limit/(tuning.SlackShare*controllers), left/(2*controllers)))
	if slack < tuning.SlackTasks*request {
		return 0
	}
	return slack
}

// Verdict tells whether one more task may start within its team's limit, or else what keeps
// it from that.
type Verdict int

// The verdicts.
const (
	Admitted               Verdict = iota
	BeyondLimit                    // the limit has no room for the task
	ReservedForStarvingJob         // the room that is left is kept for a job that starves
	ReservedForGangs               // the room that is left is kept for gangs that wait
)

// Claim is what the waiting jobs of one team keep of its limit from other tasks.
type Claim struct {
	// The gangs that wait: their number, the first of them, what that takes as a whole, and
	// what is booked by all jobs of the team that the leader places.
	WaitingGangs   int
	FirstGang      string
	GangRequest    domain.Resources
	PlacedByLeader domain.Resources
	// GangStarving: one of the gangs has waited for so long that no small task goes ahead.
	GangStarving bool

	// A job of which nothing began for long ("": none), and what one of its tasks takes.
	// Large tasks at a limit would starve otherwise: each small one of the team that ends
	// makes room for another small one, for as long as those come.
	StarvingJob     string
	StarvingRequest domain.Resources

	// Jobs that have waited for long with nothing on don't wait for gangs any more, unless
	// one of those starves itself.
	LongWaiting map[string]bool
}

// Task is one more task for which room is asked.
type Task struct {
	Job            string
	Request        domain.Resources
	PlacedByLeader bool // of a job that the leader places as a whole
}

// LeavesRoomForStarvingJob tells whether a limit keeps room, beside what is used, for a task of the
// job that starves; for tasks of that job itself nothing is kept.
func (c Claim) LeavesRoomForStarvingJob(job string, used, limit domain.Resources) bool {
	return c.StarvingJob == "" || c.StarvingJob == job || Within(used.Plus(c.StarvingRequest, 1), limit)
}

// Admit tells whether one more task stays within the limit and leaves what the waiting jobs
// claim of it.
func (c Claim) Admit(task Task, used, limit domain.Resources) Verdict {
	withTask := used.Plus(task.Request, 1)
	switch {
	case !Within(withTask, limit):
		return BeyondLimit
	case c.Allows(task, used, limit):
		return Admitted
	case !c.LeavesRoomForStarvingJob(task.Job, withTask, limit):
		return ReservedForStarvingJob
	}
	return ReservedForGangs
}

// Allows tells whether one more task leaves room for the starving job and, unless it may
// go ahead of them, leaves the waiting gangs all that they could have of the limit. What
// no gang can use, small tasks may. It doesn't ask whether the task itself is within
// the limit.
func (c Claim) Allows(task Task, used, limit domain.Resources) bool {
	withTask := used.Plus(task.Request, 1)
	if !c.LeavesRoomForStarvingJob(task.Job, withTask, limit) {
		return false
	}
	if c.WaitingGangs == 0 || c.bypassesGangs(task) {
		return true
	}
	return c.gangsThatFit(withTask.Plus(c.PlacedByLeader, -1), limit) >= c.maxConcurrentGangs(limit)
}

// maxConcurrentGangs is how many gangs like the first that waits, running and waiting ones, the
// team could have at once.
func (c Claim) maxConcurrentGangs(limit domain.Resources) int64 {
	wanted := c.PlacedByLeader.CountFitting(c.GangRequest, tuning.MaxCountedGangs) + int64(c.WaitingGangs)
	return min(wanted, c.gangsThatFit(domain.Resources{}, limit))
}

// ReservedForGangs is the part of a limit that small tasks leave to gangs, running and waiting ones.
func (c Claim) ReservedForGangs(limit domain.Resources) domain.Resources {
	return domain.Resources{}.Plus(c.GangRequest, c.maxConcurrentGangs(limit))
}

// bypassesGangs tells whether a task needn't leave room for waiting gangs.
func (c Claim) bypassesGangs(task Task) bool {
	return task.PlacedByLeader || c.StarvingJob == task.Job || c.LongWaiting[task.Job] && !c.GangStarving
}

// gangsThatFit is how many gangs like the first that waits a limit has room for beside
// a use by small tasks. Memory doesn't bound it.
func (c Claim) gangsThatFit(small, limit domain.Resources) int64 {
	room := domain.Resources{CPU: math.MaxInt32, GPU: math.MaxInt32, Memory: math.MaxInt32}
	if limit.CPU > 0 {
		room.CPU = limit.CPU - small.CPU
	}
	if limit.GPU > 0 {
		room.GPU = limit.GPU - small.GPU
	}
	return room.CountFitting(c.GangRequest, tuning.MaxCountedGangs)
}
