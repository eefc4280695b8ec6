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
// value and the rate of changes. Tasks are numbered from the first one of the chunk or cell. A text
// lists runs of tasks in the same state, and then the bookings by machine.
//
// The verbose form, without a version:
//
//	?5        five queued tasks      ?1,a,p   one queued task, a attempts so far, passed to shard p
//	!3        three done             *4       four booked
//	|n-000231,z,p,e,a:8-10.12   tasks 8, 9, 10 and 12 are booked on that machine in zone z
//	                            by controller p, agent epoch e, attempt a
//
// Items are separated by semicolons; z and p are indices into Names; e and a are omitted if both
// are 1.
//
// In the compact form, version 2, a count of one is omitted, runs have no separator, and bookings
// are grouped by zone, controller, agent epoch and attempt:
//
//	?5!3*4?            five queued, three done, four booked, one queued
//	/z,p,e,a|231:8-10.12|232:9   on the machines MachinePrefix+"231" and MachinePrefix+"232"
//
// A compact text is about half as long as a verbose one.
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
