package core

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"brassglade/internal/tuning"
)

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
