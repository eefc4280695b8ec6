package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// openHeader returns the stored header of a new job of two tasks.
func openHeader(t *testing.T, id string, order uint64, priority int, deadline float64, needs ...string) domain.KeyValue {
	t.Helper()
	header := codec.JobHeader{State: domain.StateOpen, TaskCount: 2, ChunkSize: 2, Pack: "c-0/0", Shard: "c-0", AcceptOrder: order,
		Spec: &domain.JobSpec{Class: "c", Team: "red", Shape: domain.Array, Priority: domain.Priority(priority), TaskCount: 2, EstimatedRuntime: 10, Deadline: deadline}}
	if texts := codec.JoinJobNames(needs, 1<<20); len(texts) > 0 {
		header.Spec.DependencyText = texts[0]
	}
	return domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(header), ModRevision: order}
}

// finalHeader returns the stored header of a job that is over.
func finalHeader(id string, state domain.JobState, revision uint64) domain.KeyValue {
	return domain.KeyValue{Key: codec.KeyJob(id), Value: codec.Encode(codec.JobHeader{State: state, TaskCount: 2, Released: state == domain.StateCancelled}), ModRevision: revision}
}

// jobName returns the ID of the i-th job.
func jobName(i int) string { return fmt.Sprintf("job-%06d", i) }

// openIDs returns the IDs of the jobs whose tasks may start, in order.
func openIDs(c *Controller) []string {
	var ids []string
	for _, j := range c.cache.openJobs {
		ids = append(ids, j.ID)
	}
	return ids
}

// TestDependenciesArriveInAnyOrder checks that the same jobs may start and the same are cancelled
// in whatever order headers arrive. They arrive in any order in the pages of a snapshot.
func TestDependenciesArriveInAnyOrder(t *testing.T) {
	// Job 0 is done and job 6 is cancelled. Jobs 1 and 2 depend on 0, 3 on 1 and 2, 4 on 3 and
	// 6, 5 on 4, and 7 on none.
	kvs := []domain.KeyValue{
		finalHeader(jobName(0), domain.StateDone, 20), openHeader(t, jobName(1), 11, 1, 0, jobName(0)), openHeader(t, jobName(2), 12, 1, 0, jobName(0)),
		openHeader(t, jobName(3), 13, 1, 0, jobName(1), jobName(2)), openHeader(t, jobName(4), 14, 1, 0, jobName(3), jobName(6)),
		openHeader(t, jobName(5), 15, 1, 0, jobName(4)), finalHeader(jobName(6), domain.StateCancelled, 21), openHeader(t, jobName(7), 17, 1, 0),
	}
	random := rand.New(rand.NewPCG(3, 4))
	for round := 0; round < 50; round++ {
		random.Shuffle(len(kvs), func(a, b int) { kvs[a], kvs[b] = kvs[b], kvs[a] })
		c := New(Settings{Controller: "c-0"}, "x")
		for _, kv := range kvs {
			c.apply(kv)
		}
		if got := openIDs(c); !slices.Equal(got, []string{jobName(1), jobName(2), jobName(7)}) {
			t.Fatalf("jobs that may start: %v", got)
		}
		for i, want := range map[int]bool{3: false, 4: true, 5: true, 7: false} {
			if j := c.cache.jobs[jobName(i)]; j.cancelled() != want || j.isFinal() != want {
				t.Fatalf("job %d: cancelled = %v; cancelled or final is not as expected", i, j.cancelled())
			}
		}
		c.apply(finalHeader(jobName(1), domain.StateDone, 30))
		if j := c.cache.jobs[jobName(3)]; j.phase != phaseWaiting {
			t.Fatal("a job may start before all its dependencies are done")
		}
		c.apply(finalHeader(jobName(2), domain.StateDone, 31))
		if got := openIDs(c); !slices.Equal(got, []string{jobName(3), jobName(7)}) {
			t.Fatalf("jobs that may start: %v", got)
		}
	}
}

// TestLongPipelines checks that users' dependency graphs may be of any length and width. The
// cancellation of the first job of a chain of 50,000 jobs reaches the last one. Each of 2,000
// dependencies of a job is considered a few times, not once for each pair of them.
func TestLongPipelines(t *testing.T) {
	c := New(Settings{Controller: "c-0"}, "x")
	const n = 50000
	c.apply(openHeader(t, jobName(0), 1, 0, 0))
	for i := 1; i < n; i++ {
		c.apply(openHeader(t, jobName(i), uint64(i+1), 0, 0, jobName(i-1)))
	}
	if len(c.cache.openJobs) != 1 {
		t.Fatalf("%d jobs may start, want 1", len(c.cache.openJobs))
	}
	c.apply(finalHeader(jobName(0), domain.StateCancelled, n+10))
	if j := c.cache.jobs[jobName(n-1)]; !j.cancelled() || len(c.cache.dependents) != 0 {
		t.Errorf("the last job is in phase %d, want cancelled; %d jobs still have dependents listed, want 0", j.phase, len(c.cache.dependents))
	}
	c = New(Settings{Controller: "c-0"}, "x")
	var all []string
	for i := 0; i < 2000; i++ {
		c.apply(openHeader(t, jobName(i), uint64(i+1), 0, 0))
		all = append(all, jobName(i))
	}
	c.apply(openHeader(t, jobName(9999), 3000, 2, 100, all...))
	for i, id := range all {
		if c.cache.jobs[id].priority != 2 {
			t.Fatal("priority not passed on to a dependency")
		}
		if got := c.cache.jobs[jobName(9999)].phase; got != phaseWaiting {
			t.Fatalf("phase %d with %d dependencies done, want waiting", got, i)
		}
		c.apply(finalHeader(id, domain.StateDone, uint64(4000+i)))
	}
	if c.cache.jobs[jobName(9999)].phase != phaseOpen {
		t.Error("the job may not start though all its dependencies are done")
	}
}

// TestUrgencyPropagation checks that all stages of a pipeline get the priority of the last one, and
// each a deadline that leaves time for the stages after it on the longest path.
func TestUrgencyPropagation(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		c := New(Settings{Controller: "c-0"}, "x")
		kvs := []domain.KeyValue{
			openHeader(t, jobName(1), 1, 0, 0), openHeader(t, jobName(2), 2, 0, 0, jobName(1)), openHeader(t, jobName(3), 3, 1, 0, jobName(1)),
			openHeader(t, jobName(4), 4, 0, 0, jobName(3)), openHeader(t, jobName(5), 5, 2, 100, jobName(2), jobName(4)),
		}
		if lateFirst {
			slices.Reverse(kvs)
		}
		for _, kv := range kvs {
			c.apply(kv)
		}
		due := func(i int) float64 { return time.Duration(c.cache.jobs[jobName(i)].deadlineAt).Seconds() }
		for i, want := range map[int]float64{5: 100, 4: 82, 2: 82, 3: 64, 1: 46} { // per stage 10 s of run time and 8 s of tuning.StartLag
			if j := c.cache.jobs[jobName(i)]; j.priority != 2 || due(i) != want || j.deadlineSeconds != 100 {
				t.Errorf("job %d: priority %d, due %.0f s, want %.0f s", i, j.priority, due(i), want)
			}
		}
	}
}

// TestJobAgesAfterRestart checks that a controller that loads a snapshot takes the ages of jobs
// from the times in the headers, so that it orders jobs as the other controllers do.
func TestJobAgesAfterRestart(t *testing.T) {
	wall := int64(1_700_000_000_000)
	header := codec.JobHeader{State: domain.StateOpen, TaskCount: 1, ChunkSize: 1, AcceptOrder: 2, AcceptedAtMS: wall - 90_000, Spec: &domain.JobSpec{Class: "c", Shape: domain.Array, TaskCount: 1, Deadline: 100, DependencyText: "000001"}}
	c := New(Settings{Controller: "c-0", WallClockMS: wall}, "x")
	c.now = 2 * time.Second
	c.loadSnapshot(SnapshotLoaded{Revision: 9, Items: []domain.KeyValue{
		{Key: codec.KeyJob(jobName(1)), Value: codec.Encode(codec.JobHeader{State: domain.StateDone, TaskCount: 1, DoneAtMS: wall - 30_000}), ModRevision: 5},
		{Key: codec.KeyJob(jobName(2)), Value: codec.Encode(header), ModRevision: 3},
	}})
	j := c.cache.jobs[jobName(2)]
	if age := (c.now - time.Duration(j.readyAt)).Seconds(); age != 32 {
		t.Errorf("the job could start %.0f s ago, want 32 s", age)
	}
	if left := time.Duration(j.deadlineAt - int64(c.now)).Seconds(); left != 8 {
		t.Errorf("%.0f s are left until the deadline, want 8 s", left)
	}
}

// actingController returns a controller that may act, with one machine type.
func actingController() *Controller {
	c := New(Settings{Controller: "c-0", Controllers: []string{"c-0"}, ValueLimit: 2048, TransactionLimit: 4, FenceAge: 7 * time.Second,
		Teams: map[string]domain.Quota{"red": {}}}, "x")
	c.now = time.Minute
	c.membership.CacheLoaded()
	c.cache.members = map[string]string{"c-0": "x"}
	c.cache.view = &domain.View{Epoch: 1, Leader: "c-0", Members: c.cache.members, Serving: []string{"c-0"}}
	c.cache.machineTypes = []domain.MachineType{{Name: "box", Capacity: domain.Resources{CPU: 16000}, Zones: []string{"a"}}}
	c.confirmNow()
	c.cache.format, c.cache.revision = codec.CurrentFormat, 100
	return c
}

// lastReply returns the last reply to a user, or the zero value if there is none.
func lastReply(c *Controller) (reply UserReply) {
	for _, effect := range c.effects {
		if answer, ok := effect.(UserReply); ok {
			reply = answer
		}
	}
	return reply
}

// submission returns the submission of a job of one task with the given dependencies.
func submission(id string, needs ...string) JobSubmitted {
	return JobSubmitted{RequestID: 1, ID: id, Spec: &domain.JobSpec{ID: id, Class: "c", Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{CPU: 1000}, Dependencies: needs}}
}

// commitAll answers the controller's commits as committed until none is left, and returns the keys
// that were written. It fails the test if a commit is too large.
func commitAll(t *testing.T, c *Controller) (keys []string) {
	t.Helper()
	for len(c.commits.pending) > 0 {
		for _, id := range []uint64{c.commits.nextID} {
			pending := c.commits.pending[id]
			if pending == nil {
				t.Fatal("an older commit is still in flight")
			}
			if len(pending.transaction.Puts) > c.cfg.TransactionLimit || len(pending.transaction.Conditions) > 4*c.cfg.TransactionLimit {
				t.Fatalf("a transaction with %d changes and %d conditions is over the limits", len(pending.transaction.Puts), len(pending.transaction.Conditions))
			}
			for _, put := range pending.transaction.Puts {
				if len(put.Value) > c.cfg.ValueLimit {
					t.Fatalf("the value of %s has %d bytes, over the limit", put.Key, len(put.Value))
				}
				keys = append(keys, put.Key)
			}
			c.cache.revision++
			c.onCommit(CommitAnswered{ID: id, Result: domain.Committed, Revision: c.cache.revision})
		}
	}
	return keys
}

// TestThousandsOfDependencies checks that a submission may name thousands of jobs. Their list is
// stored in pieces under keys of their own, and the header is written last. Another controller that
// reads the header before the pieces finds the same dependencies, and the job waits until all
// pieces arrived.
func TestThousandsOfDependencies(t *testing.T) {
	c := actingController()
	var needs []string
	for i := 0; i < 4000; i++ {
		c.apply(openHeader(t, jobName(i), uint64(i+200), 0, 0))
		needs = append(needs, jobName(i))
	}
	c.cache.revision = 5000
	c.effects = nil
	c.onJobSubmitted(submission("job-999999", append(needs, needs...)...)) // duplicates count once
	keys := commitAll(t, c)
	if len(keys) < 10 || keys[len(keys)-1] != "b/job/job-999999" || lastReply(c).Status != 201 {
		t.Fatalf("%d keys written, want at least 10 with the header last; reply %+v, want status 201", len(keys), lastReply(c))
	}
	j := c.cache.jobs["job-999999"]
	if j.unfinishedDependencies != 4000 || j.phase != phaseWaiting || len(c.cache.dependencyPieces) != 0 {
		t.Fatalf("%d unfinished dependencies, want 4000; phase %d, want waiting; %d pieces left, want 0", j.unfinishedDependencies, j.phase, len(c.cache.dependencyPieces))
	}
	// Another controller reads the header first.
	other := New(Settings{Controller: "c-1"}, "y")
	other.apply(domain.KeyValue{Key: codec.KeyJob(j.ID), Value: codec.Encode(j.Header), ModRevision: 9000})
	if other.cache.jobs[j.ID].phase != phaseWaiting {
		t.Fatal("the job may start without its list of dependencies")
	}
	for k, text := range codec.JoinJobNames(needs, c.cfg.ValueLimit-400) {
		other.apply(domain.KeyValue{Key: codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k), Value: codec.Encode(text), ModRevision: uint64(8000 + k)})
	}
	if other.cache.jobs[j.ID].unfinishedDependencies != 4000 {
		t.Fatalf("the other controller knows of %d dependencies, want 4000", other.cache.jobs[j.ID].unfinishedDependencies)
	}
	for i, id := range needs {
		if other.cache.jobs[j.ID].phase != phaseWaiting {
			t.Fatalf("the job may start with %d of 4000 dependencies done", i)
		}
		other.apply(finalHeader(id, domain.StateDone, uint64(10000+i)))
	}
	if other.cache.jobs[j.ID].phase != phaseOpen {
		t.Error("the job may not start though all its dependencies are done")
	}
}

// submitAndReply submits a job and answers the controller's lookups with the header elsewhere. It
// checks that the controller does not reply before its cache has reached the read index, and then
// lets it reply and commit.
func submitAndReply(t *testing.T, c *Controller, submitted JobSubmitted, elsewhere domain.KeyValue) {
	t.Helper()
	c.effects = nil
	c.onJobSubmitted(submitted)
	for id := range c.requests.lookups {
		c.onKeysRead(KeysRead{ID: id, OK: true, Items: []domain.KeyValue{elsewhere}})
	}
	if len(c.requests.waiting) > 0 && lastReply(c).Status != 0 {
		t.Errorf("replied %d before reaching the read index", lastReply(c).Status)
	}
	c.reachReadIndex()
	c.answerWaiters()
	commitAll(t, c)
}

// TestDependencyValidation checks the reply to submissions with various dependencies, in the cache
// or only in the state service.
func TestDependencyValidation(t *testing.T) {
	service := openHeader(t, jobName(3), 8, 0, 0)
	service.Value = []byte(strings.Replace(string(service.Value), `"array"`, `"service"`, 1))
	elsewhere := openHeader(t, jobName(5), 90, 0, 0) // in the state service, but not in the cache
	for name, test := range map[string]struct {
		needs  []string
		status int
		open   bool
	}{
		"done job":                           {[]string{jobName(1)}, 201, true},
		"waiting job, named twice":           {[]string{jobName(2), jobName(2)}, 201, false},
		"service":                            {[]string{jobName(3)}, 422, false},
		"job never accepted":                 {[]string{jobName(8)}, 422, false},
		"job itself":                         {[]string{jobName(9)}, 422, false},
		"cancelled job":                      {[]string{jobName(2), jobName(4)}, 201, false},
		"job accepted by another controller": {[]string{jobName(5)}, 201, false},
		"none":                               {nil, 201, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := actingController()
			for _, kv := range []domain.KeyValue{finalHeader(jobName(1), domain.StateDone, 5), openHeader(t, jobName(2), 6, 0, 0), service, finalHeader(jobName(4), domain.StateCancelled, 9)} {
				c.apply(kv)
			}
			submitAndReply(t, c, submission(jobName(9), test.needs...), elsewhere)
			if reply := lastReply(c); reply.Status != test.status {
				t.Errorf("reply %+v", reply)
			}
			if got := slices.Contains(openIDs(c), jobName(9)); got != test.open {
				t.Errorf("the job may start: %v", got)
			}
			if j := c.cache.jobs[jobName(9)]; name == "cancelled job" && (j == nil || !j.cancelled()) {
				t.Error("the job is not cancelled though a dependency is")
			}
			// A repeated submission gets 200, whatever dependencies it names.
			if test.status == 201 {
				submitAndReply(t, c, submission(jobName(9), jobName(8)), elsewhere)
				if reply := lastReply(c); reply.Status != 200 {
					t.Errorf("a repeated submission gets %d, want 200", reply.Status)
				}
			}
		})
	}
	// Not all controllers support dependencies yet.
	c := actingController()
	c.cache.format = 0
	c.apply(finalHeader(jobName(1), domain.StateDone, 5))
	c.effects = nil
	c.onJobSubmitted(submission(jobName(9), jobName(1)))
	if reply := lastReply(c); reply.Status != 503 {
		t.Errorf("in the previous format: %+v, want status 503", reply)
	}
}
