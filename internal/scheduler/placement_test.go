package scheduler

import (
	"fmt"
	"testing"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// twoZoneLeader is a leader that may act, with a machine for four tasks in each zone, both with the
// image, and one open job of n tasks.
func twoZoneLeader(t *testing.T, change func(*codec.JobHeader)) (*Controller, *Job) {
	t.Helper()
	c := actingController()
	c.cfg.Zones = []string{"a", "b"}
	for i, zone := range c.cfg.Zones {
		m := c.heartbeats.addMachine(fmt.Sprintf("n-%06d", i))
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: zone, AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1}, true)
		m.images["img"] = c.now
	}
	header := codec.JobHeader{State: domain.StateOpen, TaskCount: 6, ChunkSize: 6, Inline: true, Shard: "c-0", AcceptOrder: 2,
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, Priority: 1, TaskCount: 6, Request: domain.Resources{CPU: 4000}, Spot: true, Image: "img"}}
	change(&header)
	c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(1)), ModRevision: 5, Value: codec.Encode(header)})
	return c, c.cache.jobs[jobName(1)]
}

// spreadOfFour makes a job one of four tasks, half of which each zone may take.
func spreadOfFour(header *codec.JobHeader) {
	header.Spec.Spread, header.TaskCount, header.ChunkSize, header.Spec.TaskCount = true, 4, 4, 4
}

// gangOfTwo makes a job a gang of two tasks.
func gangOfTwo(header *codec.JobHeader) {
	header.Spec.Shape, header.TaskCount, header.ChunkSize, header.Spec.TaskCount = domain.Gang, 2, 2, 2
}

// TestZoneRulesAcrossPasses: the leader walks its jobs twice in one plan. The second walk must
// count what the first one booked in the same draft, of which no record exists yet. Before,
// it chose a zone anew (docs/incidents/production-wrong-place.md).
func TestZoneRulesAcrossPasses(t *testing.T) {
	for name, test := range map[string]struct {
		guard  Guard
		change func(*codec.JobHeader)
		want   string
	}{
		"one zone":                    {"", func(h *codec.JobHeader) { h.Spec.OneZone = true }, "map[a:4]"},
		"one zone, without the draft": {GuardDraft, func(h *codec.JobHeader) { h.Spec.OneZone = true }, "map[a:4 b:2]"},
		"at most half":                {"", spreadOfFour, "map[a:2 b:2]"},
		"anywhere in its own zone":    {"", func(h *codec.JobHeader) { h.Spec.OneZone, h.Spec.Zone = true, "b" }, "map[b:4]"},
	} {
		t.Run(name, func(t *testing.T) {
			c, j := twoZoneLeader(t, test.change)
			c.cfg.DisabledGuard = test.guard
			d := c.newDraft()
			c.planGangs(d)
			if got := fmt.Sprint(bookedIn(d, j)); got != test.want {
				t.Errorf("booked by zone %s, want %s", got, test.want)
			}
		})
	}
}

// bookedIn counts a draft's bookings of a job by zone, from its copies alone.
func bookedIn(d *draft, j *Job) map[string]int {
	zones := map[string]int{}
	for i := 0; i < j.Header.TaskCount; i++ {
		if task := d.peek(j, i); task.State == domain.Booked {
			zones[task.Zone]++
		}
	}
	return zones
}

// TestSpreadLimitCountsDraft: one machine's zone has room for all tasks, half of which may
// be there; the second walk must not book the other half.
func TestSpreadLimitCountsDraft(t *testing.T) {
	for guard, want := range map[Guard]int{"": 2, GuardDraft: 4} {
		t.Run(fmt.Sprintf("without guard %q", guard), func(t *testing.T) {
			c, j := twoZoneLeader(t, spreadOfFour)
			c.cfg.DisabledGuard = guard
			c.heartbeats.machines["n-000001"].noBookingsUntil = c.now + 1e9
			d := c.newDraft()
			c.planGangs(d)
			if got := bookedIn(d, j)["a"]; got != want {
				t.Errorf("%d tasks in one zone, want %d", got, want)
			}
		})
	}
}

// TestOneZoneJobInTwoZones: a job whose tasks an earlier version put in two zones gets no more
// until one zone is left, and then all further ones there.
func TestOneZoneJobInTwoZones(t *testing.T) {
	c, j := twoZoneLeader(t, func(h *codec.JobHeader) { h.Spec.OneZone = true })
	for i, zone := range c.cfg.Zones {
		c.setTask(j, i, domain.Task{State: domain.Booked, Attempt: 1, Machine: fmt.Sprintf("n-%06d", i), AgentEpoch: 1, Shard: "c-0", Zone: zone})
	}
	d := c.newDraft()
	c.planGangs(d)
	if booked := len(d.changed); booked != 0 {
		t.Errorf("%d tasks are booked while others are in two zones", booked)
	}
	c.setTask(j, 0, domain.Task{State: domain.Done})
	d = c.newDraft()
	c.planGangs(d)
	if got := fmt.Sprint(bookedIn(d, j)); got != "map[b:4]" {
		t.Errorf("booked by zone %s, want all in b", got)
	}
}

// TestPlacementCountsTheDraft: counts follow the draft, for releases as for bookings.
func TestPlacementCountsTheDraft(t *testing.T) {
	c, j := twoZoneLeader(t, func(h *codec.JobHeader) { h.Spec.OneZone = true })
	c.setTask(j, 0, domain.Task{State: domain.Booked, Attempt: 1, Machine: "n-000000", AgentEpoch: 1, Shard: "c-0", Zone: "a"})
	d := c.newDraft()
	d.release(j, 0, false)
	d.book(j, 1, bookingPlace{machine: "n-000001", zone: "b", agentEpoch: 1}, 1)
	d.finish(j, 2)
	if at := placementOf(j, d); at != (placement{queued: 4, booked: 1, done: 1}) {
		t.Errorf("in the draft: %+v", at)
	}
	if at := placementOf(j, nil); at != (placement{queued: 5, booked: 1}) {
		t.Errorf("committed: %+v", at)
	}
	if got := fmt.Sprint(bookedZones(j, d), bookedZones(j, nil)); got != "map[b:1] map[a:1]" {
		t.Errorf("zones %s", got)
	}
}

// TestBookedGangKindStaysPlaceable: a gang booked in the first walk found a place; one like it
// must be tried in the second walk, too.
func TestBookedGangKindStaysPlaceable(t *testing.T) {
	for guard, want := range map[Guard]int{"": 2, GuardDraft: 0} {
		t.Run(fmt.Sprintf("without guard %q", guard), func(t *testing.T) {
			c, j := twoZoneLeader(t, gangOfTwo)
			c.cfg.DisabledGuard = guard
			other := *j.Header
			spec := *j.Header.Spec
			spec.Image, other.Spec, other.AcceptOrder = "not there", &spec, 3
			c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(2)), ModRevision: 6, Value: codec.Encode(other)})
			d := c.newDraft()
			c.planGangs(d)
			for id, booked := range map[string]int{jobName(1): 2, jobName(2): want} {
				if got := len(d.copiedCells[id]) * 2; got != booked {
					t.Errorf("%d tasks of %s booked, want %d", got, id, booked)
				}
			}
		})
	}
}

// TestGangFinishesTogether: one task of a gang is done and the other's machine lost its lease,
// and both come into one draft. All are done; before, the second was queued again, and no
// plan ever looked at the job again.
func TestGangFinishesTogether(t *testing.T) {
	for guard, want := range map[Guard]domain.JobState{"": domain.StateDone, GuardDraft: domain.StateOpen} {
		t.Run(fmt.Sprintf("without guard %q", guard), func(t *testing.T) {
			c, j := twoZoneLeader(t, gangOfTwo)
			c.cfg.DisabledGuard = guard
			d := releasePartlyDoneGang(c, j)
			if got := d.header(j).State; got != want {
				t.Errorf("the job is %s, want %s", got, want)
			}
		})
	}
}

// releasePartlyDoneGang drafts the releases of a gang's two tasks: the first is done, the
// second's machine began a new agent epoch.
func releasePartlyDoneGang(c *Controller, j *Job) *draft {
	for i, name := range []string{"n-000000", "n-000001"} {
		c.setTask(j, i, domain.Task{State: domain.Booked, Attempt: 1, Machine: name, AgentEpoch: 1, Shard: "c-0", Zone: "a"})
	}
	done := c.heartbeats.machines["n-000000"]
	done.reported[domain.TaskID{Job: j.ID, Index: 0}] = domain.TaskReport{Task: domain.TaskID{Job: j.ID, Index: 0}, Attempt: 1, State: domain.ReportedEnded, Cause: domain.CauseDone}
	c.heartbeats.machines["n-000001"].agentEpoch = 2
	d := c.newDraft()
	c.planReleases(d)
	return d
}

// TestHalfDoneGangFinishes: a gang that an earlier version left with one task done and one
// queued comes to its end.
func TestHalfDoneGangFinishes(t *testing.T) {
	c, j := twoZoneLeader(t, gangOfTwo)
	c.setTask(j, 0, domain.Task{State: domain.Done})
	c.setTask(j, 1, domain.Task{State: domain.Queued, Attempt: 1})
	d := c.newDraft()
	c.planGangs(d)
	if got := d.header(j).State; got != domain.StateDone {
		t.Errorf("the job is %s", got)
	}
}
