// Package quota calculates with the limits and guarantees of teams. It has no access to the state of
// jobs and machines: callers add up the usage that counts against a limit. In all limits 0 means no
// limit.
package quota

import (
	"math"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// Within reports whether a usage is at most the limit.
func Within(usage, limit domain.Resources) bool {
	return (limit.CPU == 0 || usage.CPU <= limit.CPU) &&
		(limit.GPU == 0 || usage.GPU <= limit.GPU) &&
		(limit.Memory == 0 || usage.Memory <= limit.Memory)
}

// OnlyLimited returns an amount with 0 for each kind of resource that has no limit.
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

// Slack returns how much of a team's limit each controller reserves beyond its bookings, so that in a
// large cluster few commits have to change the team's key. The parameter unreserved is the part of
// the limit that no controller has reserved; the slack shrinks with it. The slack is 0 if it would be
// less than tuning.MinSlackTasks tasks like the requested one.
func Slack(limit, unreserved, request domain.Resources, controllers int) domain.Resources {
	n := int64(controllers)
	return domain.Resources{
		CPU:    resourceSlack(limit.CPU, unreserved.CPU, request.CPU, n),
		GPU:    resourceSlack(limit.GPU, unreserved.GPU, request.GPU, n),
		Memory: resourceSlack(limit.Memory, unreserved.Memory, request.Memory, n),
	}
}

// resourceSlack returns the slack of one kind of resource.
func resourceSlack(limit, unreserved, request, controllers int64) int64 {
	slack := max(0, min(limit/(tuning.SlackDivisor*controllers), unreserved/(2*controllers)))
	if slack < tuning.MinSlackTasks*request {
		return 0
	}
	return slack
}

// Verdict says whether one more task may start within its team's limit and, if not, why.
type Verdict int

// The verdicts on a task.
const (
	Admitted               Verdict = iota
	BeyondLimit                    // the limit has no room for the task
	ReservedForStarvingJob         // the remaining room is reserved for a starving job
	ReservedForGangs               // the remaining room is reserved for waiting gangs
)

// Claim states for which waiting jobs of a team a part of the team's limit is held back from other
// tasks: for gangs, and for one starving job.
type Claim struct {
	WaitingGangs   int              // number of waiting gangs
	FirstGang      string           // ID of the first waiting gang
	GangRequest    domain.Resources // all tasks of the first waiting gang together
	PlacedByLeader domain.Resources // booked for all jobs of the team that the leader places
	// GangStarving is set if one of the gangs has waited for so long that, of the tasks that are
	// placed one by one, only those of the starving job go ahead of it.
	GangStarving bool

	// The ID of a starving job ("": none), which has been ready for a long time without a booked or
	// done task, and the request of one of its tasks. Without this claim large tasks would starve
	// at the limit: each small task of the team that ends makes room only for another small one.
	StarvingJob     string
	StarvingRequest domain.Resources

	// Jobs that have waited for a long time without a booked or done task. They no longer wait for
	// gangs, unless GangStarving is set.
	LongWaiting map[string]bool
}

// Task is a task that is to start and needs room within its team's limit.
type Task struct {
	Job            string
	Request        domain.Resources
	PlacedByLeader bool // belongs to a job whose tasks the leader places all together
}

// LeavesRoomForStarvingJob reports whether a limit has room for a task of the starving job in addition
// to what is used. It is always true for tasks of that job itself.
func (c Claim) LeavesRoomForStarvingJob(job string, used, limit domain.Resources) bool {
	return c.StarvingJob == "" || c.StarvingJob == job || Within(used.Plus(c.StarvingRequest, 1), limit)
}

// Admit decides whether one more task may start: it has to stay within the limit and leave room for
// the waiting jobs.
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

// Allows reports whether one more task leaves enough of the limit to the waiting jobs. It must leave
// room for a task of the starving job. Unless it may go ahead of the waiting gangs, it must also leave
// room for all booked and waiting gangs, or for as many of them as the limit has room for; other tasks
// may use the room that no gang can use. Allows doesn't check that the task itself is within the limit.
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

// maxConcurrentGangs returns how many gangs the team could have booked at the same time: the number of
// booked and waiting ones, or as many as the limit has room for if that is less. All gangs count as if
// they were as large as the first waiting one.
func (c Claim) maxConcurrentGangs(limit domain.Resources) int64 {
	gangs := c.PlacedByLeader.CountFitting(c.GangRequest, tuning.MaxCountedGangs) + int64(c.WaitingGangs)
	return min(gangs, c.gangsThatFit(domain.Resources{}, limit))
}

// ReservedForGangs returns the part of a limit that is reserved for booked and waiting gangs.
func (c Claim) ReservedForGangs(limit domain.Resources) domain.Resources {
	return domain.Resources{}.Plus(c.GangRequest, c.maxConcurrentGangs(limit))
}

// bypassesGangs reports whether a task may go ahead without leaving room for the waiting gangs.
func (c Claim) bypassesGangs(task Task) bool {
	return task.PlacedByLeader || c.StarvingJob == task.Job || c.LongWaiting[task.Job] && !c.GangStarving
}

// gangsThatFit returns how many gangs like the first waiting one a limit has room for in addition to
// the usage of other tasks. It ignores memory.
func (c Claim) gangsThatFit(usedByOthers, limit domain.Resources) int64 {
	room := domain.Resources{CPU: math.MaxInt32, GPU: math.MaxInt32, Memory: math.MaxInt32}
	if limit.CPU > 0 {
		room.CPU = limit.CPU - usedByOthers.CPU
	}
	if limit.GPU > 0 {
		room.GPU = limit.GPU - usedByOthers.GPU
	}
	return room.CountFitting(c.GangRequest, tuning.MaxCountedGangs)
}
