package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// scaling is the leader's state for renting machines, reserving some for gangs, letting some
// become empty, and returning them. A new leader rebuilds it from the cloud's list and the cache.
// Maps whose comment names no other key are keyed by machine.
type scaling struct {
	// State reported by the cloud.

	instances           map[string]domain.Instance // the newest list
	unlisted            map[string]domain.Instance // rented, and not yet in a list
	knownSince          map[string]time.Duration   // when an instance was rented, listed or reporting for the first time
	hasInstanceList     bool                       // a list has arrived since this controller became leader
	listingInstances    bool                       // a list of instances has been requested
	nextInstanceList    monotime.Deadline
	listingMachineTypes bool          // a list of machine types has been requested
	nextMachineTypesAt  time.Duration // earliest time of the next list of machine types

	// Renting and returning.

	rentalCount  int                         // rentals requested in all terms as leader; part of their names
	rentals      map[string]rental           // requests without a final answer, by name
	rentalPauses map[machineKind]rentalPause // kinds of which the cloud had too few machines
	returning    bool                        // a return has been requested
	nextReturn   monotime.Deadline

	// Decisions of the leader.

	nextDecision monotime.Deadline
	reserved     map[string]bool   // kept for jobs that need a whole machine
	evicting     map[string]bool   // reserved machines whose other tasks are to be evicted now
	resting      map[string]bool   // shards queue no tasks on these, so that they become empty and can be returned
	nextLog      monotime.Deadline // for the debug message about all machines

	// Observations on which the decisions are based.

	gangTaskSeenAt map[string]time.Duration // when a task of a job that reserves machines was last seen there
	idleSince      map[string]time.Duration // sends heartbeats and has no tasks
	silentSince    map[string]time.Duration // running, but no controller receives its heartbeats
	zoneDownSince  map[string]time.Duration // most of the zone's machines are silent, by zone
	gangClasses    map[string]gangClass     // classes of jobs that reserve machines, by name
	gangTaskRate   map[string]float64       // their recently submitted tasks per second, by class
}

// gangClass is a class of jobs that reserve machines.
type gangClass struct {
	spec   *domain.JobSpec // of the most recently seen job of the class
	seenAt time.Duration   // when a job of the class was last open
}

// newScaling returns the state of a new leader. rentalCount is the number of rentals that this
// controller requested in earlier terms, since the names of rentals must be unique.
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

// scale refreshes the cloud's lists and decides at intervals which machines to return, drain,
// reserve, let rest and rent. It does so in this order, since each decision uses the earlier
// ones. It does nothing on controllers other than the leader.
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
	if !scaling.listingInstances && scaling.nextInstanceList.HasPassed(c.now) {
		scaling.listingInstances = true
		c.emit(ListInstances{})
	}
	if !scaling.nextDecision.HasPassed(c.now) {
		return
	}
	scaling.nextDecision.Set(c.now + max(tuning.ScalingInterval, 2*c.planInterval()))
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

// onInstancesListed stores the cloud's list of this deployment's instances.
func (c *Controller) onInstancesListed(answer InstancesListed) {
	scaling := &c.scaling
	scaling.listingInstances = false
	scaling.nextInstanceList.Set(c.now + tuning.InstanceListInterval)
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

// forgetInstances removes instances that are in no list any more and became known more than
// tuning.ForgetInstanceAfter ago.
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

// machineState describes a machine whose room the leader may use, or which it must drain or
// return.
type machineState struct {
	domain.Instance
	isReporting bool          // a controller has received its heartbeat recently
	cordon      domain.Cordon // committed cordon; zero: none
	free        machineRoom   // left by committed bookings
	tasks       int           // number of booked tasks
}

// machines combines the cloud's list, the machines rented here and those whose heartbeats any
// controller receives, sorted by name. Machines that are gone or whose type is unknown are left
// out.
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

// addUnlisted adds the rented instances that are in no list yet, and forgets those that never
// appeared in a list within the allowed time, since they no longer exist.
func (c *Controller) addUnlisted(all map[string]*machineState) {
	scaling := &c.scaling
	for name, instance := range scaling.unlisted {
		switch {
		case all[name] != nil:
		case c.now-scaling.knownSince[name] > tuning.UnlistedTimeout+2*c.cfg.InstanceListLag:
			delete(scaling.unlisted, name)
		default:
			all[name] = &machineState{Instance: instance}
		}
	}
}

// addReporting adds the machines whose heartbeats any controller receives, and marks them as
// reporting.
func (c *Controller) addReporting(all map[string]*machineState) {
	for _, reporting := range c.inventory() {
		m := all[reporting.name]
		if m == nil {
			m = &machineState{Instance: domain.Instance{
				Name: reporting.name, Addr: reporting.addr, Type: reporting.machineType, Zone: reporting.zone, Spot: reporting.spot,
				Status: domain.InstanceRunning,
			}}
			all[reporting.name] = m
		}
		m.isReporting = true
		if _, known := c.scaling.knownSince[reporting.name]; !known {
			c.scaling.knownSince[reporting.name] = c.now
		}
	}
}

// planReturns returns drained machines to the cloud. A machine is cordoned as gone only after the
// cloud answered 200, which proves that its tasks have stopped.
func (c *Controller) planReturns() {
	scaling := &c.scaling
	if scaling.returning || !scaling.nextReturn.HasPassed(c.now) {
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

// mayReturn reports whether a machine may be returned now: it drains under a committed cordon
// that the cache contains, and it isn't returned already. If it was drained for being idle or
// because its tasks failed, the tasks still booked there end first.
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

// onReturnAnswered cordons as gone the machines that the cloud took back.
func (c *Controller) onReturnAnswered(answer ReturnAnswered) {
	scaling := &c.scaling
	scaling.returning = false
	if !answer.OK {
		scaling.nextReturn.Set(c.now + tuning.ReturnRetry)
		return
	}
	for _, name := range answer.Names {
		c.requestCordon(name, domain.Cordon{State: domain.CordonGone})
	}
	c.info("machines returned", "machines", answer.Names)
}

// silenceContext holds other possible causes of a machine's silence, to determine whether the
// machine itself is at fault.
type silenceContext struct {
	peersFresh bool            // all serving controllers sent a message recently, so that the machine's owner would have named it
	leaving    map[string]bool // machines that the cloud takes back soon
	cutOff     map[string]bool // zones that are cut off
}

// planCordons drains machines that failed, are stuck or were idle for too long.
func (c *Controller) planCordons(machines []machineState, pending []pendingWork) {
	silence := silenceContext{c.hasRecentMessageFromAllPeers(), c.leavingMachines(), c.cutOffZones(machines)}
	for i := range machines {
		m := &machines[i]
		if m.cordon.State != "" {
			continue
		}
		trackSince(c.scaling.idleSince, m.Name, m.isReporting && m.tasks == 0, c.now)
		trackSince(c.scaling.silentSince, m.Name, silence.isSilent(m), c.now)
		if reason := c.drainReason(m, pending); reason != "" {
			c.requestCordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: reason})
		}
	}
}

// cutOffZones returns the zones most of whose machines are silent. Such a zone counts as cut off
// for a limited time, and the silence of its machines is measured anew once it is reachable
// again.
func (c *Controller) cutOffZones(machines []machineState) map[string]bool {
	reporting, silent, cutOff := map[string]int{}, map[string]int{}, map[string]bool{}
	for i := range machines {
		m := &machines[i]
		switch {
		case m.isReporting:
			reporting[m.Zone]++
		case m.Status == domain.InstanceRunning:
			silent[m.Zone]++
		}
	}
	downSince := c.scaling.zoneDownSince
	for _, zone := range c.cfg.Zones {
		isDown := silent[zone] > reporting[zone] && silent[zone] > tuning.FewZoneMachines
		trackSince(downSince, zone, isDown, c.now)
		cutOff[zone] = isDown && c.now-downSince[zone] < tuning.ZoneOutageTimeout
	}
	return cutOff
}

// trackSince records since when a condition has held without interruption for a machine or zone,
// and removes the entry when the condition doesn't hold.
func trackSince(since map[string]time.Duration, name string, holds bool, now time.Duration) {
	if !holds {
		delete(since, name)
	} else if _, known := since[name]; !known {
		since[name] = now
	}
}

// isSilent reports whether a running machine without tasks is silent for no known other cause: no
// controller receives its heartbeats although all serving controllers sent a message recently, the
// cloud isn't taking it back, and its zone isn't cut off.
func (r *silenceContext) isSilent(m *machineState) bool {
	return r.peersFresh && m.Status == domain.InstanceRunning && !m.isReporting && m.tasks == 0 && !r.leaving[m.Name] && !r.cutOff[m.Zone]
}

// drainReason returns the reason to drain a machine, or "" if there is none.
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

// isStuck reports whether a machine has been booting or silent for too long.
func (c *Controller) isStuck(m *machineState) bool {
	scaling := &c.scaling
	bootTimeout := time.Duration(tuning.BootTimeoutFactor * c.cache.machineType(m.Type).BootSeconds * float64(time.Second))
	if m.Status == domain.InstanceBooting && !m.isReporting && c.now-scaling.knownSince[m.Name] > bootTimeout {
		return true
	}
	since, isSilent := scaling.silentSince[m.Name]
	return isSilent && c.now-since > tuning.NoHeartbeatTimeout
}

// isIdleTooLong reports whether a machine has been idle for longer than it is kept. A machine
// held for no longer than the shortest time that is charged never counts.
func (c *Controller) isIdleTooLong(m *machineState) bool {
	scaling := &c.scaling
	if !m.isReporting || m.tasks > 0 || c.now-scaling.knownSince[m.Name] <= tuning.MinChargedTime {
		return false
	}
	since, idle := scaling.idleSince[m.Name]
	return idle && c.now-since > c.idleTimeout(m)
}

// idleTimeout returns how long an idle machine is kept.
func (c *Controller) idleTimeout(m *machineState) time.Duration {
	switch {
	case c.scaling.reserved[m.Name]:
		return tuning.ReservedIdleTimeout
	case c.scaling.resting[m.Name] && c.isLargeFleet():
		return tuning.RestingIdleTimeout // the other machines have the headroom, which grows with the fleet
	case m.Spot:
		return tuning.SpotIdleTimeout
	}
	return tuning.IdleTimeout
}

// isNeeded reports whether some pending work could run on a machine.
func (c *Controller) isNeeded(m *machineState, pending []pendingWork) bool {
	for i := range pending {
		work := &pending[i]
		hasZone := work.zones.left(m.Zone, int64(work.tasks)) > 0
		if hasZone && allowsMachine(work.spec, m.Type, m.Zone, m.Spot) && m.free.fits(roomForTask(work.spec)) {
			return true
		}
	}
	return false
}
