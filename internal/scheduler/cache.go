package scheduler

import (
	"sort"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// cache is what the key-value store said, as far as the watch, snapshots and own commits
// brought it here, with indexes over it. Every change to it goes through apply.
type cache struct {
	revision        uint64            // every change up to here has been applied
	modRevisions    map[string]uint64 // by key: of the value that was applied last
	loadingSnapshot bool              // apply is called for a snapshot: what is in it may be old

	view    *domain.View      // nil: none seen yet
	members map[string]string // controller -> incarnation

	format           int            // that all controllers read
	announcedFormats map[string]int // controller -> the format that it announced

	// Jobs and their indexes.
	jobs             map[string]*Job            // by name; also those that are over
	openJobs         []*Job                     // whose tasks may start, by order of acceptance
	awaitingRelease  map[string]*Job            // cancelled ones that may still have bookings
	dependents       map[string][]*Job          // job -> jobs that depend on it, unless it is over
	dependencyPieces map[string]string          // by key: pieces of lists that no header has used yet
	jobsByPack       map[string]map[string]*Job // pack -> jobs by name whose tasks it holds

	// Values whose size matters.
	valueSizes map[string]int  // key -> bytes; packs, cells and pages of machine types
	oversized  map[string]bool // keys of values over the smaller bound

	// Bookings and their indexes.
	bookedOn  map[string]map[domain.TaskID]bool      // machine -> tasks booked there
	bookings  map[domain.TaskID]bookingInfo          // of booked tasks
	occupancy map[string]occupancy                   // machine -> sum over its bookings
	usage     map[string]map[string]domain.Resources // team -> controller that booked -> in use
	shares    map[string]codec.TeamShares            // by team

	cordons     map[string]domain.Cordon    // by machine
	cordonPages map[string]codec.CordonPage // by the controller whose page it is

	machineTypes     []domain.MachineType             // of all pages
	machineTypePages map[string]codec.MachineTypePage // by key
	windows          map[string]*codec.WindowRecord   // by controller
}

// taskSum sums up tasks booked on a machine.
type taskSum struct {
	used      domain.Resources
	tasks     int
	runTimeMS int64 // expected run times, ms
}

// count adds times as many tasks of a request and expected run time.
func (s *taskSum) count(request domain.Resources, runTimeMS, times int64) {
	s.used = s.used.Plus(request, times)
	s.tasks += int(times)
	s.runTimeMS += times * runTimeMS
}

// occupancy sums up what is booked on a machine, so that nothing has to walk tasks
// to know a machine's room or load.
type occupancy struct {
	taskSum             // of all tasks booked there
	preemptible taskSum // of those that may be stopped for any other
	gangTasks   int     // of jobs that the leader reserves machines for
	zone        string
}

// bookingInfo is what this controller remembers of a booking.
type bookingInfo struct {
	seenAt    time.Duration // when it was first seen
	runTimeMS int64         // expected run time then, ms
}

// newCache has seen nothing of the key-value store yet.
func newCache() cache {
	return cache{
		modRevisions:     map[string]uint64{},
		members:          map[string]string{},
		announcedFormats: map[string]int{},
		jobs:             map[string]*Job{},
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

// indexPack adds a job to the index of its pack, if it is in one.
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

// unindexPack takes a job out of the index of its pack.
func (c *cache) unindexPack(j *Job) {
	if j.Header.Pack != "" {
		delete(c.jobsByPack[j.Header.Pack], j.ID)
	}
}

// insertOpen puts a job among the open ones: the earliest accepted first.
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
