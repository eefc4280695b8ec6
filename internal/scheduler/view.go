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

// views is what this controller weighs when it proposes views, and what it derives from
// the present one.
type views struct {
	proposing       bool
	nextProposalAt  time.Duration
	nextReviewAt    time.Duration
	adoptedAt       time.Duration            // when the view was taken from the watch
	redirects       map[string][]redirect    // workers sent on to their owners, by machine
	lastRedirect    map[string]redirectMark  // newest heartbeat that was sent on, by machine
	notServingSince map[string]time.Duration // by controller
	peersHeardSince time.Duration            // since when all serving peers are heard; < 0: they aren't
	zoneSilentAt    map[string]time.Duration // when most of a zone's machines were last silent
	ownersView      *domain.View             // that ownerByMachine was made for
	ownerByMachine  map[string]string
	overrideChanges map[string]overrideChange // by machine
	overrideSeenAt  map[string]time.Duration  // when an override was first seen, by machine
}

func newViews() views {
	return views{
		peersHeardSince: -1, redirects: map[string][]redirect{}, lastRedirect: map[string]redirectMark{},
		notServingSince: map[string]time.Duration{}, zoneSilentAt: map[string]time.Duration{},
		overrideChanges: map[string]overrideChange{}, overrideSeenAt: map[string]time.Duration{},
	}
}

type redirectMark struct{ agentEpoch, sequence uint64 }

// overrideChange counts a machine's changes of override.
type overrideChange struct {
	count  int
	lastAt time.Duration
}

type redirect struct {
	at     time.Duration
	owner  string
	weight int
	zone   string // the machine's
}

// hash64 is FNV-1a with a finishing mix, for rendezvous hashing.
func hash64(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range parts {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func rendezvous(key string, nodes []string) string {
	best, bestH := "", uint64(0)
	for _, n := range nodes {
		if h := hash64(n, key); best == "" || h > bestH {
			best, bestH = n, h
		}
	}
	return best
}

// owner of a machine under a view: its override, or the rendezvous hash. While
// zones are apart it is the hash over the nodes of the machine's own zone, if any
// serve there. A machine never changes its zone, so whoever knows the zone finds
// the same owner; whoever doesn't finds none.
func (c *Controller) owner(v *domain.View, machine, zone string) string {
	if v == nil {
		return ""
	}
	if o := v.OwnerOverrides[machine]; o != "" && slices.Contains(v.Serving, o) {
		return o
	}
	if !v.Zoned {
		return rendezvous(machine, v.Serving)
	}
	if zone == "" {
		return ""
	}
	var near []string
	for _, n := range v.Serving {
		if c.cfg.ZoneOf[n] == zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = v.Serving
	}
	return rendezvous(machine, near)
}

// zoneOf a machine, as its reports or its bookings name it; "" if neither does.
func (c *Controller) zoneOf(machine string) string {
	if m := c.heartbeats.machines[machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return c.cache.occupancy[machine].zone
}

// ownerOf a machine under the current view.
func (c *Controller) ownerOf(machine string) string { return c.ownerIn(machine, "") }

// ownerIn is the same where the zone is at hand.
func (c *Controller) ownerIn(machine, zone string) string {
	v := c.cache.view
	if v == nil {
		return ""
	}
	if c.views.ownersView != v {
		c.views.ownersView, c.views.ownerByMachine = v, map[string]string{}
	}
	o, ok := c.views.ownerByMachine[machine]
	if !ok {
		if v.Zoned && zone == "" {
			zone = c.zoneOf(machine)
		}
		if o = c.owner(v, machine, zone); o != "" {
			c.views.ownerByMachine[machine] = o
		}
	}
	return o
}

func (c *Controller) isLeader() bool {
	return c.isMemberOf(c.cache.view) && c.cache.view.Leader == c.cfg.Node
}

func (c *Controller) owns(machine string) bool {
	return c.isMemberOf(c.cache.view) && c.ownerOf(machine) == c.cfg.Node
}

// taskShard tells whose queue a queued task belongs to. A part that doesn't
// serve falls to a hash over the view without any write.
func (c *Controller) taskShard(j *Job, t domain.Task) string {
	p := t.Shard
	if p == "" {
		p = j.Header.Shard
	}
	v := c.cache.view
	if v == nil || slices.Contains(v.Serving, p) {
		return p
	}
	return rendezvous(j.ID, v.Serving)
}

// shardOf is the part of a job, where its tasks wait unless they were passed on.
func (c *Controller) shardOf(j *Job) string { return c.taskShard(j, domain.Task{}) }

// adoptView takes a newer view from the watch and settles from when on this
// node owns each machine.
func (c *Controller) adoptView(v *domain.View) {
	old := c.cache.view
	c.cache.view, c.views.adoptedAt = v, c.now
	c.membership.ViewChanged()
	// Continuous: this incarnation saw the view just before this one.
	cont := c.isMemberOf(old) && old.Epoch+1 == v.Epoch
	names := map[string]bool{}
	for n := range c.heartbeats.machines {
		names[n] = true
	}
	for n := range c.cache.bookedOn {
		names[n] = true
	}
	for n := range names {
		if !c.owns(n) {
			c.dequeueAll(n)
			// Known by its bookings alone: should its zone show again later in a
			// zoned view, ownership must begin then, not when it once began.
			if m := c.heartbeats.machines[n]; m != nil && m.Zone == "" {
				c.dropMachine(n)
			}
			continue
		}
		if cont && c.owner(old, n, c.zoneOf(n)) == c.cfg.Node {
			continue
		}
		c.takeOwnership(n)
	}
	c.queues.machineOf = map[domain.TaskID]string{}
	for _, m := range c.heartbeats.machines {
		m.queue = nil
	}
	for _, j := range c.cache.jobs {
		j.queuedHere = 0
	}
	for m := range c.views.overrideSeenAt {
		if _, ok := v.OwnerOverrides[m]; !ok {
			delete(c.views.overrideSeenAt, m)
		}
	}
	for m, o := range v.OwnerOverrides {
		if old == nil || old.OwnerOverrides[m] != o {
			c.views.overrideSeenAt[m] = c.now
		}
		if old != nil && old.OwnerOverrides[m] != o {
			mv := c.views.overrideChanges[m]
			if c.now-mv.lastAt > tuning.OverrideChangeMemory {
				mv.count = 0
			}
			c.views.overrideChanges[m] = overrideChange{mv.count + 1, c.now}
		}
	}
	c.planner.pendingReleases = map[attemptID]bool{} // their transactions named the old view
	c.commits.inDoubt = inDoubtCommit{}
	for team, by := range c.cache.usage {
		for n, use := range by {
			if have := c.cache.shares[team].ByNode[n]; !have.Fits(limited(use, c.cfg.Teams[team].Limit)) {
				c.info("bookings exceed a node's share", "team", team, "node", n, "share", have, "bookings", use)
			}
		}
	}
	if old == nil || old.Leader != v.Leader {
		c.scaling.reset(c.now)
	}
	args := []any{"epoch", v.Epoch, "leader", v.Leader, "serving", v.Serving, "overrides", len(v.OwnerOverrides)}
	if v.Zoned {
		args = append(args, "zoned", true)
	}
	c.info("view", args...)
}

// takeOwnership starts this node's ownership of a machine.
func (c *Controller) takeOwnership(name string) {
	m := c.heartbeats.machines[name]
	if m == nil {
		m = c.addMachine(name)
	}
	m.ownedEpoch, m.ownedSince, m.answeredAt = c.cache.view.Epoch, c.now, -1
	m.heardAt = c.now + tuning.TakeoverSilence
	m.unheededReplies, m.sentToken, m.heartbeatAt = 0, 0, -1
	m.abandonedEpoch = 0 // another owner may have known better meanwhile
	clear(m.startsSent)
}

// proposeView proposes a new view where the member keys, or workers that can't
// reach their owners, ask for one. Only the conditional write decides.
func (c *Controller) proposeView() {
	if c.views.proposing || !c.membership.IsSynced() || !c.membership.HasMemberKey(c.cache.members[c.cfg.Node]) || c.now < c.views.nextProposalAt ||
		c.now < c.views.nextReviewAt {
		return
	}
	c.views.nextReviewAt = c.now + min(tuning.Tick, c.pace())
	v := c.cache.view
	next := c.desiredView()
	if next == nil {
		return
	}
	epoch := uint64(0)
	if v != nil {
		epoch = v.Epoch
	}
	next.Epoch = epoch + 1
	c.views.proposing = true
	c.info("proposing a view", "epoch", next.Epoch, "leader", next.Leader, "serving", next.Serving)
	c.commit(LaneView, domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}},
		Puts:       []domain.Put{{Key: codec.KeyView, Value: codec.Encode(next)}},
	}, func(domain.CommitResult, CommitAnswered) {
		c.views.proposing = false
		c.views.nextProposalAt = c.now + tuning.ProposePause + time.Duration(c.rng.Int64N(int64(tuning.ProposePause)))
	})
}

func (c *Controller) desiredView() *domain.View {
	v := c.cache.view
	next := &domain.View{Members: maps.Clone(c.cache.members), OwnerOverrides: map[string]string{}}
	changed := v == nil || !maps.Equal(v.Members, next.Members)
	names := slices.Sorted(maps.Keys(next.Members))
	if v == nil {
		next.Serving, next.Leader = names, names[0]
		return next
	}
	// Who serves: members, less those that no worker reached lately.
	for _, n := range names {
		was := v.Members[n] == next.Members[n]
		out := was && !slices.Contains(v.Serving, n)
		if out {
			since, ok := c.views.notServingSince[n]
			if !ok {
				c.views.notServingSince[n], since = c.now, c.now
			}
			if c.now-since < tuning.ServeAgainAfter {
				continue
			}
			changed = true
		}
		delete(c.views.notServingSince, n)
		next.Serving = append(next.Serving, n)
	}
	bad, over, apart := c.unreachableOwners()
	for n := range bad {
		if len(next.Serving) > 1 && slices.Contains(next.Serving, n) {
			next.Serving = slices.DeleteFunc(next.Serving, func(s string) bool { return s == n })
			changed = true
			for m := range c.views.redirects {
				delete(c.views.redirects, m)
			}
		}
	}
	if len(next.Serving) == 0 {
		next.Serving = names
	}
	// Overrides have room for some of the machines that zones apart from each
	// other part from their owners, and each would be a change of the view.
	next.Zoned = v.Zoned && !c.zonesReconnected()
	if len(apart) >= tuning.MinMachinesApart {
		next.Zoned = true
	}
	changed = changed || next.Zoned != v.Zoned
	overOnly := !changed
	if next.Zoned {
		clear(over)
	}
	for _, m := range apart {
		if !next.Zoned {
			over[m] = true
		}
	}
	// The view must stay under the size of a value, or it could never change
	// again: overrides have room up to a bound, and machines beyond it wait. Those
	// of a view written under larger limits are dropped beyond it: any node may own
	// a machine after a change of epoch.
	most := max(8, (c.cfg.ValueLimit-tuning.ViewBytes)/tuning.OverrideBytes)
	if len(v.OwnerOverrides) > most && (c.formatOn() || c.formats.limitsFell) {
		changed, overOnly = true, false
	}
	for _, m := range slices.Sorted(maps.Keys(v.OwnerOverrides)) {
		o := v.OwnerOverrides[m]
		if next.Zoned || len(next.OwnerOverrides) >= most {
			break
		}
		if c.isLargeFleet() && c.now-c.views.overrideSeenAt[m] > tuning.OverrideLifetime {
			continue // its worker comes back if the reason is still there
		}
		if _, ok := next.Members[o]; ok && c.cache.cordons[m].State != domain.CordonGone && rendezvous(m, next.Serving) != o {
			next.OwnerOverrides[m] = o
		}
	}
	for _, m := range slices.Sorted(maps.Keys(over)) {
		if _, was := next.OwnerOverrides[m]; !was && len(next.OwnerOverrides) >= most {
			continue
		}
		if next.OwnerOverrides[m] != c.cfg.Node {
			next.OwnerOverrides[m] = c.cfg.Node
			changed = true
			delete(c.views.redirects, m)
		}
	}
	if next.Zoned && !v.Zoned {
		clear(c.views.redirects)
	}
	next.Leader = v.Leader
	if v.Members[v.Leader] != next.Members[v.Leader] || next.Members[v.Leader] == "" || !slices.Contains(next.Serving, v.Leader) {
		next.Leader = next.Serving[0]
		for _, n := range next.Serving { // prefer one that stayed
			if v.Members[n] == next.Members[n] {
				next.Leader = n
				break
			}
		}
	}
	if !changed || overOnly && c.isLargeFleet() && c.now-c.views.adoptedAt < tuning.OverridePause {
		return nil
	}
	return next
}

// zonesReconnected tells whether the zones are no longer apart: all serving nodes have
// been heard for a while. Only the leader's word counts, so that a node cut off
// from its peers alone doesn't decide.
func (c *Controller) zonesReconnected() bool {
	if !c.peersFresh() {
		c.views.peersHeardSince = -1
		return false
	}
	if c.views.peersHeardSince < 0 {
		c.views.peersHeardSince = c.now
	}
	return c.isLeader() && c.now-c.views.peersHeardSince > tuning.MinZonedTime && c.now-c.views.adoptedAt > tuning.MinZonedTime
}

// recordRedirect remembers that a worker was sent on to its owner.
// One that had an answer in this epoch has lost its owner for certain; another
// may only just be looking for it.
func (c *Controller) recordRedirect(machine, zone, owner string, shift, tally, baton uint64) {
	// A late copy of a report says nothing about the machine now, and a machine
	// that answers don't reach comes round to all nodes: neither may move it
	// again and again.
	last := c.views.lastRedirect[machine]
	if shift < last.agentEpoch || shift == last.agentEpoch && tally <= last.sequence {
		return
	}
	c.views.lastRedirect[machine] = redirectMark{shift, tally}
	if mv := c.views.overrideChanges[machine]; mv.count >= tuning.MaxOverrideChanges && c.now-mv.lastAt < tuning.OverrideChangeMemory {
		return
	}
	owner += "/" + c.cache.view.Members[owner] // a new incarnation starts afresh
	weight := 1
	if baton == c.cache.view.Epoch {
		weight = tuning.RedirectCount
	}
	keep := c.views.redirects[machine][:0]
	for _, b := range c.views.redirects[machine] {
		if c.now-b.at < tuning.RedirectWindow && b.owner == owner {
			keep = append(keep, b)
		}
	}
	c.views.redirects[machine] = append(keep, redirect{c.now, owner, weight, zone})
}

// unreachableOwners returns the owners that several workers can't reach, single
// machines that this node should rather own, and machines of this zone that
// reach none of another's owners.
func (c *Controller) unreachableOwners() (nodes, machines map[string]bool, apart []string) {
	count := map[string][]string{}
	wide := c.isLargeFleet()
	zones := map[string]string{}
	for m, bs := range c.views.redirects {
		n := 0
		first, last := c.now, time.Duration(0)
		owner := c.ownerIn(m, bs[len(bs)-1].zone)
		inc := owner + "/" + c.cache.view.Members[owner]
		for _, b := range bs {
			if c.now-b.at < tuning.RedirectWindow && b.owner == inc {
				n += b.weight
				first, last = min(first, b.at), max(last, b.at)
				zones[m] = b.zone
			}
		}
		// In a wide fleet the workers of a node that ended come round before its
		// grant runs out, a whole part of them: the view without that node is
		// on its way, and moving them one by one would change the view again
		// and again, and leave their tasks in other parts' packs. Nodes also see a
		// new view one after the other, and send a worker to and fro meanwhile:
		// only one that came back after trying its owner in vain has lost it.
		if n >= tuning.RedirectCount && (!wide || c.now-first >= tuning.RedirectSettle && last-first >= tuning.RedirectReturn) {
			count[owner] = append(count[owner], m)
		}
		if n == 0 {
			delete(c.views.redirects, m)
		}
	}
	nodes, machines = map[string]bool{}, map[string]bool{}
	owners := slices.Sorted(maps.Keys(count))
	for _, o := range owners {
		if o == c.cfg.Node || o == "" {
			continue
		}
		sort.Strings(count[o])
		owned := 0
		if p := c.peers.byName[o]; p != nil {
			owned = len(p.machines)
		}
		// Workers of its own zone may well reach it, if all these are of another.
		across := wide && c.cfg.ZoneOf[o] != c.cfg.ZoneOf[c.cfg.Node]
		for _, m := range count[o] {
			across = across && zones[m] == c.cfg.ZoneOf[c.cfg.Node]
		}
		if n := len(count[o]); !across && n >= tuning.UnreachableMachines && 100*n > tuning.UnreachablePercent*owned {
			nodes[o] = true
			continue
		}
		if p := c.peers.byName[o]; across && (p == nil || c.now-p.heardAt > tuning.PeerFresh) {
			apart = append(apart, count[o]...)
			continue
		}
		for _, m := range count[o] {
			machines[m] = true
		}
	}
	return nodes, machines, apart
}
