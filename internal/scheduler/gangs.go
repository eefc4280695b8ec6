package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// planGangs books the tasks of jobs for which the leader reserves machines: all tasks of a gang or
// none, other jobs task by task within their zone rules. It makes two passes. The first one
// considers only jobs whose image is on a machine with room, since fetching an image takes a large
// fraction of a run and uses the team's limit for as long; the second considers all jobs.
func (c *Controller) planGangs(d *draft) {
	if !c.isLeader() {
		return
	}
	jobs := c.cache.waitingJobs(reservesMachines, c.now)
	if len(jobs) == 0 {
		return
	}
	d.sortByGuarantee(jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return trueFirst(a.isForming(), b.isForming()) })
	machines, claims := c.machinesWithRoom(jobs, d), c.claims(d)
	machinesHeldBack := slices.ContainsFunc(jobs, func(j *Job) bool { return j.holdsMachinesBack(c.now) })
	if !machinesHeldBack { // otherwise the order of the jobs is kept strictly
		if !c.newGangPass(d, PassCached, machines, claims).book(jobs) {
			return
		}
	}
	c.newGangPass(d, PassAny, machines, claims).book(jobs)
}

// sortByGuarantee sorts the jobs: those within their team's guarantee first, then by priority.
func (d *draft) sortByGuarantee(jobs []*Job) {
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(
			trueFirst(d.isWithinGuarantee(a.Header.Spec), d.isWithinGuarantee(b.Header.Spec)),
			cmp.Compare(b.priority, a.priority),
		)
	})
}

// blocksOthers reports whether a job that the leader places has waited for so long that other jobs
// have to wait for it. They wait for at most tuning.MaxGangBlock, since the job may be impossible
// to place.
func (j *Job) blocksOthers(now time.Duration) bool {
	age := j.age(now)
	return age > tuning.GangStarvationAge && age < tuning.GangStarvationAge+tuning.MaxGangBlock
}

// holdsMachinesBack reports whether a job of several tasks has waited for so long that smaller
// jobs that came later must not take each machine as it becomes free.
func (j *Job) holdsMachinesBack(now time.Duration) bool {
	return j.Header.Spec.TaskCount > 1 && j.blocksOthers(now)
}

// gangPass is one pass over the jobs that the leader reserves machines for.
type gangPass struct {
	c            *Controller
	draft        *draft
	pass         PlanningPass
	machines     []inventoryMachine // machines with room for a task of any of the jobs, in the inventory's order
	claims       map[string]quotaClaim
	unplaceable  map[placementKey]bool // gangs like these found no place in this pass
	blockedTeams map[string]bool       // teams with a gang that holds machines back and waits for the team's limit
}

// newGangPass returns a pass over the given machines, which have room.
func (c *Controller) newGangPass(d *draft, pass PlanningPass, machines []inventoryMachine, claims map[string]quotaClaim) *gangPass {
	return &gangPass{
		c: c, draft: d, pass: pass, machines: machines, claims: claims,
		unplaceable: map[placementKey]bool{}, blockedTeams: map[string]bool{},
	}
}

// placementKey holds all properties that decide where a job fits. Once a gang has found no place,
// no other gang with the same key is tried in that pass: in large fleets most waiting gangs are
// alike.
type placementKey struct {
	team, zone            string
	machineTypes          string // separated by commas
	request               domain.Resources
	tasks                 int
	spot, oneZone, spread bool
}

// placementKeyOf returns the placement key of a job.
func placementKeyOf(spec *domain.JobSpec) placementKey {
	return placementKey{
		team: spec.Team, zone: spec.Zone, machineTypes: strings.Join(spec.MachineTypes, ","), request: spec.Request,
		tasks: spec.TaskCount, spot: spec.Spot, oneZone: spec.OneZone, spread: spec.Spread,
	}
}

// book books the jobs in their order. It returns false if the draft is full, or if the machines
// that become free have to be left to a gang that holds them back.
func (p *gangPass) book(jobs []*Job) bool {
	for _, j := range jobs {
		spec := j.Header.Spec
		key := placementKeyOf(spec)
		if p.pass == PassCached && !j.isForming() && !p.isCachedSomewhere(spec) {
			continue
		}
		if reason := p.knownWaitReason(spec.Team, key); reason != WaitsForNothing {
			p.c.recordWaitReason(j, reason, p.claims, p.draft.teamUsed(spec.Team))
			continue
		}
		changedBefore := len(p.draft.changed)
		if !p.c.bookByLeader(p.draft, j, p.machines, p.claims, p.pass) {
			return false
		}
		if len(p.draft.changed) > changedBefore || !p.foundNoPlace(j) {
			continue
		}
		p.unplaceable[key] = true
		if p.pass == PassCached || !j.holdsMachinesBack(p.c.now) {
			continue
		}
		if p.quotaAllowsGang(spec) {
			return false
		}
		p.blockedTeams[spec.Team] = true
	}
	return true
}

// knownWaitReason returns why a job need not be tried, given the earlier jobs of this pass, or
// WaitsForNothing if it has to be tried.
func (p *gangPass) knownWaitReason(team string, key placementKey) WaitReason {
	switch {
	case p.unplaceable[key]:
		return WaitsForMachine
	case p.blockedTeams[team]:
		return WaitsForGangs
	}
	return WaitsForNothing
}

// foundNoPlace reports whether a job is a gang all of whose tasks are still queued after the
// changes in the draft.
func (p *gangPass) foundNoPlace(j *Job) bool {
	spec := j.Header.Spec
	return spec.Shape == domain.Gang && placementOf(j, p.draft).queued == spec.TaskCount
}

// quotaAllowsGang reports whether a team's limit has room for all tasks of a gang, so that the gang
// waits only for machines.
func (p *gangPass) quotaAllowsGang(spec *domain.JobSpec) bool {
	return quota.Within(p.draft.teamUsed(spec.Team).Plus(spec.Request, int64(spec.TaskCount)), p.c.cfg.Teams[spec.Team].Limit)
}

// isCachedSomewhere reports whether any machine with room for a task of the job has the job's
// image.
func (p *gangPass) isCachedSomewhere(spec *domain.JobSpec) bool {
	for i := range p.machines {
		m := &p.machines[i]
		if m.hasImage(spec.Image) && p.c.cache.fitsOn(spec, m, machineRoom{}, p.draft) {
			return true
		}
	}
	return false
}

// machinesWithRoom returns the machines of the inventory that are not cordoned and have room for
// a task of any of the jobs.
func (c *Controller) machinesWithRoom(jobs []*Job, d *draft) []inventoryMachine {
	var requests []machineRoom
	for _, j := range jobs {
		if room := roomForTask(j.Header.Spec); !slices.Contains(requests, room) {
			requests = append(requests, room)
		}
	}
	var machines []inventoryMachine
	for _, m := range c.inventory() {
		machineType := c.cache.machineType(m.machineType)
		if machineType == nil || c.cache.cordons[m.name].State != "" {
			continue
		}
		free := c.cache.freeOn(m.name, machineType.Capacity, d)
		if fitsAny(free, requests) {
			machines = append(machines, m)
		}
	}
	return machines
}

// fitsAny reports whether any of the requests fits.
func fitsAny(free machineRoom, requests []machineRoom) bool {
	for _, request := range requests {
		if free.fits(request) {
			return true
		}
	}
	return false
}

// bookByLeader adds a job's bookings to the draft. It returns false if the draft is full.
func (c *Controller) bookByLeader(d *draft, j *Job, machines []inventoryMachine, claims map[string]quotaClaim, pass PlanningPass) bool {
	spec := j.Header.Spec
	if c.isTaskAvoided(j, 0) {
		return true
	}
	if j.isGangDone(d) {
		return c.finishGang(d, j)
	}
	placed := placementOf(j, d)
	isForming := j.isForming() && placed == j.counts // otherwise this draft has booked of it what it has room for
	if spec.Shape == domain.Gang && placed.queued < spec.TaskCount && !isForming {
		return true // booked in this draft, or some tasks of the last attempt are not proven stopped yet
	}
	if isForming && j.hasStalled(c.now) {
		return d.stopForming(j)
	}
	if spec.Shape == domain.Gang && !c.quotaAllowsPlaced(j, d.teamUsed(spec.Team).Plus(spec.Request, int64(placed.queued)), claims) {
		return true
	}
	picks := (&machineChooser{
		c: c, draft: d, job: j, placed: placed, zones: constrainedZoneCounts(j, d), machines: machines, claims: claims,
	}).choose()
	if spec.Shape == domain.Gang {
		return len(picks) < placed.queued || c.bookGang(d, j, picks, pass)
	}
	for _, picked := range picks {
		if !d.hasRoomToGrow(j, picked.task) {
			c.planner.dirty = true
			return false
		}
		d.bookAssignment(j, picked, j.task(picked.task).Attempt+1, pass)
	}
	return true
}

// finishGang finishes the queued tasks of a gang of which one task is done; earlier versions
// could leave a gang in this state. It returns false if the draft is full.
func (c *Controller) finishGang(d *draft, j *Job) bool {
	for i := 0; i < j.Header.TaskCount; i++ {
		if d.peek(j, i).State != domain.Queued {
			continue
		}
		if !d.hasRoomToEnd(j, i, true) {
			c.planner.dirty = true
			return false
		}
		d.finish(j, i)
	}
	return true
}

// bookAssignment books a task on the machine that it was assigned to.
func (d *draft) bookAssignment(j *Job, picked assignment, attempt uint64, pass PlanningPass) {
	place := picked.machine.place()
	d.book(j, picked.task, place, attempt)
	d.recordBooking(domain.TaskID{Job: j.ID, Index: picked.task}, place, attempt, pass)
}

// assignment is a machine chosen for a task that is not booked yet.
type assignment struct {
	task    int
	machine *inventoryMachine
}

// machineChooser chooses machines for the queued tasks of one job that the leader places.
type machineChooser struct {
	c        *Controller
	draft    *draft
	job      *Job
	placed   placement      // the job's tasks by state, with the draft's changes
	zones    map[string]int // its booked tasks by zone, if the job has a zone rule that depends on them
	machines []inventoryMachine
	claims   map[string]quotaClaim
}

// choose assigns as many tasks as it can. If all tasks must be in one zone, it takes the zone
// with room for most of them.
func (p *machineChooser) choose() []assignment {
	if !p.job.Header.Spec.OneZone {
		return p.chooseIn("")
	}
	var best []assignment
	for _, zone := range oneZoneChoices(p.zones, p.c.cfg.Zones) {
		if picks := p.chooseIn(zone); len(picks) > len(best) {
			best = picks
		}
	}
	return best
}

// chooseIn assigns as many tasks as it can to machines of a zone; "": of any zone.
func (p *machineChooser) chooseIn(zone string) []assignment {
	d, j := p.draft, p.job
	spec := j.Header.Spec
	chosen := &zoneAssignments{machineChooser: p, zone: zone, used: map[string]machineRoom{}, byZone: maps.Clone(p.zones)}
	room := chosen.machinesWithRoom()
	used, limit := d.teamUsed(spec.Team), p.maxTasks()
	for i := 0; i < spec.TaskCount && len(chosen.assignments) < limit; i++ {
		if j.task(i).State != domain.Queued || d.changed[domain.TaskID{Job: j.ID, Index: i}] {
			continue
		}
		if used = used.Plus(spec.Request, 1); !p.c.quotaAllowsPlaced(j, used, p.claims) {
			break
		}
		best := slices.IndexFunc(room, chosen.accepts)
		if best < 0 {
			p.c.recordWaitReason(j, WaitsForMachine, p.claims, used)
			break
		}
		room = room[best:] // a machine that takes no further task now takes none later
		chosen.add(i, room[0])
	}
	return chosen.assignments
}

// maxTasks returns how many further tasks of the job this plan may book.
func (p *machineChooser) maxTasks() int {
	switch {
	case p.job.Header.Spec.Shape == domain.Gang:
		return p.job.Header.Spec.TaskCount
	case p.job.onlyFailed():
		return max(0, 1-p.placed.booked)
	}
	inDraft := p.placed.booked - p.job.counts.booked
	return max(0, tuning.MaxTasksPerPlan-max(0, inDraft))
}

// zoneAssignments are the assignments that a plan has already made of a job's tasks to machines of
// one zone, or of any zone.
type zoneAssignments struct {
	*machineChooser
	zone        string // "": any
	assignments []assignment
	used        map[string]machineRoom // by machine, room of the assigned tasks
	byZone      map[string]int         // the job's tasks, both booked and assigned
}

// accepts reports whether one more task of the job may be assigned to a machine.
func (p *zoneAssignments) accepts(m *inventoryMachine) bool {
	spec := p.job.Header.Spec
	if p.zone != "" && m.zone != p.zone || isSpreadOverZones(spec) && p.byZone[m.zone] >= mostPerZone(spec) {
		return false
	}
	return p.c.cache.fitsOn(spec, m, p.used[m.name], p.draft)
}

// machinesWithRoom returns the machines that accept a task, best first.
func (p *zoneAssignments) machinesWithRoom() []*inventoryMachine {
	var room []*inventoryMachine
	for i := range p.machines {
		if m := &p.machines[i]; p.accepts(m) {
			room = append(room, m)
		}
	}
	spec := p.job.Header.Spec
	slices.SortStableFunc(room, func(a, b *inventoryMachine) int { return p.c.compareMachines(spec, a, b) })
	return room
}

// add assigns a task to a machine.
func (p *zoneAssignments) add(task int, m *inventoryMachine) {
	spec := p.job.Header.Spec
	p.assignments = append(p.assignments, assignment{task: task, machine: m})
	p.used[m.name] = p.used[m.name].plus(roomForTask(spec), 1)
	if isSpreadOverZones(spec) {
		p.byZone[m.zone]++
	}
}
