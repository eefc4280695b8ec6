package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// machineKind is a kind of machine that can be rented.
type machineKind struct {
	machineType, zone string
	spot              bool
}

type rentalPause struct {
	until    time.Duration
	failures int
}

type rental struct {
	request RentMachines
	sentAt  time.Duration
}

// pendingWork is unbooked work of one job that its team's limit lets run.
type pendingWork struct {
	spec  *domain.JobSpec
	tasks int
	job   *Job // nil: none yet
	// How many of them each zone may take; nil: any number.
	zones zoneAllowance
}

// pendingWork is the work that waits, given the machines that are there or boot.
func (c *Controller) pendingWork(machines []machineState) []pendingWork {
	used := map[string]domain.Resources{}
	for n := range c.cfg.Teams {
		used[n] = c.teamUsed(n, nil)
	}
	claims := c.claims(nil)
	var l []pendingWork
	came := map[string]int{}
	for _, j := range c.cache.openJobs {
		sp := j.Header.Spec
		if reservesMachines(sp) {
			c.scaling.gangClasses[sp.Class] = gangClass{sp, c.now}
			if c.now-time.Duration(j.readyAt) < tuning.RateWindow {
				came[sp.Class] += j.Header.TaskCount
			}
		}
		if j.counts.queued == 0 || j.failures > 3 {
			continue
		}
		lim := c.cfg.Teams[sp.Team].Limit
		n := 0
		for n < j.counts.queued && n < 2000 && withinLimit(used[sp.Team].Plus(sp.Request, 1), lim) && claims[sp.Team].allows(sp, used[sp.Team], lim) {
			used[sp.Team] = used[sp.Team].Plus(sp.Request, 1)
			n++
		}
		if sp.Shape == domain.Gang && n < sp.TaskCount {
			continue
		}
		if n > 0 {
			l = append(l, pendingWork{spec: sp, tasks: n, job: j, zones: c.zoneAllowance(j, n, machines)})
		}
	}
	c.scaling.gangTaskRate = map[string]float64{}
	for class, n := range came {
		c.scaling.gangTaskRate[class] = float64(n) / tuning.RateWindow.Seconds()
	}
	return l
}

// planScaleOut packs what is pending on what is there or boots, and rents for
// the rest the kind with the least price per task that fits.
func (c *Controller) planScaleOut(ms []machineState, pend []pendingWork) {
	f := &c.scaling
	for _, h := range slices.Sorted(maps.Keys(f.rentals)) {
		r := f.rentals[h]
		if c.now-r.sentAt > tuning.CloudTimeout+time.Second {
			r.sentAt = c.now
			f.rentals[h] = r
			c.emit(r.request) // the same name: a repeat rents nothing more
		}
	}
	if len(f.rentals) > 0 {
		return
	}
	type slot struct {
		k    machineState
		free domain.Resources
		idle domain.Resources // held by tasks that yield
	}
	var slots []slot
	leaving := c.leaving()
	for _, k := range ms {
		if k.cordon.State != "" || leaving[k.Name] || k.Status == "failed" || !k.heard && k.Status == "running" && k.tasks > 0 {
			continue
		}
		slots = append(slots, slot{k, k.free, c.cache.occupancy[k.Name].preemptible.used})
	}
	type plan struct {
		o    machineKind
		free domain.Resources
	}
	var plans []plan
	pend = slices.Clone(pend)
	for _, class := range slices.Sorted(maps.Keys(f.gangClasses)) {
		if n := c.spareMachines(f.gangClasses[class].spec); n > 0 {
			pend = append(pend, pendingWork{spec: f.gangClasses[class].spec, tasks: n})
		}
	}
	// Whole machines first: small tasks find room in what is left, and those that
	// yield in what these leave.
	rank := func(p pendingWork) int {
		switch {
		case preemptible(p.spec):
			return 2
		case reservesMachines(p.spec):
			return 0
		}
		return 1
	}
	sort.SliceStable(pend, func(a, b int) bool { return rank(pend[a]) < rank(pend[b]) })
	// Slots that fall free before a new machine could start a task need no
	// new machine.
	busy := 0
	for _, s := range slots {
		if s.k.heard && !f.reserved[s.k.Name] {
			busy += s.k.tasks
		}
	}
	credit := int(float64(busy) * tuning.TurnoverCredit)
	for _, p := range pend {
		left, zones := int64(p.tasks), maps.Clone(p.zones)
		for s := range slots {
			if left == 0 {
				break
			}
			if c.allowsMachine(p.spec, slots[s].k.Type, slots[s].k.Zone, slots[s].k.Spot) && (reservesMachines(p.spec) || !f.reserved[slots[s].k.Name]) {
				n := roomBeside(slots[s].free, slots[s].idle, preemptible(p.spec)).CountFitting(p.spec.Request, zones.left(slots[s].k.Zone, left))
				slots[s].free = slots[s].free.Plus(p.spec.Request, -n)
				zones.take(slots[s].k.Zone, n)
				left -= n
			}
		}
		for s := range plans {
			if left == 0 {
				break
			}
			if c.allowsMachine(p.spec, plans[s].o.machineType, plans[s].o.zone, plans[s].o.spot) {
				n := plans[s].free.CountFitting(p.spec.Request, zones.left(plans[s].o.zone, left))
				plans[s].free = plans[s].free.Plus(p.spec.Request, -n)
				zones.take(plans[s].o.zone, n)
				left -= n
			}
		}
		if !reservesMachines(p.spec) && (p.job == nil || !c.isStarving(p.job, c.placementOf(p.job, nil))) {
			n := min(left, int64(credit))
			credit -= int(n)
			left -= n
		}
		for left > 0 && len(plans) < tuning.MaxRentalPlans {
			o, ok := c.cheapest(p.spec, int(left), zones)
			if !ok {
				break
			}
			size := c.machineType(o.machineType).Capacity
			n := max(size.CountFitting(p.spec.Request, zones.left(o.zone, left)), 1)
			zones.take(o.zone, n)
			plans = append(plans, plan{o, size.Plus(p.spec.Request, -n)})
			left -= n
		}
	}
	count := map[machineKind]int{}
	var order []machineKind
	for _, p := range plans {
		if count[p.o] == 0 {
			order = append(order, p.o)
		}
		count[p.o]++
	}
	hires := 0
	for _, o := range order {
		for n := count[o]; n > 0 && hires < tuning.MaxRentalsAtOnce; n -= tuning.MaxMachinesPerRental {
			if n < count[o] && f.pauses[o].failures > 0 {
				break // was short last time: one request tells
			}
			hires++
			f.rentalCount++
			e := RentMachines{RentalID: fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.membership.Incarnation(), f.rentalCount), Type: o.machineType, Zone: o.zone, Spot: o.spot,
				Count: min(n, tuning.MaxMachinesPerRental)}
			f.rentals[e.RentalID] = rental{e, c.now}
			c.info("renting", "type", o.machineType, "zone", o.zone, "spot", o.spot, "count", e.Count)
			c.emit(e)
		}
	}
}

// leaving are the machines that the cloud takes back soon, or that take no
// bookings for another reason their owners see.
func (c *Controller) leaving() map[string]bool {
	l := map[string]bool{}
	for name, m := range c.heartbeats.machines {
		if c.owns(name) && m.preemptionAt >= 0 {
			l[name] = true
		}
	}
	for _, p := range c.peers.byName {
		if c.now-p.heardAt > 4*tuning.DrawEvery {
			continue
		}
		for _, m := range p.machines {
			if m.Leaving {
				l[m.Name] = true
			}
		}
	}
	return l
}

// cheapest is the kind with the least price per task of which n are left, in the zones
// that may take any.
func (c *Controller) cheapest(sp *domain.JobSpec, n int, zones zoneAllowance) (machineKind, bool) {
	best, bestP, found := machineKind{}, math.Inf(1), false
	for i := range c.cache.machineTypes {
		fl := &c.cache.machineTypes[i]
		if !c.machineTypeFits(sp, fl) {
			continue
		}
		k := float64(fl.Capacity.CountFitting(sp.Request, int64(max(n, 1))))
		if k < 1 {
			continue
		}
		for _, z := range fl.Zones {
			if zones.left(z, 1) < 1 {
				continue
			}
			for _, spot := range [2]bool{true, false} {
				o := machineKind{fl.Name, z, spot}
				if spot && !sp.Spot || sp.Zone != "" && z != sp.Zone || c.now < c.scaling.pauses[o].until {
					continue
				}
				if !spot && sp.Spot && preemptible(sp) {
					continue // idle work takes ordinary machines only while others leave them empty
				}
				p := fl.Price / k
				if spot {
					p = fl.SpotPrice / k
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

func (c *Controller) onRentalAnswered(e RentalAnswered) {
	f := &c.scaling
	r, ok := f.rentals[e.RentalID]
	if !ok {
		return // an earlier leadership's; the list will show what came of it
	}
	if !e.OK && !e.NoCapacity {
		// Unknown or refused for now: the same name again, later.
		r.sentAt = c.now - tuning.CloudTimeout + 500*time.Millisecond
		f.rentals[e.RentalID] = r
		return
	}
	delete(f.rentals, e.RentalID)
	o := machineKind{r.request.Type, r.request.Zone, r.request.Spot}
	p := f.pauses[o]
	if len(e.Names) < r.request.Count && c.now >= p.until {
		d := min(tuning.NoCapacityPause<<min(p.failures, 8), tuning.MaxNoCapacityPause)
		f.pauses[o] = rentalPause{c.now + d, p.failures + 1}
	} else if len(e.Names) == r.request.Count {
		delete(f.pauses, o)
	}
	for _, n := range e.Names {
		f.unlisted[n] = domain.Instance{Name: n, Type: o.machineType, Zone: o.zone, Spot: o.spot, Status: "booting"}
		f.knownSince[n] = c.now
	}
	c.info("rented", "type", o.machineType, "zone", o.zone, "spot", o.spot, "asked", r.request.Count, "got", len(e.Names))
}
