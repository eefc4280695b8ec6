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
	"brassglade/internal/tuning"
)

// previousVersionValues reads values that the previous version wrote.
func previousVersionValues(t *testing.T) (snapshot SnapshotLoaded) {
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

// TestReadsValuesOfPreviousVersion: values that the previous version wrote are read with the same
// meaning.
func TestReadsValuesOfPreviousVersion(t *testing.T) {
	c := New(Settings{Controller: "c-0", Controllers: []string{"c-0", "c-1", "c-2"}, ValueLimit: 2048, CurrentValueLimit: 4096, TransactionLimit: 4}, "x")
	c.loadSnapshot(previousVersionValues(t))
	if view := c.cache.view; view == nil || view.Epoch != 2 || view.Leader != "c-0" || len(view.Serving) != 3 || len(c.cache.members) != 3 {
		t.Errorf("the view is not as written: %+v", view)
	}
	if len(c.cache.machineTypes) != 1 || c.cache.machineTypes[0].Capacity.GPU != 4000 || c.cache.cordons["n-000001"].State != domain.CordonGone ||
		c.cache.shares["blue"].ByController["c-2"].GPU != 24000 || c.cache.windows["c-2"].Loads[1] != 30 {
		t.Error("machine types, cordons, shares or windows are not as written")
	}
	if c.cache.isFormatOn() {
		t.Error("the format is on though no controller announced it")
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
			t.Errorf("%s is not as written: phase %d, %d queued, %d booked, %d done", id, j.phase, j.counts.queued, j.counts.booked, j.counts.done)
		}
	}
	want := domain.Task{State: domain.Booked, Attempt: 1, Machine: "n-000010", AgentEpoch: 1, Shard: "c-0", Zone: "b"}
	if got := c.cache.jobs["job-000001"].task(6); got != want {
		t.Errorf("task 6 of job-000001 is not as written: %+v", got)
	}
	if got := c.cache.jobs["job-000001"].task(2); got != (domain.Task{Shard: "c-2"}) {
		t.Errorf("task 2 of job-000001 is not as written: %+v", got)
	}
}

// TestFormatEnabledOnceAllAnnounced: a controller announces the new format only under a view
// that lists its incarnation. Only the leader turns the format on, after every controller of the
// settings, not only of the view, has announced it. The format stays on after a restart.
func TestFormatEnabledOnceAllAnnounced(t *testing.T) {
	c := actingController()
	c.cfg.Controllers = []string{"c-0", "c-1", "c-2"}
	c.cache.format = 0
	announce := func() (keys []string) {
		c.now += time.Second
		c.confirmNow()
		c.announceFormat()
		return commitAll(t, c)
	}
	c.cache.view.Members = map[string]string{"c-0": "an earlier incarnation"}
	if keys := announce(); len(keys) > 0 {
		t.Fatalf("%v is written under a view that doesn't list this incarnation", keys)
	}
	c.cache.view.Members = c.cache.members
	if keys := announce(); !slices.Equal(keys, []string{"b/format/c-0"}) {
		t.Fatalf("wrote %v, want the announcement of c-0", keys)
	}
	c.apply(domain.KeyValue{Key: "b/format/c-1", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 900})
	if keys := announce(); len(keys) > 0 || c.cache.isFormatOn() {
		t.Fatalf("%v is written though c-2 may come back with the previous version", keys)
	}
	c.apply(domain.KeyValue{Key: "b/format/c-2", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 901})
	c.cache.view.Leader = "c-1"
	if keys := announce(); len(keys) > 0 {
		t.Fatalf("%v is written by a controller that isn't the leader", keys)
	}
	c.cache.view.Leader = "c-0"
	if keys := announce(); !slices.Equal(keys, []string{"b/format"}) || !c.cache.isFormatOn() {
		t.Fatalf("the leader wrote %v, want that the format is on", keys)
	}
	// A restarted controller reads from the key-value store that the format is on.
	restarted := New(Settings{Controller: "c-2"}, "z")
	restarted.loadSnapshot(SnapshotLoaded{Revision: 1000, Items: []domain.KeyValue{{Key: "b/format", Value: codec.Encode(codec.Format{Version: 2}), ModRevision: 950}}})
	if !restarted.cache.isFormatOn() {
		t.Error("the format is not on after a restart")
	}
}

// The lowered limits in TestValuesFitLoweredLimits.
const (
	loweredValueLimit       = 2048 // bytes
	loweredTransactionLimit = 4    // changes
)

// TestValuesFitLoweredLimits: after the limits were lowered to 2 KiB and 4 changes, larger values
// of each kind are written again within them.
func TestValuesFitLoweredLimits(t *testing.T) {
	t.Run("view", viewFitsAgain)
	t.Run("cordon page", cordonPageFitsAgain)
	t.Run("machine types", machineTypesFitAgain)
	t.Run("window", windowFitsAgain)
	t.Run("header", headerFitsAgain)
	t.Run("pack and chunk", packAndChunkFitAgain)
}

// withLoweredLimits returns an acting controller that knows that the limits were lowered below
// the size of stored values.
func withLoweredLimits() *Controller {
	c := actingController()
	c.cfg.CurrentValueLimit, c.formats.limitsLowered = 8192, true
	return c
}

// checkLimits checks that the changes of a transaction are within the lowered limits.
func checkLimits(t *testing.T, puts []domain.Put) {
	t.Helper()
	if len(puts) > loweredTransactionLimit {
		t.Errorf("%d changes, more than the lowered limit", len(puts))
	}
	for _, put := range puts {
		if len(put.Value) > loweredValueLimit {
			t.Errorf("%s has %d bytes, more than the lowered limit", put.Key, len(put.Value))
		}
	}
}

// viewFitsAgain tests a view with many overrides.
func viewFitsAgain(t *testing.T) {
	c := withLoweredLimits()
	c.cfg.Controllers = []string{"c-0", "c-1"}
	members := map[string]string{"c-0": "x", "c-1": "y"}
	overrides := map[string]string{}
	for i := 0; i < 200; i++ {
		machine := fmt.Sprintf("n-%06d", i)
		overrides[machine] = []string{"c-0", "c-1"}[ownership.Hash(machine)%2]
	}
	c.cache.members, c.cache.view = members, &domain.View{Epoch: 3, Leader: "c-0", Members: members, Serving: []string{"c-0", "c-1"}, OwnerOverrides: overrides}
	view := c.desiredView()
	if view == nil {
		t.Fatal("a view that is too large is not replaced")
	}
	checkLimits(t, []domain.Put{{Key: codec.KeyView, Value: codec.Encode(view)}})
}

// cordonPageFitsAgain tests a page of 400 draining machines, one of which is then marked as gone.
func cordonPageFitsAgain(t *testing.T) {
	c := withLoweredLimits()
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
		t.Errorf("n-000007 is %q, %d machines are draining", c.cache.cordons["n-000007"].State, len(c.cache.cordonPages["c-0"].Draining))
	}
}

// machineTypesFitAgain tests forty machine types, all of which must stay known.
func machineTypesFitAgain(t *testing.T) {
	c := withLoweredLimits()
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
		t.Errorf("%d machine types are known, want 40", len(c.cache.machineTypes))
	}
}

// windowFitsAgain tests a learning window of 2,000 loads, some of which must be left.
func windowFitsAgain(t *testing.T) {
	c := withLoweredLimits()
	record := codec.WindowRecord{CriticWeights: make([]float64, 4)}
	for i := 0; i < 2000; i++ {
		record.Loads = append(record.Loads, float64(i)+0.5)
	}
	value := c.encodeWindow(record)
	checkLimits(t, []domain.Put{{Key: codec.PrefixWindow + "c-0", Value: value}})
	if len(value) < 700 {
		t.Error("too few loads are left in the learning window")
	}
}

// headerFitsAgain tests a header with a long class and a long list of machine types.
func headerFitsAgain(t *testing.T) {
	c := withLoweredLimits()
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
		t.Errorf("wrong machine types after the list was shortened: %v", spec.MachineTypes)
	}
}

// bookedTasks returns n booked tasks, each on a different machine, numbered from firstMachine.
func bookedTasks(n, firstMachine int) []domain.Task {
	tasks := make([]domain.Task, n)
	for i := range tasks {
		tasks[i] = domain.Task{State: domain.Booked, Attempt: 1, Machine: fmt.Sprintf("n-%06d", firstMachine+i), AgentEpoch: uint64(11 + i%2), Zone: "a", Shard: "c-0"}
	}
	return tasks
}

// packAndChunkFitAgain tests a pack of thirty jobs and a chunk, both too large. It calls
// planSplits until both fit. A controller that reads the stored values must then know the same
// bookings.
func packAndChunkFitAgain(t *testing.T) {
	c := withLoweredLimits()
	applyLargePackAndChunk(t, c)
	stored := map[string][]byte{}
	for id, j := range c.cache.jobs {
		stored[codec.KeyJob(id)] = codec.Encode(j.Header)
	}
	for turn := 0; len(c.cache.oversized) > 0 && turn < 40; turn++ {
		d := c.newDraft()
		clear(c.commits.mustShrinkInPlan)
		c.planSplits(d)
		transaction := d.transaction()
		checkLimits(t, transaction.Puts)
		if len(transaction.Conditions) > 16 {
			t.Errorf("%d conditions, want at most 16", len(transaction.Conditions))
		}
		for _, put := range transaction.Puts {
			stored[put.Key] = put.Value
		}
		if d.changes() > 0 {
			c.commitDraft(d)
			commitAll(t, c)
		}
	}
	if len(c.cache.oversized) > 0 {
		t.Errorf("values still too large after 40 plans: %v", c.cache.oversized)
	}
	reader := New(Settings{Controller: "c-1", ValueLimit: 2048}, "y")
	snapshot := SnapshotLoaded{Revision: 99}
	for key, value := range stored {
		snapshot.Items = append(snapshot.Items, domain.KeyValue{Key: key, Value: value, ModRevision: 99})
	}
	reader.loadSnapshot(snapshot)
	checkSameBookings(t, c, reader)
}

// applyLargePackAndChunk gives a controller jobs 0 to 29 in one pack that is too large, and job
// 50 with a chunk that is too large.
func applyLargePackAndChunk(t *testing.T, c *Controller) {
	t.Helper()
	pack := codec.ChunkValue{Texts: map[string]string{}}
	for i := 0; i < 30; i++ {
		id := jobName(i)
		c.apply(domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: 12, ChunkSize: 12, Pack: "c-0/0", Shard: "c-0", AcceptOrder: uint64(i + 1),
			Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 12}}), ModRevision: uint64(i + 1)})
		pack.SetTasks(id, bookedTasks(12, 20*i))
	}
	c.apply(domain.KeyValue{Key: codec.KeyJob(jobName(50)), Value: codec.Encode(codec.JobHeader{State: domain.StateOpen, TaskCount: 300, ChunkSize: 139, Shard: "c-0", AcceptOrder: 40,
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, TaskCount: 300}}), ModRevision: 40})
	chunk := codec.ChunkValue{Texts: map[string]string{}}
	chunk.SetTasks(jobName(50), bookedTasks(139, 1000))
	c.apply(domain.KeyValue{Key: codec.PrefixPack + "c-0/0", Value: codec.Encode(pack), ModRevision: 50})
	c.apply(domain.KeyValue{Key: codec.PrefixTask + jobName(50) + "/0", Value: codec.Encode(chunk), ModRevision: 51})
	if len(c.cache.oversized) != 2 || c.cache.jobs[jobName(50)].counts.booked != 139 {
		t.Fatalf("too large are %v, want one pack and one chunk", c.cache.oversized)
	}
}

// checkSameBookings checks that two controllers know the same bookings of the jobs from
// applyLargePackAndChunk, and that none is missing.
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
			t.Errorf("job %d has %d bookings at the writer and %d at the reader", i, written.counts.booked, read.counts.booked)
		}
	}
}

// TestLongMachineTypeNames guards against a header that outgrows its value as its job is booked: the
// state service refused that commit and all that was planned with it, and no job started any more.
func TestLongMachineTypeNames(t *testing.T) {
	c := actingController()
	spec := submission(jobName(1)).Spec
	spec.MachineTypes = []string{strings.Repeat("x", 3850), "box"}
	header := c.newHeader(spec)
	if bytes := len(codec.Encode(header)); bytes > tuning.HeaderBytes || !allowsMachine(header.Spec, "box", "a", false) {
		t.Errorf("a header of %d bytes, machine types %v", bytes, header.Spec.MachineTypes)
	}
}
