package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// planReservations keeps machines for jobs that need a whole one: idle ones first;
// if more jobs wait than are idle, those that will be empty soonest, and where
// all that runs there has lower priority, they are emptied.
func (c *Controller) planReservations(ms []machineState, pend []pendingWork) {
	f := &c.scaling
	old := f.reserved
	f.reserved, f.evicting = map[string]bool{}, map[string]bool{}
	for _, class := range slices.Sorted(maps.Keys(f.gangClasses)) {
		w := f.gangClasses[class]
		if c.now-w.seenAt > tuning.GangClassMemory {
			delete(f.gangClasses, class)
			continue
		}
		waiting := 0
		for _, p := range pend {
			if p.spec.Class == class && placedByLeader(p.spec) {
				waiting += p.tasks
			}
		}
		n := waiting + c.spareMachines(w.spec)
		type cand struct {
			k    machineState
			wait float64
			low  bool // all on it has lower priority
		}
		var cs []cand
		for _, k := range ms {
			fl := c.machineType(k.Type)
			if !k.heard || k.cordon.State != "" || f.reserved[k.Name] || !c.allowsMachine(w.spec, k.Type, k.Zone, k.Spot) || !fl.Capacity.Fits(w.spec.Request) {
				continue
			}
			x := cand{k: k, low: true}
			ok := true
			for id := range c.cache.bookedOn[k.Name] {
				sp := c.cache.jobs[id.Job].Header.Spec
				if sp != nil && reservesMachines(sp) {
					f.ranGangAt[k.Name] = c.now
				}
				if sp == nil || reservesMachines(sp) || sp.Shape == domain.Service {
					ok = false
					break
				}
				x.low = x.low && c.cache.jobs[id.Job].priority < w.spec.Priority
				left := c.runTime(sp) - (c.now - c.cache.bookings[id].seenAt).Seconds()
				x.wait = max(x.wait, left, 3)
			}
			if old[k.Name] {
				x.wait -= tuning.ReservationBonus
			}
			if ok {
				cs = append(cs, x)
			}
		}
		sort.SliceStable(cs, func(a, b int) bool { return cs[a].wait < cs[b].wait })
		idle := 0
		for _, x := range cs {
			// It has the image, and the next such job is likely soon.
			if at, was := f.ranGangAt[x.k.Name]; was && x.k.tasks == 0 && c.now-at < tuning.KeepReservedAfterGang {
				f.reserved[x.k.Name] = true
				idle++
			}
		}
		for _, x := range cs {
			if f.reserved[x.k.Name] {
				continue
			}
			if len(f.reserved) >= n {
				break
			}
			if x.k.tasks > 0 && idle >= waiting && !x.low {
				break
			}
			f.reserved[x.k.Name] = true
			if x.k.tasks == 0 {
				idle++
			} else if x.low && idle < waiting {
				f.evicting[x.k.Name] = true
				idle++
			}
		}
	}
}

// planResting lets the dearest machines run empty while the cheaper ones have
// room for all that runs and waits, with some headroom: draws by load alone
// would spread tasks over all machines, and none could ever be returned.
func (c *Controller) planResting(ms []machineState, pend []pendingWork) {
	f := &c.scaling
	old := f.resting
	f.resting = map[string]bool{}
	type cand struct {
		k     machineState
		price float64
	}
	var cs []cand
	// In a wide fleet each part needs the room for its own jobs: those that wait in
	// one can't use what another one keeps free.
	wide := c.isLargeFleet()
	wants, all := map[string]domain.Resources{}, domain.Resources{}
	part := func(k machineState) string {
		if !wide {
			return ""
		}
		return c.ownerIn(k.Name, k.Zone)
	}
	for _, k := range ms {
		if !k.heard || k.cordon.State != "" || f.reserved[k.Name] {
			continue
		}
		fl := c.machineType(k.Type)
		o := c.cache.occupancy[k.Name]
		if o.gangTasks > 0 {
			continue
		}
		here := o.used
		wants[part(k)] = wants[part(k)].Plus(here, 1)
		p := fl.Price
		if k.Spot {
			p = fl.SpotPrice
		}
		size := float64(max(fl.Capacity.GPU, 1000))
		if fl.Capacity.GPU == 0 {
			size = float64(max(fl.Capacity.CPU, 1000))
		}
		p /= size
		if old[k.Name] {
			p *= tuning.RestingStickiness
		}
		// Among equals those with little to run go empty first.
		p *= 1.1 - 0.1*min(float64(k.tasks), 10)/10
		cs = append(cs, cand{k, p})
	}
	for _, p := range pend {
		switch {
		case reservesMachines(p.spec):
		case wide && p.job != nil && !largeArray(p.spec):
			n := c.shardOf(p.job)
			wants[n] = wants[n].Plus(p.spec.Request, int64(p.tasks))
		default:
			wants[""] = wants[""].Plus(p.spec.Request, int64(p.tasks))
		}
	}
	grow := func(x int64) int64 { return x + x*tuning.HeadroomPercent/100 }
	for n, w := range wants {
		wants[n] = domain.Resources{CPU: grow(w.CPU), GPU: grow(w.GPU), Memory: grow(w.Memory)}
		all = all.Plus(wants[n], 1)
	}
	sort.SliceStable(cs, func(a, b int) bool { return cs[a].price < cs[b].price })
	if c.now >= f.nextLogAt {
		f.nextLogAt = c.now + tuning.ScalingLogInterval
		busy := ""
		for _, k := range ms {
			tag := ""
			if f.reserved[k.Name] {
				tag = "h"
			}
			if old[k.Name] {
				tag += "r"
			}
			if k.cordon.State != "" {
				tag += "d"
			}
			if !k.heard {
				tag += "-"
			}
			if k.Spot {
				tag += "s"
			}
			busy += fmt.Sprintf(" %d%s", k.tasks, tag)
		}
		c.debug("fleet", "want", all, "tasks_by_machine", busy)
	}
	have := map[string]domain.Resources{}
	for _, x := range cs {
		n := part(x.k)
		if have[n].Fits(wants[n]) {
			f.resting[x.k.Name] = true
			continue
		}
		have[n] = have[n].Plus(c.machineType(x.k.Type).Capacity, 1)
	}
	ks := make([]machineState, len(cs))
	for i, x := range cs {
		ks[i] = x.k
	}
	c.endRestFor(ks, pend, part)
}

// endRestFor ends the rest of machines that waiting tasks need: sums of room say
// nothing of tasks that fit no single hole, or that their zone or kind keeps from
// the cheaper machines. Such jobs waited beside empty machines until those were
// returned, and their claim on the team's limit kept the others waiting, too.
func (c *Controller) endRestFor(ks []machineState, pend []pendingWork, part func(machineState) string) {
	f := &c.scaling
	if len(f.resting) == 0 {
		return
	}
	free, parts := make([]domain.Resources, len(ks)), make([]string, len(ks))
	for i, k := range ks {
		free[i], parts[i] = k.free, part(k)
	}
	wide := c.isLargeFleet()
	for _, p := range pend {
		if placedByLeader(p.spec) || p.job == nil {
			continue
		}
		left, home := int64(p.tasks), c.shardOf(p.job)
		for _, resting := range [2]bool{false, true} {
			for i, k := range ks {
				if left == 0 {
					break
				}
				if f.resting[k.Name] != resting || wide && parts[i] != home || !c.allowsMachine(p.spec, k.Type, k.Zone, k.Spot) {
					continue
				}
				n := free[i].CountFitting(p.spec.Request, left)
				if n > 0 && resting {
					delete(f.resting, k.Name)
				}
				free[i] = free[i].Plus(p.spec.Request, -n)
				left -= n
			}
		}
	}
}

// spareMachines is how many machines are kept ready for a class whose tasks should
// start sooner than a machine boots.
func (c *Controller) spareMachines(sp *domain.JobSpec) int {
	most := max(c.cfg.SpareMachines, int(math.Ceil(c.scaling.gangTaskRate[sp.Class]*tuning.SpareSeconds)))
	if c.cfg.SpareMachines == 0 {
		most = 0
	}
	w, ok := c.cfg.StartWithin[sp.Class]
	if !ok {
		return 0
	}
	for i := range c.cache.machineTypes {
		if fl := &c.cache.machineTypes[i]; c.machineTypeFits(sp, fl) && w < tuning.SpareReach*(fl.BootSeconds+sp.ImageGB/max(fl.FetchGBPerS, 0.01)) {
			return most
		}
	}
	return 0
}
