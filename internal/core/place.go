package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"
)

// peerView is what another node last told.
type peerView struct {
	at       time.Duration
	epoch    uint64
	usable   bool
	load     float64
	machines []PeerMachine
	holds    map[string]bool
	evict    map[string]bool
	fit      map[fitKey]bool
}

func (c *Core) onPeer(e EvPeer) {
	m := e.Msg
	if m.Steal != nil {
		c.onSteal(e.From, m.Steal)
		return
	}
	p := &peerView{fit: map[fitKey]bool{}, at: c.now, epoch: m.Epoch, usable: m.Usable, load: m.Load, machines: m.Machines, holds: map[string]bool{}, evict: map[string]bool{}}
	for _, h := range m.Holds {
		p.holds[h] = true
	}
	for _, h := range m.Evict {
		p.evict[h] = true
	}
	c.peers[e.From] = p
}

// whole: jobs that the leader places as one.
func whole(sp *Spec) bool {
	return sp.Shape == Gang || sp.OneZone || sp.Spread || sp.N >= tuning.LargeJob
}

// kept: the leader holds the machine for whole jobs; parts queue nothing on it.
func (c *Core) kept(name string) bool {
	if c.isLeader() {
		return c.fleet.hold[name] || c.fleet.rest[name]
	}
	if c.st.view == nil {
		return false
	}
	p := c.peers[c.st.view.Leader]
	return p != nil && c.now-p.at < tuning.GangHold && p.holds[name]
}

// evicted: the leader wants the machine emptied for work of higher priority.
func (c *Core) evicted(name string) bool {
	if c.isLeader() {
		return c.fleet.evict[name]
	}
	if c.st.view == nil {
		return false
	}
	p := c.peers[c.st.view.Leader]
	return p != nil && c.now-p.at < 3*tuning.DrawEvery && p.evict[name]
}

// machNames are the machines that this node knows, in order. They change far
// less often than they are walked.
func (c *Core) machNames() []string {
	if c.names == nil {
		c.names = slices.Sorted(maps.Keys(c.mach))
	}
	return c.names
}

// addMachine and dropMachine are the only changes of the set of machines.
func (c *Core) addMachine(name string) *Machine {
	m := newMachine(name)
	c.mach[name], c.names = m, nil
	return m
}

func (c *Core) dropMachine(name string) {
	delete(c.mach, name)
	c.names = nil
}

// unplace takes a task off the queue it is in, if any.
func (c *Core) unplace(id TaskID) {
	if _, ok := c.placed[id]; !ok {
		return
	}
	delete(c.placed, id)
	if j := c.st.jobs[id.Job]; j != nil && j.queued > 0 {
		j.queued--
	}
}

func (c *Core) unplaceMachine(name string) {
	m := c.mach[name]
	if m == nil {
		return
	}
	for _, id := range m.queue {
		if c.placed[id] == name {
			c.unplace(id)
		}
	}
	m.queue = nil
}

// enqueue puts a task last in a machine's queue.
func (c *Core) enqueue(id TaskID, m *Machine) {
	c.unplace(id)
	c.placed[id] = m.Name
	m.queue = append(m.queue, id)
	c.st.jobs[id.Job].queued++
	c.dirty = true
}

// trim drops entries that left the queue.
func (c *Core) trim(m *Machine) {
	k := m.queue[:0]
	for _, id := range m.queue {
		if c.placed[id] == m.Name {
			k = append(k, id)
		}
	}
	m.queue = k
}

// runTime is the expected run time of a task, corrected by what the class
// showed so far.
func (c *Core) runTime(sp *Spec) float64 {
	e := sp.Est
	if e <= 0 {
		e = tuning.SeedRun
	}
	if r := c.runs[sp.Class]; r != nil && r.n >= 3 {
		e *= min(max(r.v, 0.25), 4)
	}
	return e
}

// load is L/mu: tasks queued and booked over the smoothed service rate of all
// slots, in seconds. Tasks that yield delay no others and don't count.
func (c *Core) load(m *Machine) float64 {
	f := c.flavor(m.Type)
	if f == nil {
		return 0
	}
	o := c.st.occ[m.Name]
	// Whole ms: sums don't depend on order.
	l, need, run := o.n-o.idle.n, o.used.Plus(o.idle.used, -1), o.run-o.idle.run
	for _, id := range m.queue {
		if c.placed[id] != m.Name {
			continue
		}
		if j := c.st.jobs[id.Job]; j != nil && j.H.Spec != nil && !yields(j.H.Spec) {
			l++
			need = need.Plus(j.H.Spec.Need, 1)
			run += int64(1000 * c.runTime(j.H.Spec))
		}
	}
	if l == 0 {
		return 0
	}
	k := int64(l)
	mean := Res{need.CPU / k, need.GPU / k, need.Mem / k}
	slots := max(f.Size.Times(mean, 64), 1)
	t := float64(run) / 1000 / float64(l)
	if m.rate.n >= 3 {
		t = (t + m.rate.v) / 2
	}
	return float64(l) * t / float64(slots)
}

func (c *Core) meanLoad() float64 {
	if c.meanAt >= 0 && c.now-c.meanAt < c.pace() {
		return c.mean
	}
	s, n := 0.0, 0
	for _, name := range c.machNames() {
		m := c.mach[name]
		if c.owns(name) && c.bookable(m) && !c.kept(name) {
			s += c.load(m)
			n++
		}
	}
	c.mean, c.meanAt = 0, c.now
	if n > 0 {
		c.mean = (s + c.poolRun) / float64(n)
	}
	return c.mean
}

// choice is a target of a draw.
type choice struct {
	name string  // machine or part
	load float64 // s
	cost float64 // s on top: the image fetch
	m    *Machine
	t    *target
}

// draw picks from the masked softmax over the given choices, which are those
// the mask left, and lets the learner gather the gradient.
func (c *Core) draw(p *policy, cs []choice) int {
	if len(cs) == 0 {
		return -1
	}
	pr := p.probs(cs)
	x := c.rng.Float64()
	k := 0
	for ; k < len(pr)-1; k++ {
		if x -= pr[k]; x < 0 {
			break
		}
	}
	p.gather(cs, pr, k)
	return k
}

// drivePlace queues this part's tasks on machines, passes and steals.
func (c *Core) drivePlace() {
	if !c.fenceOK() {
		return
	}
	if c.now-c.drawAt >= max(tuning.DrawEvery/4, c.pace()) {
		c.drawAt = c.now
		c.dirty = true
		for _, m := range c.mach {
			c.trim(m)
		}
	} else if !c.dirty {
		return
	}
	if c.now < c.placeAt {
		return
	}
	c.placeAt = c.now + c.pace()
	var mine []*Machine
	for _, name := range c.machNames() {
		m := c.mach[name]
		if c.owns(name) && c.bookable(m) && !c.kept(name) {
			mine = append(mine, m)
		} else if len(m.queue) > 0 {
			c.unplaceMachine(name)
		}
	}
	ts := make([]target, len(mine))
	for i, m := range mine {
		f := c.flavor(m.Type)
		ts[i] = target{m: m, f: f, load: c.load(m), free: c.free(m.Name, f.Size, nil), idle: c.st.occ[m.Name].idle.used,
			queued: int64(c.queueLen(m)), pend: c.coming(m)}
	}
	c.setScarce(ts)
	wide := c.wide()
	c.poolRun = 0
	room, roomy := c.newTeamRoom(), map[taskKind][]*target{}
	js := c.byUrgency()
	for _, r := range placeRounds(wide && len(ts) > 0 && ts[0].scarce) {
		for _, j := range js {
			if r.split && j.late != r.late || c.giveJob[j.ID] != "" {
				continue
			}
			home := c.homeOf(j) == c.cfg.Node
			if j.Tasks == nil && !home || wide && home && c.passJob(j, ts) {
				continue
			}
			full := false
			var cs []choice // made for the first task of the job, kept up for the others
			for i := 0; i < j.H.N && j.queued < tuning.QueuedPerJob && !(j.doubtful() && j.nB+j.queued > 0); i++ {
				id := TaskID{j.ID, i}
				t := j.task(i)
				if t.State != Queued || t.Part == "" && !home || t.Part != "" && c.partOf(j, t) != c.cfg.Node ||
					c.placed[id] != "" || c.giveTo[id] != "" {
					continue
				}
				if !full && cs == nil {
					cs = c.choices(j, c.roomy(roomy, c.kindOf(j), ts), r.cached)
				}
				if full || !room.fits(j.H.Spec) || !c.place(j, id, t, cs, ts) {
					full = true
					if r.cached {
						break
					}
					if f := c.anyFlavor(j.H.Spec); f != nil && !j.late {
						n := 1
						if wide {
							n = j.nQ - j.queued // all the others of the job
						}
						c.poolRun += float64(n) * c.runTime(j.H.Spec) / float64(max(f.Size.Times(j.H.Spec.Need, 64), 1))
					}
					if wide {
						break
					}
					continue
				}
				room.take(j.H.Spec)
			}
		}
	}
	c.stealLocal(mine)
	c.decideYields(mine)
	if c.now-c.stealAt >= tuning.DrawEvery/2 {
		c.stealAt = c.now
		c.stealRemote(mine)
	}
}

// placeRound is one walk over the jobs in their order.
type placeRound struct {
	split  bool // only jobs that are late beyond all aims, or only the others
	late   bool
	cached bool // only on machines that have the image or are fetching it
}

// placeRounds: where every slot is wanted, what can still be in time goes first,
// and within that a task whose image is there goes before one that would keep
// the slot waiting for a fetch as long as a quarter of a run.
func placeRounds(scarce bool) []placeRound {
	if !scarce {
		return []placeRound{{}}
	}
	return []placeRound{{true, false, true}, {true, false, false}, {true, true, true}, {true, true, false}}
}

// target is a machine as one round of placing sees it.
type target struct {
	m      *Machine
	f      *Flavor
	load   float64
	free   Res
	idle   Res // held by tasks that yield to all others
	queued int64
	pend   []string // images on their way or about to be
	scarce bool     // more waits than there is room for
}

// coming lists the images that a machine's tasks still wait for.
func (c *Core) coming(m *Machine) []string {
	var l []string
	add := func(id TaskID) {
		if j := c.st.jobs[id.Job]; j != nil && j.H.Spec != nil {
			im := j.H.Spec.Image
			if _, ok := m.images[im]; !ok && im != "" && !slices.Contains(l, im) {
				l = append(l, im)
			}
		}
	}
	for id := range c.st.byMach[m.Name] {
		add(id)
	}
	for _, id := range m.queue {
		if c.placed[id] == m.Name {
			add(id)
		}
	}
	return l
}

// packCost makes draws prefer fuller and cheaper machines among those where a task starts
// at once: it runs as fast on any of them, but a machine that stays empty can
// be returned, and a full one fetches each image once for many.
func (c *Core) packCost(t *target, sp *Spec, kind taskKind, cheap float64) float64 {
	all := t.f.Size.Times(sp.Need, 64)
	room := t.roomFor(kind).Times(sp.Need, 64) - t.queued
	if room <= 0 || all == 0 {
		return 0
	}
	if t.scarce {
		return 0 // no machine will stay empty, and crowding slows its fetches
	}
	price := t.f.Price
	if t.m.Spot {
		price = t.f.Spot
	}
	dear := min(price/float64(all)/cheap, tuning.DearMost)
	return c.runTime(sp) * (tuning.PackRuns*float64(room)/float64(all) + tuning.DearRuns*(dear-1))
}

// setScarce compares what waits in this part with its room, in the amount that
// its machines have least of.
func (c *Core) setScarce(ts []target) {
	var want, room Res
	for _, j := range c.st.open {
		if j.nQ > 0 && !whole(j.H.Spec) && c.homeOf(j) == c.cfg.Node {
			want = want.Plus(j.H.Spec.Need, int64(j.nQ-j.queued))
		}
	}
	for i := range ts {
		room = room.Plus(ts[i].free, 1)
	}
	scarce := 2*want.CPU > room.CPU || 2*want.GPU > room.GPU || 2*want.Mem > room.Mem
	for i := range ts {
		ts[i].scarce = scarce
	}
}

// leastPrice is the least price of a slot for a task of the job.
func (c *Core) leastPrice(sp *Spec) float64 {
	cheap := math.Inf(1)
	for i := range c.st.flavors {
		if fl := &c.st.flavors[i]; c.typeFits(sp, fl) {
			k := float64(max(fl.Size.Times(sp.Need, 64), 1))
			cheap = min(cheap, fl.Price/k)
			if sp.Spot {
				cheap = min(cheap, fl.Spot/k)
			}
		}
	}
	return cheap
}

func (c *Core) queueLen(m *Machine) int {
	n := 0
	for _, id := range m.queue {
		if c.placed[id] == m.Name {
			n++
		}
	}
	return n
}

func (c *Core) anyFlavor(sp *Spec) *Flavor {
	for i := range c.st.flavors {
		if c.typeFits(sp, &c.st.flavors[i]) {
			return &c.st.flavors[i]
		}
	}
	return nil
}

// byUrgency orders the open jobs that parts place: what a team is owed first,
// then priority, then such that as many jobs as can be meet their aims.
func (c *Core) byUrgency() []*Job {
	var l []*urgent
	before := map[string]Res{}
	for _, j := range c.st.open {
		sp := j.H.Spec
		lim := c.cfg.Teams[sp.Team].Guar
		all := before[sp.Team].Plus(sp.Need, int64(j.H.N-j.nD))
		age := (c.now - time.Duration(j.seenAt)).Seconds()
		owed := lim != (Res{}) && within(all, lim) && age <= c.cfg.GuarWait
		before[sp.Team] = all
		if j.nQ == 0 || whole(sp) || int64(c.now) < j.hold {
			continue
		}
		// The rule below lets the jobs with the most work give way; none of them
		// may do so for ever.
		if c.starves(j) {
			owed = true
		}
		x := &urgent{j: j, owed: owed, run: c.runTime(sp) + tuning.StartLag}
		x.work = float64(j.nQ) * c.runTime(sp) / c.slots(sp)
		if j.dueLen > 0 {
			// Its own deadline, or what is left of that of a job which needs it.
			left := time.Duration(j.dueAt - int64(c.now)).Seconds()
			for _, k := range c.cfg.Dues {
				x.goals = append(x.goals, left+(k-1)*j.dueLen)
			}
		}
		for _, g := range c.cfg.Goals[sp.Class] {
			x.goals = append(x.goals, g-age)
		}
		l = append(l, x)
	}
	assignTiers(l)
	sort.SliceStable(l, func(a, b int) bool {
		x, y := l[a], l[b]
		if x.owed != y.owed {
			return x.owed
		}
		if x.j.prio != y.j.prio {
			return x.j.prio > y.j.prio
		}
		if x.tier != y.tier {
			return x.tier < y.tier
		}
		return x.left() < y.left()
	})
	js := make([]*Job, 0, len(l))
	for _, x := range l {
		x.j.late = len(x.goals) > 0 && x.tier >= len(x.goals)
		if x.j.queued < min(x.j.nQ, tuning.QueuedPerJob) {
			js = append(js, x.j)
		}
	}
	return js
}

// doubtful: all tries so far failed, several times over. Such a job is tried one task
// at a time, or a mistaken one would take machines and changes from all others.
func (j *Job) doubtful() bool { return j.nD == 0 && j.errs >= tuning.DoubtAfter }

// starves: it could have begun long ago, and has nothing to show for it. A job
// whose bookings came to nothing is no better off than one that never had any.
func (c *Core) starves(j *Job) bool {
	return j.nB == 0 && j.nD == 0 && c.now-time.Duration(j.seenAt) > tuning.StarveAfter
}

// urgent is a job in the order of a pool.
type urgent struct {
	j     *Job
	owed  bool
	run   float64   // s a task
	work  float64   // s of the whole fleet
	goals []float64 // s left until each aim
	tier  int       // the aim it is put down for; len(goals): none
}

// left is the time until the aim the job is put down for; beyond all aims the
// longest tasks go first, since they make the tail.
func (x *urgent) left() float64 {
	if x.tier < len(x.goals) {
		return x.goals[x.tier]
	}
	return -x.run
}

// assignTiers puts each job down for the first aim that it can meet beside the
// others: in order of time left, and whenever one would be late, the job with
// the most work is moved on to its next aim (Moore and Hodgson's rule).
func assignTiers(l []*urgent) {
	most := 0
	for _, x := range l {
		most = max(most, len(x.goals))
	}
	t0 := 0.0
	for tier := 0; tier < most; tier++ {
		var at []*urgent
		for _, x := range l {
			if x.tier == tier && tier < len(x.goals) {
				at = append(at, x)
			}
		}
		sort.SliceStable(at, func(a, b int) bool { return at[a].left() < at[b].left() })
		t := t0
		var in []*urgent
		for _, x := range at {
			if x.run > x.goals[tier] {
				x.tier++ // too late even alone
				continue
			}
			in = append(in, x)
			t += x.work
			if t+x.run > x.goals[tier] {
				k := 0
				for i := range in {
					if in[i].work > in[k].work {
						k = i
					}
				}
				t -= in[k].work
				in[k].tier++
				in = append(in[:k], in[k+1:]...)
			}
		}
		t0 = t
	}
}

// slots is how many tasks like this the machines heard of can run at once.
func (c *Core) slots(sp *Spec) float64 {
	c.inventory()
	n := int64(0)
	for k, count := range c.kinds {
		if f := c.flavor(k.typ); f != nil && c.fits(sp, k.typ, k.zone, k.spot) {
			n += count * f.Size.Times(sp.Need, 64)
		}
	}
	return float64(max(n, 1))
}

// teamRoom is what teams may still start beside what is booked and queued
// here. Tasks that can't start would fill the small queues and keep others
// from idle machines.
type teamRoom struct {
	c      *Core
	claims map[string]claim
	used   map[string]Res
}

func (c *Core) newTeamRoom() *teamRoom {
	r := &teamRoom{c, c.claims(), map[string]Res{}}
	for n := range c.cfg.Teams {
		r.used[n] = c.teamUsed(n, nil)
	}
	for _, name := range c.machNames() {
		for _, id := range c.mach[name].queue {
			j := c.st.jobs[id.Job]
			if c.placed[id] != name || j == nil || j.H.Spec == nil {
				continue
			}
			if !r.fits(j.H.Spec) {
				c.unplace(id) // another part took the room meanwhile
				continue
			}
			r.take(j.H.Spec)
		}
	}
	return r
}

func (r *teamRoom) fits(sp *Spec) bool {
	lim, used := r.c.cfg.Teams[sp.Team].Max, r.used[sp.Team]
	if !r.c.guard(GuardQuota) {
		return true
	}
	return within(used.Plus(sp.Need, 1), lim) && r.claims[sp.Team].allows(sp, used, lim)
}

func (r *teamRoom) take(sp *Spec) { r.used[sp.Team] = r.used[sp.Team].Plus(sp.Need, 1) }

// weigh fills in what a target costs a task of the job now; false: the mask
// takes it out.
func (c *Core) weigh(x *choice, t *target, j *Job, cheap float64) bool {
	sp, kind := j.H.Spec, c.kindOf(j)
	if t.full(kind) {
		return false
	}
	x.load, x.cost = t.load, 0
	if _, ok := t.m.images[sp.Image]; !ok && t.f.Fetch > 0 && sp.Image != "" {
		// Fetches share the machine's rate: another image delays all that wait
		// there, while one already on its way is half there.
		fetch, others := sp.ImageGB/t.f.Fetch, float64(len(t.pend))
		if slices.Contains(t.pend, sp.Image) {
			x.cost = fetch * others / 2
		} else {
			x.cost = fetch * (1 + tuning.FetchShare*others)
		}
	}
	x.cost += c.packCost(t, sp, kind, cheap)
	return true
}

// taskKind is what decides whether a machine's queue takes a task.
type taskKind struct {
	need   Res
	yields bool
}

// kindOf is the kind of a job's tasks. Those of a starving job wait in queues like all
// others, or none of them might ever begin.
func (c *Core) kindOf(j *Job) taskKind {
	return taskKind{j.H.Spec.Need, yields(j.H.Spec) && !c.starves(j)}
}

// roomy are the targets whose queues still take a task of that kind. Where every
// slot is wanted these are few, while hundreds of jobs ask for them in one plan.
func (c *Core) roomy(known map[taskKind][]*target, kind taskKind, ts []target) []*target {
	l, ok := known[kind]
	if !ok {
		for i := range ts {
			if ts[i].f.Size.Holds(kind.need) {
				l = append(l, &ts[i])
			}
		}
	}
	keep := l[:0]
	for _, t := range l {
		if !t.full(kind) {
			keep = append(keep, t)
		}
	}
	known[kind] = keep
	return keep
}

// roomFor is the room that a task can have on the machine: what is free, and for
// tasks that don't yield themselves what those hold that do.
func (t *target) roomFor(kind taskKind) Res {
	if kind.yields {
		return t.free
	}
	return t.free.Plus(t.idle, 1)
}

// full: queues are small; what can't start soon waits in the part's pool, where
// the order can still change. A task that yields is queued only where it starts at
// once: waiting there it would go ahead of others that come later.
func (t *target) full(kind taskKind) bool {
	depth := int64(tuning.QueueDepth)
	if kind.yields {
		depth = 0
	}
	return t.queued >= t.roomFor(kind).Times(kind.need, 64)+depth
}

// choices are this part's machines that may take a task of the job.
func (c *Core) choices(j *Job, ts []*target, cached bool) []choice {
	sp := j.H.Spec
	cheap := c.leastPrice(sp)
	cs := []choice{}
	c.Work.Targets += len(ts)
	for _, t := range ts {
		if !c.fits(sp, t.m.Type, t.m.Zone, t.m.Spot) || t.m.failed(j) {
			continue
		}
		if _, ok := t.m.images[sp.Image]; cached && !ok && !slices.Contains(t.pend, sp.Image) {
			continue
		}
		x := choice{name: t.m.Name, m: t.m, t: t}
		if c.weigh(&x, t, j, cheap) {
			cs = append(cs, x)
		}
	}
	return cs
}

// place draws the target of one arrival. False: nothing can take it now.
func (c *Core) place(j *Job, id TaskID, t Task, all []choice, ts []target) bool {
	sp := j.H.Spec
	cs := best(all, tuning.DrawMost)
	// A task is passed once at most, so that it can't wander.
	if t.Part == "" && !c.stayed[id] && !c.wide() {
		if len(cs) == 0 {
			cs = append(cs, choice{name: c.cfg.Node, load: c.meanLoad()})
		}
		for _, n := range c.st.view.Serving {
			p := c.peers[n]
			if n == c.cfg.Node || p == nil || c.now-p.at > 3*tuning.DrawEvery {
				continue
			}
			if c.peerFits(p, sp) {
				cs = append(cs, choice{name: n, load: p.load, cost: tuning.PassCost})
			}
		}
	}
	k := c.draw(&c.learn.arrive, cs)
	if k < 0 {
		return false
	}
	if cs[k].name == c.cfg.Node {
		c.stayed[id] = true
		return false
	}
	if cs[k].m == nil {
		c.giveTo[id] = cs[k].name
		c.dirty = true
		if p := c.peers[cs[k].name]; len(p.machines) > 0 {
			p.load += c.runTime(sp) / float64(4*len(p.machines))
		}
		return true
	}
	m, x := cs[k].m, cs[k].t
	c.enqueue(id, m)
	x.queued++
	if _, ok := m.images[sp.Image]; !ok && sp.Image != "" && !slices.Contains(x.pend, sp.Image) {
		x.pend = append(x.pend, sp.Image)
	}
	x.load = c.load(m)
	cheap := c.leastPrice(sp)
	for i := range all {
		if all[i].m == m && !c.weigh(&all[i], x, j, cheap) {
			all[i].m = nil // the mask takes it out
			all[i].load, all[i].cost = math.Inf(1), 0
		}
	}
	return true
}

// wide: the parts are so large that jobs are passed and stolen whole, as long as
// none of their tasks was booked. One by one, tasks of most jobs would lie in
// parts other than the one whose value holds them, and two nodes' commits of
// one value at a time keep failing each other.
func (c *Core) wide() bool {
	n := len(c.mach)
	for _, p := range c.peers {
		n += len(p.machines)
	}
	c.countWaiting()
	return n > tuning.WideFleet || c.waitAll > tuning.WideBacklog
}

// untouched: nothing of the job was booked or handed over yet.
func untouched(j *Job) bool { return j.Tasks == nil && j.nQ == j.H.N }

// passJob draws once whether a job of which nothing could start here stays in
// this part or goes to another, each at its mean load; true: it goes. The part
// was chosen for its room a moment ago, so the job first gets a chance there.
func (c *Core) passJob(j *Job, ts []target) bool {
	sp := j.H.Spec
	if !untouched(j) || j.H.Hops > 0 || c.keepJob[j.ID] || j.queued > 0 ||
		c.now-time.Duration(j.seenAt) < tuning.StealAfter {
		return false
	}
	var cs []choice
	for i := range ts {
		if t := &ts[i]; t.f.Size.Holds(sp.Need) && c.fits(sp, t.m.Type, t.m.Zone, t.m.Spot) {
			cs = append(cs, choice{name: c.cfg.Node, load: c.meanLoad()})
			break
		}
	}
	for _, n := range c.st.view.Serving {
		if p := c.peers[n]; n != c.cfg.Node && p != nil && c.now-p.at <= 3*tuning.DrawEvery && c.peerFits(p, sp) {
			cs = append(cs, choice{name: n, load: p.load, cost: tuning.PassCost})
		}
	}
	k := c.draw(&c.learn.arrive, cs)
	if k < 0 {
		return false
	}
	c.keepJob[j.ID] = true
	to := cs[k].name
	if to == c.cfg.Node {
		return false
	}
	c.giveJob[j.ID] = to
	c.dirty = true
	if p := c.peers[to]; len(p.machines) > 0 {
		p.load += c.runTime(sp) * float64(j.H.N) / float64(4*len(p.machines))
	}
	return true
}

// peerFits: the peer has a machine that may take a task of the job. The answer
// is kept for as long as the peer's word.
func (c *Core) peerFits(p *peerView, sp *Spec) bool {
	k := fitKey{sp.Need, sp.Zone, strings.Join(sp.Types, ","), sp.Spot}
	ok, known := p.fit[k]
	if known {
		return ok
	}
	for i := range p.machines {
		pm := &p.machines[i]
		f := c.flavor(pm.Type)
		if f != nil && !pm.Recall && c.st.marks[pm.Name].State == "" && f.Size.Holds(sp.Need) &&
			c.fits(sp, pm.Type, pm.Zone, pm.Spot) && !c.kept(pm.Name) {
			ok = true
			break
		}
	}
	p.fit[k] = ok
	return ok
}

type fitKey struct {
	need        Res
	zone, types string
	spot        bool
}

// best are the k choices of least load and cost, in their order. With hundreds
// of machines a part the softmax gives the others nothing, and a draw's work
// and gradient grow with the square of the targets.
func best(all []choice, k int) []choice {
	var cs []choice
	for i := range all {
		if all[i].m != nil {
			cs = append(cs, all[i])
		}
	}
	if len(cs) <= k {
		return cs
	}
	score := make([]float64, len(cs))
	for i := range cs {
		score[i] = cs[i].load + cs[i].cost
	}
	sorted := slices.Clone(score)
	slices.Sort(sorted)
	cut := sorted[k-1]
	var l []choice
	for i := range cs {
		if score[i] <= cut && len(l) < k {
			l = append(l, cs[i])
		}
	}
	return l
}

// startable: a queued task that would fit the machine right now.
func (c *Core) startable(id TaskID, m *Machine, free Res) bool {
	j := c.st.jobs[id.Job]
	if j == nil || j.H.State != JobOpen || j.task(id.I).State != Queued || int64(c.now) < j.hold {
		return false
	}
	sp := j.H.Spec
	return free.Holds(sp.Need) && c.fits(sp, m.Type, m.Zone, m.Spot) && !m.failed(j) &&
		within(c.teamUsed(sp.Team, nil).Plus(sp.Need, 1), c.cfg.Teams[sp.Team].Max)
}

// stealLocal: a machine with idle room and an empty queue takes a waiting task
// from another queue of this part.
func (c *Core) stealLocal(mine []*Machine) {
	// Those that have to wait where they queue, at most a draw's worth of them.
	var from []*Machine
	for _, o := range mine {
		free := c.free(o.Name, c.flavor(o.Type).Size, nil)
		for _, id := range o.queue {
			if c.placed[id] != o.Name {
				continue
			}
			if free = free.Plus(c.st.jobs[id.Job].H.Spec.Need, -1); !(free.CPU >= 0 && free.GPU >= 0 && free.Mem >= 0) {
				from = append(from, o)
				break
			}
		}
		if len(from) >= tuning.DrawMost {
			break
		}
	}
	if len(from) == 0 {
		return
	}
	for _, m := range mine {
		if len(m.queue) > 0 {
			continue
		}
		free := c.free(m.Name, c.flavor(m.Type).Size, nil)
		if free.CPU == 0 {
			continue
		}
		for n := 0; n < tuning.HandoverMost; n++ {
			var cs []choice
			var take []TaskID
			for _, o := range from {
				if o == m || len(o.queue) == 0 {
					continue
				}
				of := c.free(o.Name, c.flavor(o.Type).Size, nil)
				for _, id := range o.queue {
					if c.placed[id] != o.Name {
						continue
					}
					sp := c.st.jobs[id.Job].H.Spec
					if of.Holds(sp.Need) {
						of = of.Plus(sp.Need, -1)
						continue // starts there at once
					}
					if c.startable(id, m, free) {
						cs = append(cs, choice{name: o.Name, load: c.load(o)})
						take = append(take, id)
						break
					}
				}
			}
			k := c.draw(&c.learn.steal, cs)
			if k < 0 {
				break
			}
			free = free.Plus(c.st.jobs[take[k].Job].H.Spec.Need, -1)
			c.enqueue(take[k], m)
		}
	}
}

// mayBegin tells whether one more task of a job fits its team's limit as it is used
// now, beside what others claim of it.
func (c *Core) mayBegin(sp *Spec, claims map[string]claim) bool {
	lim, used := c.cfg.Teams[sp.Team].Max, c.teamUsed(sp.Team, nil)
	return within(used.Plus(sp.Need, 1), lim) && claims[sp.Team].allows(sp, used, lim)
}

// stealRemote asks another part for tasks that fit a machine with idle room.
func (c *Core) stealRemote(mine []*Machine) {
	// Where work waits that other parts have, by kind of task.
	type lot struct {
		sp    *Spec
		parts map[string]bool
	}
	var lots []lot
	wide := c.wide()
	idle := map[option]int64{}
	for _, m := range mine {
		if len(m.queue) == 0 {
			idle[option{m.Type, m.Zone, m.Spot}]++
		}
	}
	claims := c.claims()
	for _, j := range c.st.open {
		if j.nQ == 0 || whole(j.H.Spec) || !c.mayBegin(j.H.Spec, claims) {
			continue
		}
		if wide && (!untouched(j) || c.now-time.Duration(j.seenAt) < tuning.StealAfter) {
			continue
		}
		x := lot{j.H.Spec, map[string]bool{}}
		// A job's last task may be far back, and wait in a part that has no machine.
		for i, seen := 0, 0; i < j.H.N && seen < tuning.StealLook; i++ {
			if t := j.task(i); t.State == Queued {
				seen++
				x.parts[c.partOf(j, t)] = true
			}
		}
		delete(x.parts, c.cfg.Node)
		if len(x.parts) > 0 {
			lots = append(lots, x)
		}
		if len(lots) >= tuning.StealLots {
			break
		}
	}
	if len(lots) == 0 {
		return
	}
	sent := 0
	for _, m := range mine {
		if len(m.queue) > 0 || sent >= tuning.StealMost {
			continue
		}
		free := c.free(m.Name, c.flavor(m.Type).Size, nil)
		parts := map[string]bool{}
		for _, x := range lots {
			if free.Holds(x.sp.Need) && c.fits(x.sp, m.Type, m.Zone, m.Spot) {
				maps.Copy(parts, x.parts)
			}
		}
		var cs []choice
		for _, n := range slices.Sorted(maps.Keys(parts)) {
			if p := c.peers[n]; p != nil {
				cs = append(cs, choice{name: n, load: p.load})
			}
		}
		if k := c.draw(&c.learn.steal, cs); k >= 0 {
			sent++
			most := tuning.HandoverMost
			if n := idle[option{m.Type, m.Zone, m.Spot}]; wide {
				free, most = Res{}.Plus(free, n), tuning.HandoverMost*int(n)
				sent = tuning.StealMost // one for all alike
			}
			c.emit(EfPeer{To: cs[k].name, Msg: PeerMsg{Epoch: c.st.view.Epoch, Steal: &Steal{
				Type: m.Type, Zone: m.Zone, Spot: m.Spot, Room: free, Most: most}}})
		}
	}
}

// onSteal takes tasks off the queues and lets the next commit hand them over.
func (c *Core) onSteal(from string, s *Steal) {
	if !c.fenceOK() || !slices.Contains(c.st.view.Serving, from) {
		return
	}
	room, n, claims := s.Room, 0, c.claims()
	give := func(id TaskID) {
		j := c.st.jobs[id.Job]
		if j == nil || n >= s.Most || j.H.State != JobOpen || c.giveTo[id] != "" || j.task(id.I).State != Queued ||
			int64(c.now) < j.hold {
			return
		}
		sp := j.H.Spec
		// What its team's limit or a claim on it keeps from starting would only fill
		// the room that another task could use.
		if !room.Holds(sp.Need) || !c.fits(sp, s.Type, s.Zone, s.Spot) || !c.mayBegin(sp, claims) {
			return
		}
		room = room.Plus(sp.Need, -1)
		n++
		c.giveTo[id] = from
		c.dirty = true
	}
	if c.wide() {
		for _, j := range c.st.open {
			sp := j.H.Spec
			if whole(sp) || !untouched(j) || j.queued > 0 || c.giveJob[j.ID] != "" || c.homeOf(j) != c.cfg.Node ||
				j.H.Hops >= tuning.HopsMost || !c.fits(sp, s.Type, s.Zone, s.Spot) {
				continue
			}
			if fit := room.Times(sp.Need, int64(sp.N)); 2*fit >= int64(sp.N) && n < s.Most {
				c.giveJob[j.ID] = from
				c.dirty = true
				room = room.Plus(sp.Need, -fit)
				n += sp.N
			}
		}
		return
	}
	// Unplaced ones first, then those that can't start where they queue.
	for _, j := range c.st.open {
		if j.nQ == 0 || whole(j.H.Spec) || j.queued >= j.nQ || n >= s.Most {
			continue
		}
		for i := 0; i < j.H.N; i++ {
			id := TaskID{j.ID, i}
			if t := j.task(i); t.State == Queued && c.placed[id] == "" && c.partOf(j, t) == c.cfg.Node {
				give(id)
			}
		}
	}
	for _, name := range c.machNames() {
		m := c.mach[name]
		f := c.flavor(m.Type)
		if len(m.queue) == 0 || f == nil {
			continue
		}
		free := c.free(name, f.Size, nil)
		for _, id := range m.queue {
			if c.placed[id] != name {
				continue
			}
			if sp := c.st.jobs[id.Job].H.Spec; free.Holds(sp.Need) {
				free = free.Plus(sp.Need, -1)
				continue
			}
			give(id)
		}
	}
}

// roomiest is the part with the most room for a job: slots free, else the
// least load.
func (c *Core) roomiest(sp *Spec) string {
	room, slots := map[string]int64{}, map[string]int64{}
	for _, m := range c.inventory() {
		if f := c.flavor(m.typ); f != nil && c.fits(sp, m.typ, m.zone, m.spot) && !c.kept(m.name) {
			free := c.free(m.name, f.Size, nil)
			if !yields(sp) {
				free = free.Plus(c.st.occ[m.name].idle.used, 1)
			}
			room[m.owner] += free.Times(sp.Need, int64(sp.N))
			slots[m.owner] += f.Size.Times(sp.Need, 64)
		}
	}
	best, bestV := c.cfg.Node, math.Inf(-1)
	for _, n := range c.st.view.Serving {
		load := 0.0
		if n == c.cfg.Node {
			load = c.meanLoad()
		} else if p := c.peers[n]; p != nil {
			load = p.load
		}
		// What waits there is not in the bookings yet. Parts without room are
		// compared by what waits for each of their slots: otherwise all jobs
		// would go to the one whose backlog happens to be shortest.
		left := room[n] - c.sentTo(n, sp)
		v := float64(min(left, int64(sp.N)))*1000 - load
		if c.wide() {
			v = float64(left) / float64(max(slots[n], 1))
			if left >= int64(sp.N) {
				// Several parts have room for all of it. By load alone every node would
				// send all small jobs to the same one for seconds, and that one has
				// only its own part of the changes to book them with.
				v = 1e6 - float64(c.sentTo(n, sp)) + float64(hash64(sp.ID, n)%1000)/1000
			}
		}
		if v > bestV {
			best, bestV = n, v
		}
	}
	return best
}

// sentTo counts the tasks that wait in a part and go ahead of those of a job, or may:
// not those of jobs late beyond all aims, and not those that yield to it. Counted
// with these, the parts that a guest's idle work was sent to got no other work for
// minutes, and a fifth of the machines ran nothing else.
func (c *Core) sentTo(part string, sp *Spec) int64 {
	c.countWaiting()
	n := c.waitIn[part]
	if yields(sp) {
		n += c.waitIdle[part]
	}
	return n
}

// countWaiting sums up the tasks of open jobs that wait, by part.
func (c *Core) countWaiting() {
	if c.waitAt >= 0 && c.now-c.waitAt <= c.pace()/2 {
		return
	}
	c.waitAt = c.now
	c.waitIn, c.waitIdle, c.waitAll = map[string]int64{}, map[string]int64{}, 0
	for _, j := range c.st.open {
		if j.nQ == 0 || whole(j.H.Spec) {
			continue
		}
		c.waitAll += int64(j.nQ)
		switch {
		case yields(j.H.Spec):
			c.waitIdle[c.homeOf(j)] += int64(j.nQ)
		case !j.late:
			c.waitIn[c.homeOf(j)] += int64(j.nQ)
		}
	}
}

// inv is a machine that some node hears.
type inv struct {
	name, addr, typ, zone, owner string
	spot                         bool
	shift                        uint64
	own                          map[string]time.Duration // images, of own machines
	told                         []string                 // images, of others'
}

func (m *inv) has(image string) bool {
	if m.own != nil {
		_, ok := m.own[image]
		return ok
	}
	return slices.Contains(m.told, image)
}

// inventory lists the machines that take bookings, own ones and those that
// peers told of lately; the leader's is sorted by name. It is kept for as long as the pace of
// planning: what it says of others is older anyway, and a booking for a session
// or a mark that changed meanwhile is never carried out.
func (c *Core) inventory() []inv {
	if c.invAt >= 0 && c.now-c.invAt < c.pace() && c.invEpoch == c.st.view.Epoch {
		return c.inv
	}
	l := make([]inv, 0, len(c.inv)+16)
	for name, m := range c.mach {
		if c.bookable(m) && c.owns(name) {
			l = append(l, inv{name, m.Addr, m.Type, m.Zone, c.cfg.Node, m.Spot, m.shift, m.images, nil})
		}
	}
	for n, p := range c.peers {
		if c.now-p.at > 4*tuning.DrawEvery || n == c.cfg.Node {
			continue
		}
		for i := range p.machines {
			m := &p.machines[i]
			if m.Recall || c.st.marks[m.Name].State != "" || c.ownerIn(m.Name, m.Zone) != n {
				continue
			}
			l = append(l, inv{m.Name, m.Addr, m.Type, m.Zone, n, m.Spot, m.Shift, nil, m.Images})
		}
	}
	// Only the leader chooses among them; the others sum them up.
	if c.isLeader() {
		slices.SortFunc(l, func(a, b inv) int { return cmp.Compare(a.name, b.name) })
	}
	c.inv, c.invAt, c.invEpoch = l, c.now, c.st.view.Epoch
	// Slots by kind of machine, for estimates.
	c.kinds = map[option]int64{}
	for i := range l {
		if !c.kept(l[i].name) {
			c.kinds[option{l[i].typ, l[i].zone, l[i].spot}]++
		}
	}
	return l
}

// pace is the least time between two plans, and between two walks over all
// machines: both take time in proportion to their number, and a node has a
// small part of a processor.
func (c *Core) pace() time.Duration {
	n := len(c.mach)
	for _, p := range c.peers {
		n += len(p.machines)
	}
	return min(tuning.PaceMost, time.Duration(n)*tuning.PaceMachine)
}

// tellPeers sends this node's machines and loads, and whether the state service
// answers it.
func (c *Core) tellPeers() {
	if c.now < c.tellAt || c.st.view == nil {
		return
	}
	c.tellAt = c.now + max(tuning.DrawEvery/4, 2*c.pace())
	msg := PeerMsg{Epoch: c.st.view.Epoch, Load: c.meanLoad(), Usable: c.usable()}
	acting := c.fenceOK()
	for _, name := range c.machNames() {
		m := c.mach[name]
		if !acting || !c.owns(name) || !m.heardOnce || c.now-m.heard > tuning.Silent || c.st.marks[name].State == MarkGone ||
			m.shift <= m.deadShift {
			continue
		}
		msg.Machines = append(msg.Machines, PeerMachine{
			Name: name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Recall: m.recallAt >= 0 || !c.bookable(m), Shift: m.shift, Load: c.load(m),
			Images: slices.Sorted(maps.Keys(m.images)),
		})
	}
	if c.isLeader() {
		both := maps.Clone(c.fleet.hold)
		maps.Copy(both, c.fleet.rest)
		msg.Holds = slices.Sorted(maps.Keys(both))
		msg.Evict = slices.Sorted(maps.Keys(c.fleet.evict))
	}
	for _, n := range c.cfg.Nodes {
		if n != c.cfg.Node {
			c.emit(EfPeer{To: n, Msg: msg})
		}
	}
}
