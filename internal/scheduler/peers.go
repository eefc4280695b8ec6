package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// peers is what the other controllers told in their last messages, and what is summed up over
// all shards.
type peers struct {
	byName         map[string]*peerState
	nextGossip     steady.Gate
	inventory      []inventoryMachine
	inventoryAt    steady.Instant
	inventoryEpoch uint64
	machinesByKind map[machineKind]int64 // of the inventory

	waitingCountedAt          steady.Instant
	waitingByShard            map[string]int64 // tasks that wait, less the preemptible ones and those late beyond all aims
	preemptibleWaitingByShard map[string]int64
	waitingTotal              int64
}

func newPeers() peers {
	return peers{byName: map[string]*peerState{}}
}

// peerState is what another controller told in its last message.
type peerState struct {
	heardAt  time.Duration
	epoch    uint64
	usable   bool    // the state service answers it
	load     float64 // mean of its machines, s, with what was passed there since
	machines []PeerMachine
	reserved map[string]bool // of the leader: machines kept for jobs that it places
	evicting map[string]bool // of the leader: machines that it wants emptied
	fits     map[fitKey]bool // whether it has a machine for such tasks, as far as asked
}

// addLoad counts tasks passed to the peer that it doesn't tell of yet; seconds is their run time.
// Four tasks or so run on a machine at once.
func (p *peerState) addLoad(seconds float64) {
	if n := len(p.machines); n > 0 {
		p.load += seconds / float64(4*n)
	}
}

// onPeerMessage takes what a peer tells, or its request for work.
func (c *Controller) onPeerMessage(received PeerMessageReceived) {
	message := received.Message
	if message.Steal != nil {
		c.onSteal(received.From, message.Steal)
		return
	}
	c.peers.byName[received.From] = &peerState{
		heardAt:  c.now,
		epoch:    message.Epoch,
		usable:   message.Usable,
		load:     message.Load,
		machines: message.Machines,
		reserved: setOf(message.Reserved),
		evicting: setOf(message.Evicting),
		fits:     map[fitKey]bool{},
	}
}

// setOf is the set of some names.
func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// roomiest is the shard with the most room for a job: slots free, else the least load.
func (c *Controller) roomiest(spec *domain.JobSpec) string {
	roomByShard, slotsByShard := c.roomByShard(spec)
	best, bestScore := c.cfg.Node, math.Inf(-1)
	for _, node := range c.cache.view.Serving {
		load := c.shardLoad(node)
		score := c.roomScore(node, spec, load, roomByShard[node], slotsByShard[node])
		if score > bestScore {
			best, bestScore = node, score
		}
	}
	return best
}

// roomByShard counts the tasks of a job that each shard's machines have room for, and those
// that they would have room for if they were empty.
func (c *Controller) roomByShard(spec *domain.JobSpec) (room, slots map[string]int64) {
	room, slots = map[string]int64{}, map[string]int64{}
	for _, m := range c.inventory() {
		machineType := c.cache.machineType(m.machineType)
		if machineType == nil || !allowsMachine(spec, m.machineType, m.zone, m.spot) || c.isReserved(m.name) {
			continue
		}
		free := roomBeside(c.cache.freeOn(m.name, machineType.Capacity, nil), c.cache.occupancy[m.name].preemptible.used, preemptible(spec))
		room[m.owner] += free.CountFitting(spec.Request, int64(spec.TaskCount))
		slots[m.owner] += machineType.Capacity.CountFitting(spec.Request, tuning.MaxCountedSlots)
	}
	return room, slots
}

// shardLoad is a shard's mean load as far as known, s.
func (c *Controller) shardLoad(node string) float64 {
	if node == c.cfg.Node {
		return c.meanLoad()
	}
	if peer := c.peers.byName[node]; peer != nil {
		return peer.load
	}
	return 0
}

// roomScore is how good a shard is for a job, by its load and the tasks of the job that it has
// room and slots for. What waits there is not in the bookings yet. Shards without room are
// compared by what waits for each of their slots: otherwise all jobs would go to the
// one whose backlog happens to be shortest.
func (c *Controller) roomScore(node string, spec *domain.JobSpec, load float64, room, slots int64) float64 {
	left, tasks := room-c.waitingIn(node, spec), int64(spec.TaskCount)
	switch {
	case !c.isLargeFleet():
		return float64(min(left, tasks))*1000 - load
	case left < tasks:
		return float64(left) / float64(max(slots, 1))
	}
	// Several shards have room for all of it. By load alone every controller would send all
	// small jobs to the same one for seconds, and that one has only its own share of the
	// changes to book them with.
	return 1e6 - float64(c.waitingIn(node, spec)) + float64(ownership.Hash(spec.ID, node)%1000)/1000
}

// waitingIn counts the tasks that wait in a shard and go ahead of those of a job, or may:
// not those of jobs late beyond all aims, and not preemptible ones, unless it is itself. Counted
// with these, the shards that a guest's idle work was sent to got no other work for
// minutes, and a fifth of the machines ran nothing else.
func (c *Controller) waitingIn(shard string, spec *domain.JobSpec) int64 {
	c.countWaiting()
	n := c.peers.waitingByShard[shard]
	if preemptible(spec) {
		n += c.peers.preemptibleWaitingByShard[shard]
	}
	return n
}

// countWaiting sums up the tasks of open jobs that wait, by shard. The sums are kept for half
// the pace of planning.
func (c *Controller) countWaiting() {
	if counted := c.peers.waitingCountedAt; counted.IsKnown() && c.now-counted.Time() <= c.pace()/2 {
		return
	}
	c.peers.waitingCountedAt = steady.At(c.now)
	c.peers.waitingByShard, c.peers.preemptibleWaitingByShard, c.peers.waitingTotal = map[string]int64{}, map[string]int64{}, 0
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) {
			continue
		}
		c.peers.waitingTotal += int64(j.counts.queued)
		switch {
		case preemptible(j.Header.Spec):
			c.peers.preemptibleWaitingByShard[c.cache.shardOf(j)] += int64(j.counts.queued)
		case !j.beyondAims:
			c.peers.waitingByShard[c.cache.shardOf(j)] += int64(j.counts.queued)
		}
	}
}

// inventoryMachine is a machine that some controller hears.
type inventoryMachine struct {
	name, addr, machineType, zone, owner string
	spot                                 bool
	agentEpoch                           uint64
	images                               map[string]time.Duration // images, of own machines
	toldImages                           []string                 // images, of others'
}

// hasImage tells whether the machine has fetched an image, as far as known.
func (m *inventoryMachine) hasImage(image string) bool {
	if m.images != nil {
		_, ok := m.images[image]
		return ok
	}
	return slices.Contains(m.toldImages, image)
}

// inventory lists the machines that take bookings, own ones and those that peers told of
// lately; the leader's is sorted by name. It is kept for as long as the pace of planning: what
// it says of others is older anyway, and a booking for an agent epoch or a cordon that changed
// meanwhile is never carried out.
func (c *Controller) inventory() []inventoryMachine {
	if c.peers.inventoryAt.Within(c.pace(), c.now) && c.peers.inventoryEpoch == c.cache.view.Epoch {
		return c.peers.inventory
	}
	machines := make([]inventoryMachine, 0, len(c.peers.inventory)+16)
	machines = c.appendOwnMachines(machines)
	machines = c.appendPeerMachines(machines)
	// Only the leader chooses among them; the others sum them up.
	if c.isLeader() {
		slices.SortFunc(machines, func(a, b inventoryMachine) int { return cmp.Compare(a.name, b.name) })
	}
	c.peers.inventory, c.peers.inventoryAt, c.peers.inventoryEpoch = machines, steady.At(c.now), c.cache.view.Epoch
	c.countKinds()
	return machines
}

// appendOwnMachines adds this controller's machines that take bookings.
func (c *Controller) appendOwnMachines(machines []inventoryMachine) []inventoryMachine {
	for name, m := range c.heartbeats.machines {
		if !c.isBookable(m) || !c.owns(name) {
			continue
		}
		machines = append(machines, inventoryMachine{
			name: name, addr: m.Addr, machineType: m.Type, zone: m.Zone, owner: c.cfg.Node,
			spot: m.Spot, agentEpoch: m.agentEpoch, images: m.images,
		})
	}
	return machines
}

// appendPeerMachines adds the machines that peers told of lately and own.
func (c *Controller) appendPeerMachines(machines []inventoryMachine) []inventoryMachine {
	for node, peer := range c.peers.byName {
		if c.now-peer.heardAt > 4*tuning.DrawInterval || node == c.cfg.Node {
			continue
		}
		for i := range peer.machines {
			m := &peer.machines[i]
			if m.Leaving || c.cache.cordons[m.Name].State != "" || c.ownerIn(m.Name, m.Zone) != node {
				continue
			}
			machines = append(machines, inventoryMachine{
				name: m.Name, addr: m.Addr, machineType: m.Type, zone: m.Zone, owner: node,
				spot: m.Spot, agentEpoch: m.AgentEpoch, toldImages: m.Images,
			})
		}
	}
	return machines
}

// countKinds counts the inventory's machines by kind, for estimates of slots.
func (c *Controller) countKinds() {
	c.peers.machinesByKind = map[machineKind]int64{}
	for i := range c.peers.inventory {
		m := &c.peers.inventory[i]
		if !c.isReserved(m.name) {
			c.peers.machinesByKind[machineKind{m.machineType, m.zone, m.spot}]++
		}
	}
}

// machineCount is how many machines this controller knows or was told of.
func (c *Controller) machineCount() int {
	machines := len(c.heartbeats.machines)
	for _, peer := range c.peers.byName {
		machines += len(peer.machines)
	}
	return machines
}

// pace is the least time between two plans, and between two walks over all
// machines: both take time in proportion to their number, and a controller has a
// small share of a processor.
func (c *Controller) pace() time.Duration {
	return min(tuning.MaxPace, time.Duration(c.machineCount())*tuning.PacePerMachine)
}

// gossip tells the peers of this controller's machines and loads, and whether the state
// service answers it; as the leader also which machines it reserves and evicts.
func (c *Controller) gossip() {
	if !c.peers.nextGossip.IsOpen(c.now) || c.cache.view == nil {
		return
	}
	c.peers.nextGossip.Close(c.now + max(tuning.DrawInterval/4, 2*c.pace()))
	message := PeerMessage{Epoch: c.cache.view.Epoch, Load: c.meanLoad(), Usable: c.membership.StateAnswers(c.now)}
	if c.mayAct() {
		message.Machines = c.gossipMachines()
	}
	if c.isLeader() {
		kept := maps.Clone(c.scaling.reserved)
		maps.Copy(kept, c.scaling.resting)
		message.Reserved = slices.Sorted(maps.Keys(kept))
		message.Evicting = slices.Sorted(maps.Keys(c.scaling.evicting))
	}
	for _, node := range c.cfg.Nodes {
		if node != c.cfg.Node {
			c.emit(SendPeerMessage{To: node, Message: message})
		}
	}
}

// gossipMachines are this controller's machines as peers are told of them.
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

// isAlive tells whether a machine was heard lately, in an agent epoch that was not abandoned,
// and is not gone.
func (c *Controller) isAlive(m *Machine) bool {
	return m.hasReported && c.now-m.lastReportAt <= tuning.SilenceTimeout &&
		!c.cache.isReturned(m.Name) && m.agentEpoch > m.abandonedEpoch
}
