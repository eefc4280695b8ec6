package codec

import (
	"maps"
	"slices"
	"strings"

	"brassglade/internal/domain"
)

// compactVersion is the version number of the compact form of texts. Values of the older, verbose
// form have no version.
const compactVersion = 2

// Characters of a text that both forms use. Names of machines stand in the text unescaped, so they
// contain none of these.
const (
	markQueued      = '?' // begins a run of queued tasks
	markBooked      = '*' // begins a run of booked tasks
	markDone        = '!' // begins a run of done tasks
	fieldSeparator  = "," // between the fields of a run or booking
	tasksSeparator  = ":" // before the numbers of the tasks booked on a machine
	numberSeparator = "." // between numbers of tasks
	rangeSeparator  = "-" // between the first and the last number of a range
)

// Separators of the verbose form.
const (
	verboseItemSeparator     = ";" // between runs, and between groups of bookings
	verboseBookingsSeparator = "|" // between the runs and the bookings
)

// Separators of the compact form.
const (
	compactGroupSeparator   = "/" // before a group of bookings
	compactMachineSeparator = "|" // before a machine of a group
)

// runMarks are the marks of runs, indexed by domain.TaskState.
const runMarks = string(markQueued) + string(markBooked) + string(markDone)

// ChunkValue is the value of b/task/ID/K (a chunk), b/task/ID/K/S (a cell of a chunk) and
// b/pack/NODE/K (a pack). It is also part of the header of jobs whose tasks are kept inline. It
// holds the tasks of one or several jobs as one short text for each job. The texts are short
// because every change rewrites the whole value, and the state service limits both the size of a
// value and the rate of changes.
//
// A text lists runs of tasks in the same state, and then the bookings of the booked tasks by machine.
// Tasks are numbered in the order of the runs, from the first one of the chunk or cell. In the
// following, z, p and s stand for indices into Names, of a zone, a controller and a shard;
// e is an agent epoch, and a the number of an attempt, or of the attempts so far for a queued task.
// Bookings omit e and a if both are 1.
//
// The verbose form, without a version, is about twice as long as the compact one:
//
//	?5                          run of five queued tasks without earlier attempts or a shard
//	?1,a,s                      run of one queued task that has had a attempts, passed to shard s
//	!3                          run of three done tasks
//	*4                          run of four booked tasks
//	;                           between two runs, and between two bookings
//	|                           between the runs and the bookings
//	n-000231,z,p,e,a:8-10.12    booking: tasks 8, 9, 10 and 12 are booked on that machine in zone z
//	                            by controller p, with agent epoch e, as attempt a
//
// In the compact form, version 2, a count of 1 is omitted, runs follow each other without a separator,
// and bookings are grouped by zone, controller, agent epoch and attempt:
//
//	?5!3*4?                     five queued, three done, four booked, one queued
//	/z,p,e,a                    start of a group of bookings
//	|231:8-10.12                the tasks booked on the machine MachinePrefix+"231" of the group
//	|232:9                      the task booked on the machine MachinePrefix+"232" of the group
type ChunkValue struct {
	Version       int               `json:"v,omitempty"` // compactVersion, or 0 for the verbose form
	MachinePrefix string            `json:"p,omitempty"` // compact form: common prefix of the machine names
	Names         []string          `json:"d,omitempty"` // zones, shards and controllers, in order of first use
	Texts         map[string]string `json:"j"`           // by job ID
}

// NewChunkValue returns the value that holds the given tasks, by job, in the compact form or else in
// the verbose one.
func NewChunkValue(tasksByJob map[string][]domain.Task, compact bool) *ChunkValue {
	v := &ChunkValue{Texts: map[string]string{}}
	if compact {
		v.Version, v.MachinePrefix = compactVersion, commonMachinePrefix(tasksByJob)
	}
	for _, id := range slices.Sorted(maps.Keys(tasksByJob)) {
		v.SetTasks(id, tasksByJob[id])
	}
	return v
}

// commonMachinePrefix returns the common prefix of the names of all machines with bookings, up to the
// first digit from 1 to 9 and always shorter than each of the names. Cut like that, the prefix rarely
// changes as machines are added and removed.
func commonMachinePrefix(tasksByJob map[string][]domain.Task) string {
	prefix, isFirst := "", true
	for _, tasks := range tasksByJob {
		for i := range tasks {
			if tasks[i].State != domain.Booked {
				continue
			}
			machine := tasks[i].Machine
			if isFirst {
				prefix, isFirst = prefixBeforeDigits(machine), false
			}
			for !strings.HasPrefix(machine, prefix) || machine == prefix {
				prefix = prefix[:len(prefix)-1]
			}
		}
	}
	return prefix
}

// prefixBeforeDigits returns the part of a machine's name before the first digit from 1 to 9.
func prefixBeforeDigits(machine string) string {
	if i := strings.IndexAny(machine, "123456789"); i >= 0 {
		return machine[:i]
	}
	return machine
}
