// Package finaljobs keeps the outcomes of jobs that are over in little memory: some bytes for each
// job, where a record of its own would take hundreds. An outcome must be kept for as long as the
// service runs, since users may ask for it, or submit the job again, at any later time.
package finaljobs

import (
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2/roaring64"

	"brassglade/internal/domain"
)

// Outcome is what is kept of a job that is over.
type Outcome struct {
	State     domain.JobState // domain.StateDone or domain.StateCancelled
	TaskCount int
	DoneAtMS  int64 // when it was done, Unix ms; 0: unknown, cancelled, or forgotten by ForgetDoneTimes
}

// The numbers of jobs, which follow idPrefix, are kept as integers if they have at most maxDigits
// digits.
const (
	idPrefix  = "job-"
	maxDigits = 18
)

// group is a set of jobs that differ only in their number. Numbers with leading zeros are told apart
// by their number of digits.
type group struct {
	digits    int
	state     domain.JobState
	taskCount int
}

// number is a job's number with its count of digits.
type number struct {
	digits int
	value  uint64
}

// Set holds the outcomes of jobs by their IDs. The zero value is not usable; see New.
type Set struct {
	known   map[int]*roaring64.Bitmap // by digits, the numbers in all groups
	groups  map[group]*roaring64.Bitmap
	doneAt  map[number]int64   // Unix ms
	unusual map[string]Outcome // jobs whose IDs have another form
}

// New returns an empty set.
func New() *Set {
	return &Set{
		known: map[int]*roaring64.Bitmap{}, groups: map[group]*roaring64.Bitmap{},
		doneAt: map[number]int64{}, unusual: map[string]Outcome{},
	}
}

// parse returns the number in a job's ID. It reports false for IDs of another form.
func parse(id string) (number, bool) {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || digits == "" || len(digits) > maxDigits || strings.Trim(digits, "0123456789") != "" {
		return number{}, false
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	return number{len(digits), value}, err == nil
}

// Add adds the outcome of a job. An outcome never changes: that of a job in the set stays.
func (s *Set) Add(id string, outcome Outcome) {
	if s.Has(id) {
		return
	}
	n, ok := parse(id)
	if !ok {
		s.unusual[id] = outcome
		return
	}
	bitmapOf(s.known, n.digits).Add(n.value)
	bitmapOf(s.groups, group{n.digits, outcome.State, outcome.TaskCount}).Add(n.value)
	if outcome.DoneAtMS > 0 {
		s.doneAt[n] = outcome.DoneAtMS
	}
}

// bitmapOf returns the bitmap of a key, which it adds if it is missing.
func bitmapOf[K comparable](bitmaps map[K]*roaring64.Bitmap, key K) *roaring64.Bitmap {
	bitmap := bitmaps[key]
	if bitmap == nil {
		bitmap = roaring64.New()
		bitmaps[key] = bitmap
	}
	return bitmap
}

// Has reports whether the set has the outcome of a job.
func (s *Set) Has(id string) bool {
	n, ok := parse(id)
	if !ok {
		_, known := s.unusual[id]
		return known
	}
	known := s.known[n.digits]
	return known != nil && known.Contains(n.value)
}

// Get returns the outcome of a job, and whether the set has it.
func (s *Set) Get(id string) (Outcome, bool) {
	n, ok := parse(id)
	if !ok {
		outcome, known := s.unusual[id]
		return outcome, known
	}
	if !s.Has(id) {
		return Outcome{}, false
	}
	for group, numbers := range s.groups {
		if group.digits == n.digits && numbers.Contains(n.value) {
			return Outcome{State: group.state, TaskCount: group.taskCount, DoneAtMS: s.doneAt[n]}, true
		}
	}
	return Outcome{}, false
}

// AddAll adds all outcomes of another set, which must not be used afterwards.
func (s *Set) AddAll(other *Set) {
	for digits, numbers := range other.known {
		added := numbers.Clone()
		if known := s.known[digits]; known != nil {
			added.AndNot(known)
		}
		for group, members := range other.groups {
			if group.digits == digits {
				members.And(added)
				bitmapOf(s.groups, group).Or(members)
			}
		}
		bitmapOf(s.known, digits).Or(added)
	}
	for n, at := range other.doneAt {
		if _, known := s.doneAt[n]; !known {
			s.doneAt[n] = at
		}
	}
	for id, outcome := range other.unusual {
		s.Add(id, outcome)
	}
}

// ForgetDoneTimes forgets the times of jobs that were done before the given Unix time in ms.
func (s *Set) ForgetDoneTimes(before int64) {
	for n, at := range s.doneAt {
		if at < before {
			delete(s.doneAt, n)
		}
	}
}

// Len returns the number of jobs in the set.
func (s *Set) Len() int {
	count := len(s.unusual)
	for _, numbers := range s.known {
		count += int(numbers.GetCardinality())
	}
	return count
}
