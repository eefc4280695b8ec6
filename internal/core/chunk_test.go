package core

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	json "github.com/goccy/go-json"

	"brassglade/internal/tuning"
)

// TestChunkText: what is written is read back, for any mix of states, and a
// full job of booked tasks stays as short as packs are planned for.
func TestChunkText(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 300; round++ {
		ts := make([]Task, 1+r.IntN(60))
		for i := range ts {
			switch r.IntN(4) {
			case 0:
				ts[i] = Task{State: Done}
			case 1:
				ts[i] = Task{Attempt: uint64(r.IntN(3)), Part: []string{"", "c-1"}[r.IntN(2)]}
			case 2:
				ts[i] = Task{State: Booked, Machine: "n-00000" + string(rune('0'+r.IntN(5))), Shift: 1, Attempt: 1, Zone: "a", Part: "c-0"}
			case 3:
				ts[i] = Task{State: Booked, Machine: "n-000007", Shift: uint64(1 + r.IntN(3)), Attempt: uint64(1 + r.IntN(2)), Zone: "b", Part: "c-2"}
			}
		}
		c := New(Settings{}, "x")
		c.st.format = 1 + round%2
		v := c.chunkOf(map[string][]Task{"job-000001": ts})
		var back chunkValue
		if err := json.Unmarshal(enc(v), &back); err != nil {
			t.Fatal(err)
		}
		got := make([]Task, len(ts))
		if err := back.tasks(back.J["job-000001"], func(i int, x Task) { got[i] = x }); err != nil {
			t.Fatalf("%q: %v", v.J, err)
		}
		if !reflect.DeepEqual(got, ts) {
			t.Fatalf("%q:\n got %v\nwant %v", v.J, got, ts)
		}
	}
	for _, bad := range []string{"", "x", "5", "?,1", "?1,a,0", "?*!1,2,0", "*/", "*/0", "*/0,9|1:0", "*/0,0|1:", "*/0,0|1:5-3", "!99999999999"} {
		v := chunkValue{V: 2, D: []string{"a"}}
		if v.tasks(bad, func(int, Task) {}) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	for _, bad := range []string{"", "x", "?", "?1,2", "?1,a,0", "*1|n", "*1|n,0,9:0", "!99999999999", "?1;;!2"} {
		v := chunkValue{D: []string{"a"}}
		if v.tasks(bad, func(int, Task) {}) == nil {
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
		n := (c.cfg.ValueB - tuning.PackSlack) / tuning.ChunkBytes
		id := jobName(1)
		c.apply(KV{Key: keyJob(id), Value: enc(Header{State: JobOpen, N: n, Chunk: n, Part: "c-0", Order: 3,
			Spec: &Spec{Class: "c", Team: "red", Shape: Array, N: n}}), Stamp: 3})
		j, most := c.st.jobs[id], 0
		for step := uint64(10); step < 300; step++ {
			d := c.newDraft()
			for k := 0; k < 8; k++ {
				i := r.IntN(n)
				switch {
				case d.changed[TaskID{id, i}]:
				case j.task(i).State == Queued && d.room(j, i, false, true):
					d.book(j, i, fmt.Sprintf("n-%06d", 1+r.IntN(1+round*40)), "ab"[round%2:round%2+1], 1+step%3, j.task(i).Attempt+1)
				case j.task(i).State == Booked && r.IntN(2) == 0 && d.room(j, i, false, false):
					d.release(j, i, false)
				}
			}
			if !c.planLongest && c.tooLarge(d.txn()) {
				c.planLongest = true // planned anew with room for the worst (drivePlan)
				continue
			}
			c.planLongest = false
			for _, p := range d.txn().Apply {
				if most = max(most, len(p.Value)); len(p.Value) > c.cfg.ValueB {
					t.Fatalf("round %d: %s has %d bytes", round, p.Key, len(p.Value))
				}
				c.apply(KV{Key: p.Key, Value: p.Value, Stamp: step})
			}
		}
		if most < 300 {
			t.Fatalf("round %d: hardly anything was booked", round)
		}
	}
}
