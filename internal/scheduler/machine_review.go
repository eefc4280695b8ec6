package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// silenceReview is the result of one review of all machines for those whose heartbeats have
// stopped.
type silenceReview struct {
	limit      time.Duration           // age of the last report from which a machine counts as silent
	zones      map[string]*zoneSilence // by zone
	responding int                     // machines with a heartbeat received within the limit
	silent     int                     // silent machines that are not yet cordoned, in all zones
}

// zoneSilence is the part of a silenceReview about one zone.
type zoneSilence struct {
	machines int        // all machines in the zone that this controller owns
	onTime   int        // of them, those whose next heartbeat is not overdue
	silent   []*Machine // of them, those that are silent and not yet cordoned
}

// zone returns the part of the review about a zone, and adds it if it is missing.
func (r *silenceReview) zone(name string) *zoneSilence {
	zone := r.zones[name]
	if zone == nil {
		zone = &zoneSilence{}
		r.zones[name] = zone
	}
	return zone
}

// isTooFewForPartition reports whether so few machines are silent that no network partition is
// assumed: the zone has at most tuning.FewZoneMachines, and in all zones together no more
// machines are silent than respond; or a single machine is silent and none responds.
func (r *silenceReview) isTooFewForPartition(zone *zoneSilence) bool {
	return zone.machines <= tuning.FewZoneMachines && r.silent <= r.responding || r.silent == 1 && r.responding == 0
}

// reviewMachines reviews all machines once per planInterval. It abandons agent epochs whose
// lease has expired, sends direct stops, and drains machines that are silent, ignore answers,
// or keep failing tasks.
func (c *Controller) reviewMachines() {
	if !c.mayAct() || !c.heartbeats.nextMachineReview.HasPassed(c.now) {
		return
	}
	c.heartbeats.nextMachineReview.Set(c.now + c.planInterval())
	c.adoptBookedMachines()
	review := silenceReview{limit: tuning.SilenceTimeout, zones: map[string]*zoneSilence{}}
	if !c.hasRecentMessageFromAllPeers() {
		review.limit = tuning.PartitionSilenceTimeout
	}
	c.Work.Machines += len(c.heartbeats.machines)
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if !c.owns(name) || c.cache.isReturned(name) {
			c.forgetIfSilent(m)
			continue
		}
		c.abandonExpiredEpoch(m)
		c.reviewSilence(m, &review)
	}
	c.drainSilent(&review)
	c.drainUnresponsiveAndFaulty(review.responding)
}

// adoptBookedMachines adds this controller's machines that are known by their bookings alone,
// because no heartbeat of theirs has been received since this controller became their owner.
// They count as silent tuning.TakeoverSilence later than other machines.
func (c *Controller) adoptBookedMachines() {
	for name := range c.cache.bookedOn {
		if c.heartbeats.machines[name] == nil && c.owns(name) {
			m := c.heartbeats.addMachine(name)
			m.ownedEpoch, m.ownedSince, m.lastReportAt = c.cache.view.Epoch, c.now, c.now+tuning.TakeoverSilence
		}
	}
}

// forgetIfSilent drops a machine that another controller owns, or that was returned, once it
// has been silent for tuning.ForgetMachineAfter. The owner keeps a returned machine for as
// long as it has bookings, which still have to be released.
func (c *Controller) forgetIfSilent(m *Machine) {
	if c.now-m.lastReportAt <= tuning.ForgetMachineAfter {
		return
	}
	if c.owns(m.Name) && len(c.cache.bookedOn[m.Name]) > 0 {
		return
	}
	c.heartbeats.dropMachine(m.Name)
}

// abandonExpiredEpoch abandons the agent epochs of a machine with bookings if its lease has
// expired for certain: an agent stops its tasks when its lease ends.
func (c *Controller) abandonExpiredEpoch(m *Machine) {
	if len(c.cache.bookedOn[m.Name]) == 0 || !c.hasMachineLeaseExpired(m) {
		return
	}
	last := max(m.agentEpoch, m.abandonedEpoch)
	for id := range c.cache.bookedOn[m.Name] {
		last = max(last, c.cache.jobs[id.Job].task(id.Index).AgentEpoch)
	}
	if last > m.abandonedEpoch {
		c.info("agent epoch abandoned", "machine", m.Name, "agent_epoch", last)
		m.abandonedEpoch = last
		c.planner.dirty = true
	}
}

// reviewSilence counts a machine as silent or as responding, and sends direct stops to one
// that responds. A machine without a recent heartbeat to this controller that is still in its
// grace period after a change of owner is neither.
func (c *Controller) reviewSilence(m *Machine, review *silenceReview) {
	zone := review.zone(c.zoneOf(m.Name))
	zone.machines++
	if c.now-m.lastReportAt > review.limit {
		if c.cache.cordons[m.Name].State == "" {
			zone.silent = append(zone.silent, m)
			review.silent++
		}
		return
	}
	if m.ownedReportAt < 0 || c.now-m.ownedReportAt > review.limit {
		return
	}
	review.responding++
	if c.now-m.ownedReportAt <= c.cfg.HeartbeatInterval+c.cfg.HeartbeatInterval/4 {
		zone.onTime++
	}
	c.sendDirectStops(m)
}

// drainSilent drains the machines that are silent, except in zones that look partitioned: those
// where more machines are silent than send heartbeats on time. If all machines of a controller
// or of one zone fall silent together, a network partition is more likely than lost machines.
// The machines come back when the partition ends. Draining them would return hundreds of machines
// with their images.
//
// The silent machines of a zone are compared with those whose heartbeats are not even late,
// not with all that count as responding. When a partition begins, the machines whose last
// heartbeats are oldest reach the limit first, and the others still count as responding.
//
// No machine of a zone is drained until tuning.PartitionSilenceTimeout after the zone last
// looked partitioned. When a partition ends, the machines come back one after the other.
//
// Neither exception applies if too few machines are silent for a partition
// (isTooFewForPartition).
func (c *Controller) drainSilent(review *silenceReview) {
	for _, name := range slices.Sorted(maps.Keys(review.zones)) {
		zone := review.zones[name]
		if len(zone.silent) == 0 {
			continue
		}
		tooFew := review.isTooFewForPartition(zone)
		if len(zone.silent) > zone.onTime && !tooFew {
			c.views.zoneSilentAt[name] = c.now
		}
		if silentAt, known := c.views.zoneSilentAt[name]; !tooFew && known && c.now-silentAt < tuning.PartitionSilenceTimeout {
			continue
		}
		for _, m := range zone.silent {
			c.requestCordon(m.Name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainLost})
		}
	}
}

// drainUnresponsiveAndFaulty drains the machines that ignore answers, and those whose tasks
// keep failing. If many machines ignore answers, this controller is more likely to be slow or
// cut off itself, and none is drained for that.
func (c *Controller) drainUnresponsiveAndFaulty(responding int) {
	ignoring := 0
	for _, m := range c.heartbeats.machines {
		if c.isMissingReplies(m) {
			ignoring++
		}
	}
	isOwnFault := ignoring > 2+responding/10
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if c.isMissingReplies(m) && !isOwnFault && c.ownsUncordoned(m) {
			c.requestCordon(name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainUnresponsive})
		}
		if len(m.failures) > 0 && c.ownsUncordoned(m) && c.isFaulty(m) {
			c.requestCordon(name, domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainFaulty})
		}
	}
}

// ownsUncordoned reports whether this controller owns the machine and the machine is not
// cordoned.
func (c *Controller) ownsUncordoned(m *Machine) bool {
	return c.owns(m.Name) && c.cache.cordons[m.Name].State == ""
}

// hasRecentMessageFromAllPeers reports whether the last message of every other serving
// controller is at most tuning.PeerFresh old.
func (c *Controller) hasRecentMessageFromAllPeers() bool {
	for _, controller := range c.cache.view.Serving {
		if peer := c.peers.byName[controller]; controller != c.cfg.Controller && (peer == nil || c.now-peer.receivedAt > tuning.PeerFresh) {
			return false
		}
	}
	return true
}
