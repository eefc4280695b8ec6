package scheduler

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
)

// valuesOfBefore reads the kept values of the version before.
func valuesOfBefore(t *testing.T) (snapshot SnapshotLoaded) {
	t.Helper()
	text, err := os.ReadFile("testdata/before.values")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.SplitN(line, " ", 3) // key, revision, value
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		revision, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		snapshot.Items = append(snapshot.Items, domain.KeyValue{Key: fields[0], Value: []byte(fields[2]), ModRevision: revision})
		snapshot.Revision = max(snapshot.Revision, revision)
	}
	return snapshot
}

// TestBeforeValuesAreRead: what the version before wrote means the same here.
func TestBeforeValuesAreRead(t *testing.T) {
	c := New(Settings{Node: "c-0", Nodes: []string{"c-0", "c-1", "c-2"}, ValueLimit: 2048, ValueLimitNow: 4096, TransactionLimit: 4}, "x")
	c.loadSnapshot(valuesOfBefore(t))
	if view := c.cache.view; view == nil || view.Epoch != 2 || view.Leader != "c-0" || len(view.Serving) != 3 || len(c.cache.members) != 3 {
		t.Errorf("view %+v", view)
	}
	if len(c.cache.machineTypes) != 1 || c.cache.machineTypes[0].Capacity.GPU != 4000 || c.cache.cordons["n-000001"].State != domain.CordonGone ||
		c.cache.shares["blue"].ByNode["c-2"].GPU != 24000 || c.cache.windows["c-2"].Loads[1] != 30 {
		t.Error("machine types, cordons, shares or windows are not as written")
	}
	if c.cache.formatOn() {
		t.Error("the format is on though nobody announced it")
	}
	for id, want := range map[string]struct {
		phase                phase
		queued, booked, done int
	}{
		"job-000001": {phaseOpen, 7, 5, 0}, "job-000002": {phaseOpen, 2, 0, 0}, "job-000003": {phaseDone, 3, 0, 0},
		"job-000004": {phaseOpen, 363, 31, 6}, "job-000005": {phaseCancelled, 4, 0, 0},
	} {
		j := c.cache.jobs[id]
		if j.phase != want.phase || j.counts.queued != want.queued || j.counts.booked != want.booked || j.counts.done != want.done {
			t.Errorf("%s: phase %d, %d queued, %d booked, %d done", id, j.phase, j.counts.queued, j.counts.booked, j.counts.done)
		}
	}
	want := domain.Task{State: domain.Booked, Attempt: 1, Machine: "n-000010", AgentEpoch: 1, Shard: "c-0", Zone: "b"}
	if got := c.cache.jobs["job-000001"].task(6); got != want {
		t.Errorf("task 6: %+v", got)
	}
	if got := c.cache.jobs["job-000001"].task(2); got != (domain.Task{Shard: "c-2"}) {
		t.Errorf("task 2: %+v", got)
	}
}

// TestFormatNeedsAll: the new format is announced only behind a view that has this
// incarnation, turned on only by the leader once every controller of the settings, not
// only of the view, has announced it, and stays on.
func TestFormatNeedsAll(t *testing.T) {
	c := acting()
	c.cfg.Nodes = []string{"c-0", "c-1", "c-2"}
	c.cache.format = 0
	turn := func() (keys []string) {
		c.now += time.Second
		c.confirmNow()
		c.announceFormat()
		return commitAll(t, c)
	}
	c.cache.view.Members = map[string]string{"c-0": "an earlier one"}
	if keys := turn(); len(keys) > 0 {
		t.Fatalf("%v is written behind a view that doesn't have this incarnation", keys)
	}
	c.cache.view.Members = c.cache.members
	if keys := turn(); !slices.Equal(keys, []string{"b/format/c-0"}) {
		t.Fatalf("wrote %v", keys)
	}
	c.apply(domain.KeyValue{Key: "b/format/c-1", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 900})
	if keys := turn(); len(keys) > 0 || c.cache.formatOn() {
		t.Fatalf("%v is written while c-2 may come back as it was", keys)
	}
	c.apply(domain.KeyValue{Key: "b/format/c-2", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 901})
	c.cache.view.Leader = "c-1"
	if keys := turn(); len(keys) > 0 {
		t.Fatalf("%v is written by one that doesn't lead", keys)
	}
	c.cache.view.Leader = "c-0"
	if keys := turn(); !slices.Equal(keys, []string{"b/format"}) || !c.cache.formatOn() {
		t.Fatalf("wrote %v", keys)
	}
	// One that restarts learns of it from what is stored.
	restarted := New(Settings{Node: "c-2"}, "z")
	restarted.loadSnapshot(SnapshotLoaded{Revision: 1000, Items: []domain.KeyValue{{Key: "b/format", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 950}}})
	if !restarted.cache.formatOn() {
		t.Error("off again after a restart")
	}
}

// The new limits that TestEachKindFitsAgain checks against.
const (
	fallenValueLimit       = 2048 // bytes
	fallenTransactionLimit = 4    // changes
)

// TestEachKindFitsAgain: values of each kind that are larger than the new limits, 2
// KiB and 4 changes, are written again within them after the limits fell.
func TestEachKindFitsAgain(t *testing.T) {
	t.Run("view", viewFitsAgain)
	t.Run("cordon page", cordonPageFitsAgain)
	t.Run("machine types", machineTypesFitAgain)
	t.Run("window", windowFitsAgain)
	t.Run("header", headerFitsAgain)
	t.Run("pack and chunk", packAndChunkFitAgain)
}

// afterLimitsFell is an acting controller that knows that the limits fell below what was stored.
func afterLimitsFell() *Controller {
	c := acting()
	c.cfg.ValueLimitNow, c.formats.limitsFell = 8192, true
	return c
}

// checkLimits checks that the changes of a transaction are within the new limits.
func checkLimits(t *testing.T, puts []domain.Put) {
	t.Helper()
	if len(puts) > fallenTransactionLimit {
		t.Errorf("%d changes", len(puts))
	}
	for _, put := range puts {
		if len(put.Value) > fallenValueLimit {
			t.Errorf("%s has %d bytes", put.Key, len(put.Value))
		}
	}
}

// viewFitsAgain: a view full of overrides.
func viewFitsAgain(t *testing.T) {
	c := afterLimitsFell()
	c.cfg.Nodes = []string{"c-0", "c-1"}
	members := map[string]string{"c-0": "x", "c-1": "y"}
	overrides := map[string]string{}
	for i := 0; i < 200; i++ {
		machine := fmt.Sprintf("n-%06d", i)
		overrides[machine] = []string{"c-0", "c-1"}[ownership.Hash(machine)%2]
	}
	c.cache.members, c.cache.view = members, &domain.View{Epoch: 3, Leader: "c-0", Members: members, Serving: []string{"c-0", "c-1"}, OwnerOverrides: overrides}
	view := c.desiredView()
	if view == nil {
		t.Fatal("a view that is too large stays")
	}
	checkLimits(t, []domain.Put{{Key: codec.KeyView, Value: codec.Encode(view)}})
}

// cordonPageFitsAgain: a page of machines that are drained to be given back, one of which is
// gone.
func cordonPageFitsAgain(t *testing.T) {
	c := afterLimitsFell()
	page := codec.CordonPage{Draining: map[string]string{}}
	for i := 0; i < 400; i++ {
		page.Draining[fmt.Sprintf("n-%06d", i)] = domain.DrainLost
	}
	c.apply(domain.KeyValue{Key: codec.PrefixCordons + "c-0", Value: codec.Encode(page), ModRevision: 5})
	c.requestCordon("n-000007", domain.Cordon{State: domain.CordonGone})
	c.writeCordons()
	for _, pending := range c.commits.pending {
		checkLimits(t, pending.transaction.Puts)
	}
	commitAll(t, c)
	if c.cache.cordons["n-000007"].State != domain.CordonGone || len(c.cache.cordonPages["c-0"].Draining) < 50 {
		t.Errorf("n-000007 is %q, %d machines are drained", c.cache.cordons["n-000007"].State, len(c.cache.cordonPages["c-0"].Draining))
	}
}

// machineTypesFitAgain: forty machine types.
func machineTypesFitAgain(t *testing.T) {
	c := afterLimitsFell()
	var types []domain.MachineType
	for i := 0; i < 40; i++ {
		types = append(types, domain.MachineType{Name: fmt.Sprintf("type-%02d", i), Capacity: domain.Resources{CPU: 64000, GPU: 8000, Memory: 256000}, ImageCacheGB: 150, FetchGBPerS: 0.25, Price: 27.6,
			SpotPrice: 12.1, BootSeconds: 25, Zones: []string{"north", "south"}})
	}
	c.onMachineTypesListed(MachineTypesListed{OK: true, Types: types})
	for _, pending := range c.commits.pending {
		checkLimits(t, pending.transaction.Puts)
	}
	commitAll(t, c)
	if len(c.cache.machineTypes) != 40 {
		t.Errorf("%d types are known", len(c.cache.machineTypes))
	}
}

// windowFitsAgain: a window of 2,000 loads.
func windowFitsAgain(t *testing.T) {
	c := afterLimitsFell()
	record := codec.WindowRecord{CriticWeights: make([]float64, 4)}
	for i := 0; i < 2000; i++ {
		record.Loads = append(record.Loads, float64(i)+0.5)
	}
	value := c.encodeWindow(record)
	checkLimits(t, []domain.Put{{Key: codec.PrefixWindow + "c-0", Value: value}})
	if len(value) < 700 {
		t.Error("hardly any load is left")
	}
}

// headerFitsAgain: a header with names and a list that its user chose freely.
func headerFitsAgain(t *testing.T) {
	c := afterLimitsFell()
	header := codec.JobHeader{State: domain.StateOpen, TaskCount: 1, ChunkSize: 1, Pack: "c-0/0", Shard: "c-0", AcceptOrder: 3, Spec: &domain.JobSpec{Class: strings.Repeat("c", 1500), Team: "red", Shape: domain.Array, TaskCount: 1}}
	for i := 0; i < 300; i++ {
		header.Spec.MachineTypes = append(header.Spec.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	header.Spec.MachineTypes = append(header.Spec.MachineTypes, "box")
	c.apply(domain.KeyValue{Key: codec.KeyJob("job-000001"), Value: codec.Encode(header), ModRevision: 3})
	d := c.newDraft()
	d.header(c.cache.jobs["job-000001"])
	checkLimits(t, d.transaction().Puts)
	if spec := d.headers["job-000001"].Spec; !allowsMachine(spec, "box", "a", false) || allowsMachine(spec, "type-7", "a", false) && c.cache.machineType("type-7") != nil {
		t.Errorf("types %v", spec.MachineTypes)
	}
}

// bookedTasks are n booked tasks, each on a machine of its own from the given number on.
func bookedTasks(n, firstMachine int) []domain.Task {
	tasks := make([]domain.Task, n)
	for i := range tasks {
		tasks[i] = domain.Task{State: domain.Booked, Attempt: 1, Machine: fmt.Sprintf("n-%06d", firstMachine+i), AgentEpoch: uint64(11 + i%2), Zone: "a", Shard: "c-0"}
	}
	return tasks
}

// packAndChunkFitAgain: a pack of thirty jobs, and a chunk that is split: planSplits until all
// fit. Another controller that reads what is stored then knows the same bookings.
func packAndChunkFitAgain(t *testing.T) {
	c := afterLimitsFell()
	applyLargePackAndChunk(t, c)
	stored := map[string][]byte{}
	for id, j := range c.cache.jobs {
		stored[codec.KeyJob(id)] = codec.Encode(j.Header)
	}
	for turn := 0; len(c.cache.oversized) > 0 && turn < 40; turn++ {
		d := c.newDraft()
		clear(c.commits.oversizedInPlan)
		c.planSplits(d)
		transaction := d.transaction()
		checkLimits(t, transaction.Puts)
		if len(transaction.Conditions) > 16 {
			t.Errorf("%d conditions", len(transaction.Conditions))
		}
		for _, put := range transaction.Puts {
			stored[put.Key] = put.Value
		}
		if d.changes() > 0 {
			c.sendPlan(d)
			commitAll(t, c)
		}
	}
	if len(c.cache.oversized) > 0 {
		t.Errorf("still too large: %v", c.cache.oversized)
	}
	reader := New(Settings{Node: "c-1", ValueLimit: 2048}, "y")
	snapshot := SnapshotLoaded{Revision: 99}
	for key, value := range stored {
		snapshot.Items = append(snapshot.Items, domain.KeyValue{Key: key, Value: value, ModRevision: 99})
	}
	reader.loadSnapshot(snapshot)
	checkSameBookings(t, c, reader)
}

// applyLargePackAndChunk gives a controller jobs 0 to 29 in one pack that is too large, and job
// 50 with one chunk that is.
func applyLargePackAndChunk(t *testing.T, c *Controller) {
	t.Helper()
	pack := codec.ChunkValue{Texts: map[string]string{}}
	for i := 0; i < 30; i++ {
		id := jobName(i)
		c.apply(domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: 12, ChunkSize: 12, Pack: "c-0/0", Shard: "c-0", AcceptOrder: uint64(i + 1),
			Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 12}}), ModRevision: uint64(i + 1)})
		pack.Put(id, bookedTasks(12, 20*i))
	}
	c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(50)), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: 300, ChunkSize: 139, Shard: "c-0", AcceptOrder: 40,
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 300}}), ModRevision: 40})
	chunk := codec.ChunkValue{Texts: map[string]string{}}
	chunk.Put(jobName(50), bookedTasks(139, 1000))
	c.apply(domain.KeyValue{Key: codec.PrefixPack + "c-0/0", Value: codec.Encode(pack), ModRevision: 50})
	c.apply(domain.KeyValue{Key: codec.PrefixTask + jobName(50) + "/0", Value: codec.Encode(chunk), ModRevision: 51})
	if len(c.cache.oversized) != 2 || c.cache.jobs[jobName(50)].counts.booked != 139 {
		t.Fatalf("too large: %v", c.cache.oversized)
	}
}

// checkSameBookings checks that two controllers know the same bookings of the jobs of
// applyLargePackAndChunk, and all of them.
func checkSameBookings(t *testing.T, writer, reader *Controller) {
	t.Helper()
	for i := 0; i <= 50; i++ {
		written, read := writer.cache.jobs[jobName(i)], reader.cache.jobs[jobName(i)]
		if written == nil {
			continue
		}
		want := 12
		if i == 50 {
			want = 139
		}
		if written.counts.booked != want || read.counts.booked != want || !slices.Equal(written.Tasks, read.Tasks) {
			t.Errorf("job %d has %d bookings here and %d there", i, written.counts.booked, read.counts.booked)
		}
	}
}
