package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/tuning"
)

type bounceMark struct{ shift, tally uint64 }

// move counts a machine's changes of override.
type move struct {
	n  int
	at time.Duration
}

type bounce struct {
	at     time.Duration
	owner  string
	weight int
	zone   string // the machine's
}

func enc(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // own records always encode
	}
	return b
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
func (c *Core) owner(v *View, machine, zone string) string {
	if v == nil {
		return ""
	}
	if o := v.Over[machine]; o != "" && slices.Contains(v.Serving, o) {
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
func (c *Core) zoneOf(machine string) string {
	if m := c.mach[machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return c.st.occ[machine].zone
}

// ownerOf a machine under the current view.
func (c *Core) ownerOf(machine string) string { return c.ownerIn(machine, "") }

// ownerIn is the same where the zone is at hand.
func (c *Core) ownerIn(machine, zone string) string {
	v := c.st.view
	if v == nil {
		return ""
	}
	if c.ownersOf != v {
		c.ownersOf, c.owners = v, map[string]string{}
	}
	o, ok := c.owners[machine]
	if !ok {
		if v.Zoned && zone == "" {
			zone = c.zoneOf(machine)
		}
		if o = c.owner(v, machine, zone); o != "" {
			c.owners[machine] = o
		}
	}
	return o
}

func (c *Core) isLeader() bool {
	return c.st.view != nil && c.st.view.Leader == c.cfg.Node && c.st.view.Members[c.cfg.Node] == c.inc
}

func (c *Core) owns(machine string) bool {
	v := c.st.view
	return v != nil && v.Members[c.cfg.Node] == c.inc && c.ownerOf(machine) == c.cfg.Node
}

// partOf tells whose queue a queued task belongs to. A part that doesn't
// serve falls to a hash over the view without any write.
func (c *Core) partOf(j *Job, t Task) string {
	p := t.Part
	if p == "" {
		p = j.H.Part
	}
	v := c.st.view
	if v == nil || slices.Contains(v.Serving, p) {
		return p
	}
	return rendezvous(j.ID, v.Serving)
}

// homeOf is the part of a job, where its tasks wait unless they were passed on.
func (c *Core) homeOf(j *Job) string { return c.partOf(j, Task{}) }

// adoptView takes a newer view from the watch and settles from when on this
// node owns each machine.
func (c *Core) adoptView(v *View) {
	old := c.st.view
	c.st.view, c.viewSeen = v, c.now
	// The confirmations so far were about the old view; the watch that brought
	// this one shows that it held at some time after the watch was sent.
	c.fenceAt = c.watchSent
	// Continuous: this incarnation saw the view just before this one.
	cont := old != nil && old.Epoch+1 == v.Epoch && old.Members[c.cfg.Node] == c.inc
	names := map[string]bool{}
	for n := range c.mach {
		names[n] = true
	}
	for n := range c.st.byMach {
		names[n] = true
	}
	for n := range names {
		if !c.owns(n) {
			c.unplaceMachine(n)
			// Known by its bookings alone: should its zone show again later in a
			// zoned view, ownership must begin then, not when it once began.
			if m := c.mach[n]; m != nil && m.Zone == "" {
				c.dropMachine(n)
			}
			continue
		}
		if cont && c.owner(old, n, c.zoneOf(n)) == c.cfg.Node {
			continue
		}
		c.takeOver(n)
	}
	c.placed = map[TaskID]string{}
	for _, m := range c.mach {
		m.queue = nil
	}
	for _, j := range c.st.jobs {
		j.queued = 0
	}
	for m := range c.overAt {
		if _, ok := v.Over[m]; !ok {
			delete(c.overAt, m)
		}
	}
	for m, o := range v.Over {
		if old == nil || old.Over[m] != o {
			c.overAt[m] = c.now
		}
		if old != nil && old.Over[m] != o {
			mv := c.moves[m]
			if c.now-mv.at > tuning.MoveMemory {
				mv.n = 0
			}
			c.moves[m] = move{mv.n + 1, c.now}
		}
	}
	c.doomed = map[doom]bool{} // their transactions named the old view
	c.tied = tie{}
	for team, by := range c.st.sums {
		for n, use := range by {
			if have := c.st.teams[team].Res[n]; !have.Holds(limited(use, c.cfg.Teams[team].Max)) {
				c.log(1, "bookings exceed a node's share", "team", team, "node", n, "share", have, "bookings", use)
			}
		}
	}
	if old == nil || old.Leader != v.Leader {
		c.fleet.reset(c.now)
	}
	args := []any{"epoch", v.Epoch, "leader", v.Leader, "serving", v.Serving, "overrides", len(v.Over)}
	if v.Zoned {
		args = append(args, "zoned", true)
	}
	c.log(1, "view", args...)
}

// takeOver starts this node's ownership of a machine.
func (c *Core) takeOver(name string) {
	m := c.mach[name]
	if m == nil {
		m = c.addMachine(name)
	}
	m.ownEpoch, m.ownSince, m.last200 = c.st.view.Epoch, c.now, -1
	m.heard = c.now + tuning.TakeoverSilence
	m.unheeded, m.sentBaton, m.spoke = 0, 0, -1
	m.deadShift = 0 // another owner may have known better meanwhile
	clear(m.sent)
}

// driveView proposes a new view where the member keys, or workers that can't
// reach their owners, ask for one. Only the conditional write decides.
func (c *Core) driveView() {
	if c.proposing || !c.synced || c.grant != grantMember || c.st.members[c.cfg.Node] != c.inc || c.now < c.proposeAt ||
		c.now < c.viewAt {
		return
	}
	c.viewAt = c.now + min(tuning.Tick, c.pace())
	v := c.st.view
	next := c.desiredView()
	if next == nil {
		return
	}
	epoch := uint64(0)
	if v != nil {
		epoch = v.Epoch
	}
	next.Epoch = epoch + 1
	c.proposing = true
	c.log(1, "proposing a view", "epoch", next.Epoch, "leader", next.Leader, "serving", next.Serving)
	c.commit(LaneView, Txn{
		When:  []Cond{{keyView, c.st.stamps[keyView]}},
		Apply: []Put{{Key: keyView, Value: enc(next)}},
	}, func(CommitResult, EvCommit) {
		c.proposing = false
		c.proposeAt = c.now + tuning.ProposePause + time.Duration(c.rng.Int64N(int64(tuning.ProposePause)))
	})
}

func (c *Core) desiredView() *View {
	v := c.st.view
	next := &View{Members: maps.Clone(c.st.members), Over: map[string]string{}}
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
			since, ok := c.offSince[n]
			if !ok {
				c.offSince[n], since = c.now, c.now
			}
			if c.now-since < tuning.ReserveAfter {
				continue
			}
			changed = true
		}
		delete(c.offSince, n)
		next.Serving = append(next.Serving, n)
	}
	bad, over, apart := c.unreachable()
	for n := range bad {
		if len(next.Serving) > 1 && slices.Contains(next.Serving, n) {
			next.Serving = slices.DeleteFunc(next.Serving, func(s string) bool { return s == n })
			changed = true
			for m := range c.bounces {
				delete(c.bounces, m)
			}
		}
	}
	if len(next.Serving) == 0 {
		next.Serving = names
	}
	// Overrides have room for some of the machines that zones apart from each
	// other part from their owners, and each would be a change of the view.
	next.Zoned = v.Zoned && !c.together()
	if len(apart) >= tuning.ApartMachines {
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
	most := max(8, (c.cfg.ValueB-tuning.ViewBytes)/tuning.OverBytes)
	if len(v.Over) > most && (c.formatOn() || c.limitsFell) {
		changed, overOnly = true, false
	}
	for _, m := range slices.Sorted(maps.Keys(v.Over)) {
		o := v.Over[m]
		if next.Zoned || len(next.Over) >= most {
			break
		}
		if c.wide() && c.now-c.overAt[m] > tuning.OverKeep {
			continue // its worker comes back if the reason is still there
		}
		if _, ok := next.Members[o]; ok && c.st.marks[m].State != MarkGone && rendezvous(m, next.Serving) != o {
			next.Over[m] = o
		}
	}
	for _, m := range slices.Sorted(maps.Keys(over)) {
		if _, was := next.Over[m]; !was && len(next.Over) >= most {
			continue
		}
		if next.Over[m] != c.cfg.Node {
			next.Over[m] = c.cfg.Node
			changed = true
			delete(c.bounces, m)
		}
	}
	if next.Zoned && !v.Zoned {
		clear(c.bounces)
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
	if !changed || overOnly && c.wide() && c.now-c.viewSeen < tuning.OverPause {
		return nil
	}
	return next
}

// together tells whether the zones are no longer apart: all serving nodes have
// been heard for a while. Only the leader's word counts, so that a node cut off
// from its peers alone doesn't decide.
func (c *Core) together() bool {
	if !c.peersFresh() {
		c.metAt = -1
		return false
	}
	if c.metAt < 0 {
		c.metAt = c.now
	}
	return c.isLeader() && c.now-c.metAt > tuning.ZonedKeep && c.now-c.viewSeen > tuning.ZonedKeep
}

// noteBounce remembers that a worker was sent on to its owner.
// One that had an answer in this epoch has lost its owner for certain; another
// may only just be looking for it.
func (c *Core) noteBounce(machine, zone, owner string, shift, tally, baton uint64) {
	// A late copy of a report says nothing about the machine now, and a machine
	// that answers don't reach comes round to all nodes: neither may move it
	// again and again.
	last := c.bounced[machine]
	if shift < last.shift || shift == last.shift && tally <= last.tally {
		return
	}
	c.bounced[machine] = bounceMark{shift, tally}
	if mv := c.moves[machine]; mv.n >= tuning.MovesMost && c.now-mv.at < tuning.MoveMemory {
		return
	}
	owner += "/" + c.st.view.Members[owner] // a new incarnation starts afresh
	weight := 1
	if baton == c.st.view.Epoch {
		weight = tuning.BounceCount
	}
	keep := c.bounces[machine][:0]
	for _, b := range c.bounces[machine] {
		if c.now-b.at < tuning.BounceWindow && b.owner == owner {
			keep = append(keep, b)
		}
	}
	c.bounces[machine] = append(keep, bounce{c.now, owner, weight, zone})
}

// unreachable returns the owners that several workers can't reach, single
// machines that this node should rather own, and machines of this zone that
// reach none of another's owners.
func (c *Core) unreachable() (nodes, machines map[string]bool, apart []string) {
	count := map[string][]string{}
	wide := c.wide()
	zones := map[string]string{}
	for m, bs := range c.bounces {
		n := 0
		first, last := c.now, time.Duration(0)
		owner := c.ownerIn(m, bs[len(bs)-1].zone)
		inc := owner + "/" + c.st.view.Members[owner]
		for _, b := range bs {
			if c.now-b.at < tuning.BounceWindow && b.owner == inc {
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
		if n >= tuning.BounceCount && (!wide || c.now-first >= tuning.BounceSettle && last-first >= tuning.BounceBack) {
			count[owner] = append(count[owner], m)
		}
		if n == 0 {
			delete(c.bounces, m)
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
		if p := c.peers[o]; p != nil {
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
		if p := c.peers[o]; across && (p == nil || c.now-p.at > tuning.PeerFresh) {
			apart = append(apart, count[o]...)
			continue
		}
		for _, m := range count[o] {
			machines[m] = true
		}
	}
	return nodes, machines, apart
}
