package codec

import (
	"maps"
	"slices"
	"strings"

	"brassglade/internal/domain"
)

// compactVersion is the version of the shorter form of texts; values of the first form have none.
const compactVersion = 2

// Characters of a text that both forms share. A name of a machine, which stands in the text
// as it is, has none of these.
const (
	markQueued      = '?' // begins a run of queued tasks
	markBooked      = '*' // begins a run of booked tasks
	markDone        = '!' // begins a run of done tasks
	fieldSeparator  = "," // between the fields of a run or booking
	tasksSeparator  = ":" // before the numbers of the tasks booked on a machine
	numberSeparator = "." // between numbers of tasks
	rangeSeparator  = "-" // between the first and the last number of a range
)

// Separators of the first form.
const (
	verboseItemSeparator     = ";" // between runs, and between groups of bookings
	verboseBookingsSeparator = "|" // between the runs and the bookings
)

// Separators of the shorter form.
const (
	compactGroupSeparator   = "/" // before a group of bookings
	compactMachineSeparator = "|" // before a machine of a group
)

// runMarks are the marks by state of task.
const runMarks = string(markQueued) + string(markBooked) + string(markDone)

// ChunkValue is the value of b/task/ID/K (a chunk), b/task/ID/K/S (a cell of one) and
// b/pack/NODE/K (a pack), and part of the header of jobs that are kept inline: the tasks of one
// job or of several as short texts, since every change rewrites the whole value and the state
// service bounds both its size and the changes a second. Tasks are numbered from the first of
// the chunk or cell. A text has runs of tasks of the same state, then the bookings by machine.
// In the first form:
//
//	?5        five queued tasks      ?1,a,p   one with a attempts so far, passed to shard p
//	!3        three done             *4       four booked
//	|n-000231,z,p,e,a:8-10.12   tasks 8, 9, 10 and 12 are booked on that machine in zone z
//	                            by controller p, agent epoch e, attempt a
//
// Items are separated by semicolons; z and p are places in Names; e and a are left out when both
// are 1.
//
// In the shorter form, version 2, a count of one is left out, nothing stands between runs, and
// bookings are grouped by what they share:
//
//	?5!3*4?            five queued, three done, four booked, one queued
//	/z,p,e,a|231:8-10.12|232:9   on the machines MachinePrefix+"231" and MachinePrefix+"232"
//
// That text is about half as long.
type ChunkValue struct {
	Version       int               `json:"v,omitempty"` // shortForm, or 0 for the first form
	MachinePrefix string            `json:"p,omitempty"` // shorter form: what the names of all machines begin with
	Names         []string          `json:"d,omitempty"` // zones, shards and controllers, in the order of their first use
	Texts         map[string]string `json:"j"`           // by job
}

// NewChunkValue makes the value of some jobs' tasks, by job, in the shorter form or the first.
func NewChunkValue(tasksByJob map[string][]domain.Task, short bool) *ChunkValue {
	v := &ChunkValue{Texts: map[string]string{}}
	if short {
		v.Version, v.MachinePrefix = compactVersion, commonMachinePrefix(tasksByJob)
	}
	for _, id := range slices.Sorted(maps.Keys(tasksByJob)) {
		v.SetTasks(id, tasksByJob[id])
	}
	return v
}

// commonMachinePrefix is what the names of all machines with bookings begin with, without digits
// from 1 to 9 and never a whole name: it seldom gets shorter as machines come and go.
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

// prefixBeforeDigits is what stands before the first digit from 1 to 9.
func prefixBeforeDigits(machine string) string {
	if i := strings.IndexAny(machine, "123456789"); i >= 0 {
		return machine[:i]
	}
	return machine
}
