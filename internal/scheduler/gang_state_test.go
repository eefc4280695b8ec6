package scheduler

import (
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// formingGang returns a leader and a gang of 12 tasks in chunks of two, of which commits of four
// changes booked some. Eight of its tasks fit on each of two machines.
func formingGang(t *testing.T) (*Controller, *Job) {
	t.Helper()
	c, j := twoZoneLeader(t, func(header *codec.JobHeader) {
		header.Spec.Shape, header.Spec.TaskCount, header.Spec.Request.CPU = domain.Gang, 12, 2000
		header.TaskCount, header.ChunkSize, header.Inline = 12, 2, false
	})
	c.cfg.HeartbeatInterval = 3 * time.Second
	planTaskCommit(t, c)
	commitAll(t, c)
	if !j.isForming() || j.counts.booked >= 12 {
		t.Fatalf("%d of 12 tasks are booked, forming: %v", j.counts.booked, j.isForming())
	}
	return c, j
}

// TestFormingGangIsNotReleased checks that the owner of a machine keeps the bookings of a gang that
// is forming, starts none of them, and releases them once the gang lost one or is stopped.
func TestFormingGangIsNotReleased(t *testing.T) {
	c, j := formingGang(t)
	m := c.heartbeats.machines["n-000000"]
	m.sequence = 2 // a heartbeat after the booking, which lists no task
	for id := range c.cache.bookedOn[m.Name] {
		if refusal := c.startRefusalFor(m, j, id, j.task(id.Index)); refusal != gangIncomplete {
			t.Errorf("start of %v: refusal %d, want that the gang is incomplete", id, refusal)
		}
	}
	if releases, _ := c.provenReleases(); len(releases) > 0 {
		t.Errorf("%d bookings of a gang that is forming are released", len(releases))
	}
	lost := j.task(0)
	lost.State, lost.Machine = domain.Queued, ""
	c.setTask(j, 0, lost)
	if releases, _ := c.provenReleases(); j.isForming() || len(releases) != j.counts.booked {
		t.Errorf("forming: %v; %d of %d bookings are released after one was lost", j.isForming(), len(releases), j.counts.booked)
	}
}

// TestFormingGangWithoutRoomIsGivenUp checks that a gang in formation whose other tasks find no room
// gives up its bookings, and that later it forms anew with its time counted anew.
func TestFormingGangWithoutRoomIsGivenUp(t *testing.T) {
	c, j := formingGang(t)
	for name := range c.heartbeats.machines {
		c.heartbeats.machines[name].noBookingsUntil = c.now + time.Hour
	}
	stopped := func() uint64 {
		c.peers.inventoryAt = monotime.Instant{}
		d := c.newDraft()
		d.allowAll()
		c.planGangs(d)
		if d.headers[j.ID] == nil {
			return 0
		}
		return d.headers[j.ID].StopUpTo
	}
	if attempt := stopped(); attempt != 0 {
		t.Errorf("attempt %d is given up at once", attempt)
	}
	c.now += tuning.GangFormingTimeout + time.Second
	c.confirmNow()
	if attempt := stopped(); attempt != j.task(0).Attempt {
		t.Errorf("attempt %d is given up, want %d", attempt, j.task(0).Attempt)
	}
}

// TestGangWithLargeValues guards against a deployment whose values may be larger than a commit: no
// gang could be booked there, since room was kept for a value of the largest size.
func TestGangWithLargeValues(t *testing.T) {
	c, j := twoZoneLeader(t, gangOfTwo)
	c.cfg.ValueLimit = 2 * tuning.TxnBytes
	d := c.newDraft()
	c.planGangs(d)
	if booked := len(bookedIn(d, j)); booked == 0 {
		t.Error("the gang is not booked")
	}
}
