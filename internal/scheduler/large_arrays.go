package scheduler

import (
	"cmp"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// isLargeArray reports whether the leader places the job's tasks only because there are so many.
// Each task may run on any machine that the job allows.
func isLargeArray(spec *domain.JobSpec) bool {
	return spec.Shape != domain.Gang && !spec.OneZone && !spec.Spread && spec.TaskCount >= tuning.LargeJobTasks
}

// reservesMachines reports whether the leader reserves machines for jobs like this one. It
// reserves none for large arrays, which take the room that other jobs leave: for thousands of
// waiting tasks it would reserve every machine that fits, and shards place no tasks there.
func reservesMachines(spec *domain.JobSpec) bool { return placedByLeader(spec) && !isLargeArray(spec) }

// planLargeArrays books tasks of large arrays, by priority and then in the order of acceptance.
// Only the leader does this.
func (c *Controller) planLargeArrays(d *draft) {
	if !c.isLeader() {
		return
	}
	jobs := c.cache.waitingJobs(isLargeArray, c.now)
	if len(jobs) == 0 {
		return
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.priority, a.priority) })
	machines, claims := c.machinesWithRoom(jobs, d), c.claims(d)
	for _, j := range jobs {
		if !c.bookLargeArray(d, j, machines, claims) {
			return
		}
	}
}

// waitingJobs returns the open jobs that match, have tasks to book and are not paused after
// failures.
func (c *cache) waitingJobs(matches func(*domain.JobSpec) bool, now time.Duration) []*Job {
	var jobs []*Job
	for _, j := range c.openJobs {
		if matches(j.Header.Spec) && j.counts.queued > 0 && !j.isPaused(now) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// bookLargeArray adds bookings of the job's next tasks to the draft. It returns false if the
// draft is full. Tasks that share a value are booked on machines of one owner as long as it has room
// for them, and only then on those of others: if they were spread over all machines, every owner
// would change most of the array's values to release its tasks, and such commits would have no room
// left for the bookings of other jobs.
func (c *Controller) bookLargeArray(d *draft, j *Job, machines []inventoryMachine, claims map[string]quotaClaim) bool {
	if c.isTaskAvoided(j, 0) {
		return true
	}
	owners := c.ownersFitting(j.Header.Spec)
	if len(owners) == 0 {
		return true
	}
	run := &largeArrayRun{c: c, draft: d, job: j, claims: claims, owners: owners, remaining: d.maxLargeArrayTasks(j)}
	run.rooms = make([][]*inventoryMachine, len(owners))
	for i, owner := range owners {
		run.rooms[i] = c.ownerMachinesWithRoom(d, j.Header.Spec, machines, owner)
	}
	return run.bookOnOwnMachines() && run.bookOnOtherMachines()
}

// largeArrayRun books tasks of one large array in one plan.
type largeArrayRun struct {
	c         *Controller
	draft     *draft
	job       *Job
	claims    map[string]quotaClaim
	owners    []string              // controllers with a machine that can run a task of the job
	rooms     [][]*inventoryMachine // by index of the owner, its machines that still have room, best first
	remaining int                   // number of tasks that may still be booked
}

// bookOnOwnMachines books the tasks of each value on machines of the value's owner. It returns false
// if the draft is full.
func (r *largeArrayRun) bookOnOwnMachines() bool {
	return r.eachWaitingCell(func(cell, from int) bool { return r.book(from, cell%len(r.owners)) })
}

// bookOnOtherMachines books the tasks of values whose owner has no room on machines of the next
// owner that has. It returns false if the draft is full.
func (r *largeArrayRun) bookOnOtherMachines() bool {
	return r.eachWaitingCell(func(cell, from int) bool {
		if len(r.rooms[cell%len(r.owners)]) > 0 {
			return true // the value can't be changed now, or the team's limit has no room
		}
		for step := 1; step < len(r.owners); step++ {
			if owner := (cell + step) % len(r.owners); len(r.rooms[owner]) > 0 {
				return r.book(from, owner)
			}
		}
		return true
	})
}

// eachWaitingCell calls book for each cell with queued tasks while tasks may be booked. It returns
// false once book does.
func (r *largeArrayRun) eachWaitingCell(book func(cell, from int) bool) bool {
	header := r.job.Header
	for cell, from := 0, 0; from < header.TaskCount && r.remaining > 0; cell, from = cell+1, header.CellEnd(from) {
		if r.job.anyQueued(from) && !book(cell, from) {
			return false
		}
	}
	return true
}

// book books tasks of the cell that begins with task from on an owner's machines. It returns false
// if the draft is full.
func (r *largeArrayRun) book(from, owner int) bool {
	booking := r.c.bookCell(r.draft, r.job, from, r.remaining, r.rooms[owner], r.claims)
	r.remaining -= booking.tasks
	r.rooms[owner] = booking.room
	return !booking.draftFull
}

// maxLargeArrayTasks returns how many tasks of a large array one plan may book.
func (d *draft) maxLargeArrayTasks(j *Job) int {
	if j.onlyFailed() {
		return 1 - placementOf(j, d).booked
	}
	return tuning.MaxArrayTasksPerPlan
}

// anyQueued reports whether any task of the cell that begins with task from is queued.
func (j *Job) anyQueued(from int) bool {
	for i, end := from, j.Header.CellEnd(from); i < end; i++ {
		if j.task(i).State == domain.Queued {
			return true
		}
	}
	return false
}

// ownersFitting returns the controllers that own a machine that can run a task of the job, sorted
// by name.
func (c *Controller) ownersFitting(spec *domain.JobSpec) []string {
	var owners []string
	for _, m := range c.inventory() {
		machineType := c.cache.machineType(m.machineType)
		if machineType == nil || !machineType.Capacity.Fits(spec.Request) || !allowsMachine(spec, m.machineType, m.zone, m.spot) || slices.Contains(owners, m.owner) {
			continue
		}
		owners = append(owners, m.owner)
	}
	slices.Sort(owners)
	return owners
}

// ownerMachinesWithRoom returns an owner's machines with room for a task of the job, best first.
func (c *Controller) ownerMachinesWithRoom(d *draft, spec *domain.JobSpec, machines []inventoryMachine, owner string) []*inventoryMachine {
	var room []*inventoryMachine
	for i := range machines {
		if m := &machines[i]; m.owner == owner && c.cache.fitsOn(spec, m, machineRoom{}, d) {
			room = append(room, m)
		}
	}
	slices.SortStableFunc(room, func(a, b *inventoryMachine) int { return c.compareMachines(spec, a, b) })
	return room
}

// cellBooking is the result of booking the queued tasks of a cell.
type cellBooking struct {
	tasks     int                 // number of tasks booked
	room      []*inventoryMachine // machines that still have room
	draftFull bool
}

// bookCell books at most limit queued tasks of the cell that begins with task from, on the given
// machines, which are sorted and have room.
func (c *Controller) bookCell(d *draft, j *Job, from, limit int, room []*inventoryMachine, claims map[string]quotaClaim) cellBooking {
	spec := j.Header.Spec
	booking := cellBooking{room: room}
	end := j.Header.CellEnd(from)
	for i := from; i < end && booking.tasks < limit && len(booking.room) > 0; i++ {
		if j.task(i).State != domain.Queued || d.changed[domain.TaskID{Job: j.ID, Index: i}] {
			continue
		}
		if !c.quotaAllowsPlaced(j, d.teamUsed(spec.Team).Plus(spec.Request, 1), claims) {
			break
		}
		if !d.hasRoomToGrow(j, i) {
			c.planner.dirty = true
			booking.draftFull = d.changes() >= d.maxChanges // otherwise only this value is full
			break
		}
		m := booking.room[0]
		d.bookAssignment(j, assignment{task: i, machine: m}, j.task(i).Attempt+1, PassLargeArray)
		booking.tasks++
		if !c.cache.freeOn(m.name, c.cache.machineType(m.machineType).Capacity, d).fits(roomForTask(spec)) {
			booking.room = booking.room[1:]
		}
	}
	return booking
}

// quotaAllowsPlaced reports whether a team may use the given resources, which include those for the
// next tasks of a job that the leader places: they must be within the team's limit and leave the
// room that a starving job claims. If the result is false, the wait reason of the job is recorded.
func (c *Controller) quotaAllowsPlaced(j *Job, used domain.Resources, claims map[string]quotaClaim) bool {
	spec := j.Header.Spec
	claim := claims[spec.Team]
	limit := c.cfg.Teams[spec.Team].Limit
	switch {
	case !quota.Within(used, limit):
		c.recordWaitReason(j, WaitsForLimit, claims, used)
		return false
	case claim.aheadOfGangs && !claim.LeavesRoomForStarvingJob(spec.ID, used, limit):
		c.recordWaitReason(j, WaitsForStarvingJob, claims, used)
		return false
	}
	return true
}

// compareMachines orders machines for a task of a job that the leader places: first those that
// have its image, then those reserved for such jobs, then spot machines, then those with the most
// bookings.
func (c *Controller) compareMachines(spec *domain.JobSpec, a, b *inventoryMachine) int {
	return cmp.Or(
		trueFirst(a.hasImage(spec.Image), b.hasImage(spec.Image)),
		trueFirst(c.scaling.reserved[a.name], c.scaling.reserved[b.name]),
		trueFirst(a.spot, b.spot),
		cmp.Compare(len(c.cache.bookedOn[b.name]), len(c.cache.bookedOn[a.name])),
	)
}
