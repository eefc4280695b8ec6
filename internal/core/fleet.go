package core

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"brassglade/internal/tuning"
)

// option is a kind of machine that can be rented.
type option struct {
	typ, zone string
	spot      bool
}

type pause struct {
	till time.Duration
	n    int
}

// fleet is the leader's care for machines. All of it is rebuilt from the
// cloud's list and the cache by a new leader.
type fleet struct {
	list      map[string]Inst
	listed    bool
	listing   bool
	listSent  time.Duration
	listAt    time.Duration
	born      map[string]Inst          // rented, not yet listed
	bornAt    map[string]time.Duration // when first known here
	hireN     int
	renting   map[string]rent
	pauses    map[option]pause
	returning bool
	backoff   time.Duration
	hold      map[string]bool
	evict     map[string]bool
	ranWhole  map[string]time.Duration // when a whole job was last seen there
	rest      map[string]bool          // no new tasks: the cheaper machines suffice
	idle      map[string]time.Duration
	decideAt  time.Duration
	flavAt    time.Duration
	flavBusy  bool
	tellAt    time.Duration
	unheard   map[string]time.Duration
	zoneDown  map[string]time.Duration // since when most of a zone's machines are unheard
	wholeSeen map[string]wholeSeen
	wholeRate map[string]float64 // tasks a second that came lately, by class
}

type wholeSeen struct {
	sp *Spec
	at time.Duration
}

type rent struct {
	e  EfRent
	at time.Duration
}

func (f *fleet) init() { f.reset(0) }

func (f *fleet) reset(time.Duration) {
	n := f.hireN
	*f = fleet{
		list: map[string]Inst{}, born: map[string]Inst{}, bornAt: map[string]time.Duration{}, hireN: n,
		renting: map[string]rent{}, pauses: map[option]pause{}, hold: map[string]bool{}, evict: map[string]bool{}, unheard: map[string]time.Duration{}, zoneDown: map[string]time.Duration{}, ranWhole: map[string]time.Duration{}, rest: map[string]bool{},
		idle: map[string]time.Duration{}, wholeSeen: map[string]wholeSeen{},
	}
}

func (c *Core) driveFleet() {
	f := &c.fleet
	if !c.fenceOK() || !c.isLeader() {
		return
	}
	if !f.flavBusy && c.now >= f.flavAt {
		f.flavBusy = true
		c.emit(EfFlavors{})
	}
	if len(c.st.flavors) == 0 {
		return
	}
	if !f.listing && c.now >= f.listAt {
		f.listing, f.listSent = true, c.now
		c.emit(EfList{})
	}
	if c.now < f.decideAt {
		return
	}
	f.decideAt = c.now + max(tuning.FleetEvery, 2*c.pace())
	c.decideReturns()
	if f.listed {
		ms, pend := c.machines(), c.pending()
		c.decideMarks(ms, pend)
		c.decideHolds(ms, pend)
		c.decideRest(ms, pend)
		c.decideRents(ms, pend)
	}
}

func (c *Core) onFlavors(e EvFlavors) {
	f := &c.fleet
	f.flavBusy = false
	if !e.OK {
		f.flavAt = c.now + 3*time.Second
		return
	}
	f.flavAt = c.now + tuning.FlavorsEvery
	if c.isLeader() && string(enc(e.F)) != string(enc(c.st.flavors)) {
		c.commit(LaneUser, Txn{
			When:  []Cond{{keyView, c.st.stamps[keyView]}},
			Apply: c.flavorPages(e.F),
		}, func(r CommitResult, _ EvCommit) {
			if r != Committed {
				c.fleet.flavAt = c.now + time.Second
			}
		})
	}
}

// flavorPages are the values that the types go into: one, or where they would not
// fit a smaller bound, several, once all controllers read those.
func (c *Core) flavorPages(fs []Flavor) []Put {
	if b := enc(Flavors{F: fs}); len(b) <= c.cfg.ValueB || !c.formatOn() && len(b) <= c.bound() {
		return []Put{{Key: keyFlavors, Value: b}}
	}
	var pages []Flavors
	for _, f := range fs {
		n := len(pages)
		if n > 0 {
			if p := append(slices.Clone(pages[n-1].F), f); len(enc(Flavors{F: p, More: 99})) <= c.cfg.ValueB {
				pages[n-1].F = p
				continue
			}
		}
		pages = append(pages, Flavors{F: []Flavor{f}})
	}
	if n := len(pages); n > c.cfg.TxnOps {
		c.log(0, "too many machine types", "pages", n)
		pages = pages[:c.cfg.TxnOps]
	}
	pages[0].More = len(pages) - 1
	var puts []Put
	for i, p := range pages {
		key := keyFlavors
		if i > 0 {
			key = preFlavors + strconv.Itoa(i)
		}
		puts = append(puts, Put{Key: key, Value: enc(p)})
	}
	return puts
}

// applyFlavors takes a page of types.
func (c *Core) applyFlavors(key string, f Flavors) {
	c.st.flavorPages[key] = f
	first := c.st.flavorPages[keyFlavors]
	c.st.flavors = slices.Clone(first.F)
	for i := 1; i <= first.More; i++ {
		c.st.flavors = append(c.st.flavors, c.st.flavorPages[preFlavors+strconv.Itoa(i)].F...)
	}
}

func (c *Core) onList(e EvList) {
	f := &c.fleet
	f.listing = false
	f.listAt = c.now + tuning.ListEvery
	if !e.OK {
		return
	}
	f.listed = true
	f.list = map[string]Inst{}
	for _, i := range e.L {
		f.list[i.Name] = i
		delete(f.born, i.Name)
		if _, ok := f.bornAt[i.Name]; !ok {
			f.bornAt[i.Name] = c.now - time.Duration(i.Held*float64(time.Second))
		}
	}
	for n := range f.bornAt {
		_, l := f.list[n]
		_, b := f.born[n]
		if !l && !b && c.now-f.bornAt[n] > 5*time.Minute {
			delete(f.bornAt, n)
			delete(f.idle, n)
		}
	}
}

// known is a machine that the leader counts on or has to care for.
type known struct {
	Inst
	up   bool
	mark MachineMark
	free Res
	busy int
}

// machines joins list, own rentals and what the nodes hear.
func (c *Core) machines() []known {
	f := &c.fleet
	all := map[string]*known{}
	for n, i := range f.list {
		all[n] = &known{Inst: i}
	}
	for n, i := range f.born {
		if c.now-f.bornAt[n] > 2*time.Minute+2*c.cfg.ListLag && all[n] == nil {
			delete(f.born, n) // never listed: gone again
			continue
		}
		if all[n] == nil {
			all[n] = &known{Inst: i}
		}
	}
	for _, i := range c.inventory() {
		k := all[i.name]
		if k == nil {
			k = &known{Inst: Inst{Name: i.name, Addr: i.addr, Type: i.typ, Zone: i.zone, Spot: i.spot, Status: "running"}}
			all[i.name] = k
		}
		k.up = true
		if _, ok := f.bornAt[i.name]; !ok {
			f.bornAt[i.name] = c.now
		}
	}
	var l []known
	for n, k := range all {
		k.mark = c.st.marks[n]
		if k.mark.State == MarkGone {
			continue
		}
		fl := c.flavor(k.Type)
		if fl == nil {
			continue
		}
		k.free = c.free(n, fl.Size, nil)
		k.busy = len(c.st.byMach[n])
		l = append(l, *k)
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Name < l[b].Name })
	return l
}

// decideReturns returns drained machines; only after the cloud's 200 a machine
// is marked gone, which proves its tasks off.
func (c *Core) decideReturns() {
	f := &c.fleet
	if f.returning || c.now < f.backoff {
		return
	}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.st.marks)) {
		m := c.st.marks[n]
		if _, gone := c.wantMark[n]; m.State != MarkDrain || gone || c.st.ledger < c.st.stamps[preMach+c.markHome(n)] {
			continue
		}
		if (m.Why == WhyIdle || m.Why == WhySick) && len(c.st.byMach[n]) > 0 {
			continue
		}
		if len(names) < tuning.ReturnMost {
			names = append(names, n)
		}
	}
	if len(names) > 0 {
		f.returning = true
		c.emit(EfReturn{Names: names})
	}
}

func (c *Core) onReturned(e EvReturned) {
	f := &c.fleet
	f.returning = false
	if !e.OK {
		f.backoff = c.now + 2*time.Second
		return
	}
	for _, n := range e.Names {
		c.mark(n, MachineMark{State: MarkGone})
	}
	c.log(1, "machines returned", "names", e.Names)
}

// decideMarks drains what is failed, stuck or idle for long.
func (c *Core) decideMarks(ms []known, pend []need) {
	f := &c.fleet
	fresh, leaving := c.peersFresh(), c.leaving()
	// A zone of which most machines are unheard is cut off for now, and its
	// machines get their time anew when they can be heard again.
	up, down, cut := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, k := range ms {
		if k.up {
			up[k.Zone]++
		} else if k.Status == "running" {
			down[k.Zone]++
		}
	}
	for _, z := range c.cfg.Zones {
		if down[z] <= up[z] || down[z] <= tuning.SilentFew {
			delete(f.zoneDown, z)
		} else if since, ok := f.zoneDown[z]; !ok {
			f.zoneDown[z], cut[z] = c.now, true
		} else {
			cut[z] = c.now-since < tuning.UnheardCut
		}
	}
	for _, k := range ms {
		fl := c.flavor(k.Type)
		age := c.now - f.bornAt[k.Name]
		if k.mark.State != "" {
			continue
		}
		if k.busy > 0 || !k.up {
			delete(f.idle, k.Name)
		} else if _, ok := f.idle[k.Name]; !ok {
			f.idle[k.Name] = c.now
		}
		// A running machine that nobody hears, though every node is heard.
		unheard := fresh && k.Status == "running" && !k.up && k.busy == 0 && !leaving[k.Name] && !cut[k.Zone]
		if !unheard {
			delete(f.unheard, k.Name)
		} else if _, ok := f.unheard[k.Name]; !ok {
			f.unheard[k.Name] = c.now
		}
		switch {
		case k.Status == "failed":
			c.mark(k.Name, MachineMark{MarkDrain, WhyFailed})
		case k.Status == "booting" && !k.up && age > time.Duration(tuning.BootPatience*fl.BootS*float64(time.Second)):
			c.mark(k.Name, MachineMark{MarkDrain, WhyStuck})
		case unheard && c.now-f.unheard[k.Name] > tuning.UnheardPatience:
			c.mark(k.Name, MachineMark{MarkDrain, WhyStuck})
		case k.up && k.busy == 0 && age > tuning.MinHeld:
			keep := tuning.IdleKeep
			if k.Spot {
				keep = tuning.IdleKeepSpot
			}
			if f.rest[k.Name] && c.wide() {
				keep = tuning.IdleKeepRest // beyond the headroom, which grows with the fleet
			}
			if f.hold[k.Name] {
				keep = tuning.IdleKeepWhole
			}
			if since, ok := f.idle[k.Name]; ok && c.now-since > keep && (f.rest[k.Name] || !c.wanted(k, pend)) {
				c.mark(k.Name, MachineMark{MarkDrain, WhyIdle})
			}
		}
	}
}

func (c *Core) wanted(k known, pend []need) bool {
	for _, p := range pend {
		if p.n > 0 && c.fits(p.sp, k.Type, k.Zone, k.Spot) && k.free.Holds(p.sp.Need) {
			return true
		}
	}
	return false
}

// need is unbooked work of one job that its team's limit lets run.
type need struct {
	sp *Spec
	n  int
	j  *Job // nil: none yet
}

func (c *Core) pending() []need {
	used := map[string]Res{}
	for n := range c.cfg.Teams {
		used[n] = c.teamUsed(n, nil)
	}
	claims := c.claims()
	var l []need
	came := map[string]int{}
	for _, j := range c.st.open {
		sp := j.H.Spec
		if holdsMachines(sp) {
			c.fleet.wholeSeen[sp.Class] = wholeSeen{sp, c.now}
			if c.now-time.Duration(j.seenAt) < tuning.RateWindow {
				came[sp.Class] += j.H.N
			}
		}
		if j.nQ == 0 || j.errs > 3 {
			continue
		}
		lim := c.cfg.Teams[sp.Team].Max
		n := 0
		for n < j.nQ && n < 2000 && within(used[sp.Team].Plus(sp.Need, 1), lim) && claims[sp.Team].allows(sp, used[sp.Team], lim) {
			used[sp.Team] = used[sp.Team].Plus(sp.Need, 1)
			n++
		}
		if sp.Shape == Gang && n < sp.N {
			continue
		}
		if n > 0 {
			l = append(l, need{sp, n, j})
		}
	}
	c.fleet.wholeRate = map[string]float64{}
	for class, n := range came {
		c.fleet.wholeRate[class] = float64(n) / tuning.RateWindow.Seconds()
	}
	return l
}

// decideHolds keeps machines for jobs that need a whole one: idle ones first;
// if more jobs wait than are idle, those that will be empty soonest, and where
// all that runs there has lower priority, they are emptied.
func (c *Core) decideHolds(ms []known, pend []need) {
	f := &c.fleet
	old := f.hold
	f.hold, f.evict = map[string]bool{}, map[string]bool{}
	for _, class := range slices.Sorted(maps.Keys(f.wholeSeen)) {
		w := f.wholeSeen[class]
		if c.now-w.at > tuning.WholeMemory {
			delete(f.wholeSeen, class)
			continue
		}
		waiting := 0
		for _, p := range pend {
			if p.sp.Class == class && whole(p.sp) {
				waiting += p.n
			}
		}
		n := waiting + c.spare(w.sp)
		type cand struct {
			k    known
			wait float64
			low  bool // all on it has lower priority
		}
		var cs []cand
		for _, k := range ms {
			fl := c.flavor(k.Type)
			if !k.up || k.mark.State != "" || f.hold[k.Name] || !c.fits(w.sp, k.Type, k.Zone, k.Spot) || !fl.Size.Holds(w.sp.Need) {
				continue
			}
			x := cand{k: k, low: true}
			ok := true
			for id := range c.st.byMach[k.Name] {
				sp := c.st.jobs[id.Job].H.Spec
				if sp != nil && holdsMachines(sp) {
					f.ranWhole[k.Name] = c.now
				}
				if sp == nil || holdsMachines(sp) || sp.Shape == Service {
					ok = false
					break
				}
				x.low = x.low && c.st.jobs[id.Job].prio < w.sp.Prio
				left := c.runTime(sp) - (c.now - c.booked[id].at).Seconds()
				x.wait = max(x.wait, left, 3)
			}
			if old[k.Name] {
				x.wait -= tuning.HoldBonus
			}
			if ok {
				cs = append(cs, x)
			}
		}
		sort.SliceStable(cs, func(a, b int) bool { return cs[a].wait < cs[b].wait })
		idle := 0
		for _, x := range cs {
			// It has the image, and the next such job is likely soon.
			if at, was := f.ranWhole[x.k.Name]; was && x.k.busy == 0 && c.now-at < tuning.HoldAfter {
				f.hold[x.k.Name] = true
				idle++
			}
		}
		for _, x := range cs {
			if f.hold[x.k.Name] {
				continue
			}
			if len(f.hold) >= n {
				break
			}
			if x.k.busy > 0 && idle >= waiting && !x.low {
				break
			}
			f.hold[x.k.Name] = true
			if x.k.busy == 0 {
				idle++
			} else if x.low && idle < waiting {
				f.evict[x.k.Name] = true
				idle++
			}
		}
	}
}

// decideRest lets the dearest machines run empty while the cheaper ones have
// room for all that runs and waits, with some headroom: draws by load alone
// would spread tasks over all machines, and none could ever be returned.
func (c *Core) decideRest(ms []known, pend []need) {
	f := &c.fleet
	old := f.rest
	f.rest = map[string]bool{}
	type cand struct {
		k     known
		price float64
	}
	var cs []cand
	// In a wide fleet each part needs the room for its own jobs: those that wait in
	// one can't use what another one keeps free.
	wide := c.wide()
	wants, all := map[string]Res{}, Res{}
	part := func(k known) string {
		if !wide {
			return ""
		}
		return c.ownerIn(k.Name, k.Zone)
	}
	for _, k := range ms {
		if !k.up || k.mark.State != "" || f.hold[k.Name] {
			continue
		}
		fl := c.flavor(k.Type)
		o := c.st.occ[k.Name]
		if o.whole > 0 {
			continue
		}
		here := o.used
		wants[part(k)] = wants[part(k)].Plus(here, 1)
		p := fl.Price
		if k.Spot {
			p = fl.Spot
		}
		size := float64(max(fl.Size.GPU, 1000))
		if fl.Size.GPU == 0 {
			size = float64(max(fl.Size.CPU, 1000))
		}
		p /= size
		if old[k.Name] {
			p *= tuning.RestSticky
		}
		// Among equals those with little to run go empty first.
		p *= 1.1 - 0.1*min(float64(k.busy), 10)/10
		cs = append(cs, cand{k, p})
	}
	for _, p := range pend {
		switch {
		case holdsMachines(p.sp):
		case wide && p.j != nil && !largeArray(p.sp):
			n := c.homeOf(p.j)
			wants[n] = wants[n].Plus(p.sp.Need, int64(p.n))
		default:
			wants[""] = wants[""].Plus(p.sp.Need, int64(p.n))
		}
	}
	grow := func(x int64) int64 { return x + x*tuning.HeadroomPercent/100 }
	for n, w := range wants {
		wants[n] = Res{grow(w.CPU), grow(w.GPU), grow(w.Mem)}
		all = all.Plus(wants[n], 1)
	}
	sort.SliceStable(cs, func(a, b int) bool { return cs[a].price < cs[b].price })
	if c.now >= f.tellAt {
		f.tellAt = c.now + tuning.FleetTell
		busy := ""
		for _, k := range ms {
			tag := ""
			if f.hold[k.Name] {
				tag = "h"
			}
			if old[k.Name] {
				tag += "r"
			}
			if k.mark.State != "" {
				tag += "d"
			}
			if !k.up {
				tag += "-"
			}
			if k.Spot {
				tag += "s"
			}
			busy += fmt.Sprintf(" %d%s", k.busy, tag)
		}
		c.log(2, "fleet", "want", all, "tasks_by_machine", busy)
	}
	have := map[string]Res{}
	for _, x := range cs {
		n := part(x.k)
		if have[n].Holds(wants[n]) {
			f.rest[x.k.Name] = true
			continue
		}
		have[n] = have[n].Plus(c.flavor(x.k.Type).Size, 1)
	}
	ks := make([]known, len(cs))
	for i, x := range cs {
		ks[i] = x.k
	}
	c.wakeFor(ks, pend, part)
}

// wakeFor ends the rest of machines that waiting tasks need: sums of room say
// nothing of tasks that fit no single hole, or that their zone or kind keeps from
// the cheaper machines. Such jobs waited beside empty machines until those were
// returned, and their claim on the team's limit kept the others waiting, too.
func (c *Core) wakeFor(ks []known, pend []need, part func(known) string) {
	f := &c.fleet
	if len(f.rest) == 0 {
		return
	}
	free, parts := make([]Res, len(ks)), make([]string, len(ks))
	for i, k := range ks {
		free[i], parts[i] = k.free, part(k)
	}
	wide := c.wide()
	for _, p := range pend {
		if whole(p.sp) || p.j == nil {
			continue
		}
		left, home := int64(p.n), c.homeOf(p.j)
		for _, resting := range [2]bool{false, true} {
			for i, k := range ks {
				if left == 0 {
					break
				}
				if f.rest[k.Name] != resting || wide && parts[i] != home || !c.fits(p.sp, k.Type, k.Zone, k.Spot) {
					continue
				}
				n := free[i].Times(p.sp.Need, left)
				if n > 0 && resting {
					delete(f.rest, k.Name)
				}
				free[i] = free[i].Plus(p.sp.Need, -n)
				left -= n
			}
		}
	}
}

// spare is how many machines are kept ready for a class whose tasks should
// start sooner than a machine boots.
func (c *Core) spare(sp *Spec) int {
	most := max(c.cfg.Spare, int(math.Ceil(c.fleet.wholeRate[sp.Class]*tuning.SpareSeconds)))
	if c.cfg.Spare == 0 {
		most = 0
	}
	w, ok := c.cfg.Wait[sp.Class]
	if !ok {
		return 0
	}
	for i := range c.st.flavors {
		if fl := &c.st.flavors[i]; c.typeFits(sp, fl) && w < tuning.SpareReach*(fl.BootS+sp.ImageGB/max(fl.Fetch, 0.01)) {
			return most
		}
	}
	return 0
}

// decideRents packs what is pending on what is there or boots, and rents for
// the rest the kind with the least price per task that fits.
func (c *Core) decideRents(ms []known, pend []need) {
	f := &c.fleet
	for _, h := range slices.Sorted(maps.Keys(f.renting)) {
		r := f.renting[h]
		if c.now-r.at > tuning.CloudTimeout+time.Second {
			r.at = c.now
			f.renting[h] = r
			c.emit(r.e) // the same name: a repeat rents nothing more
		}
	}
	if len(f.renting) > 0 {
		return
	}
	type slot struct {
		k    known
		free Res
		idle Res // held by tasks that yield
	}
	var slots []slot
	leaving := c.leaving()
	for _, k := range ms {
		if k.mark.State != "" || leaving[k.Name] || k.Status == "failed" || !k.up && k.Status == "running" && k.busy > 0 {
			continue
		}
		slots = append(slots, slot{k, k.free, c.st.occ[k.Name].idle.used})
	}
	type plan struct {
		o    option
		free Res
	}
	var plans []plan
	pend = slices.Clone(pend)
	for _, class := range slices.Sorted(maps.Keys(f.wholeSeen)) {
		if n := c.spare(f.wholeSeen[class].sp); n > 0 {
			pend = append(pend, need{f.wholeSeen[class].sp, n, nil})
		}
	}
	// Whole machines first: small tasks find room in what is left, and those that
	// yield in what these leave.
	rank := func(p need) int {
		switch {
		case yields(p.sp):
			return 2
		case holdsMachines(p.sp):
			return 0
		}
		return 1
	}
	sort.SliceStable(pend, func(a, b int) bool { return rank(pend[a]) < rank(pend[b]) })
	// Slots that fall free before a new machine could start a task need no
	// new machine.
	busy := 0
	for _, s := range slots {
		if s.k.up && !f.hold[s.k.Name] {
			busy += s.k.busy
		}
	}
	credit := int(float64(busy) * tuning.TurnoverCredit)
	for _, p := range pend {
		left := int64(p.n)
		for s := range slots {
			if left == 0 {
				break
			}
			if c.fits(p.sp, slots[s].k.Type, slots[s].k.Zone, slots[s].k.Spot) && (holdsMachines(p.sp) || !f.hold[slots[s].k.Name]) {
				room := slots[s].free
				if !yields(p.sp) {
					room = room.Plus(slots[s].idle, 1)
				}
				n := room.Times(p.sp.Need, left)
				slots[s].free = slots[s].free.Plus(p.sp.Need, -n)
				left -= n
			}
		}
		for s := range plans {
			if left == 0 {
				break
			}
			if c.fits(p.sp, plans[s].o.typ, plans[s].o.zone, plans[s].o.spot) {
				n := plans[s].free.Times(p.sp.Need, left)
				plans[s].free = plans[s].free.Plus(p.sp.Need, -n)
				left -= n
			}
		}
		if !holdsMachines(p.sp) && (p.j == nil || !c.starves(p.j)) {
			n := min(left, int64(credit))
			credit -= int(n)
			left -= n
		}
		for left > 0 && len(plans) < tuning.RentPlans {
			o, ok := c.cheapest(p.sp, int(left))
			if !ok {
				break
			}
			size := c.flavor(o.typ).Size
			n := max(size.Times(p.sp.Need, left), 1)
			plans = append(plans, plan{o, size.Plus(p.sp.Need, -n)})
			left -= n
		}
	}
	count := map[option]int{}
	var order []option
	for _, p := range plans {
		if count[p.o] == 0 {
			order = append(order, p.o)
		}
		count[p.o]++
	}
	hires := 0
	for _, o := range order {
		for n := count[o]; n > 0 && hires < tuning.RentsAtOnce; n -= tuning.RentMost {
			if n < count[o] && f.pauses[o].n > 0 {
				break // was short last time: one request tells
			}
			hires++
			f.hireN++
			e := EfRent{Hire: fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.inc, f.hireN), Type: o.typ, Zone: o.zone, Spot: o.spot,
				Count: min(n, tuning.RentMost)}
			f.renting[e.Hire] = rent{e, c.now}
			c.log(1, "renting", "type", o.typ, "zone", o.zone, "spot", o.spot, "count", e.Count)
			c.emit(e)
		}
	}
}

// leaving are the machines that the cloud takes back soon, or that take no
// bookings for another reason their owners see.
func (c *Core) leaving() map[string]bool {
	l := map[string]bool{}
	for name, m := range c.mach {
		if c.owns(name) && m.recallAt >= 0 {
			l[name] = true
		}
	}
	for _, p := range c.peers {
		if c.now-p.at > 4*tuning.DrawEvery {
			continue
		}
		for _, m := range p.machines {
			if m.Recall {
				l[m.Name] = true
			}
		}
	}
	return l
}

// cheapest is the kind with the least price per task of which n are left.
func (c *Core) cheapest(sp *Spec, n int) (option, bool) {
	best, bestP, found := option{}, math.Inf(1), false
	for i := range c.st.flavors {
		fl := &c.st.flavors[i]
		if !c.typeFits(sp, fl) {
			continue
		}
		k := float64(fl.Size.Times(sp.Need, int64(max(n, 1))))
		if k < 1 {
			continue
		}
		for _, z := range fl.Zones {
			for _, spot := range [2]bool{true, false} {
				o := option{fl.Name, z, spot}
				if spot && !sp.Spot || sp.Zone != "" && z != sp.Zone || c.now < c.fleet.pauses[o].till {
					continue
				}
				if !spot && sp.Spot && yields(sp) {
					continue // idle work takes ordinary machines only while others leave them empty
				}
				p := fl.Price / k
				if spot {
					p = fl.Spot / k
				}
				// Among equals, spread over zones.
				p *= 1 + 0.001*float64(hash64(z, sp.ID)%16)
				if p < bestP {
					best, bestP, found = o, p, true
				}
			}
		}
	}
	return best, found
}

func (c *Core) onRented(e EvRented) {
	f := &c.fleet
	r, ok := f.renting[e.Hire]
	if !ok {
		return // an earlier leadership's; the list will show what came of it
	}
	if !e.OK && !e.None {
		// Unknown or refused for now: the same name again, later.
		r.at = c.now - tuning.CloudTimeout + 500*time.Millisecond
		f.renting[e.Hire] = r
		return
	}
	delete(f.renting, e.Hire)
	o := option{r.e.Type, r.e.Zone, r.e.Spot}
	p := f.pauses[o]
	if len(e.Names) < r.e.Count && c.now >= p.till {
		d := min(tuning.NoCapacityPause<<min(p.n, 8), tuning.NoCapacityMost)
		f.pauses[o] = pause{c.now + d, p.n + 1}
	} else if len(e.Names) == r.e.Count {
		delete(f.pauses, o)
	}
	for _, n := range e.Names {
		f.born[n] = Inst{Name: n, Type: o.typ, Zone: o.zone, Spot: o.spot, Status: "booting"}
		f.bornAt[n] = c.now
	}
	c.log(1, "rented", "type", o.typ, "zone", o.zone, "spot", o.spot, "asked", r.e.Count, "got", len(e.Names))
}
