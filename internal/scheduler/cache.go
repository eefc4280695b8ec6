package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/finaljobs"
	"brassglade/internal/monotime"
)

// cache is this controller's copy of the key-value store, built from the watch, snapshots and
// this controller's own commits, with indexes over it. Every change to it goes through apply.
type cache struct {
	reportBytes int64 // room for tasks in the report of an empty machine

	revision        uint64            // all changes up to this revision have been applied
	modRevisions    map[string]uint64 // key -> revision of the value that was applied last
	loadingSnapshot bool              // apply is called for a snapshot, whose items may be old

	view    *domain.View      // nil: no view received yet
	members map[string]string // controller -> incarnation

	format           int            // format that all controllers read
	announcedFormats map[string]int // controller -> format that it announced

	// Jobs and their indexes.
	jobs             map[string]*Job            // by name; includes jobs that were over a short time ago
	finalJobs        *finaljobs.Set             // outcomes of the other jobs that are over
	ended            []endedJob                 // jobs that are over and still in jobs, those first seen to be over first
	openJobs         []*Job                     // jobs whose tasks may start, in order of acceptance
	awaitingRelease  map[string]*Job            // cancelled jobs that may still have bookings, by name
	dependents       map[string][]*Job          // job that is not over -> jobs that depend on it
	dependencyPieces map[string]string          // key -> piece of a list of dependencies that no header refers to yet
	jobsByPack       map[string]map[string]*Job // pack -> jobs whose tasks it holds, by name

	// Sizes of values that may come near the limit.
	valueSizes map[string]int  // key -> bytes; packs, chunks, cells and pages of machine types
	oversized  map[string]bool // keys of values larger than Settings.ValueLimit

	// Bookings and their indexes.
	bookedOn  map[string]map[domain.TaskID]bool      // machine -> tasks booked there
	bookings  map[domain.TaskID]bookingInfo          // by booked task
	occupancy map[string]occupancy                   // machine -> totals of its bookings
	usage     map[string]map[string]domain.Resources // team -> controller that booked -> resources in use
	shares    map[string]codec.TeamShares            // by team

	nextDoneTimesReview monotime.Deadline // when old times are removed from finalJobs next

	cordons     map[string]domain.Cordon    // by machine
	cordonPages map[string]codec.CordonPage // by the controller that the page is named after

	machineTypes     []domain.MachineType             // of all pages
	machineTypePages map[string]codec.MachineTypePage // by key
	windows          map[string]*codec.WindowRecord   // last learning window, by controller
}

// taskSum is the total of some of the tasks booked on a machine.
type taskSum struct {
	used      machineRoom
	tasks     int
	runTimeMS int64 // expected run times, ms
}

// add adds the given number of tasks of one request and expected run time; a negative number
// subtracts them.
func (s *taskSum) add(request machineRoom, runTimeMS, times int64) {
	s.used = s.used.plus(request, times)
	s.tasks += int(times)
	s.runTimeMS += times * runTimeMS
}

// occupancy is the total of what is booked on a machine. It is kept up to date so that a
// machine's room and load can be determined without iterating over tasks.
type occupancy struct {
	taskSum             // of all tasks booked there
	preemptible taskSum // of those that may be preempted by any other task
	gangTasks   int     // tasks of jobs that the leader reserves machines for
	zone        string
}

// bookingInfo is what this controller records about a booking in memory only.
type bookingInfo struct {
	seenAt    time.Duration // when this controller first saw the booking
	runTimeMS int64         // expected run time at that moment, ms
}

// newCache returns an empty cache.
func newCache(reportBytes int64) cache {
	return cache{
		reportBytes:      reportBytes,
		modRevisions:     map[string]uint64{},
		members:          map[string]string{},
		announcedFormats: map[string]int{},
		jobs:             map[string]*Job{},
		finalJobs:        finaljobs.New(),
		awaitingRelease:  map[string]*Job{},
		dependents:       map[string][]*Job{},
		dependencyPieces: map[string]string{},
		jobsByPack:       map[string]map[string]*Job{},
		valueSizes:       map[string]int{},
		oversized:        map[string]bool{},
		bookedOn:         map[string]map[domain.TaskID]bool{},
		bookings:         map[domain.TaskID]bookingInfo{},
		occupancy:        map[string]occupancy{},
		usage:            map[string]map[string]domain.Resources{},
		shares:           map[string]codec.TeamShares{},
		cordons:          map[string]domain.Cordon{},
		cordonPages:      map[string]codec.CordonPage{},
		machineTypePages: map[string]codec.MachineTypePage{},
		windows:          map[string]*codec.WindowRecord{},
	}
}

// indexPack adds a job to the index of its pack; a job without a pack is skipped.
func (c *cache) indexPack(j *Job) {
	if j.Header.Pack == "" {
		return
	}
	jobs := c.jobsByPack[j.Header.Pack]
	if jobs == nil {
		jobs = map[string]*Job{}
		c.jobsByPack[j.Header.Pack] = jobs
	}
	jobs[j.ID] = j
}

// unindexPack removes a job from the index of its pack.
func (c *cache) unindexPack(j *Job) {
	if j.Header.Pack != "" {
		delete(c.jobsByPack[j.Header.Pack], j.ID)
	}
}

// insertOpen inserts a job into openJobs, which is sorted by order of acceptance, then by name.
func (c *cache) insertOpen(j *Job) {
	place := sort.Search(len(c.openJobs), func(i int) bool {
		other := c.openJobs[i]
		if other.Header.AcceptOrder != j.Header.AcceptOrder {
			return other.Header.AcceptOrder > j.Header.AcceptOrder
		}
		return other.ID > j.ID
	})
	c.openJobs = append(c.openJobs, nil)
	copy(c.openJobs[place+1:], c.openJobs[place:])
	c.openJobs[place] = j
}
