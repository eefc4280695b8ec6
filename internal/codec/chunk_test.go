package codec

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"brassglade/internal/domain"
)

// TestChunkRoundTrip: what is written is read back, for any mix of states, in both forms.
func TestChunkRoundTrip(t *testing.T) {
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
		v := NewChunkValue(map[string][]domain.Task{"job-000001": ts}, round%2 == 1)
		back, err := Decode[ChunkValue](Encode(v))
		if err != nil {
			t.Fatal(err)
		}
		got := make([]domain.Task, len(ts))
		if err := back.ForEachTask(back.Texts["job-000001"], func(i int, x domain.Task) { got[i] = x }); err != nil {
			t.Fatalf("%q: %v", v.Texts, err)
		}
		if !reflect.DeepEqual(got, ts) {
			t.Fatalf("%q:\n got %v\nwant %v", v.Texts, got, ts)
		}
	}
	for _, bad := range []string{"", "x", "5", "?,1", "?1,a,0", "?*!1,2,0", "*/", "*/0", "*/0,9|1:0", "*/0,0|1:", "*/0,0|1:5-3", "!99999999999"} {
		v := ChunkValue{Version: 2, Names: []string{"a"}}
		if v.ForEachTask(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	for _, bad := range []string{"", "x", "?", "?1,2", "?1,a,0", "*1|n", "*1|n,0,9:0", "!99999999999", "?1;;!2"} {
		v := ChunkValue{Names: []string{"a"}}
		if v.ForEachTask(bad, func(int, domain.Task) {}) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}
