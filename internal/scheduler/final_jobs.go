package scheduler

import (
	"maps"
	"slices"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/finaljobs"
	"brassglade/internal/tuning"
)

// Jobs that are over are kept for as long as the service runs, since users may ask for them at any
// time. A record of each in the cache would take all memory of a controller within days, so only
// the outcomes are kept for long (package finaljobs). A final header never changes again, so that
// its revision need not be kept either.

// endedJob is a job that is over and still has its record in the cache.
type endedJob struct {
	id      string
	endedAt time.Duration // when this controller saw it
}

// AddItem adds a key that was read to the snapshot, of which Revision must be set. Of a job that is
// over only the outcome is kept, unless the key changed after that revision.
func (s *SnapshotLoaded) AddItem(item domain.KeyValue) {
	kind, id := codec.ParseKey(item.Key)
	if kind != codec.KindJob || item.ModRevision > s.Revision {
		s.Items = append(s.Items, item)
		return
	}
	outcome, ok := codec.OutcomeOf(item.Value)
	if !ok {
		s.Items = append(s.Items, item)
		return
	}
	if s.FinalJobs == nil {
		s.FinalJobs = finaljobs.New()
	}
	s.FinalJobs.Add(id, outcome)
}

// job returns a job of the cache, or nil if it is unknown. Of a job that was over long ago it
// returns a new record with what its outcome says.
func (c *cache) job(id string) *Job {
	if j := c.jobs[id]; j != nil {
		return j
	}
	outcome, ok := c.finalJobs.Get(id)
	if !ok {
		return nil
	}
	j := &Job{ID: id, Header: headerOf(outcome), phase: phaseDone}
	if outcome.State == domain.StateCancelled {
		j.phase = phaseCancelled
	}
	return j
}

// headerOf returns the header of a job that is over.
func headerOf(outcome finaljobs.Outcome) *codec.JobHeader {
	return &codec.JobHeader{
		State: outcome.State, TaskCount: outcome.TaskCount, DoneAtMS: outcome.DoneAtMS,
		Released: outcome.State == domain.StateCancelled,
	}
}

// applyOutcomes adds the outcomes in a snapshot to the cache. Jobs that the cache has as open ended
// while this controller missed changes.
func (c *Controller) applyOutcomes(snapshot SnapshotLoaded) {
	if snapshot.FinalJobs == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.cache.jobs)) { // in a fixed order, as all changes of the cache
		if outcome, ok := snapshot.FinalJobs.Get(id); ok && c.cache.jobs[id].Header.Spec != nil {
			c.cache.modRevisions[codec.KeyJob(id)] = snapshot.Revision
			c.applyHeader(id, headerOf(outcome))
		}
	}
	c.cache.finalJobs.AddAll(snapshot.FinalJobs)
}

// archiveEndedJobs replaces the records of jobs that have been over for tuning.EndedJobRetention by
// their outcomes.
func (c *Controller) archiveEndedJobs() {
	ended := c.cache.ended
	for len(ended) > 0 && c.now-ended[0].endedAt > tuning.EndedJobRetention {
		if j := c.cache.jobs[ended[0].id]; j != nil {
			c.archive(j)
		}
		ended = ended[1:]
	}
	c.cache.ended = ended
	if c.cache.nextDoneTimesReview.HasPassed(c.now) {
		c.cache.nextDoneTimesReview.Set(c.now + tuning.EndedJobRetention)
		c.cache.finalJobs.ForgetDoneTimes(c.wallMS() - tuning.DoneTimeRetention.Milliseconds())
	}
}

// archive replaces a job's record by its outcome.
func (c *Controller) archive(j *Job) {
	header := j.Header
	c.cache.finalJobs.Add(j.ID, finaljobs.Outcome{State: header.State, TaskCount: header.TaskCount, DoneAtMS: header.DoneAtMS})
	delete(c.cache.jobs, j.ID)
	delete(c.cache.modRevisions, codec.KeyJob(j.ID))
	delete(c.queues.jobsDrawn, j.ID)
	if header.Inline || header.Pack != "" || header.ChunkSize < 1 {
		return
	}
	for chunk := 0; chunk*header.ChunkSize < header.TaskCount; chunk++ {
		delete(c.cache.modRevisions, codec.KeyChunk(j.ID, chunk)) // the chunk was deleted with the job's end
	}
}
