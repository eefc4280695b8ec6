package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// peers is what the other controllers last told, and what is summed up over all shards.
type peers struct {
	byName         map[string]*peerState
	nextGossipAt   time.Duration
	inventory      []inventoryMachine
	inventoryAt    time.Duration // < 0: none
	inventoryEpoch uint64
	machinesByKind map[machineKind]int64 // of the inventory

	waitingCountedAt          time.Duration    // < 0: not yet
	waitingByShard            map[string]int64 // tasks that wait, less the preemptible ones
	preemptibleWaitingByShard map[string]int64
	waitingTotal              int64
}

func newPeers() peers {
	return peers{byName: map[string]*peerState{}, inventoryAt: -1, waitingCountedAt: -1}
}

// peerState is what another node last told.
type peerState struct {
	heardAt  time.Duration
	epoch    uint64
	usable   bool
	load     float64
	machines []PeerMachine
	reserved map[string]bool
	evicting map[string]bool
	fits     map[fitKey]bool
}

func (c *Controller) onPeerMessage(e PeerMessageReceived) {
	m := e.Message
	if m.Steal != nil {
		c.onSteal(e.From, m.Steal)
		return
	}
	p := &peerState{fits: map[fitKey]bool{}, heardAt: c.now, epoch: m.Epoch, usable: m.Usable, load: m.Load, machines: m.Machines, reserved: map[string]bool{}, evicting: map[string]bool{}}
	for _, h := range m.Reserved {
		p.reserved[h] = true
	}
	for _, h := range m.Evicting {
		p.evicting[h] = true
	}
	c.peers.byName[e.From] = p
}

// roomiest is the part with the most room for a job: slots free, else the
// least load.
func (c *Controller) roomiest(sp *domain.JobSpec) string {
	room, slots := map[string]int64{}, map[string]int64{}
	for _, m := range c.inventory() {
		if f := c.machineType(m.machineType); f != nil && c.allowsMachine(sp, m.machineType, m.zone, m.spot) && !c.isReserved(m.name) {
			free := roomBeside(c.freeOn(m.name, f.Capacity, nil), c.cache.occupancy[m.name].preemptible.used, preemptible(sp))
			room[m.owner] += free.CountFitting(sp.Request, int64(sp.TaskCount))
			slots[m.owner] += f.Capacity.CountFitting(sp.Request, 64)
		}
	}
	best, bestV := c.cfg.Node, math.Inf(-1)
	for _, n := range c.cache.view.Serving {
		load := 0.0
		if n == c.cfg.Node {
			load = c.meanLoad()
		} else if p := c.peers.byName[n]; p != nil {
			load = p.load
		}
		// What waits there is not in the bookings yet. Parts without room are
		// compared by what waits for each of their slots: otherwise all jobs
		// would go to the one whose backlog happens to be shortest.
		left := room[n] - c.waitingIn(n, sp)
		v := float64(min(left, int64(sp.TaskCount)))*1000 - load
		if c.isLargeFleet() {
			v = float64(left) / float64(max(slots[n], 1))
			if left >= int64(sp.TaskCount) {
				// Several parts have room for all of it. By load alone every node would
				// send all small jobs to the same one for seconds, and that one has
				// only its own part of the changes to book them with.
				v = 1e6 - float64(c.waitingIn(n, sp)) + float64(hash64(sp.ID, n)%1000)/1000
			}
		}
		if v > bestV {
			best, bestV = n, v
		}
	}
	return best
}

// waitingIn counts the tasks that wait in a part and go ahead of those of a job, or may:
// not those of jobs late beyond all aims, and not those that yield to it. Counted
// with these, the parts that a guest's idle work was sent to got no other work for
// minutes, and a fifth of the machines ran nothing else.
func (c *Controller) waitingIn(part string, sp *domain.JobSpec) int64 {
	c.countWaiting()
	n := c.peers.waitingByShard[part]
	if preemptible(sp) {
		n += c.peers.preemptibleWaitingByShard[part]
	}
	return n
}

// countWaiting sums up the tasks of open jobs that wait, by part.
func (c *Controller) countWaiting() {
	if c.peers.waitingCountedAt >= 0 && c.now-c.peers.waitingCountedAt <= c.pace()/2 {
		return
	}
	c.peers.waitingCountedAt = c.now
	c.peers.waitingByShard, c.peers.preemptibleWaitingByShard, c.peers.waitingTotal = map[string]int64{}, map[string]int64{}, 0
	for _, j := range c.cache.openJobs {
		if j.counts.queued == 0 || placedByLeader(j.Header.Spec) {
			continue
		}
		c.peers.waitingTotal += int64(j.counts.queued)
		switch {
		case preemptible(j.Header.Spec):
			c.peers.preemptibleWaitingByShard[c.shardOf(j)] += int64(j.counts.queued)
		case !j.beyondAims:
			c.peers.waitingByShard[c.shardOf(j)] += int64(j.counts.queued)
		}
	}
}

// inventoryMachine is a machine that some node hears.
type inventoryMachine struct {
	name, addr, machineType, zone, owner string
	spot                                 bool
	agentEpoch                           uint64
	images                               map[string]time.Duration // images, of own machines
	toldImages                           []string                 // images, of others'
}

func (m *inventoryMachine) hasImage(image string) bool {
	if m.images != nil {
		_, ok := m.images[image]
		return ok
	}
	return slices.Contains(m.toldImages, image)
}

// inventory lists the machines that take bookings, own ones and those that
// peers told of lately; the leader's is sorted by name. It is kept for as long as the pace of
// planning: what it says of others is older anyway, and a booking for a session
// or a mark that changed meanwhile is never carried out.
func (c *Controller) inventory() []inventoryMachine {
	if c.peers.inventoryAt >= 0 && c.now-c.peers.inventoryAt < c.pace() && c.peers.inventoryEpoch == c.cache.view.Epoch {
		return c.peers.inventory
	}
	l := make([]inventoryMachine, 0, len(c.peers.inventory)+16)
	for name, m := range c.heartbeats.machines {
		if c.isBookable(m) && c.owns(name) {
			l = append(l, inventoryMachine{name, m.Addr, m.Type, m.Zone, c.cfg.Node, m.Spot, m.agentEpoch, m.images, nil})
		}
	}
	for n, p := range c.peers.byName {
		if c.now-p.heardAt > 4*tuning.DrawEvery || n == c.cfg.Node {
			continue
		}
		for i := range p.machines {
			m := &p.machines[i]
			if m.Leaving || c.cache.cordons[m.Name].State != "" || c.ownerIn(m.Name, m.Zone) != n {
				continue
			}
			l = append(l, inventoryMachine{m.Name, m.Addr, m.Type, m.Zone, n, m.Spot, m.AgentEpoch, nil, m.Images})
		}
	}
	// Only the leader chooses among them; the others sum them up.
	if c.isLeader() {
		slices.SortFunc(l, func(a, b inventoryMachine) int { return cmp.Compare(a.name, b.name) })
	}
	c.peers.inventory, c.peers.inventoryAt, c.peers.inventoryEpoch = l, c.now, c.cache.view.Epoch
	// Slots by kind of machine, for estimates.
	c.peers.machinesByKind = map[machineKind]int64{}
	for i := range l {
		if !c.isReserved(l[i].name) {
			c.peers.machinesByKind[machineKind{l[i].machineType, l[i].zone, l[i].spot}]++
		}
	}
	return l
}

// pace is the least time between two plans, and between two walks over all
// machines: both take time in proportion to their number, and a node has a
// small part of a processor.
func (c *Controller) pace() time.Duration {
	n := len(c.heartbeats.machines)
	for _, p := range c.peers.byName {
		n += len(p.machines)
	}
	return min(tuning.MaxPace, time.Duration(n)*tuning.PaceMachine)
}

// gossip sends this node's machines and loads, and whether the state service
// answers it.
func (c *Controller) gossip() {
	if c.now < c.peers.nextGossipAt || c.cache.view == nil {
		return
	}
	c.peers.nextGossipAt = c.now + max(tuning.DrawEvery/4, 2*c.pace())
	msg := PeerMessage{Epoch: c.cache.view.Epoch, Load: c.meanLoad(), Usable: c.membership.StateAnswers(c.now)}
	acting := c.mayAct()
	for _, name := range c.machineNames() {
		m := c.heartbeats.machines[name]
		if !acting || !c.owns(name) || !m.heardOnce || c.now-m.heardAt > tuning.Silent || c.cache.cordons[name].State == domain.CordonGone ||
			m.agentEpoch <= m.abandonedEpoch {
			continue
		}
		msg.Machines = append(msg.Machines, PeerMachine{
			Name: name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Leaving: m.preemptionAt >= 0 || !c.isBookable(m), AgentEpoch: m.agentEpoch, Load: c.load(m),
			Images: slices.Sorted(maps.Keys(m.images)),
		})
	}
	if c.isLeader() {
		both := maps.Clone(c.scaling.reserved)
		maps.Copy(both, c.scaling.resting)
		msg.Reserved = slices.Sorted(maps.Keys(both))
		msg.Evicting = slices.Sorted(maps.Keys(c.scaling.evicting))
	}
	for _, n := range c.cfg.Nodes {
		if n != c.cfg.Node {
			c.emit(SendPeerMessage{To: n, Message: msg})
		}
	}
}
