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

// usable is how much of the room a job's zone rule lets it use, given where its tasks are.
func (z zoneCount) usable(spec *domain.JobSpec, placed zoneCount) (n int64) {
	if !spec.OneZone && !spec.Spread {
		return z.sum()
	}
	for zone, room := range z {
		switch {
		case spec.Spread:
			n += min(room, mostInZone(spec)-placed[zone])
		case placed.sum() == placed[zone]: // none elsewhere
			n = max(n, room)
		}
	}
	return n
}

// roomFor is how many tasks of a job a machine still has room for.
func (w *worker) roomFor(spec *domain.JobSpec) int64 {
	if !w.canStart() || !w.isAllowed(spec) {
		return 0
	}
	free := machineCapacity.Plus(w.used(), -1)
	return free.CountFitting(spec.Request, int64(spec.TaskCount))
}

// canStart: the machine is there, in order and within reach of the controllers.
func (w *worker) canStart() bool {
	now := w.cluster.Now
	isInOrder := w.isUp && !w.isGone && !w.isHung && !w.failsAllTasks && w.preemptedAt < 0
	return isInOrder && now >= w.noInboundUntil && now >= w.noOutboundUntil
}

// checkLeftWaiting (left_waiting): once all troubles are over, no job is left waiting for 90 s
// while machines that fit have room for it all the time and its team is under its limit. Large
// fleets are left out.
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
			c.violated(ruleLeftWaiting, "%s waits beside room for it", id)
		}
	}
}

// placedByZone counts the tasks of each job that have not ended, by zone.
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

// minTasksToStart is how many tasks of a job must start together.
func (j *jobRecord) minTasksToStart() int64 {
	if j.spec.Shape == domain.Gang {
		return int64(j.spec.TaskCount)
	}
	return 1
}

// couldStartMore: a job has tasks left to start, and nothing but room may keep it from that.
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

// sustainedRoom is the room for a job on machines that have had some for 90 s, by zone.
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
