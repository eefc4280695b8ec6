package core

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"
)

// planGangs books the jobs that the leader places whole: gangs at once or not
// at all, the others task by task within their zone rules.
func (c *Core) planGangs(d *draft) {
	if !c.isLeader() {
		return
	}
	js := c.waitingJobs(holdsMachines)
	if len(js) == 0 {
		return
	}
	sort.SliceStable(js, func(a, b int) bool {
		x, y := js[a], js[b]
		if ox, oy := c.owed(x.H.Spec, d), c.owed(y.H.Spec, d); ox != oy {
			return ox
		}
		return x.prio > y.prio
	})
	ms, claims := c.wholeRoom(js, d), c.claims(d)
	// First those whose image is on a machine with room: a fetch takes a good
	// part of a run, and holds the team's limit as long. Of jobs alike, none is
	// tried once one found no place: at size most of those waiting are alike.
	type kind struct {
		team, zone, types string
		need              Res
		n                 int
		spot, one, spread bool
	}
	blocked := false
	for _, j := range js {
		age := c.now - time.Duration(j.seenAt)
		blocked = blocked || j.H.Spec.N > 1 && age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock
	}
	for _, pass := range [2]PlanningPass{PassCached, PassAny} {
		cached := pass == PassCached
		if cached && blocked {
			continue // strictly in order
		}
		failed, waits := map[kind]bool{}, map[string]bool{}
		for _, j := range js {
			sp := j.H.Spec
			k := kind{sp.Team, sp.Zone, strings.Join(sp.Types, ","), sp.Need, sp.N, sp.Spot, sp.OneZone, sp.Spread}
			if failed[k] || waits[sp.Team] || cached && !c.cachedSomewhere(d, sp, ms) {
				continue
			}
			before := len(d.changed)
			if !c.bookWhole(d, j, ms, claims, pass) {
				return
			}
			if len(d.changed) == before && sp.Shape == Gang && c.placementOf(j, d).queued == sp.N {
				failed[k] = true
				// A large gang needs several machines at once, and smaller ones that
				// came later would take each as it falls free: for a while they wait.
				age := c.now - time.Duration(j.seenAt)
				if !cached && sp.N > 1 && age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock {
					if within(d.teamUsed(sp.Team).Plus(sp.Need, int64(sp.N)), c.cfg.Teams[sp.Team].Max) {
						return
					}
					waits[sp.Team] = true // it is its team's limit that must come free
				}
			}
		}
	}
}

// wholeRoom is the part of the inventory that has room for a task of any of
// the jobs.
func (c *Core) wholeRoom(js []*Job, d *draft) []inv {
	var needs []Res
	for _, j := range js {
		if !slices.Contains(needs, j.H.Spec.Need) {
			needs = append(needs, j.H.Spec.Need)
		}
	}
	var l []inv
	for _, m := range c.inventory() {
		f := c.flavor(m.typ)
		if f == nil || c.st.marks[m.name].State != "" {
			continue
		}
		free := c.free(m.name, f.Size, d)
		for _, n := range needs {
			if free.Holds(n) {
				l = append(l, m)
				break
			}
		}
	}
	return l
}

func (c *Core) cachedSomewhere(d *draft, sp *Spec, ms []inv) bool {
	for _, m := range ms {
		if f := c.flavor(m.typ); f != nil && m.has(sp.Image) && c.fits(sp, m.typ, m.zone, m.spot) &&
			c.free(m.name, f.Size, d).Holds(sp.Need) {
			return true
		}
	}
	return false
}

// pick is a task put on a machine.
type pick struct {
	i int
	m inv
}

// picker chooses machines for the queued tasks of one job that is placed whole.
type picker struct {
	c        *Core
	d        *draft
	j        *Job
	at       placement      // of the job, in the draft
	zones    map[string]int // its booked tasks by zone, as far as its other tasks depend on them
	machines []inv
	claims   map[string]claim
}

// choose picks machines for as many tasks as it can: in the zone that takes most of them,
// where all must be in one.
func (p *picker) choose() []pick {
	if !p.j.H.Spec.OneZone {
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
	c, d, j, sp := p.c, p.d, p.j, p.j.H.Spec
	var picks []pick
	used, byZone, spread := map[string]Res{}, maps.Clone(p.zones), spreadOverZones(sp)
	fits := func(m inv) bool {
		if zone != "" && m.zone != zone || spread && byZone[m.zone] >= mostPerZone(sp) {
			return false
		}
		f := c.flavor(m.typ)
		return f != nil && c.fits(sp, m.typ, m.zone, m.spot) &&
			c.free(m.name, f.Size, d).Plus(used[m.name], -1).Holds(sp.Need)
	}
	var room []inv
	for _, m := range p.machines {
		if fits(m) {
			room = append(room, m)
		}
	}
	slices.SortStableFunc(room, func(a, b inv) int { return c.comparePlaces(sp, &a, &b) })
	team, most := d.teamUsed(sp.Team), p.most()
	for i := 0; i < sp.N && len(picks) < most; i++ {
		if j.task(i).State != Queued || d.changed[TaskID{j.ID, i}] {
			continue
		}
		if team = team.Plus(sp.Need, 1); !c.wholeAllowed(sp, team, p.claims) {
			break
		}
		k := slices.IndexFunc(room, fits)
		if k < 0 {
			break
		}
		m := room[k]
		picks = append(picks, pick{i, m})
		used[m.name] = used[m.name].Plus(sp.Need, 1)
		if spread {
			byZone[m.zone]++
		}
	}
	return picks
}

// most is how many further tasks of the job this plan may book.
func (p *picker) most() int {
	switch {
	case p.j.H.Spec.Shape == Gang:
		return p.j.H.Spec.N
	case p.j.doubtful():
		return max(0, 1-p.at.booked)
	}
	inDraft := p.at.booked - p.j.counts.booked
	return max(0, tuning.TasksAtOnce-max(0, inDraft))
}

// bookWhole adds a job's bookings to the draft; false: the draft is full.
func (c *Core) bookWhole(d *draft, j *Job, machines []inv, claims map[string]claim, pass PlanningPass) bool {
	sp := j.H.Spec
	if c.isAvoided(j, 0) {
		return true
	}
	if c.gangDone(j, d) {
		return c.finishGang(d, j)
	}
	at := c.placementOf(j, d)
	if sp.Shape == Gang && at.queued < sp.N {
		return true // booked in this draft, or some of the old attempt are not proven off yet
	}
	p := &picker{c, d, j, at, c.bindingZones(j, d), machines, claims}
	picks := p.choose()
	if sp.Shape == Gang {
		return len(picks) < sp.N || c.bookGang(d, j, picks, pass)
	}
	for _, x := range picks {
		if !d.room(j, x.i, false, true) {
			c.dirty = true
			return false
		}
		d.bookPick(j, x, j.task(x.i).Attempt+1, pass)
	}
	return true
}

// bookGang books all tasks of a gang under one attempt; false: they don't go into what
// is left of the draft, and wait for an emptier one.
func (c *Core) bookGang(d *draft, j *Job, picks []pick, pass PlanningPass) bool {
	sp, attempt := j.H.Spec, j.H.Halt
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	cells := j.cells()
	if d.ops()+cells+1 > d.most || d.bytes+cells*c.cfg.ValueB > tuning.TxnBytes ||
		len(d.conds)+cells+2+min(sp.N, len(c.cfg.Nodes)) > 4*c.cfg.TxnOps {
		c.dirty = true
		return false
	}
	for _, x := range picks {
		d.room(j, x.i, false, true) // a value that is too large is left with this change
		d.bookPick(j, x, attempt+1, pass)
	}
	return true
}

// finishGang finishes the queued tasks of a gang of which one is done, as earlier versions
// could leave them; false: the draft is full.
func (c *Core) finishGang(d *draft, j *Job) bool {
	for i := 0; i < j.H.N; i++ {
		if d.peek(j, i).State != Queued {
			continue
		}
		if !d.room(j, i, true, false) {
			c.dirty = true
			return false
		}
		d.finish(j, i)
	}
	return true
}

// bookPick books a task where it was picked to go.
func (d *draft) bookPick(j *Job, x pick, attempt uint64, pass PlanningPass) {
	d.book(j, x.i, x.m.name, x.m.zone, x.m.shift, attempt)
	d.noteBooking(TaskID{j.ID, x.i}, x.m.name, x.m.zone, attempt, pass)
}
