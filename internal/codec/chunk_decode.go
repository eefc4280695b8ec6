package codec

import (
	"errors"
	"strconv"
	"strings"

	"brassglade/internal/domain"
)

// ErrMalformedChunk is the error for a text that no version of the program writes.
var ErrMalformedChunk = errors.New("malformed text of tasks in a stored chunk")

// maxTasksPerText limits the number of tasks that one text may state, as a guard against corrupt
// stored values.
const maxTasksPerText = 200000

// ForEachTask decodes the text of a job's tasks and calls yield for each task with its number in the
// chunk or cell. It returns ErrMalformedChunk for a malformed text; yield has been called by then
// for the tasks before the malformed part.
func (v *ChunkValue) ForEachTask(text string, yield func(int, domain.Task)) error {
	d := &chunkDecoder{value: v, yield: yield}
	if v.Version == compactVersion {
		return d.readCompact(text)
	}
	return d.readVerbose(text)
}

// chunkDecoder decodes the text of one job.
type chunkDecoder struct {
	value     *ChunkValue
	yield     func(int, domain.Task)
	next      int  // number of the next task in the runs
	malformed bool // a number, or an index of a name, was invalid
}

// readNumber parses a decimal number; it sets malformed if the text is not one.
func (d *chunkDecoder) readNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	d.malformed = d.malformed || err != nil
	return n
}

// readName parses an index into Names and returns that name; it sets malformed if the index is
// invalid.
func (d *chunkDecoder) readName(text string) string {
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 || index >= len(d.value.Names) {
		d.malformed = true
		return ""
	}
	return d.value.Names[index]
}

// readTaskNumbers yields the task t for each number in a text such as 8-10.12.
func (d *chunkDecoder) readTaskNumbers(numbers string, t domain.Task) error {
	for _, part := range strings.Split(numbers, numberSeparator) {
		first, last, isRange := strings.Cut(part, rangeSeparator)
		from := d.readNumber(first)
		to := from
		if isRange {
			to = d.readNumber(last)
		}
		if d.malformed || to < from || to > maxTasksPerText {
			return ErrMalformedChunk
		}
		for i := from; i <= to; i++ {
			d.yield(int(i), t)
		}
	}
	return nil
}

// readRun yields count tasks of the state that mark stands for. The fields of the run are its count
// and, optionally for queued tasks, the number of attempts so far and the shard. Booked tasks are
// only counted here; readBooking and readTaskNumbers read them.
func (d *chunkDecoder) readRun(mark byte, count uint64, fields []string) error {
	var t domain.Task
	switch mark {
	case markQueued:
		if len(fields) == 3 {
			t.Attempt, t.Shard = d.readNumber(fields[1]), d.readName(fields[2])
		}
	case markDone:
		t.State = domain.Done
	case markBooked:
		t.State = domain.Booked
	default:
		return ErrMalformedChunk
	}
	if d.malformed || count > maxTasksPerText {
		return ErrMalformedChunk
	}
	for ; count > 0; count-- {
		if t.State != domain.Booked {
			d.yield(d.next, t)
		}
		d.next++
	}
	return nil
}

// readBooking returns a booked task without its machine from the fields of a group: zone and
// controller, and also agent epoch and attempt unless both are 1.
func (d *chunkDecoder) readBooking(fields []string) (domain.Task, error) {
	t := domain.Task{State: domain.Booked, AgentEpoch: 1, Attempt: 1}
	if len(fields) != 2 && len(fields) != 4 {
		return t, ErrMalformedChunk
	}
	t.Zone, t.Shard = d.readName(fields[0]), d.readName(fields[1])
	if len(fields) == 4 {
		t.AgentEpoch, t.Attempt = d.readNumber(fields[2]), d.readNumber(fields[3])
	}
	return t, nil
}

// readCompact decodes a text of the compact form.
func (d *chunkDecoder) readCompact(text string) error {
	runs, groups, hasBookings := strings.Cut(text, compactGroupSeparator)
	for len(runs) > 0 {
		end := strings.IndexAny(runs[1:], runMarks) + 1
		if end == 0 {
			end = len(runs)
		}
		if err := d.readCompactRun(runs[0], strings.Split(runs[1:end], fieldSeparator)); err != nil {
			return err
		}
		runs = runs[end:]
	}
	if d.next == 0 {
		return ErrMalformedChunk
	}
	if !hasBookings {
		return nil
	}
	for _, group := range strings.Split(groups, compactGroupSeparator) {
		if err := d.readCompactGroup(strings.Split(group, compactMachineSeparator)); err != nil {
			return err
		}
	}
	return nil
}

// readCompactRun decodes a run; an omitted count means one.
func (d *chunkDecoder) readCompactRun(mark byte, fields []string) error {
	if len(fields) != 1 && (len(fields) != 3 || mark != markQueued) {
		return ErrMalformedChunk
	}
	count := uint64(1)
	if fields[0] != "" {
		count = d.readNumber(fields[0])
	}
	return d.readRun(mark, count, fields)
}

// readCompactGroup decodes a group of bookings that differ only in machine and task number. The first
// part holds the common fields, and each further part a machine and its tasks.
func (d *chunkDecoder) readCompactGroup(parts []string) error {
	t, err := d.readBooking(strings.Split(parts[0], fieldSeparator))
	if err != nil {
		return err
	}
	for _, part := range parts[1:] {
		name, numbers, _ := strings.Cut(part, tasksSeparator)
		if d.malformed {
			return ErrMalformedChunk
		}
		t.Machine = d.value.MachinePrefix + name
		if err := d.readTaskNumbers(numbers, t); err != nil {
			return err
		}
	}
	return nil
}

// readVerbose decodes a text of the verbose form.
func (d *chunkDecoder) readVerbose(text string) error {
	runs, groups, hasBookings := strings.Cut(text, verboseBookingsSeparator)
	for _, run := range strings.Split(runs, verboseItemSeparator) {
		fields := strings.Split(run, fieldSeparator)
		if len(fields[0]) < 2 || len(fields) != 1 && len(fields) != 3 {
			return ErrMalformedChunk
		}
		if err := d.readRun(fields[0][0], d.readNumber(fields[0][1:]), fields); err != nil {
			return err
		}
	}
	if !hasBookings {
		return nil
	}
	for _, group := range strings.Split(groups, verboseItemSeparator) {
		if err := d.readVerboseGroup(group); err != nil {
			return err
		}
	}
	return nil
}

// readVerboseGroup decodes a group of bookings that differ only in the task number.
func (d *chunkDecoder) readVerboseGroup(group string) error {
	head, numbers, _ := strings.Cut(group, tasksSeparator)
	machine, rest, _ := strings.Cut(head, fieldSeparator)
	t, err := d.readBooking(strings.Split(rest, fieldSeparator))
	if err != nil {
		return err
	}
	t.Machine = machine
	return d.readTaskNumbers(numbers, t)
}
