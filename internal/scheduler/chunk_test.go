package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestChunksStayWithinValueLimit: bookings wait while a value is full, so the value never exceeds
// its limit, whatever tasks are booked, end and are booked again in whatever order.
func TestChunksStayWithinValueLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for round := 0; round < 40; round++ {
		c := actingController()
		n := (c.cfg.ValueLimit - tuning.PackSlack) / tuning.ChunkTaskBytes
		id := jobName(1)
		c.apply(domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: n, ChunkSize: n, Shard: "c-0", AcceptOrder: 3,
			Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: n}}), ModRevision: 3})
		j, largest := c.cache.jobs[id], 0
		for step := uint64(10); step < 300; step++ {
			d := c.newDraft()
			for k := 0; k < 8; k++ {
				i := r.IntN(n)
				switch {
				case d.changed[domain.TaskID{Job: id, Index: i}]:
				case j.task(i).State == domain.Queued && d.hasRoomToGrow(j, i):
					d.book(j, i, bookingPlace{fmt.Sprintf("n-%06d", 1+r.IntN(1+round*40)), "ab"[round%2 : round%2+1], 1 + step%3}, j.task(i).Attempt+1)
				case j.task(i).State == domain.Booked && r.IntN(2) == 0 && d.hasRoomToEnd(j, i, false):
					d.release(j, i, false)
				}
			}
			if !c.planner.assumeMaxBookingBytes && c.hasValueTooLarge(d.transaction()) {
				c.planner.assumeMaxBookingBytes = true // planned again with room for the longest texts, as in planCommit
				continue
			}
			c.planner.assumeMaxBookingBytes = false
			for _, p := range d.transaction().Puts {
				if largest = max(largest, len(p.Value)); len(p.Value) > c.cfg.ValueLimit {
					t.Fatalf("round %d: %s has %d bytes, more than the limit of a value", round, p.Key, len(p.Value))
				}
				c.apply(domain.KeyValue{Key: p.Key, Value: p.Value, ModRevision: step})
			}
		}
		if largest < 300 {
			t.Fatalf("round %d: too little was booked to test the limit", round)
		}
	}
}
