package scheduler

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	json "github.com/goccy/go-json"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestChunkText: what is written is read back, for any mix of states, and a
// full job of booked tasks stays as short as packs are planned for.
func TestChunkText(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 300; round++ {
		ts := make([]domain.Task, 1+r.IntN(60))
		for i := range ts {
			switch r.IntN(4) {
			case 0:
				ts[i] = domain.Task{State: domain.Done}
			case 1:
				ts[i] = domain.Task{Attempt: uint64(r.IntN(3)), Shard: []string{"", "c-1"}[r.IntN(2)]}
			case 2:
				ts[i] = domain.Task{State: domain.Booked, Machine: "n-00000" + string(rune('0'+r.IntN(5))), AgentEpoch: 1, Attempt: 1, Zone: "a", Shard: "c-0"}
			case 3:
				ts[i] = domain.Task{State: domain.Booked, Machine: "n-000007", AgentEpoch: uint64(1 + r.IntN(3)), Attempt: uint64(1 + r.IntN(2)), Zone: "b", Shard: "c-2"}
			}
		}
		c := New(Settings{}, "x")
		c.cache.format = 1 + round%2
		v := c.chunkOf(map[string][]domain.Task{"job-000001": ts})
		var back codec.ChunkValue
		if err := json.Unmarshal(codec.Encode(v), &back); err != nil {
			t.Fatal(err)
		}
		got := make([]domain.Task, len(ts))
		if err := back.Tasks(back.Texts["job-000001"], func(i int, x domain.Task) { got[i] = x }); err != nil {
			t.Fatalf("%q: %v", v.Texts, err)
		}
		if !reflect.DeepEqual(got, ts) {
			t.Fatalf("%q:\n got %v\nwant %v", v.Texts, got, ts)
		}
	}
	for _, bad := range []string{"", "x", "5", "?,1", "?1,a,0", "?*!1,2,0", "*/", "*/0", "*/0,9|1:0", "*/0,0|1:", "*/0,0|1:5-3", "!99999999999"} {
		v := codec.ChunkValue{Version: 2, Names: []string{"a"}}
		if v.Tasks(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	for _, bad := range []string{"", "x", "?", "?1,2", "?1,a,0", "*1|n", "*1|n,0,9:0", "!99999999999", "?1;;!2"} {
		v := codec.ChunkValue{Names: []string{"a"}}
		if v.Tasks(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// TestChunksStayWritable: bookings wait while a value is full, and whatever ends and
// is booked again in whatever order, the value never outgrows its bound.
func TestChunksStayWritable(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for round := 0; round < 40; round++ {
		c := acting()
		n := (c.cfg.ValueLimit - tuning.PackSlack) / tuning.ChunkBytes
		id := jobName(1)
		c.apply(domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: n, ChunkSize: n, Shard: "c-0", AcceptOrder: 3,
			Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: n}}), ModRevision: 3})
		j, most := c.cache.jobs[id], 0
		for step := uint64(10); step < 300; step++ {
			d := c.newDraft()
			for k := 0; k < 8; k++ {
				i := r.IntN(n)
				switch {
				case d.changed[domain.TaskID{Job: id, Index: i}]:
				case j.task(i).State == domain.Queued && d.hasRoomFor(j, i, false, true):
					d.book(j, i, fmt.Sprintf("n-%06d", 1+r.IntN(1+round*40)), "ab"[round%2:round%2+1], 1+step%3, j.task(i).Attempt+1)
				case j.task(i).State == domain.Booked && r.IntN(2) == 0 && d.hasRoomFor(j, i, false, false):
					d.release(j, i, false)
				}
			}
			if !c.planner.reserveLongestTexts && c.tooLarge(d.transaction()) {
				c.planner.reserveLongestTexts = true // planned anew with room for the worst (planCommit)
				continue
			}
			c.planner.reserveLongestTexts = false
			for _, p := range d.transaction().Puts {
				if most = max(most, len(p.Value)); len(p.Value) > c.cfg.ValueLimit {
					t.Fatalf("round %d: %s has %d bytes", round, p.Key, len(p.Value))
				}
				c.apply(domain.KeyValue{Key: p.Key, Value: p.Value, ModRevision: step})
			}
		}
		if most < 300 {
			t.Fatalf("round %d: hardly anything was booked", round)
		}
	}
}
