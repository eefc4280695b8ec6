package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// scaling is the leader's care for machines: renting, keeping some for gangs, letting some
// run empty, and returning. A new leader rebuilds all of it from the cloud's list and the cache.
// Maps without a word on their key are by machine.
type scaling struct {
	// What the cloud says.

	instances           map[string]domain.Instance // the newest list
	unlisted            map[string]domain.Instance // rented, and not yet in a list
	knownSince          map[string]time.Duration   // when an instance was rented, or first listed or heard
	hasInstanceList     bool                       // a list has come since this controller became leader
	listingInstances    bool                       // a list is under way
	nextInstanceList    steady.Gate
	listingMachineTypes bool          // a list of machine types is under way
	nextMachineTypesAt  time.Duration // no other list of machine types before

	// Renting and returning.

	rentalCount  int                         // rentals asked for, over all terms as a leader; in their names
	rentals      map[string]rental           // requests without a final answer, by name
	rentalPauses map[machineKind]rentalPause // kinds of which the cloud had too few
	returning    bool                        // a return is under way
	nextReturn   steady.Gate

	// What the leader decides.

	nextDecision steady.Gate
	reserved     map[string]bool // kept for jobs that need a whole machine
	evicting     map[string]bool // of the reserved: to be emptied of other work now
	resting      map[string]bool // no new tasks, since the cheaper machines suffice
	nextLog      steady.Gate     // for the debug line about all machines

	// What the decisions rest on.

	gangTaskSeenAt map[string]time.Duration // when a task of a job that reserves machines was last seen there
	idleSince      map[string]time.Duration // heard and without tasks
	silentSince    map[string]time.Duration // running, though no controller hears it
	zoneDownSince  map[string]time.Duration // most of the zone's machines are unheard, by zone
	gangClasses    map[string]gangClass     // classes of jobs that reserve machines, by name
	gangTaskRate   map[string]float64       // their tasks that came lately, per second, by class
}

// gangClass is a class of jobs that reserve machines.
type gangClass struct {
	spec   *domain.JobSpec // of its job seen last
	seenAt time.Duration   // when one was last open
}

// newScaling is the state of a leader that has just begun, after the given count of rentals in
// earlier terms, since the names of rentals must stay unique.
func newScaling(rentalCount int) scaling {
	return scaling{
		rentalCount: rentalCount,
		instances:   map[string]domain.Instance{}, unlisted: map[string]domain.Instance{}, knownSince: map[string]time.Duration{},
		rentals: map[string]rental{}, rentalPauses: map[machineKind]rentalPause{},
		reserved: map[string]bool{}, evicting: map[string]bool{}, resting: map[string]bool{},
		gangTaskSeenAt: map[string]time.Duration{}, idleSince: map[string]time.Duration{},
		silentSince: map[string]time.Duration{}, zoneDownSince: map[string]time.Duration{},
		gangClasses: map[string]gangClass{},
	}
}

// scale does the leader's care for machines: it keeps the cloud's lists fresh and decides
// once a while what to return, to drain, to reserve, to let rest and to rent, in this order,
// in which each decision uses those before.
func (c *Controller) scale() {
	scaling := &c.scaling
	if !c.mayAct() || !c.isLeader() {
		return
	}
	if !scaling.listingMachineTypes && c.now >= scaling.nextMachineTypesAt {
		scaling.listingMachineTypes = true
		c.emit(ListMachineTypes{})
	}
	if len(c.cache.machineTypes) == 0 {
		return
	}
	if !scaling.listingInstances && scaling.nextInstanceList.IsOpen(c.now) {
		scaling.listingInstances = true
		c.emit(ListInstances{})
	}
	if !scaling.nextDecision.IsOpen(c.now) {
		return
	}
	scaling.nextDecision.Close(c.now + max(tuning.ScalingInterval, 2*c.pace()))
	c.planReturns()
	if !scaling.hasInstanceList {
		return
	}
	machines := c.machines()
	pending := c.pendingWork(machines)
	c.planCordons(machines, pending)
	c.planReservations(machines, pending)
	c.planResting(machines, pending)
	c.planScaleOut(machines, pending)
}

// onInstancesListed takes the cloud's list of this deployment's instances.
func (c *Controller) onInstancesListed(answer InstancesListed) {
	scaling := &c.scaling
	scaling.listingInstances = false
	scaling.nextInstanceList.Close(c.now + tuning.InstanceListInterval)
	if !answer.OK {
		return
	}
	scaling.hasInstanceList = true
	scaling.instances = map[string]domain.Instance{}
	for _, instance := range answer.Instances {
		scaling.instances[instance.Name] = instance
		delete(scaling.unlisted, instance.Name)
		if _, known := scaling.knownSince[instance.Name]; !known {
			scaling.knownSince[instance.Name] = c.now - time.Duration(instance.HeldSeconds*float64(time.Second))
		}
	}
	scaling.forgetInstances(c.now)
}

// forgetInstances forgets what is in no list any more and was known long ago.
func (s *scaling) forgetInstances(now time.Duration) {
	for name, since := range s.knownSince {
		_, listed := s.instances[name]
		_, unlisted := s.unlisted[name]
		if !listed && !unlisted && now-since > tuning.ForgetInstanceAfter {
			delete(s.knownSince, name)
			delete(s.idleSince, name)
		}
	}
}

// machineState is a machine that the leader counts on or has to care for.
type machineState struct {
	domain.Instance
	isReporting bool             // by its owner, lately
	cordon      domain.Cordon    // the committed one
	free        domain.Resources // as committed
	tasks       int              // booked there
}

// machines joins the cloud's list, own rentals and what the controllers hear, ordered by
// name. Those that are gone, or of a type not known, are left out.
func (c *Controller) machines() []machineState {
	all := map[string]*machineState{}
	for name, instance := range c.scaling.instances {
		all[name] = &machineState{Instance: instance}
	}
	c.addUnlisted(all)
	c.addReporting(all)
	var machines []machineState
	for name, m := range all {
		if c.cache.isReturned(name) {
			continue
		}
		m.cordon = c.cache.cordons[name]
		machineType := c.cache.machineType(m.Type)
		if machineType == nil {
			continue
		}
		m.free = c.cache.freeOn(name, machineType.Capacity, nil)
		m.tasks = len(c.cache.bookedOn[name])
		machines = append(machines, *m)
	}
	slices.SortFunc(machines, func(a, b machineState) int { return strings.Compare(a.Name, b.Name) })
	return machines
}

// addUnlisted adds the rented instances that no list has yet, and forgets those that no list
// ever had: they are gone again.
func (c *Controller) addUnlisted(all map[string]*machineState) {
	scaling := &c.scaling
	for name, instance := range scaling.unlisted {
		switch {
		case all[name] != nil:
		case c.now-scaling.knownSince[name] > tuning.UnlistedTimeout+2*c.cfg.ListLag:
			delete(scaling.unlisted, name)
		default:
			all[name] = &machineState{Instance: instance}
		}
	}
}

// addReporting adds the machines that any controller hears, and notes which these are.
func (c *Controller) addReporting(all map[string]*machineState) {
	for _, heard := range c.inventory() {
		m := all[heard.name]
		if m == nil {
			m = &machineState{Instance: domain.Instance{
				Name: heard.name, Addr: heard.addr, Type: heard.machineType, Zone: heard.zone, Spot: heard.spot,
				Status: domain.InstanceRunning,
			}}
			all[heard.name] = m
		}
		m.isReporting = true
		if _, known := c.scaling.knownSince[heard.name]; !known {
			c.scaling.knownSince[heard.name] = c.now
		}
	}
}

// planReturns returns drained machines to the cloud. Only after the cloud's 200 is a machine
// cordoned as gone, which proves its tasks off.
func (c *Controller) planReturns() {
	scaling := &c.scaling
	if scaling.returning || !scaling.nextReturn.IsOpen(c.now) {
		return
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.cache.cordons)) {
		if len(names) == tuning.MaxReturnsAtOnce {
			break
		}
		if c.mayReturn(name) {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		scaling.returning = true
		c.emit(ReturnMachines{Names: names})
	}
}

// mayReturn tells whether a machine may be returned now: it drains, by a cordon that the cache
// has in full, and isn't returned already. Where nothing is wrong with it but that it was idle
// or its tasks failed, those still booked there end first.
func (c *Controller) mayReturn(name string) bool {
	cordon := c.cache.cordons[name]
	if cordon.State != domain.CordonDrain {
		return false
	}
	if _, changes := c.cordons.requested[name]; changes {
		return false
	}
	if c.cache.revision < c.cache.modRevisions[codec.PrefixCordons+c.cordonPageOf(name)] {
		return false
	}
	waitsForTasks := cordon.Reason == domain.DrainIdle || cordon.Reason == domain.DrainFaulty
	return !waitsForTasks || len(c.cache.bookedOn[name]) == 0
}

// onReturnAnswered cordons as gone what the cloud took back.
func (c *Controller) onReturnAnswered(answer ReturnAnswered) {
	scaling := &c.scaling
	scaling.returning = false
	if !answer.OK {
		scaling.nextReturn.Close(c.now + tuning.ReturnRetry)
		return
	}
	for _, name := range answer.Names {
		c.requestCordon(name, domain.Cordon{State: domain.CordonGone})
	}
	c.info("machines returned", "machines", answer.Names)
}

// silenceContext is what tells whether a machine that nobody hears is at fault itself.
type silenceContext struct {
	peersFresh bool            // every controller is heard, so that one of them should hear it
	leaving    map[string]bool // machines that the cloud takes back soon
	cutOff     map[string]bool // zones that are cut off
}

// planCordons drains machines that failed, are stuck or were idle for long.
func (c *Controller) planCordons(machines []machineState, pending []pendingWork) {
	review := silenceContext{c.arePeersFresh(), c.leavingMachines(), c.cutOffZones(machines)}
	for i := range machines {
		m := &machines[i]
		if m.cordon.State != "" {
			continue
		}
		trackSince(c.scaling.idleSince, m.Name, m.isReporting && m.tasks == 0, c.now)
		trackSince(c.scaling.silentSince, m.Name, review.isSilent(m), c.now)
		if reason := c.drainReason(m, pending); reason != "" {
			c.requestCordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: reason})
		}
	}
}

// cutOffZones are the zones of which most machines are unheard: each is cut off for now, and
// its machines get their time anew when they can be heard again.
func (c *Controller) cutOffZones(machines []machineState) map[string]bool {
	heard, unheard, cutOff := map[string]int{}, map[string]int{}, map[string]bool{}
	for i := range machines {
		m := &machines[i]
		switch {
		case m.isReporting:
			heard[m.Zone]++
		case m.Status == domain.InstanceRunning:
			unheard[m.Zone]++
		}
	}
	downSince := c.scaling.zoneDownSince
	for _, zone := range c.cfg.Zones {
		isDown := unheard[zone] > heard[zone] && unheard[zone] > tuning.FewZoneMachines
		trackSince(downSince, zone, isDown, c.now)
		cutOff[zone] = isDown && c.now-downSince[zone] < tuning.ZoneOutageTimeout
	}
	return cutOff
}

// trackSince keeps since when something has held for a machine or zone without a break.
func trackSince(since map[string]time.Duration, name string, holds bool, now time.Duration) {
	if !holds {
		delete(since, name)
	} else if _, known := since[name]; !known {
		since[name] = now
	}
}

// isSilent tells whether nobody hears a running machine, though every controller is heard and
// nothing else explains it.
func (r *silenceContext) isSilent(m *machineState) bool {
	return r.peersFresh && m.Status == domain.InstanceRunning && !m.isReporting && m.tasks == 0 && !r.leaving[m.Name] && !r.cutOff[m.Zone]
}

// drainReason is the reason to drain a machine; "": none.
func (c *Controller) drainReason(m *machineState, pending []pendingWork) string {
	switch {
	case m.Status == domain.InstanceFailed:
		return domain.DrainFailed
	case c.isStuck(m):
		return domain.DrainStuck
	case c.isIdleTooLong(m) && (c.scaling.resting[m.Name] || !c.isNeeded(m, pending)):
		return domain.DrainIdle
	}
	return ""
}

// isStuck tells whether a machine boots for too long, or is unheard for too long.
func (c *Controller) isStuck(m *machineState) bool {
	scaling := &c.scaling
	bootPatience := time.Duration(tuning.BootTimeoutFactor * c.cache.machineType(m.Type).BootSeconds * float64(time.Second))
	if m.Status == domain.InstanceBooting && !m.isReporting && c.now-scaling.knownSince[m.Name] > bootPatience {
		return true
	}
	since, unheard := scaling.silentSince[m.Name]
	return unheard && c.now-since > tuning.NoHeartbeatTimeout
}

// isIdleTooLong tells whether a machine is idle for longer than it is worth its price. What is
// held for less than the least time that is charged isn't.
func (c *Controller) isIdleTooLong(m *machineState) bool {
	scaling := &c.scaling
	if !m.isReporting || m.tasks > 0 || c.now-scaling.knownSince[m.Name] <= tuning.MinChargedTime {
		return false
	}
	since, idle := scaling.idleSince[m.Name]
	return idle && c.now-since > c.idleTimeout(m)
}

// idleTimeout is how long an idle machine is kept.
func (c *Controller) idleTimeout(m *machineState) time.Duration {
	switch {
	case c.scaling.reserved[m.Name]:
		return tuning.ReservedIdleTimeout
	case c.scaling.resting[m.Name] && c.isLargeFleet():
		return tuning.RestingIdleTimeout // beyond the headroom, which grows with the fleet
	case m.Spot:
		return tuning.SpotIdleTimeout
	}
	return tuning.IdleTimeout
}

// isNeeded tells whether waiting work could run on a machine.
func (c *Controller) isNeeded(m *machineState, pending []pendingWork) bool {
	for i := range pending {
		work := &pending[i]
		hasZone := work.zones.left(m.Zone, int64(work.tasks)) > 0
		if hasZone && allowsMachine(work.spec, m.Type, m.Zone, m.Spot) && m.free.Fits(work.spec.Request) {
			return true
		}
	}
	return false
}
