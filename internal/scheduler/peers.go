package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// peers holds what the other controllers reported in their last messages, and sums over all
// shards.
type peers struct {
	byName         map[string]*peerState
	nextGossip     monotime.Deadline
	inventory      []inventoryMachine    // result of the last call of inventory that made a new list
	inventoryAt    monotime.Instant      // when that list was made; unset: never
	inventoryEpoch uint64                // epoch of the view under which it was made
	machinesByKind map[machineKind]int64 // number of machines in the inventory that are not reserved

	waitingCountedAt          monotime.Instant // when the following counts of waiting tasks were made
	waitingByShard            map[string]int64 // without preemptible tasks and those of jobs too late for any objective
	preemptibleWaitingByShard map[string]int64
	waitingTotal              int64
}

func newPeers() peers {
	return peers{byName: map[string]*peerState{}}
}

// peerState is what another controller reported in its last message.
type peerState struct {
	receivedAt     time.Duration // when that message came
	epoch          uint64
	stateReachable bool    // the state service responded to it recently
	load           float64 // mean load of its machines in seconds, with the tasks passed to it since
	machines       []PeerMachine
	reserved       map[string]bool // if it is the leader: machines kept for jobs that it places
	evicting       map[string]bool // if it is the leader: machines to be emptied
	fits           map[fitKey]bool // whether it has a machine for such tasks; filled when asked
}

// addLoad adds tasks that were passed to the peer and that its reported load doesn't include
// yet. seconds is the sum of their run times. About four tasks are assumed to run on a
// machine at the same time.
func (p *peerState) addLoad(seconds float64) {
	if n := len(p.machines); n > 0 {
		p.load += seconds / float64(4*n)
	}
}

// onPeerMessage handles a message of a peer: gossip, or a request to hand over tasks.
func (c *Controller) onPeerMessage(received PeerMessageReceived) {
	message := received.Message
	if message.Steal != nil {
		c.onSteal(received.From, message.Steal)
		return
	}
	c.peers.byName[received.From] = &peerState{
		receivedAt:     c.now,
		epoch:          message.Epoch,
		stateReachable: message.StateReachable,
		load:           message.Load,
		machines:       message.Machines,
		reserved:       setOf(message.Reserved),
		evicting:       setOf(message.Evicting),
		fits:           map[fitKey]bool{},
	}
}

// setOf returns the set of the names.
func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// shardWithMostRoom returns the shard with the highest roomScore for a job.
func (c *Controller) shardWithMostRoom(spec *domain.JobSpec) string {
	roomByShard, slotsByShard := c.roomByShard(spec)
	best, bestScore := c.cfg.Controller, math.Inf(-1)
	for _, controller := range c.cache.view.Serving {
		load := c.shardLoad(controller)
		score := c.roomScore(controller, spec, load, roomByShard[controller], slotsByShard[controller])
		if score > bestScore {
			best, bestScore = controller, score
		}
	}
	return best
}

// roomByShard returns for each shard how many tasks of a job its machines have room for, and
// how many they would have room for if they were empty (slots).
func (c *Controller) roomByShard(spec *domain.JobSpec) (room, slots map[string]int64) {
	room, slots = map[string]int64{}, map[string]int64{}
	for _, m := range c.inventory() {
		machineType := c.cache.machineType(m.machineType)
		if machineType == nil || !allowsMachine(spec, m.machineType, m.zone, m.spot) || c.isReserved(m.name) {
			continue
		}
		free := roomWithPreemption(c.cache.freeOn(m.name, machineType.Capacity, nil), c.cache.occupancy[m.name].preemptible.used, preemptible(spec))
		room[m.owner] += free.countFitting(roomForTask(spec), int64(spec.TaskCount))
		slots[m.owner] += machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
	}
	return room, slots
}

// shardLoad returns the mean load of a controller's shard in seconds, as far as known; 0 if
// it is unknown.
func (c *Controller) shardLoad(controller string) float64 {
	if controller == c.cfg.Controller {
		return c.meanLoad()
	}
	if peer := c.peers.byName[controller]; peer != nil {
		return peer.load
	}
	return 0
}

// roomScore returns how well a controller's shard suits a job, higher being better. load is
// the shard's mean load; room and slots are those of roomByShard. The tasks that wait in the
// shard are subtracted from its room, since they are not booked yet. There are three scales:
//   - In a small fleet, the score is 1000 for each task of the job that there is room for, less
//     the load in seconds.
//   - In a large fleet, the score of a shard without room for the whole job is the room per
//     slot. It is negative if more tasks wait than there is room for. If shards were compared by
//     the shortage itself, all jobs would go to the shard whose backlog happens to be shortest.
//   - In a large fleet, the score of a shard with room for the whole job is 1e6, which ranks it
//     above those without, less the tasks that wait in it. A fraction below 1, derived from the
//     job's ID and the controller, distinguishes shards where equally many tasks wait.
func (c *Controller) roomScore(controller string, spec *domain.JobSpec, load float64, room, slots int64) float64 {
	left, tasks := room-c.tasksWaitingAhead(controller, spec), int64(spec.TaskCount)
	switch {
	case !c.isLargeFleet():
		return float64(min(left, tasks))*1000 - load
	case left < tasks:
		return float64(left) / float64(max(slots, 1))
	}
	// Several shards have room for the whole job. If they were compared by load, every controller
	// would send all small jobs to the same shard for seconds, although that shard can book them
	// only with its own share of the deployment's writes.
	return 1e6 - float64(c.tasksWaitingAhead(controller, spec)) + float64(ownership.Hash(spec.ID, controller)%1000)/1000
}

// tasksWaitingAhead counts the waiting tasks in a shard that go, or may go, ahead of the
// tasks of a job. Tasks of jobs that are too late for any objective don't count, and
// preemptible tasks count only for a preemptible job. When all of these counted, the shards
// that got the preemptible work of a team without quota were given no other work for minutes,
// and a fifth of the machines ran nothing else.
func (c *Controller) tasksWaitingAhead(shard string, spec *domain.JobSpec) int64 {
	c.countWaiting()
	n := c.peers.waitingByShard[shard]
	if preemptible(spec) {
		n += c.peers.preemptibleWaitingByShard[shard]
	}
	return n
}

// countWaiting counts the waiting tasks of open jobs by shard, except for those of jobs that
// the leader places. The counts are kept for half of planInterval.
func (c *Controller) countWaiting() {
	if counted := c.peers.waitingCountedAt; counted.IsSet() && c.now-counted.Time() <= c.planInterval()/2 {
		return
	}
	c.peers.waitingCountedAt = monotime.At(c.now)
	c.peers.waitingByShard, c.peers.preemptibleWaitingByShard, c.peers.waitingTotal = map[string]int64{}, map[string]int64{}, 0
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) {
			continue
		}
		c.peers.waitingTotal += int64(j.counts.queued)
		switch {
		case preemptible(j.Header.Spec):
			c.peers.preemptibleWaitingByShard[c.cache.shardOf(j)] += int64(j.counts.queued)
		case !j.beyondObjectives:
			c.peers.waitingByShard[c.cache.shardOf(j)] += int64(j.counts.queued)
		}
	}
}

// inventoryMachine is a machine that takes bookings, as its owner knows it or reported it.
type inventoryMachine struct {
	name, addr, machineType, zone, owner string
	spot                                 bool
	agentEpoch                           uint64
	images                               map[string]time.Duration // own machines: when an image was last seen in use, by name
	peerImages                           []string                 // machines of peers: images reported by the owner
}

// hasImage reports whether the machine has fetched an image, as far as known.
func (m *inventoryMachine) hasImage(image string) bool {
	if m.images != nil {
		_, ok := m.images[image]
		return ok
	}
	return slices.Contains(m.peerImages, image)
}

// inventory returns the machines that take bookings: this controller's own and those that
// peers reported recently. On the leader they are sorted by name. The list is kept for
// planInterval: the reports about other controllers' machines are older than that anyway, and
// a booking for an agent epoch or a cordon that changed meanwhile is never carried out.
func (c *Controller) inventory() []inventoryMachine {
	if c.peers.inventoryAt.Within(c.planInterval(), c.now) && c.peers.inventoryEpoch == c.cache.view.Epoch {
		return c.peers.inventory
	}
	machines := make([]inventoryMachine, 0, len(c.peers.inventory)+16)
	machines = c.appendOwnMachines(machines)
	machines = c.appendPeerMachines(machines)
	// Only the leader chooses machines from the inventory; the other controllers sum it up.
	if c.isLeader() {
		slices.SortFunc(machines, func(a, b inventoryMachine) int { return cmp.Compare(a.name, b.name) })
	}
	c.peers.inventory, c.peers.inventoryAt, c.peers.inventoryEpoch = machines, monotime.At(c.now), c.cache.view.Epoch
	c.countMachineKinds()
	return machines
}

// appendOwnMachines appends this controller's machines that take bookings.
func (c *Controller) appendOwnMachines(machines []inventoryMachine) []inventoryMachine {
	for name, m := range c.heartbeats.machines {
		if !c.isBookable(m) || !c.owns(name) {
			continue
		}
		machines = append(machines, inventoryMachine{
			name: name, addr: m.Addr, machineType: m.Type, zone: m.Zone, owner: c.cfg.Controller,
			spot: m.Spot, agentEpoch: m.agentEpoch, images: m.images,
		})
	}
	return machines
}

// appendPeerMachines appends the machines that peers reported recently, if they take bookings
// and the view has the reporting peer as their owner.
func (c *Controller) appendPeerMachines(machines []inventoryMachine) []inventoryMachine {
	for controller, peer := range c.peers.byName {
		if c.now-peer.receivedAt > 4*tuning.DrawInterval || controller == c.cfg.Controller {
			continue
		}
		for i := range peer.machines {
			m := &peer.machines[i]
			if m.Leaving || c.cache.cordons[m.Name].State != "" || c.ownerIn(m.Name, m.Zone) != controller {
				continue
			}
			machines = append(machines, inventoryMachine{
				name: m.Name, addr: m.Addr, machineType: m.Type, zone: m.Zone, owner: controller,
				spot: m.Spot, agentEpoch: m.AgentEpoch, peerImages: m.Images,
			})
		}
	}
	return machines
}

// countMachineKinds counts the machines of the inventory by kind, for estimates of slots.
// Reserved machines don't count.
func (c *Controller) countMachineKinds() {
	c.peers.machinesByKind = map[machineKind]int64{}
	for i := range c.peers.inventory {
		m := &c.peers.inventory[i]
		if !c.isReserved(m.name) {
			c.peers.machinesByKind[machineKind{m.machineType, m.zone, m.spot}]++
		}
	}
}

// machineCount returns how many machines this controller knows, itself or from peers.
func (c *Controller) machineCount() int {
	machines := len(c.heartbeats.machines)
	for _, peer := range c.peers.byName {
		machines += len(peer.machines)
	}
	return machines
}

// planInterval returns the minimum time between two plans, and between two reviews of all
// machines. Both take time in proportion to the number of machines, and a controller has only
// a small share of a processor.
func (c *Controller) planInterval() time.Duration {
	return min(tuning.MaxPace, time.Duration(c.machineCount())*tuning.PacePerMachine)
}

// gossip reports this controller's machines and load to the peers, and whether the state
// service responds to it. The leader also reports which machines it reserves and evicts.
func (c *Controller) gossip() {
	if !c.peers.nextGossip.HasPassed(c.now) || c.cache.view == nil {
		return
	}
	c.peers.nextGossip.Set(c.now + max(tuning.DrawInterval/4, 2*c.planInterval()))
	message := PeerMessage{Epoch: c.cache.view.Epoch, Load: c.meanLoad(), StateReachable: c.membership.HasRecentStateResponse(c.now)}
	if c.mayAct() {
		message.Machines = c.gossipMachines()
	}
	if c.isLeader() {
		kept := maps.Clone(c.scaling.reserved)
		maps.Copy(kept, c.scaling.resting)
		message.Reserved = slices.Sorted(maps.Keys(kept))
		message.Evicting = slices.Sorted(maps.Keys(c.scaling.evicting))
	}
	for _, controller := range c.cfg.Controllers {
		if controller != c.cfg.Controller {
			c.emit(SendPeerMessage{To: controller, Message: message})
		}
	}
}

// gossipMachines returns this controller's machines as they are reported to peers.
func (c *Controller) gossipMachines() []PeerMachine {
	var machines []PeerMachine
	for _, name := range c.heartbeats.machineNames() {
		m := c.heartbeats.machines[name]
		if !c.owns(name) || !c.isAlive(m) {
			continue
		}
		machines = append(machines, PeerMachine{
			Name: name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Leaving: m.preemptionAt >= 0 || !c.isBookable(m), AgentEpoch: m.agentEpoch, Load: c.load(m),
			Images: slices.Sorted(maps.Keys(m.images)),
		})
	}
	return machines
}

// isAlive reports whether a machine has sent a report within tuning.SilenceTimeout, in an agent
// epoch that is not abandoned, and has not been returned to the cloud.
func (c *Controller) isAlive(m *Machine) bool {
	return m.hasReported && c.now-m.lastReportAt <= tuning.SilenceTimeout &&
		!c.cache.isReturned(m.Name) && m.agentEpoch > m.abandonedEpoch
}
