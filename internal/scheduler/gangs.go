package scheduler

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// planGangs books the jobs that the leader places whole: gangs at once or not
// at all, the others task by task within their zone rules.
func (c *Controller) planGangs(d *draft) {
	if !c.isLeader() {
		return
	}
	js := c.waitingJobs(reservesMachines)
	if len(js) == 0 {
		return
	}
	sort.SliceStable(js, func(a, b int) bool {
		x, y := js[a], js[b]
		if ox, oy := c.withinGuarantee(x.Header.Spec, d), c.withinGuarantee(y.Header.Spec, d); ox != oy {
			return ox
		}
		return x.priority > y.priority
	})
	ms, claims := c.machinesWithRoom(js, d), c.claims(d)
	// First those whose image is on a machine with room: a fetch takes a good
	// part of a run, and holds the team's limit as long. Of jobs alike, none is
	// tried once one found no place: at size most of those waiting are alike.
	type kind struct {
		team, zone, types string
		need              domain.Resources
		n                 int
		spot, one, spread bool
	}
	blocked := false
	for _, j := range js {
		age := c.now - time.Duration(j.readyAt)
		blocked = blocked || j.Header.Spec.TaskCount > 1 && age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock
	}
	for _, pass := range [2]PlanningPass{PassCached, PassAny} {
		cached := pass == PassCached
		if cached && blocked {
			continue // strictly in order
		}
		failed, waits := map[kind]bool{}, map[string]bool{}
		for _, j := range js {
			sp := j.Header.Spec
			k := kind{sp.Team, sp.Zone, strings.Join(sp.MachineTypes, ","), sp.Request, sp.TaskCount, sp.Spot, sp.OneZone, sp.Spread}
			if failed[k] || waits[sp.Team] || cached && !c.cachedSomewhere(d, sp, ms) {
				continue
			}
			before := len(d.changed)
			if !c.bookByLeader(d, j, ms, claims, pass) {
				return
			}
			if len(d.changed) == before && sp.Shape == domain.Gang && c.placementOf(j, d).queued == sp.TaskCount {
				failed[k] = true
				// A large gang needs several machines at once, and smaller ones that
				// came later would take each as it falls free: for a while they wait.
				age := c.now - time.Duration(j.readyAt)
				if !cached && sp.TaskCount > 1 && age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock {
					if withinLimit(d.teamUsed(sp.Team).Plus(sp.Request, int64(sp.TaskCount)), c.cfg.Teams[sp.Team].Limit) {
						return
					}
					waits[sp.Team] = true // it is its team's limit that must come free
				}
			}
		}
	}
}

// machinesWithRoom is the part of the inventory that has room for a task of any of
// the jobs.
func (c *Controller) machinesWithRoom(js []*Job, d *draft) []inventoryMachine {
	var needs []domain.Resources
	for _, j := range js {
		if !slices.Contains(needs, j.Header.Spec.Request) {
			needs = append(needs, j.Header.Spec.Request)
		}
	}
	var l []inventoryMachine
	for _, m := range c.inventory() {
		f := c.machineType(m.machineType)
		if f == nil || c.cache.cordons[m.name].State != "" {
			continue
		}
		free := c.freeOn(m.name, f.Capacity, d)
		for _, n := range needs {
			if free.Fits(n) {
				l = append(l, m)
				break
			}
		}
	}
	return l
}

func (c *Controller) cachedSomewhere(d *draft, sp *domain.JobSpec, ms []inventoryMachine) bool {
	for _, m := range ms {
		if f := c.machineType(m.machineType); f != nil && m.hasImage(sp.Image) && c.allowsMachine(sp, m.machineType, m.zone, m.spot) &&
			c.freeOn(m.name, f.Capacity, d).Fits(sp.Request) {
			return true
		}
	}
	return false
}

// pick is a task put on a machine.
type pick struct {
	task    int
	machine inventoryMachine
}

// picker chooses machines for the queued tasks of one job that is placed whole.
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
	c, d, j, sp := p.c, p.draft, p.job, p.job.Header.Spec
	var picks []pick
	used, byZone, spread := map[string]domain.Resources{}, maps.Clone(p.zones), spreadOverZones(sp)
	fits := func(m inventoryMachine) bool {
		if zone != "" && m.zone != zone || spread && byZone[m.zone] >= mostPerZone(sp) {
			return false
		}
		f := c.machineType(m.machineType)
		return f != nil && c.allowsMachine(sp, m.machineType, m.zone, m.spot) &&
			c.freeOn(m.name, f.Capacity, d).Plus(used[m.name], -1).Fits(sp.Request)
	}
	var room []inventoryMachine
	for _, m := range p.machines {
		if fits(m) {
			room = append(room, m)
		}
	}
	slices.SortStableFunc(room, func(a, b inventoryMachine) int { return c.comparePlaces(sp, &a, &b) })
	team, most := d.teamUsed(sp.Team), p.most()
	for i := 0; i < sp.TaskCount && len(picks) < most; i++ {
		if j.task(i).State != domain.Queued || d.changed[domain.TaskID{Job: j.ID, Index: i}] {
			continue
		}
		if team = team.Plus(sp.Request, 1); !c.quotaAllowsPlaced(sp, team, p.claims) {
			break
		}
		k := slices.IndexFunc(room, fits)
		if k < 0 {
			break
		}
		m := room[k]
		picks = append(picks, pick{i, m})
		used[m.name] = used[m.name].Plus(sp.Request, 1)
		if spread {
			byZone[m.zone]++
		}
	}
	return picks
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
	return max(0, tuning.TasksAtOnce-max(0, inDraft))
}

// bookByLeader adds a job's bookings to the draft; false: the draft is full.
func (c *Controller) bookByLeader(d *draft, j *Job, machines []inventoryMachine, claims map[string]quotaClaim, pass PlanningPass) bool {
	sp := j.Header.Spec
	if c.isAvoided(j, 0) {
		return true
	}
	if c.gangDone(j, d) {
		return c.finishGang(d, j)
	}
	at := c.placementOf(j, d)
	if sp.Shape == domain.Gang && at.queued < sp.TaskCount {
		return true // booked in this draft, or some of the old attempt are not proven off yet
	}
	p := &picker{c, d, j, at, c.bindingZones(j, d), machines, claims}
	picks := p.choose()
	if sp.Shape == domain.Gang {
		return len(picks) < sp.TaskCount || c.bookGang(d, j, picks, pass)
	}
	for _, x := range picks {
		if !d.hasRoomFor(j, x.task, false, true) {
			c.planner.dirty = true
			return false
		}
		d.bookPick(j, x, j.task(x.task).Attempt+1, pass)
	}
	return true
}

// bookGang books all tasks of a gang under one attempt; false: they don't go into what
// is left of the draft, and wait for an emptier one.
func (c *Controller) bookGang(d *draft, j *Job, picks []pick, pass PlanningPass) bool {
	sp, attempt := j.Header.Spec, j.Header.StopThrough
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	cells := j.cells()
	if d.changes()+cells+1 > d.maxChanges || d.bytes+cells*c.cfg.ValueLimit > tuning.TxnBytes ||
		len(d.conditions)+cells+2+min(sp.TaskCount, len(c.cfg.Nodes)) > 4*c.cfg.TransactionLimit {
		c.planner.dirty = true
		return false
	}
	for _, x := range picks {
		d.hasRoomFor(j, x.task, false, true) // a value that is too large is left with this change
		d.bookPick(j, x, attempt+1, pass)
	}
	return true
}

// finishGang finishes the queued tasks of a gang of which one is done, as earlier versions
// could leave them; false: the draft is full.
func (c *Controller) finishGang(d *draft, j *Job) bool {
	for i := 0; i < j.Header.TaskCount; i++ {
		if d.peek(j, i).State != domain.Queued {
			continue
		}
		if !d.hasRoomFor(j, i, true, false) {
			c.planner.dirty = true
			return false
		}
		d.finish(j, i)
	}
	return true
}

// bookPick books a task where it was picked to go.
func (d *draft) bookPick(j *Job, x pick, attempt uint64, pass PlanningPass) {
	d.book(j, x.task, x.machine.name, x.machine.zone, x.machine.agentEpoch, attempt)
	d.recordBooking(domain.TaskID{Job: j.ID, Index: x.task}, x.machine.name, x.machine.zone, attempt, pass)
}
