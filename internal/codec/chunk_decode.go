package codec

import (
	"errors"
	"strconv"
	"strings"

	"brassglade/internal/domain"
)

// ErrMalformedChunk is returned for text that no version writes.
var ErrMalformedChunk = errors.New("malformed text of tasks")

// maxTasksPerText bounds the tasks that one text may claim, against nonsense in the store.
const maxTasksPerText = 200000

// ForEachTask reads a job's tasks back and hands each to take, with its number in the chunk or cell.
// What was read before an error has been handed over. The error is ErrMalformedChunk.
func (v *ChunkValue) ForEachTask(text string, take func(int, domain.Task)) error {
	d := &chunkDecoder{value: v, yield: take}
	if v.Version == compactVersion {
		return d.readCompact(text)
	}
	return d.readVerbose(text)
}

// chunkDecoder reads one text.
type chunkDecoder struct {
	value     *ChunkValue
	yield     func(int, domain.Task)
	next      int  // number of the next task of the runs
	malformed bool // a number or name couldn't be read
}

// readNumber reads a decimal readNumber.
func (d *chunkDecoder) readNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	d.malformed = d.malformed || err != nil
	return n
}

// readName reads a place in the value's list of names.
func (d *chunkDecoder) readName(text string) string {
	place, err := strconv.Atoi(text)
	if err != nil || place < 0 || place >= len(d.value.Names) {
		d.malformed = true
		return ""
	}
	return d.value.Names[place]
}

// readTaskNumbers hands over a task for each number of a text: 8-10.12.
func (d *chunkDecoder) readTaskNumbers(numbers string, t domain.Task) error {
	for _, stretch := range strings.Split(numbers, numberSeparator) {
		first, last, isRange := strings.Cut(stretch, rangeSeparator)
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

// readRun hands over count tasks of one state, which fields describe: a count, and for queued
// ones maybe the attempts so far and the shard. Booked ones are only counted here.
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

// readBooking reads what bookings share but for the machine: zone and controller, and agent epoch
// and attempt where these aren't both 1.
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

// readCompact reads a text of the shorter form.
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

// readCompactRun reads a run; a count of one is left out.
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

// readCompactGroup reads the bookings that share all but machine and number: what they share,
// then the machines.
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

// readVerbose reads a text of the first form.
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

// readVerboseGroup reads the bookings that share all but the number.
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
