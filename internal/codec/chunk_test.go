package codec

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"brassglade/internal/domain"
)

// TestChunkRoundTrip checks that encoded tasks decode to the same tasks, for random mixes of states and
// in both forms, and that malformed texts are rejected.
func TestChunkRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 300; round++ {
		tasks := make([]domain.Task, 1+r.IntN(60))
		for i := range tasks {
			switch r.IntN(4) {
			case 0:
				tasks[i] = domain.Task{State: domain.Done}
			case 1:
				tasks[i] = domain.Task{Attempt: uint64(r.IntN(3)), Shard: []string{"", "c-1"}[r.IntN(2)]}
			case 2:
				tasks[i] = domain.Task{State: domain.Booked, Machine: "n-00000" + string(rune('0'+r.IntN(5))), AgentEpoch: 1, Attempt: 1, Zone: "a", Shard: "c-0"}
			case 3:
				tasks[i] = domain.Task{State: domain.Booked, Machine: "n-000007", AgentEpoch: uint64(1 + r.IntN(3)), Attempt: uint64(1 + r.IntN(2)), Zone: "b", Shard: "c-2"}
			}
		}
		value := NewChunkValue(map[string][]domain.Task{"job-000001": tasks}, round%2 == 1)
		back, err := Decode[ChunkValue](Encode(value))
		if err != nil {
			t.Fatal(err)
		}
		got := make([]domain.Task, len(tasks))
		if err := back.ForEachTask(back.Texts["job-000001"], func(i int, task domain.Task) { got[i] = task }); err != nil {
			t.Fatalf("%q: %v", value.Texts, err)
		}
		if !reflect.DeepEqual(got, tasks) {
			t.Fatalf("%q:\n got %v\nwant %v", value.Texts, got, tasks)
		}
	}
	for _, bad := range []string{"", "x", "5", "?,1", "?1,a,0", "?*!1,2,0", "*/", "*/0", "*/0,9|1:0", "*/0,0|1:", "*/0,0|1:5-3", "!99999999999"} {
		value := ChunkValue{Version: 2, Names: []string{"a"}}
		if value.ForEachTask(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("malformed text %q is accepted", bad)
		}
	}
	for _, bad := range []string{"", "x", "?", "?1,2", "?1,a,0", "*1|n", "*1|n,0,9:0", "!99999999999", "?1;;!2"} {
		value := ChunkValue{Names: []string{"a"}}
		if value.ForEachTask(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("malformed text %q is accepted", bad)
		}
	}
}
