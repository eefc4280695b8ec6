package scheduler

import (
	"fmt"
	"testing"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// twoZoneLeader returns a leader that may act, with two zones, and one open job of six tasks, or as
// changed by change. Each zone has one machine, which has room for four such tasks and has the
// job's image.
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

// spreadOfFour changes a job to four tasks that must be spread over zones, two in each.
func spreadOfFour(header *codec.JobHeader) {
	header.Spec.Spread, header.TaskCount, header.ChunkSize, header.Spec.TaskCount = true, 4, 4, 4
}

// gangOfTwo changes a job to a gang of two tasks.
func gangOfTwo(header *codec.JobHeader) {
	header.Spec.Shape, header.TaskCount, header.ChunkSize, header.Spec.TaskCount = domain.Gang, 2, 2, 2
}

// TestZoneRulesAcrossPasses guards against tasks in a wrong zone. The leader makes two passes over
// its jobs in one plan. The second pass must count what the first one booked in the draft, which is
// not committed yet; when it did not, it chose a zone anew
// (docs/incidents/production-wrong-place.md).
func TestZoneRulesAcrossPasses(t *testing.T) {
	for name, test := range map[string]struct {
		guard  Guard
		change func(*codec.JobHeader)
		want   string
	}{
		"one zone":                    {"", func(h *codec.JobHeader) { h.Spec.OneZone = true }, "map[a:4]"},
		"one zone, draft not counted": {GuardDraft, func(h *codec.JobHeader) { h.Spec.OneZone = true }, "map[a:4 b:2]"},
		"at most half per zone":       {"", spreadOfFour, "map[a:2 b:2]"},
		"zone named by the job":       {"", func(h *codec.JobHeader) { h.Spec.OneZone, h.Spec.Zone = true, "b" }, "map[b:4]"},
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

// bookedIn counts a draft's booked tasks of a job by zone, without placementOf and bookedZones.
func bookedIn(d *draft, j *Job) map[string]int {
	zones := map[string]int{}
	for i := 0; i < j.Header.TaskCount; i++ {
		if task := d.peek(j, i); task.State == domain.Booked {
			zones[task.Zone]++
		}
	}
	return zones
}

// TestSpreadLimitCountsDraft checks the limit of tasks per zone across the leader's two passes. Only
// one zone has room, for all tasks, but half of them may be there; the second pass must not book the
// other half.
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

// TestOneZoneJobInTwoZones checks that a job that must be in one zone, but whose tasks an earlier
// version put in two, gets no more tasks until those in one of the zones have ended, and then all
// further ones in the other.
func TestOneZoneJobInTwoZones(t *testing.T) {
	c, j := twoZoneLeader(t, func(h *codec.JobHeader) { h.Spec.OneZone = true })
	for i, zone := range c.cfg.Zones {
		c.setTask(j, i, domain.Task{State: domain.Booked, Attempt: 1, Machine: fmt.Sprintf("n-%06d", i), AgentEpoch: 1, Shard: "c-0", Zone: zone})
	}
	d := c.newDraft()
	c.planGangs(d)
	if booked := len(d.changed); booked != 0 {
		t.Errorf("%d further tasks are booked while the job is in two zones, want 0", booked)
	}
	c.setTask(j, 0, domain.Task{State: domain.Done})
	d = c.newDraft()
	c.planGangs(d)
	if got := fmt.Sprint(bookedIn(d, j)); got != "map[b:4]" {
		t.Errorf("booked by zone %s, want all in b", got)
	}
}

// TestPlacementCountsTheDraft checks that placementOf and bookedZones count the releases, bookings
// and ends in a draft.
func TestPlacementCountsTheDraft(t *testing.T) {
	c, j := twoZoneLeader(t, func(h *codec.JobHeader) { h.Spec.OneZone = true })
	c.setTask(j, 0, domain.Task{State: domain.Booked, Attempt: 1, Machine: "n-000000", AgentEpoch: 1, Shard: "c-0", Zone: "a"})
	d := c.newDraft()
	d.release(j, 0, false)
	d.book(j, 1, bookingPlace{machine: "n-000001", zone: "b", agentEpoch: 1}, 1)
	d.finish(j, 2)
	if counts := placementOf(j, d); counts != (placement{queued: 4, booked: 1, done: 1}) {
		t.Errorf("placement in the draft: %+v, want 4 queued, 1 booked, 1 done", counts)
	}
	if counts := placementOf(j, nil); counts != (placement{queued: 5, booked: 1}) {
		t.Errorf("committed placement: %+v, want 5 queued, 1 booked", counts)
	}
	if got := fmt.Sprint(bookedZones(j, d), bookedZones(j, nil)); got != "map[b:1] map[a:1]" {
		t.Errorf("booked tasks by zone, in the draft and committed: %s, want map[b:1] map[a:1]", got)
	}
}

// TestBookedGangStaysPlaceable checks that a gang that the first pass booked does not count as
// one that found no place: a gang with the same placement key must still be tried in the second
// pass.
func TestBookedGangStaysPlaceable(t *testing.T) {
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

// TestGangFinishesTogether guards against a gang that never ends. One draft has the end of one task
// and the release of the other, whose machine lost its lease. Both tasks must be done; when the
// second was queued again, no plan ever considered the job again.
func TestGangFinishesTogether(t *testing.T) {
	for guard, want := range map[Guard]domain.JobState{"": domain.StateDone, GuardDraft: domain.StateOpen} {
		t.Run(fmt.Sprintf("without guard %q", guard), func(t *testing.T) {
			c, j := twoZoneLeader(t, gangOfTwo)
			c.cfg.DisabledGuard = guard
			d := releasePartlyDoneGang(c, j)
			if got := d.header(j).State; got != want {
				t.Errorf("the job's state is %s, want %s", got, want)
			}
		})
	}
}

// releasePartlyDoneGang returns a draft with the releases of a gang's two tasks: the first is done,
// and the agent of the second's machine began a new epoch.
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

// TestHalfDoneGangFinishes checks that a gang that an earlier version left with one task done and
// one queued is finished.
func TestHalfDoneGangFinishes(t *testing.T) {
	c, j := twoZoneLeader(t, gangOfTwo)
	c.setTask(j, 0, domain.Task{State: domain.Done})
	c.setTask(j, 1, domain.Task{State: domain.Queued, Attempt: 1})
	d := c.newDraft()
	c.planGangs(d)
	if got := d.header(j).State; got != domain.StateDone {
		t.Errorf("the job's state is %s, want done", got)
	}
}
