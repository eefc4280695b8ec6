package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// largeFleetLeader returns the leader of a fleet of 2,000 machines in two zones. Its settings have
// the smallest sizes of values and transactions in use.
func largeFleetLeader() *Controller {
	controllers := []string{"c-0", "c-1", "c-2", "c-3"}
	c := New(Settings{Controller: "c-0", Controllers: controllers, Zones: []string{"a", "b"}, ValueLimit: 4096, TransactionLimit: 8,
		ZoneOf:   map[string]string{"c-0": "a", "c-1": "b", "c-2": "a", "c-3": "b"},
		FenceAge: 7 * time.Second, HeartbeatInterval: 5 * time.Second, WorkerLease: 31 * time.Second}, "c-0.1")
	members := map[string]string{}
	for _, controller := range controllers {
		members[controller] = controller + ".1"
	}
	c.cache.members = members
	c.cache.view = &domain.View{Epoch: 3, Leader: "c-0", Members: members, Serving: controllers}
	c.cache.machineTypes = []domain.MachineType{{Name: "box", Capacity: domain.Resources{CPU: 16000, GPU: 4000, Memory: 64000}, Zones: []string{"a", "b"}}}
	c.membership.CacheLoaded()
	for i := 0; i < 2000; i++ {
		name, zone := fmt.Sprintf("n-%06d", i), []string{"a", "b"}[i%2]
		if owner := c.ownerIn(name, zone); owner == "c-0" {
			c.recordHeartbeat(c.heartbeats.addMachine(name), &domain.Heartbeat{Machine: name, Type: "box", Zone: zone, AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
		} else {
			if c.peers.byName[owner] == nil {
				c.peers.byName[owner] = &peerState{fits: map[fitKey]bool{}}
			}
			c.peers.byName[owner].machines = append(c.peers.byName[owner].machines, PeerMachine{Name: name, Zone: zone, AgentEpoch: 1})
		}
	}
	c.advance(time.Minute, func(string) bool { return true })
	return c
}

// advance lets time pass in steps of 500 ms. Machines and peers for which heard returns true send
// heartbeats and gossip. The state service answers and the fence holds.
func (c *Controller) advance(duration time.Duration, heard func(string) bool) {
	for end := c.now + duration; c.now < end; {
		c.now += 500 * time.Millisecond
		c.confirmNow()
		for name, peer := range c.peers.byName {
			if heard(name) {
				peer.receivedAt = c.now
			}
		}
		for name, m := range c.heartbeats.machines { // every 5 s, at a different time for each machine
			if at := time.Duration(ownership.Hash(name)%10) * 500 * time.Millisecond; heard(name) && c.owns(name) && c.now%(5*time.Second) == at {
				m.lastReportAt, m.ownedReportAt = c.now, c.now
			}
		}
		c.reviewMachines()
	}
}

// TestMachinesOfUnreachableZoneAreNotCordoned checks that machines are not drained as lost when
// their whole zone is cut off, so that no heartbeats arrive from any of them. In a scenario with
// 1,333 machines 771 were cordoned as lost and returned within 40 s, because machines that had just
// been taken over counted as having sent heartbeats.
func TestMachinesOfUnreachableZoneAreNotCordoned(t *testing.T) {
	c := largeFleetLeader()
	inB := func(name string) bool { return c.cfg.ZoneOf[name] == "b" || c.zoneOf(name) == "b" }
	c.advance(6*time.Second, func(name string) bool { return !inB(name) })
	view := *c.cache.view
	view.Epoch, view.Serving = 4, []string{"c-0", "c-2"}
	view.Members = map[string]string{"c-0": "c-0.1", "c-2": "c-2.1"}
	c.adoptView(&view)
	for i := 0; i < 2000; i++ { // machines of controllers that left are taken over because of their bookings
		if name := fmt.Sprintf("n-%06d", i); c.owns(name) && c.heartbeats.machines[name] == nil {
			c.takeOwnership(name)
			c.heartbeats.machines[name].Zone, c.heartbeats.machines[name].hasReported = []string{"a", "b"}[i%2], true
		}
	}
	c.advance(90*time.Second, func(name string) bool { return !inB(name) })
	for i := 0; i < 16; i++ { // the machines and controllers of the zone return one after the other
		c.advance(500*time.Millisecond, func(name string) bool { return !inB(name) || ownership.Hash(name, "back")%16 < uint64(i) })
	}
	c.advance(30*time.Second, func(string) bool { return true })
	if len(c.cordons.requested) > 0 {
		t.Errorf("%d machines of the unreachable zone were drained, want 0", len(c.cordons.requested))
	}
	// A tenth of the machines hang: these are to be drained as lost.
	c.advance(time.Minute, func(name string) bool { return ownership.Hash(name)%10 != 0 })
	if n := len(c.cordons.requested); n < 50 || n > 150 {
		t.Errorf("%d of about 100 machines without heartbeats were drained, want 50 to 150", n)
	}
}

// TestZonePartitionSplitsOwnership checks the case that hundreds of machines can't reach owners in
// another zone at the same time, which are too many for the list of overrides. One change of the
// view then assigns machines to the controllers of their own zone, until all controllers receive
// each other's messages again.
func TestZonePartitionSplitsOwnership(t *testing.T) {
	c := largeFleetLeader()
	sameZone := func(name string) bool { return c.cfg.ZoneOf[name] != "b" }
	c.advance(5*time.Second, sameZone)
	redirectAll := func(sequence uint64) {
		for i := 0; i < 2000; i += 2 {
			name := fmt.Sprintf("n-%06d", i)
			if owner := c.ownerIn(name, "a"); c.cfg.ZoneOf[owner] == "b" {
				c.recordRedirect(&domain.Heartbeat{Machine: name, Zone: "a", AgentEpoch: 1, Sequence: sequence, FencingToken: 3}, owner)
			}
		}
	}
	redirectAll(2)
	if view := c.desiredView(); view != nil {
		t.Fatalf("one redirect per machine changed the view: %+v", view)
	}
	c.advance(7*time.Second, sameZone)
	if view := c.desiredView(); view != nil {
		t.Fatalf("machines that were redirected only once changed the view: %+v", view)
	}
	redirectAll(3)
	c.advance(time.Second, sameZone)
	view := c.desiredView()
	if view == nil || !view.OwnedByZone || len(view.OwnerOverrides) > 0 || len(view.Serving) != 4 {
		t.Fatalf("view after repeated redirects: %+v, want a zoned view of 4 controllers without overrides", view)
	}
	view.Epoch = 4
	c.adoptView(view)
	for i := 0; i < 2000; i++ {
		name, zone := fmt.Sprintf("n-%06d", i), []string{"a", "b"}[i%2]
		if owner := c.ownerIn(name, zone); c.cfg.ZoneOf[owner] != zone {
			t.Fatalf("%s in zone %s belongs to %s", name, zone, owner)
		}
	}
	// A machine whose zone is unknown has no owner, so no controller owns it by mistake.
	if owner := c.ownerOf("n-999999"); owner != "" {
		t.Errorf("a machine of unknown zone belongs to %s", owner)
	}
	c.advance(20*time.Second, sameZone)
	if view := c.desiredView(); view != nil && !view.OwnedByZone {
		t.Error("the view was no longer zoned while the zones were still partitioned")
	}
	for i := 0; i < 30; i++ {
		c.advance(time.Second, func(string) bool { return true })
		if view = c.desiredView(); view != nil {
			break
		}
	}
	if view == nil || view.OwnedByZone {
		t.Errorf("view after all controllers reached each other again: %+v, want one that is not zoned", view)
	}
}

// TestOverrideChangesAreRateLimited checks that overrides are added in few changes of the view,
// since each change fails all commits under way. When zones could not reach each other, thirteen
// views in four seconds added overrides.
func TestOverrideChangesAreRateLimited(t *testing.T) {
	c := largeFleetLeader()
	redirectMachines := func() {
		redirected := 0
		for i := 0; redirected < 5 && i < 2000; i++ {
			name := fmt.Sprintf("n-%06d", i)
			if owner := c.ownerIn(name, "a"); owner == "c-2" && c.views.redirects[name] == nil {
				redirected++
				c.views.redirects[name] = []redirect{{c.now - 8*time.Second, "c-2/c-2.1", 1, "a"}, {c.now - 2*time.Second, "c-2/c-2.1", 1, "a"}}
			}
		}
	}
	views := 0
	for i := 0; i < 24; i++ {
		redirectMachines()
		if view := c.desiredView(); view != nil {
			view.Epoch = c.cache.view.Epoch + 1
			c.adoptView(view)
			views++
		}
		c.advance(500*time.Millisecond, func(string) bool { return true })
	}
	if views < 2 || views > 4 {
		t.Errorf("%d views in 12 s, want 2 to 4", views)
	}
}

// TestDelayedHeartbeatsDontCountAsIgnoredReplies checks heartbeats that a network partition
// delayed, so that they all arrive at the same time. None of them can reflect the answer to the one
// before. Because they were counted, 31 machines were cordoned as not receiving answers, and
// returned.
func TestDelayedHeartbeatsDontCountAsIgnoredReplies(t *testing.T) {
	c := largeFleetLeader()
	m := c.heartbeats.machines[c.heartbeats.machineNames()[0]]
	m.answeredAt, m.sentToken = c.now, 3
	for i := uint64(2); i < 8; i++ {
		heartbeat := &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: m.Zone, AgentEpoch: 1, Sequence: i, FencingToken: 2, PreemptionNotice: -1}
		c.detectLostReplies(m, heartbeat)
		c.recordHeartbeat(m, heartbeat, true)
		m.answeredAt = c.now
		c.now += time.Millisecond
	}
	if m.lostReplies != 0 {
		t.Errorf("%d delayed heartbeats count as ignoring an answer, want 0", m.lostReplies)
	}
	for i := uint64(8); i < 10; i++ {
		c.now += 5 * time.Second
		c.detectLostReplies(m, &domain.Heartbeat{AgentEpoch: 1, Sequence: i, FencingToken: 2})
	}
	if m.lostReplies != 2 {
		t.Errorf("%d heartbeats, each 5 s after an answer, count as ignoring it, want 2", m.lostReplies)
	}
}

// TestValuesOfOtherShardsAreCommittedSeparately checks that outcomes of tasks whose records are in
// values of other shards go into separate commits, one value each. When they were in one commit
// with the other changes, that commit failed each time the owner of the value wrote first: after a
// zone returned, none of its controllers' commits succeeded for the rest of the scenario.
func TestValuesOfOtherShardsAreCommittedSeparately(t *testing.T) {
	c := largeFleetLeader()
	revision := c.addEndedTasks("c-0/0", "c-1/0", "c-2/3", "c-0/1")
	var seen []string
	for i := 0; i < 12; i++ {
		c.now += time.Second
		c.confirmNow()
		c.planner.dirty = true
		c.planCommit()
		if c.commits.taskCommit == nil {
			continue
		}
		packs := ""
		for _, put := range c.commits.taskCommit.transaction.Puts {
			if strings.HasPrefix(put.Key, codec.PrefixPack) {
				packs += put.Key[len(codec.PrefixPack):] + " "
			}
		}
		seen = append(seen, packs)
		revision++
		c.onCommit(CommitAnswered{ID: c.commits.taskCommit.id, Result: domain.Committed, Revision: revision})
		c.cache.revision = revision
	}
	if want := []string{"c-0/0 c-0/1 ", "c-1/0 ", "c-2/3 "}; !slices.Equal(seen, want) {
		t.Errorf("packs written by each commit: %q, want %q", seen, want)
	}
}

// addEndedTasks adds a job in each of the packs. One task of each job has ended on a machine of
// this controller, a different one for each job. It returns the revision of the cache.
func (c *Controller) addEndedTasks(packs ...string) uint64 {
	var own []string
	for _, name := range c.heartbeats.machineNames() {
		if c.owns(name) && len(own) < len(packs) {
			own = append(own, name)
		}
	}
	revision := uint64(10)
	put := func(key string, value any) {
		revision++
		c.apply(domain.KeyValue{Key: key, Value: codec.Encode(value), ModRevision: revision})
	}
	for i, pack := range packs {
		id := fmt.Sprintf("job-00000%d", i)
		put(codec.KeyJob(id), &codec.JobHeader{State: domain.StateOpen, TaskCount: 2, ChunkSize: 2, Shard: pack[:3], Pack: pack,
			Spec: &domain.JobSpec{Class: "x", Team: "red", Shape: domain.Array, TaskCount: 2, Request: domain.Resources{CPU: 1000}}})
		chunk := &codec.ChunkValue{Texts: map[string]string{}}
		chunk.SetTasks(id, []domain.Task{{State: domain.Booked, Attempt: 1, Machine: own[i], AgentEpoch: 1, Shard: "c-0", Zone: c.zoneOf(own[i])}, {State: domain.Done}})
		put(codec.PrefixPack+pack, chunk)
		c.recordHeartbeat(c.heartbeats.machines[own[i]], &domain.Heartbeat{Machine: own[i], Type: "box", Zone: c.zoneOf(own[i]), AgentEpoch: 1, Sequence: 5, PreemptionNotice: -1,
			Tasks: []domain.TaskReport{{Task: domain.TaskID{Job: id, Index: 0}, Attempt: 1, State: domain.ReportedEnded, Cause: domain.CauseDone}}}, true)
	}
	c.cache.revision = revision
	return revision
}

// TestRefusalsLowerTheWriteRate checks that a controller uses more than an equal share of the write
// rate only until the state service refuses commits, since refusals hit users' submissions as well.
func TestRefusalsLowerTheWriteRate(t *testing.T) {
	c := largeFleetLeader()
	c.cfg.WriteRate, c.cfg.FairWriteRate, c.commits.rate, c.commits.tokens = 8, 5, 8, 8
	c.addEndedTasks("c-0/0")
	commitWith := func(result domain.CommitResult) {
		c.now += 2 * time.Second
		c.confirmNow()
		c.planner.dirty = true
		c.Step(c.now, Tick{})
		if c.commits.taskCommit == nil {
			t.Fatalf("no task commit at %v", c.now)
		}
		c.onCommit(CommitAnswered{ID: c.commits.taskCommit.id, Result: result})
	}
	for i := 0; i < 12; i++ {
		commitWith(domain.Refused)
	}
	fair := 5 * tuning.LeaderWeight // the leader has more to write than the other controllers
	if c.commits.rate < fair || c.commits.rate > 1.1*fair {
		t.Errorf("write rate of %g changes/s after refusals, want about the fair one", c.commits.rate)
	}
	c.now += time.Minute
	commitWith(domain.Refused)
	if c.commits.rate < 1.2*fair {
		t.Errorf("write rate of %g changes/s a minute after refusals, want more", c.commits.rate)
	}
}
