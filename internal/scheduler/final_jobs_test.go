package scheduler

import (
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// snapshotOf returns a snapshot with the given keys.
func snapshotOf(revision uint64, items ...domain.KeyValue) SnapshotLoaded {
	snapshot := SnapshotLoaded{Revision: revision}
	for _, item := range items {
		snapshot.AddItem(item)
	}
	return snapshot
}

// checkOutcomes checks what users are told of job 1, which is done, and job 2, which is cancelled:
// the same to a query, a repeated submission and a cancellation.
func checkOutcomes(t *testing.T, c *Controller) {
	t.Helper()
	for i, want := range map[int]UserReply{
		1: {Status: StatusOK, ID: jobName(1), State: "done", Done: 2},
		2: {Status: StatusOK, ID: jobName(2), State: "cancelled"},
	} {
		for what, ask := range map[string]func(){
			"query":        func() { c.onJobQueried(JobQueried{ID: jobName(i)}) },
			"submission":   func() { c.onJobSubmitted(JobSubmitted{ID: jobName(i), Spec: submission(jobName(i)).Spec}) },
			"cancellation": func() { c.onJobCancelled(JobCancelled{ID: jobName(i)}) },
		} {
			c.effects = nil
			if ask(); lastReply(c) != want {
				t.Errorf("%s of job %d is answered %+v, want %+v", what, i, lastReply(c), want)
			}
		}
	}
}

// TestEndedJobsLeaveTheCache guards against controllers whose memory is taken by the jobs of past
// days: a while after its end only a job's outcome may be left, and users must be told the same.
func TestEndedJobsLeaveTheCache(t *testing.T) {
	c := actingController()
	old := openHeader(t, jobName(1), 11, 1, 0)
	c.apply(old)
	c.apply(openHeader(t, jobName(2), 12, 1, 0))
	c.apply(finalHeader(jobName(1), domain.StateDone, 13))
	c.apply(finalHeader(jobName(2), domain.StateCancelled, 14))
	checkOutcomes(t, c)
	c.now += tuning.EndedJobRetention + time.Second
	c.confirmNow()
	c.archiveEndedJobs()
	checkOutcomes(t, c)
	if len(c.cache.jobs) > 0 || len(c.cache.modRevisions) > 0 || c.cache.finalJobs.Len() != 2 {
		t.Errorf("%d jobs and %d revisions are left, %d outcomes kept", len(c.cache.jobs), len(c.cache.modRevisions), c.cache.finalJobs.Len())
	}
	c.apply(old) // a late value must not bring the job back
	checkOutcomes(t, c)
	if len(c.cache.openJobs) > 0 || len(c.cache.modRevisions) > 0 {
		t.Errorf("%d jobs are open, %d revisions kept after an old header", len(c.cache.openJobs), len(c.cache.modRevisions))
	}
}

// TestSnapshotKeepsOutcomesOnly checks the same of jobs that were over before the controller
// started, and that jobs which depend on them start or are cancelled.
func TestSnapshotKeepsOutcomesOnly(t *testing.T) {
	c := actingController()
	c.loadSnapshot(snapshotOf(20, finalHeader(jobName(1), domain.StateDone, 11), finalHeader(jobName(2), domain.StateCancelled, 12),
		openHeader(t, jobName(3), 13, 1, 0, jobName(1)), openHeader(t, jobName(4), 14, 1, 0, jobName(2)), finalHeader(jobName(5), domain.StateDone, 21)))
	checkOutcomes(t, c)
	if c.cache.jobs[jobName(1)] != nil || c.cache.jobs[jobName(2)] != nil {
		t.Error("jobs that were over before the start have records in the cache")
	}
	if c.cache.job(jobName(5)) != nil {
		t.Error("a job that ended after the snapshot's revision is known to be over")
	}
	if j := c.cache.jobs[jobName(3)]; j.phase != phaseOpen {
		t.Errorf("the job after one that is done is in phase %d", j.phase)
	}
	if j := c.cache.jobs[jobName(4)]; j.phase != phaseCancelled {
		t.Errorf("the job after a cancelled one is in phase %d", j.phase)
	}
}

// TestSnapshotEndsOpenJobs checks that a controller which missed the ends of jobs learns of them
// from its next snapshot, with the bookings that they gave up.
func TestSnapshotEndsOpenJobs(t *testing.T) {
	c, m := withBookedTask(t, GuardNone)
	done := finalHeader(jobName(1), domain.StateDone, 200)
	c.loadSnapshot(snapshotOf(210, done))
	if len(c.cache.bookedOn[m.Name]) > 0 || len(c.cache.openJobs) > 0 || c.cache.job(jobName(1)).Header.State != domain.StateDone {
		t.Errorf("%d bookings and %d open jobs are left", len(c.cache.bookedOn[m.Name]), len(c.cache.openJobs))
	}
}

// TestAgeAfterAnArchivedDependency checks that a job's age counts from the end of a dependency of
// which only the outcome is left.
func TestAgeAfterAnArchivedDependency(t *testing.T) {
	const wall = int64(1_700_000_000_000)
	c := New(Settings{Controller: "c-0", WallClockMS: wall}, "x")
	c.now = 2 * time.Second
	waiting := codec.JobHeader{State: domain.StateOpen, TaskCount: 1, ChunkSize: 1, AcceptOrder: 2, AcceptedAtMS: wall - 90_000,
		Spec: &domain.JobSpec{Class: "c", Shape: domain.Array, TaskCount: 1, DependencyText: "000001"}}
	c.loadSnapshot(snapshotOf(9,
		domain.KeyValue{Key: codec.KeyJob(jobName(1)), Value: codec.Encode(codec.JobHeader{State: domain.StateDone, TaskCount: 1, DoneAtMS: wall - 30_000}), ModRevision: 5},
		domain.KeyValue{Key: codec.KeyJob(jobName(2)), Value: codec.Encode(waiting), ModRevision: 3}))
	if age := c.cache.jobs[jobName(2)].age(c.now).Seconds(); age != 32 {
		t.Errorf("the job could start %.0f s ago, want 32 s", age)
	}
}
