package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// scaling is the leader's care for machines. All of it is rebuilt from the
// cloud's list and the cache by a new leader.
type scaling struct {
	instances      map[string]domain.Instance
	listed         bool
	listing        bool
	listSentAt     time.Duration
	nextListAt     time.Duration
	unlisted       map[string]domain.Instance // rented, not yet listed
	knownSince     map[string]time.Duration   // when first known here
	rentalCount    int
	rentals        map[string]rental
	pauses         map[machineKind]rentalPause
	returning      bool
	nextReturnAt   time.Duration
	reserved       map[string]bool
	evicting       map[string]bool
	ranGangAt      map[string]time.Duration // when a whole job was last seen there
	resting        map[string]bool          // no new tasks: the cheaper machines suffice
	idleSince      map[string]time.Duration
	nextDecisionAt time.Duration
	nextTypesAt    time.Duration
	listingTypes   bool
	nextLogAt      time.Duration
	unheardSince   map[string]time.Duration
	zoneDownSince  map[string]time.Duration // since when most of a zone's machines are unheard
	gangClasses    map[string]gangClass
	gangTaskRate   map[string]float64 // tasks a second that came lately, by class
}

type gangClass struct {
	spec   *domain.JobSpec
	seenAt time.Duration
}

func (f *scaling) init() { f.reset(0) }

func (f *scaling) reset(time.Duration) {
	n := f.rentalCount
	*f = scaling{
		instances: map[string]domain.Instance{}, unlisted: map[string]domain.Instance{}, knownSince: map[string]time.Duration{}, rentalCount: n,
		rentals: map[string]rental{}, pauses: map[machineKind]rentalPause{}, reserved: map[string]bool{}, evicting: map[string]bool{}, unheardSince: map[string]time.Duration{}, zoneDownSince: map[string]time.Duration{}, ranGangAt: map[string]time.Duration{}, resting: map[string]bool{},
		idleSince: map[string]time.Duration{}, gangClasses: map[string]gangClass{},
	}
}

func (c *Controller) scale() {
	f := &c.scaling
	if !c.mayAct() || !c.isLeader() {
		return
	}
	if !f.listingTypes && c.now >= f.nextTypesAt {
		f.listingTypes = true
		c.emit(ListMachineTypes{})
	}
	if len(c.cache.machineTypes) == 0 {
		return
	}
	if !f.listing && c.now >= f.nextListAt {
		f.listing, f.listSentAt = true, c.now
		c.emit(ListInstances{})
	}
	if c.now < f.nextDecisionAt {
		return
	}
	f.nextDecisionAt = c.now + max(tuning.ScalingInterval, 2*c.pace())
	c.planScaleIn()
	if f.listed {
		ms := c.machines()
		pend := c.pendingWork(ms)
		c.planCordons(ms, pend)
		c.planReservations(ms, pend)
		c.planResting(ms, pend)
		c.planScaleOut(ms, pend)
	}
}

func (c *Controller) onInstancesListed(e InstancesListed) {
	f := &c.scaling
	f.listing = false
	f.nextListAt = c.now + tuning.InstanceListInterval
	if !e.OK {
		return
	}
	f.listed = true
	f.instances = map[string]domain.Instance{}
	for _, i := range e.Instances {
		f.instances[i.Name] = i
		delete(f.unlisted, i.Name)
		if _, ok := f.knownSince[i.Name]; !ok {
			f.knownSince[i.Name] = c.now - time.Duration(i.HeldSeconds*float64(time.Second))
		}
	}
	for n := range f.knownSince {
		_, l := f.instances[n]
		_, b := f.unlisted[n]
		if !l && !b && c.now-f.knownSince[n] > 5*time.Minute {
			delete(f.knownSince, n)
			delete(f.idleSince, n)
		}
	}
}

// machineState is a machine that the leader counts on or has to care for.
type machineState struct {
	domain.Instance
	heard  bool
	cordon domain.Cordon
	free   domain.Resources
	tasks  int
}

// machines joins list, own rentals and what the nodes hear.
func (c *Controller) machines() []machineState {
	f := &c.scaling
	all := map[string]*machineState{}
	for n, i := range f.instances {
		all[n] = &machineState{Instance: i}
	}
	for n, i := range f.unlisted {
		if c.now-f.knownSince[n] > 2*time.Minute+2*c.cfg.ListLag && all[n] == nil {
			delete(f.unlisted, n) // never listed: gone again
			continue
		}
		if all[n] == nil {
			all[n] = &machineState{Instance: i}
		}
	}
	for _, i := range c.inventory() {
		k := all[i.name]
		if k == nil {
			k = &machineState{Instance: domain.Instance{Name: i.name, Addr: i.addr, Type: i.machineType, Zone: i.zone, Spot: i.spot, Status: "running"}}
			all[i.name] = k
		}
		k.heard = true
		if _, ok := f.knownSince[i.name]; !ok {
			f.knownSince[i.name] = c.now
		}
	}
	var l []machineState
	for n, k := range all {
		k.cordon = c.cache.cordons[n]
		if k.cordon.State == domain.CordonGone {
			continue
		}
		fl := c.machineType(k.Type)
		if fl == nil {
			continue
		}
		k.free = c.freeOn(n, fl.Capacity, nil)
		k.tasks = len(c.cache.bookedOn[n])
		l = append(l, *k)
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Name < l[b].Name })
	return l
}

// planScaleIn returns drained machines; only after the cloud's 200 a machine
// is marked gone, which proves its tasks off.
func (c *Controller) planScaleIn() {
	f := &c.scaling
	if f.returning || c.now < f.nextReturnAt {
		return
	}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.cache.cordons)) {
		m := c.cache.cordons[n]
		if _, gone := c.cordons.wanted[n]; m.State != domain.CordonDrain || gone || c.cache.revision < c.cache.modRevisions[codec.PrefixCordons+c.cordonPageOf(n)] {
			continue
		}
		if (m.Reason == domain.DrainIdle || m.Reason == domain.DrainFaulty) && len(c.cache.bookedOn[n]) > 0 {
			continue
		}
		if len(names) < tuning.MaxReturnsAtOnce {
			names = append(names, n)
		}
	}
	if len(names) > 0 {
		f.returning = true
		c.emit(ReturnMachines{Names: names})
	}
}

func (c *Controller) onReturnAnswered(e ReturnAnswered) {
	f := &c.scaling
	f.returning = false
	if !e.OK {
		f.nextReturnAt = c.now + 2*time.Second
		return
	}
	for _, n := range e.Names {
		c.cordon(n, domain.Cordon{State: domain.CordonGone})
	}
	c.info("machines returned", "names", e.Names)
}

// planCordons drains what is failed, stuck or idle for long.
func (c *Controller) planCordons(ms []machineState, pend []pendingWork) {
	f := &c.scaling
	fresh, leaving := c.peersFresh(), c.leaving()
	// A zone of which most machines are unheard is cut off for now, and its
	// machines get their time anew when they can be heard again.
	up, down, cut := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, k := range ms {
		if k.heard {
			up[k.Zone]++
		} else if k.Status == "running" {
			down[k.Zone]++
		}
	}
	for _, z := range c.cfg.Zones {
		if down[z] <= up[z] || down[z] <= tuning.SilentFew {
			delete(f.zoneDownSince, z)
		} else if since, ok := f.zoneDownSince[z]; !ok {
			f.zoneDownSince[z], cut[z] = c.now, true
		} else {
			cut[z] = c.now-since < tuning.UnheardCut
		}
	}
	for _, k := range ms {
		fl := c.machineType(k.Type)
		age := c.now - f.knownSince[k.Name]
		if k.cordon.State != "" {
			continue
		}
		if k.tasks > 0 || !k.heard {
			delete(f.idleSince, k.Name)
		} else if _, ok := f.idleSince[k.Name]; !ok {
			f.idleSince[k.Name] = c.now
		}
		// A running machine that nobody hears, though every node is heard.
		unheard := fresh && k.Status == "running" && !k.heard && k.tasks == 0 && !leaving[k.Name] && !cut[k.Zone]
		if !unheard {
			delete(f.unheardSince, k.Name)
		} else if _, ok := f.unheardSince[k.Name]; !ok {
			f.unheardSince[k.Name] = c.now
		}
		switch {
		case k.Status == "failed":
			c.cordon(k.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainFailed})
		case k.Status == "booting" && !k.heard && age > time.Duration(tuning.BootPatience*fl.BootSeconds*float64(time.Second)):
			c.cordon(k.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainStuck})
		case unheard && c.now-f.unheardSince[k.Name] > tuning.UnheardPatience:
			c.cordon(k.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainStuck})
		case k.heard && k.tasks == 0 && age > tuning.MinHeld:
			keep := tuning.IdleKeep
			if k.Spot {
				keep = tuning.IdleKeepSpot
			}
			if f.resting[k.Name] && c.isLargeFleet() {
				keep = tuning.IdleKeepResting // beyond the headroom, which grows with the fleet
			}
			if f.reserved[k.Name] {
				keep = tuning.IdleKeepReserved
			}
			if since, ok := f.idleSince[k.Name]; ok && c.now-since > keep && (f.resting[k.Name] || !c.wanted(k, pend)) {
				c.cordon(k.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle})
			}
		}
	}
}

func (c *Controller) wanted(k machineState, pend []pendingWork) bool {
	for _, p := range pend {
		if p.zones.left(k.Zone, int64(p.tasks)) > 0 && c.allowsMachine(p.spec, k.Type, k.Zone, k.Spot) && k.free.Fits(p.spec.Request) {
			return true
		}
	}
	return false
}
