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

// planGangs books the jobs that the leader places: gangs at once or not at all, the others
// task by task within their zone rules. It walks them twice: first those whose image is on
// a machine with room, since a fetch takes a large fraction of a run and uses the team's
// limit as long; then all.
func (c *Controller) planGangs(d *draft) {
	if !c.isLeader() {
		return
	}
	jobs := c.cache.waitingJobs(reservesMachines, c.now)
	if len(jobs) == 0 {
		return
	}
	d.sortByGuarantee(jobs)
	machines, claims := c.machinesWithRoom(jobs, d), c.claims(d)
	anyHoldsBack := slices.ContainsFunc(jobs, func(j *Job) bool { return j.holdsMachinesBack(c.now) })
	if !anyHoldsBack { // else strictly in order
		if !c.newGangPass(d, PassCached, machines, claims).book(jobs) {
			return
		}
	}
	c.newGangPass(d, PassAny, machines, claims).book(jobs)
}

// sortByGuarantee orders jobs: what teams are owed first, then by priority.
func (d *draft) sortByGuarantee(jobs []*Job) {
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(
			trueFirst(d.isOwed(a.Header.Spec), d.isOwed(b.Header.Spec)),
			cmp.Compare(b.priority, a.priority),
		)
	})
}

// blocksOthers tells whether a job that the leader places has waited for so long that others
// wait for it: not for ever, it may not be possible.
func (j *Job) blocksOthers(now time.Duration) bool {
	age := j.age(now)
	return age > tuning.GangStarvationAge && age < tuning.GangStarvationAge+tuning.MaxGangBlock
}

// holdsMachinesBack tells whether a job of several tasks has waited for so long that smaller
// ones that came later must not take each machine as it falls free.
func (j *Job) holdsMachinesBack(now time.Duration) bool {
	return j.Header.Spec.TaskCount > 1 && j.blocksOthers(now)
}

// gangPass is one walk over the jobs that the leader places.
type gangPass struct {
	c            *Controller
	draft        *draft
	pass         PlanningPass
	machines     []inventoryMachine // with room for some job, in the inventory's order
	claims       map[string]quotaClaim
	placeless    map[gangKind]bool // kinds of gangs that found no place
	waitingTeams map[string]bool   // whose limit must come free for a gang that holds machines back
}

// newGangPass begins a walk over the machines with room.
func (c *Controller) newGangPass(d *draft, pass PlanningPass, machines []inventoryMachine, claims map[string]quotaClaim) *gangPass {
	return &gangPass{
		c: c, draft: d, pass: pass, machines: machines, claims: claims,
		placeless: map[gangKind]bool{}, waitingTeams: map[string]bool{},
	}
}

// gangKind is what a job's place depends on. Of jobs alike, none is tried once one found no
// place: at size most of those waiting are alike.
type gangKind struct {
	team, zone            string
	machineTypes          string // joined by commas
	request               domain.Resources
	tasks                 int
	spot, oneZone, spread bool
}

// gangKindOf is what the place of a job depends on.
func gangKindOf(spec *domain.JobSpec) gangKind {
	return gangKind{
		team: spec.Team, zone: spec.Zone, machineTypes: strings.Join(spec.MachineTypes, ","), request: spec.Request,
		tasks: spec.TaskCount, spot: spec.Spot, oneZone: spec.OneZone, spread: spec.Spread,
	}
}

// book walks the jobs; false: the draft is full, or the machines have to come free for a
// gang that holds them back.
func (p *gangPass) book(jobs []*Job) bool {
	for _, j := range jobs {
		spec := j.Header.Spec
		kind := gangKindOf(spec)
		if p.pass == PassCached && !p.isCachedSomewhere(spec) {
			continue
		}
		if reason := p.knownReason(spec.Team, kind); reason != WaitsForNothing {
			p.c.noteWait(j, reason, p.claims, p.draft.teamUsed(spec.Team))
			continue
		}
		before := len(p.draft.changed)
		if !p.c.bookByLeader(p.draft, j, p.machines, p.claims, p.pass) {
			return false
		}
		if len(p.draft.changed) > before || !p.foundNoPlace(j) {
			continue
		}
		p.placeless[kind] = true
		if p.pass == PassCached || !j.holdsMachinesBack(p.c.now) {
			continue
		}
		if p.teamAllows(spec) {
			return false
		}
		p.waitingTeams[spec.Team] = true
	}
	return true
}

// knownReason is why no job of a kind has to be tried, by what became of those before.
func (p *gangPass) knownReason(team string, kind gangKind) WaitReason {
	switch {
	case p.placeless[kind]:
		return WaitsForMachine
	case p.waitingTeams[team]:
		return WaitsForGangs
	}
	return WaitsForNothing
}

// foundNoPlace tells whether all of a gang still waits, and is not booked in this draft.
func (p *gangPass) foundNoPlace(j *Job) bool {
	spec := j.Header.Spec
	return spec.Shape == domain.Gang && placementOf(j, p.draft).queued == spec.TaskCount
}

// teamAllows tells whether a team's limit has room for all of a gang, so that machines are
// all it waits for.
func (p *gangPass) teamAllows(spec *domain.JobSpec) bool {
	return quota.Within(p.draft.teamUsed(spec.Team).Plus(spec.Request, int64(spec.TaskCount)), p.c.cfg.Teams[spec.Team].Limit)
}

// isCachedSomewhere tells whether a machine with room for a task of the job has its image.
func (p *gangPass) isCachedSomewhere(spec *domain.JobSpec) bool {
	for i := range p.machines {
		m := &p.machines[i]
		if m.hasImage(spec.Image) && p.c.cache.fitsOn(spec, m, domain.Resources{}, p.draft) {
			return true
		}
	}
	return false
}

// machinesWithRoom are the machines of the inventory that have room for a task of any of
// the jobs.
func (c *Controller) machinesWithRoom(jobs []*Job, d *draft) []inventoryMachine {
	var requests []domain.Resources
	for _, j := range jobs {
		if !slices.Contains(requests, j.Header.Spec.Request) {
			requests = append(requests, j.Header.Spec.Request)
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

// fitsAny tells whether one of the requests fits.
func fitsAny(free domain.Resources, requests []domain.Resources) bool {
	for _, request := range requests {
		if free.Fits(request) {
			return true
		}
	}
	return false
}

// bookByLeader adds a job's bookings to the draft; false: the draft is full.
func (c *Controller) bookByLeader(d *draft, j *Job, machines []inventoryMachine, claims map[string]quotaClaim, pass PlanningPass) bool {
	spec := j.Header.Spec
	if c.isAvoided(j, 0) {
		return true
	}
	if j.isGangDone(d) {
		return c.finishGang(d, j)
	}
	placed := placementOf(j, d)
	if spec.Shape == domain.Gang && placed.queued < spec.TaskCount {
		return true // booked in this draft, or some of the old attempt are not proven off yet
	}
	if spec.Shape == domain.Gang && !c.quotaAllowsPlaced(j, d.teamUsed(spec.Team).Plus(spec.Request, int64(spec.TaskCount)), claims) {
		return true
	}
	picks := (&picker{
		c: c, draft: d, job: j, placed: placed, zones: bindingZones(j, d), machines: machines, claims: claims,
	}).choose()
	if spec.Shape == domain.Gang {
		return len(picks) < spec.TaskCount || c.bookGang(d, j, picks, pass)
	}
	for _, picked := range picks {
		if !d.hasRoomToGrow(j, picked.task) {
			c.planner.dirty = true
			return false
		}
		d.bookPick(j, picked, j.task(picked.task).Attempt+1, pass)
	}
	return true
}

// bookGang books all tasks of a gang under one attempt; false: they don't go into what
// is left of the draft, and wait for an emptier one.
func (c *Controller) bookGang(d *draft, j *Job, picks []pick, pass PlanningPass) bool {
	if !d.takesGang(j) {
		c.planner.dirty = true
		return false
	}
	attempt := j.Header.StopThrough
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	for _, picked := range picks {
		d.hasRoomToGrow(j, picked.task) // there is; asked since a job leaves a pack that is too large so
		d.bookPick(j, picked, attempt+1, pass)
	}
	return true
}

// takesGang tells whether the draft has room for all values of a gang, at their largest,
// and for conditions on them, its header, its team's share and the cordons of its machines.
func (d *draft) takesGang(j *Job) bool {
	cells, cfg := j.Header.CellCount(), &d.c.cfg
	cordonPages := min(j.Header.Spec.TaskCount, len(cfg.Nodes))
	return d.changes()+cells+1 <= d.maxChanges && d.bytes+cells*cfg.ValueLimit <= tuning.TxnBytes &&
		d.takesConditions(cells+2+cordonPages)
}

// finishGang finishes the queued tasks of a gang of which one is done, as earlier versions
// could leave them; false: the draft is full.
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

// bookPick books a task where it was picked to go.
func (d *draft) bookPick(j *Job, picked pick, attempt uint64, pass PlanningPass) {
	place := picked.machine.place()
	d.book(j, picked.task, place, attempt)
	d.recordBooking(domain.TaskID{Job: j.ID, Index: picked.task}, place, attempt, pass)
}

// pick is a task put on a machine.
type pick struct {
	task    int
	machine *inventoryMachine
}

// picker chooses machines for the queued tasks of one job that the leader places.
type picker struct {
	c        *Controller
	draft    *draft
	job      *Job
	placed   placement      // of the job, in the draft
	zones    map[string]int // its booked tasks by zone, as far as its other tasks depend on them
	machines []inventoryMachine
	claims   map[string]quotaClaim
}

// choose picks machines for as many tasks as it can: in the zone that takes most of them,
// where all must be in one.
func (p *picker) choose() []pick {
	if !p.job.Header.Spec.OneZone {
		return p.chooseIn("")
	}
	var best []pick
	for _, zone := range oneZoneChoices(p.zones, p.c.cfg.Zones) {
		if picks := p.chooseIn(zone); len(picks) > len(best) {
			best = picks
		}
	}
	return best
}

// chooseIn picks machines of one zone, or of any where none is named.
func (p *picker) chooseIn(zone string) []pick {
	d, j := p.draft, p.job
	spec := j.Header.Spec
	chosen := &placesInZone{picker: p, zone: zone, used: map[string]domain.Resources{}, byZone: maps.Clone(p.zones)}
	room := chosen.machinesWithRoom()
	used, most := d.teamUsed(spec.Team), p.most()
	for i := 0; i < spec.TaskCount && len(chosen.picks) < most; i++ {
		if j.task(i).State != domain.Queued || d.changed[domain.TaskID{Job: j.ID, Index: i}] {
			continue
		}
		if used = used.Plus(spec.Request, 1); !p.c.quotaAllowsPlaced(j, used, p.claims) {
			break
		}
		best := slices.IndexFunc(room, chosen.takes)
		if best < 0 {
			p.c.noteWait(j, WaitsForMachine, p.claims, used)
			break
		}
		chosen.add(i, room[best])
	}
	return chosen.picks
}

// most is how many further tasks of the job this plan may book.
func (p *picker) most() int {
	switch {
	case p.job.Header.Spec.Shape == domain.Gang:
		return p.job.Header.Spec.TaskCount
	case p.job.isDoubtful():
		return max(0, 1-p.placed.booked)
	}
	inDraft := p.placed.booked - p.job.counts.booked
	return max(0, tuning.MaxTasksPerPlan-max(0, inDraft))
}

// placesInZone are a job's tasks put on machines of one zone, or of any, so far.
type placesInZone struct {
	*picker
	zone   string // "": any
	picks  []pick
	used   map[string]domain.Resources // by machine
	byZone map[string]int              // the job's tasks, booked ones and these
}

// takes tells whether one more task of the job may go to a machine.
func (p *placesInZone) takes(m *inventoryMachine) bool {
	spec := p.job.Header.Spec
	if p.zone != "" && m.zone != p.zone || spreadOverZones(spec) && p.byZone[m.zone] >= mostPerZone(spec) {
		return false
	}
	return p.c.cache.fitsOn(spec, m, p.used[m.name], p.draft)
}

// machinesWithRoom are the machines that take a task, best first.
func (p *placesInZone) machinesWithRoom() []*inventoryMachine {
	var room []*inventoryMachine
	for i := range p.machines {
		if m := &p.machines[i]; p.takes(m) {
			room = append(room, m)
		}
	}
	spec := p.job.Header.Spec
	slices.SortStableFunc(room, func(a, b *inventoryMachine) int { return p.c.comparePlaces(spec, a, b) })
	return room
}

// add puts a task on a machine.
func (p *placesInZone) add(task int, m *inventoryMachine) {
	spec := p.job.Header.Spec
	p.picks = append(p.picks, pick{task: task, machine: m})
	p.used[m.name] = p.used[m.name].Plus(spec.Request, 1)
	if spreadOverZones(spec) {
		p.byZone[m.zone]++
	}
}
