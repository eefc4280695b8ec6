package codec

import (
	"reflect"
	"testing"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
)

// goldenSpec is a job spec with every stored field set.
var goldenSpec = domain.JobSpec{
	Class: "train", Team: "blue", Shape: domain.Gang, Priority: 2, TaskCount: 12,
	Request:      domain.Resources{CPU: 2000, GPU: 1000, Memory: 4500},
	MachineTypes: []string{"box", "big-box"}, Zone: "north", OneZone: true, Spread: true, Spot: true,
	Image: "img", ImageGB: 1.5, EstimatedRuntime: 60, CheckpointInterval: 10, CheckpointCost: 0.25, Deadline: 900,
	DependencyText: "000001 000002", DependencyListName: "c-0.1-7", DependencyListPieces: 3,
}

// goldenTasks has a run of each state, queued tasks with and without attempts and shard, and
// bookings that share machine, zone, controller, agent epoch and attempt, or only some of them.
var goldenTasks = []domain.Task{
	{}, {},
	{Shard: "c-2"},
	{Attempt: 3, Shard: "c-1"}, {Attempt: 3, Shard: "c-1"},
	{Attempt: 1},
	{State: domain.Done}, {State: domain.Done}, {State: domain.Done},
	{State: domain.Booked, Attempt: 1, Machine: "n-000231", AgentEpoch: 1, Shard: "c-0", Zone: "a"},
	{State: domain.Booked, Attempt: 1, Machine: "n-000231", AgentEpoch: 1, Shard: "c-0", Zone: "a"},
	{State: domain.Booked, Attempt: 1, Machine: "n-000007", AgentEpoch: 1, Shard: "c-0", Zone: "b"},
	{State: domain.Booked, Attempt: 4, Machine: "n-000231", AgentEpoch: 2, Shard: "c-0", Zone: "a"},
	{State: domain.Done},
	{State: domain.Booked, Attempt: 1, Machine: "n-000231", AgentEpoch: 1, Shard: "c-0", Zone: "a"},
	{State: domain.Booked, Attempt: 1, Machine: "n-000232", AgentEpoch: 1, Shard: "c-0", Zone: "a"},
	{State: domain.Booked, Attempt: 1, Machine: "n-000232", AgentEpoch: 1, Shard: "c-1", Zone: "a"},
	{},
}

// TestStoredBytes checks that every stored record is encoded as exactly these bytes and decoded from
// them again: controllers of other versions, and processes that start later, read them.
func TestStoredBytes(t *testing.T) {
	chunk := map[string][]domain.Task{"job-000001": goldenTasks}
	pack := map[string][]domain.Task{"job-000001": goldenTasks, "job-000002": {{}, {}, {Shard: "c-2"}}, "job-000003": {{State: domain.Done}}}
	for _, g := range []struct {
		name  string
		value any
		want  string
	}{
		{"view", &domain.View{Epoch: 7, Leader: "c-0", Members: map[string]string{"c-1": "c-1.4", "c-0": "c-0.1"}, Serving: []string{"c-0", "c-1"}}, `{"e":7,"l":"c-0","m":{"c-0":"c-0.1","c-1":"c-1.4"},"s":["c-0","c-1"]}`},
		{"view with overrides, owned by zone", &domain.View{Epoch: 8, Leader: "c-1", Members: map[string]string{"c-1": "c-1.4"}, Serving: []string{"c-1"},
			OwnerOverrides: map[string]string{"n-000002": "c-1", "n-000001": "c-0"}, OwnedByZone: true}, `{"e":8,"l":"c-1","m":{"c-1":"c-1.4"},"s":["c-1"],"o":{"n-000001":"c-0","n-000002":"c-1"},"z":true}`},
		{"member", ptr("c-0.1"), `"c-0.1"`},
		{"job header", &JobHeader{State: domain.StateOpen, Spec: &goldenSpec, TaskCount: 12, Shard: "c-0", AcceptOrder: 7, ChunkSize: 12, Handovers: 2, Pack: "c-0/0", StopUpTo: 5,
			AcceptedAtMS: 1700000000123}, `{"st":"open","s":{"cl":"train","tm":"blue","sh":"gang","pr":2,"n":12,"r":{"c":2000,"g":1000,"m":4500},"ty":["box","big-box"],"z":"north","oz":true,"sp":true,"s":true,"im":"img","ig":1.5,"es":60,"ck":10,"sv":0.25,"du":900,"aw":"000001 000002","at":"c-0.1-7","an":3},"n":12,"p":"c-0","q":7,"ch":12,"hp":2,"k":"c-0/0","h":5,"bo":1700000000123}`},
		{"job header, smallest spec", &JobHeader{State: domain.StateOpen, Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 1}, TaskCount: 1}, `{"st":"open","s":{"cl":"c","tm":"red","sh":"array","pr":0,"n":1,"r":{}},"n":1}`},
		{"job header, done", &JobHeader{State: domain.StateDone, TaskCount: 400, Shard: "c-0", AcceptOrder: 7, ChunkSize: 66, DoneChunks: 7, AcceptedAtMS: 1700000000123, DoneAtMS: 1700000100456}, `{"st":"done","n":400,"p":"c-0","q":7,"ch":66,"dc":7,"bo":1700000000123,"en":1700000100456}`},
		{"job header, cancelled", &JobHeader{State: domain.StateCancelled, TaskCount: 4, Shard: "c-2", AcceptOrder: 11, ChunkSize: 4, Pack: "c-2/0", Released: true}, `{"st":"cancelled","n":4,"p":"c-2","q":11,"ch":4,"k":"c-2/0","cl":true}`},
		{"job header, inline tasks", &JobHeader{State: domain.StateOpen, TaskCount: 18, Shard: "c-0", AcceptOrder: 7, ChunkSize: 18, Inline: true, InlineTasks: NewChunkValue(chunk, true)}, `{"st":"open","n":18,"p":"c-0","q":7,"ch":18,"i":true,"t":{"v":2,"p":"n-000","d":["c-2","c-1","","a","c-0","b"],"j":{"job-000001":"?2?,0,0?2,3,1?,1,2!3*4!*3?/3,4|231:9-10.14|232:15/3,4,2,4|231:12/3,1|232:16/5,4|007:11"}}}`},
		{"job header, inline tasks, verbose form", &JobHeader{State: domain.StateOpen, TaskCount: 18, Shard: "c-0", AcceptOrder: 7, ChunkSize: 18, Inline: true, InlineTasks: NewChunkValue(chunk, false)}, `{"st":"open","n":18,"p":"c-0","q":7,"ch":18,"i":true,"t":{"d":["c-2","c-1","","b","c-0","a"],"j":{"job-000001":"?2;?1,0,0;?2,3,1;?1,1,2;!3;*4;!1;*3;?1|n-000007,3,4:11;n-000231,5,4:9-10.14;n-000231,5,4,2,4:12;n-000232,5,4:15;n-000232,5,1:16"}}}`},
		{"job header, split cells", &JobHeader{State: domain.StateOpen, TaskCount: 1300, Shard: "c-1", AcceptOrder: 10, ChunkSize: 139, SplitChunks: []byte{0b10000001, 0b00000010}, CellSize: 17, DoneTasks: 290}, `{"st":"open","n":1300,"p":"c-1","q":10,"ch":139,"cu":"gQI=","su":17,"fi":290}`},
		{"chunk", NewChunkValue(chunk, true), `{"v":2,"p":"n-000","d":["c-2","c-1","","a","c-0","b"],"j":{"job-000001":"?2?,0,0?2,3,1?,1,2!3*4!*3?/3,4|231:9-10.14|232:15/3,4,2,4|231:12/3,1|232:16/5,4|007:11"}}`},
		{"chunk, verbose form", NewChunkValue(chunk, false), `{"d":["c-2","c-1","","b","c-0","a"],"j":{"job-000001":"?2;?1,0,0;?2,3,1;?1,1,2;!3;*4;!1;*3;?1|n-000007,3,4:11;n-000231,5,4:9-10.14;n-000231,5,4,2,4:12;n-000232,5,4:15;n-000232,5,1:16"}}`},
		{"pack", NewChunkValue(pack, true), `{"v":2,"p":"n-000","d":["c-2","c-1","","a","c-0","b"],"j":{"job-000001":"?2?,0,0?2,3,1?,1,2!3*4!*3?/3,4|231:9-10.14|232:15/3,4,2,4|231:12/3,1|232:16/5,4|007:11","job-000002":"?2?,0,0","job-000003":"!"}}`},
		{"pack, verbose form", NewChunkValue(pack, false), `{"d":["c-2","c-1","","b","c-0","a"],"j":{"job-000001":"?2;?1,0,0;?2,3,1;?1,1,2;!3;*4;!1;*3;?1|n-000007,3,4:11;n-000231,5,4:9-10.14;n-000231,5,4,2,4:12;n-000232,5,4:15;n-000232,5,1:16","job-000002":"?2;?1,0,0","job-000003":"!1"}}`},
		{"pack, empty", NewChunkValue(nil, true), `{"v":2,"j":{}}`},
		{"pack, empty, verbose form", NewChunkValue(nil, false), `{"j":{}}`},
		{"team shares", &TeamShares{ByController: map[string]domain.Resources{"c-1": {}, "c-0": {CPU: 16000, GPU: 4000, Memory: 64000}, "c-2": {GPU: 500}}}, `{"r":{"c-0":{"c":16000,"g":4000,"m":64000},"c-1":{},"c-2":{"g":500}}}`},
		{"cordon page", &CordonPage{Draining: map[string]string{"n-000003": domain.DrainIdle, "n-000001": domain.DrainFaulty}, Gone: []string{"n-000009", "n-000002"}}, `{"d":{"n-000001":"sick","n-000003":"idle"},"g":["n-000009","n-000002"]}`},
		{"cordon page, empty", &CordonPage{}, `{}`},
		{"machine type page", &MachineTypePage{More: 2, Types: []domain.MachineType{
			{Name: "box", Capacity: domain.Resources{CPU: 16000, GPU: 4000, Memory: 64000}, ImageCacheGB: 100, FetchGBPerS: 0.25, Price: 27.6, SpotPrice: 12.1, BootSeconds: 25, Zones: []string{"north", "south"}},
			{Name: "nowhere"}}}, `{"f":[{"n":"box","r":{"c":16000,"g":4000,"m":64000},"c":100,"f":0.25,"p":27.6,"s":12.1,"b":25,"z":["north","south"]},{"n":"nowhere","r":{},"c":0,"f":0,"p":0,"s":0,"b":0,"z":null}],"m":2}`},
		{"window record", &WindowRecord{Sequence: 4, Loads: []float64{34.8, 0, 1e21}, Passes: 5, CriticWeights: []float64{-0.011597178952152417, 1e-9}}, `{"q":4,"x":[34.8,0,1e+21],"p":5,"t":[-0.011597178952152417,1e-09]}`},
		{"window record, empty", &WindowRecord{}, `{"q":0,"x":null,"p":0,"t":null}`},
		{"format", &Format{Version: 2}, `{"v":2}`},
		{"format announced by a controller", &Format{Version: 2, Incarnation: "c-0.1"}, `{"v":2,"i":"c-0.1"}`},
		{"dependency piece", ptr(JoinJobNames([]string{"job-000001", "job-000012", "other"}, 100)[0]), `"000001 000012 other"`},
	} {
		got := Encode(g.value)
		if string(got) != g.want {
			t.Errorf("%s:\n got %s\nwant %s", g.name, got, g.want)
		}
		back := reflect.New(reflect.TypeOf(g.value).Elem())
		if err := json.Unmarshal([]byte(g.want), back.Interface()); err != nil {
			t.Errorf("%s: %v", g.name, err)
		} else if !reflect.DeepEqual(back.Interface(), g.value) {
			t.Errorf("%s: decoded as %+v", g.name, back.Elem())
		}
	}
	for _, compact := range []bool{true, false} {
		v := NewChunkValue(pack, compact)
		for id, want := range pack {
			got := make([]domain.Task, len(want))
			if err := v.ForEachTask(v.Texts[id], func(i int, x domain.Task) { got[i] = x }); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%q: %v\n got %v\nwant %v", v.Texts[id], err, got, want)
			}
		}
	}
}

func ptr(s string) *string { return &s }
