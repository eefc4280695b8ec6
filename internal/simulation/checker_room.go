package simulation

import (
	"time"

	"brassglade/internal/domain"
)

// zoneCount counts tasks, or room for tasks, by zone.
type zoneCount map[string]int64

func (z zoneCount) sum() (n int64) {
	for _, count := range z {
		n += count
	}
	return n
}

// usable returns how many more tasks of a job its zone rule allows in the room z, given where its
// tasks are placed.
func (z zoneCount) usable(spec *domain.JobSpec, placed zoneCount) (n int64) {
	if !spec.OneZone && !spec.Spread {
		return z.sum()
	}
	for zone, room := range z {
		switch {
		case spec.Spread:
			n += min(room, mostInZone(spec)-placed[zone])
		case placed.sum() == placed[zone]: // no task is in another zone
			n = max(n, room)
		}
	}
	return n
}

// roomFor returns how many more tasks of a job fit on the machine, 0 if it can't start any.
func (w *worker) roomFor(spec *domain.JobSpec) int64 {
	if !w.canStart() || !w.isAllowed(spec) {
		return 0
	}
	free := machineCapacity.Plus(w.used(), -1)
	return free.CountFitting(spec.Request, int64(spec.TaskCount))
}

// canStart reports whether the machine is up, healthy and able to exchange messages with
// controllers. Network cuts are not considered.
func (w *worker) canStart() bool {
	now := w.cluster.Now
	isInOrder := w.isUp && !w.isGone && !w.isHung && !w.failsAllTasks && w.preemptedAt < 0
	return isInOrder && now >= w.noInboundUntil && now >= w.noOutboundUntil
}

// checkLeftWaiting (left_waiting) checks, once all faults are over, that no job waits more than
// 90 s while suitable machines have room for it throughout and its team is below its limit. It
// skips large fleets.
func (c *Cluster) checkLeftWaiting() {
	if c.isLarge() {
		return
	}
	used, placed := c.usedByTeam((*task).hasNotEnded), c.placedByZone()
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		if !c.couldStartMore(job, used[job.spec.Team], placed[id].sum()) {
			delete(c.roomSince, id)
			continue
		}
		room := c.sustainedRoom(job)
		if room.usable(&job.spec, placed[id]) >= job.minTasksToStart() && !job.hasViolation(c, ruleLeftWaiting) {
			c.violated(ruleLeftWaiting, "%s waits although there is room for it", id)
		}
	}
}

// placedByZone counts the tasks of each job on machines that have not ended, by job and zone.
func (c *Cluster) placedByZone() map[string]zoneCount {
	placed := map[string]zoneCount{}
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for id, t := range w.tasks {
			if !t.hasNotEnded() {
				continue
			}
			if placed[id.Job] == nil {
				placed[id.Job] = zoneCount{}
			}
			placed[id.Job][w.zone]++
		}
	}
	return placed
}

// minTasksToStart returns how many tasks of a job must start together: all of a gang, else 1.
func (j *jobRecord) minTasksToStart() int64 {
	if j.spec.Shape == domain.Gang {
		return int64(j.spec.TaskCount)
	}
	return 1
}

// couldStartMore reports whether a job has tasks left to start, its dependencies are done and its
// team's limit admits them, so that only a lack of room may keep them waiting. used is what the
// team's tasks take up, placed the number of the job's tasks on machines that have not ended.
func (c *Cluster) couldStartMore(job *jobRecord, used domain.Resources, placed int64) bool {
	spec := &job.spec
	isOpen := job.accepted && job.finalState == "" && !job.cancelRequested
	if !isOpen || job.failsEverywhere || !c.dependenciesDone(job) {
		return false
	}
	hasTasksLeft := placed+int64(len(job.done)) < int64(spec.TaskCount)
	if !hasTasksLeft || spec.Shape == domain.Gang && placed > 0 {
		return false
	}
	limit := c.settings.Teams[spec.Team].Limit
	after := used.Plus(spec.Request, job.minTasksToStart())
	return (limit.GPU == 0 || after.GPU <= limit.GPU) && (limit.CPU == 0 || after.CPU <= limit.CPU)
}

// sustainedRoom returns the room for a job, in tasks and by zone, on machines that have had some
// for more than 90 s since all faults were over. It also updates roomSince.
func (c *Cluster) sustainedRoom(job *jobRecord) zoneCount {
	since := c.roomSince[job.spec.ID]
	if since == nil {
		since = map[string]time.Duration{}
		c.roomSince[job.spec.ID] = since
	}
	room := zoneCount{}
	for _, w := range c.workers {
		n := w.roomFor(&job.spec)
		begin, hadRoom := since[w.name]
		switch {
		case n == 0:
			delete(since, w.name)
		case !hadRoom:
			since[w.name] = c.Now
		case c.Now-max(begin, c.faultsOverAt) > 90*time.Second:
			room[w.zone] += n
		}
	}
	return room
}
