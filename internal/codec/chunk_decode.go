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

// Tasks reads a job's tasks back and hands each to take, with its number in the chunk or cell.
// What was read before an error has been handed over. The error is ErrMalformedChunk.
func (v *ChunkValue) Tasks(text string, take func(int, domain.Task)) error {
	d := &chunkDecoder{value: v, take: take}
	if v.Version == shortForm {
		return d.readShortForm(text)
	}
	return d.readFirstForm(text)
}

// chunkDecoder reads one text.
type chunkDecoder struct {
	value     *ChunkValue
	take      func(int, domain.Task)
	next      int  // number of the next task of the runs
	malformed bool // a number or name couldn't be read
}

// number reads a decimal number.
func (d *chunkDecoder) number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	d.malformed = d.malformed || err != nil
	return n
}

// name reads a place in the value's list of names.
func (d *chunkDecoder) name(text string) string {
	place, err := strconv.Atoi(text)
	if err != nil || place < 0 || place >= len(d.value.Names) {
		d.malformed = true
		return ""
	}
	return d.value.Names[place]
}

// takeNumbered hands over a task for each number of a text: 8-10.12.
func (d *chunkDecoder) takeNumbered(numbers string, t domain.Task) error {
	for _, stretch := range strings.Split(numbers, separatorNumbers) {
		first, last, isRange := strings.Cut(stretch, numberRange)
		from := d.number(first)
		to := from
		if isRange {
			to = d.number(last)
		}
		if d.malformed || to < from || to > maxTasksPerText {
			return ErrMalformedChunk
		}
		for i := from; i <= to; i++ {
			d.take(int(i), t)
		}
	}
	return nil
}

// takeRun hands over count tasks of one state, which fields describe: a count, and for queued
// ones maybe the attempts so far and the shard. Booked ones are only counted here.
func (d *chunkDecoder) takeRun(mark byte, count uint64, fields []string) error {
	var t domain.Task
	switch mark {
	case markQueued:
		if len(fields) == 3 {
			t.Attempt, t.Shard = d.number(fields[1]), d.name(fields[2])
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
			d.take(d.next, t)
		}
		d.next++
	}
	return nil
}

// booking reads what bookings share but for the machine: zone and controller, and agent epoch
// and attempt where these aren't both 1.
func (d *chunkDecoder) booking(fields []string) (domain.Task, error) {
	t := domain.Task{State: domain.Booked, AgentEpoch: 1, Attempt: 1}
	if len(fields) != 2 && len(fields) != 4 {
		return t, ErrMalformedChunk
	}
	t.Zone, t.Shard = d.name(fields[0]), d.name(fields[1])
	if len(fields) == 4 {
		t.AgentEpoch, t.Attempt = d.number(fields[2]), d.number(fields[3])
	}
	return t, nil
}

// readShortForm reads a text of the shorter form.
func (d *chunkDecoder) readShortForm(text string) error {
	runs, groups, hasBookings := strings.Cut(text, shortFormGroup)
	for len(runs) > 0 {
		end := strings.IndexAny(runs[1:], runMarks) + 1
		if end == 0 {
			end = len(runs)
		}
		if err := d.readShortRun(runs[0], strings.Split(runs[1:end], separatorField)); err != nil {
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
	for _, group := range strings.Split(groups, shortFormGroup) {
		if err := d.readShortGroup(strings.Split(group, shortFormMachine)); err != nil {
			return err
		}
	}
	return nil
}

// readShortRun reads a run; a count of one is left out.
func (d *chunkDecoder) readShortRun(mark byte, fields []string) error {
	if len(fields) != 1 && (len(fields) != 3 || mark != markQueued) {
		return ErrMalformedChunk
	}
	count := uint64(1)
	if fields[0] != "" {
		count = d.number(fields[0])
	}
	return d.takeRun(mark, count, fields)
}

// readShortGroup reads the bookings that share all but machine and number: what they share,
// then the machines.
func (d *chunkDecoder) readShortGroup(parts []string) error {
	t, err := d.booking(strings.Split(parts[0], separatorField))
	if err != nil {
		return err
	}
	for _, part := range parts[1:] {
		name, numbers, _ := strings.Cut(part, separatorTasks)
		if d.malformed {
			return ErrMalformedChunk
		}
		t.Machine = d.value.MachinePrefix + name
		if err := d.takeNumbered(numbers, t); err != nil {
			return err
		}
	}
	return nil
}

// readFirstForm reads a text of the first form.
func (d *chunkDecoder) readFirstForm(text string) error {
	runs, groups, hasBookings := strings.Cut(text, firstFormBookings)
	for _, run := range strings.Split(runs, firstFormItem) {
		fields := strings.Split(run, separatorField)
		if len(fields[0]) < 2 || len(fields) != 1 && len(fields) != 3 {
			return ErrMalformedChunk
		}
		if err := d.takeRun(fields[0][0], d.number(fields[0][1:]), fields); err != nil {
			return err
		}
	}
	if !hasBookings {
		return nil
	}
	for _, group := range strings.Split(groups, firstFormItem) {
		if err := d.readFirstGroup(group); err != nil {
			return err
		}
	}
	return nil
}

// readFirstGroup reads the bookings that share all but the number.
func (d *chunkDecoder) readFirstGroup(group string) error {
	head, numbers, _ := strings.Cut(group, separatorTasks)
	machine, rest, _ := strings.Cut(head, separatorField)
	t, err := d.booking(strings.Split(rest, separatorField))
	if err != nil {
		return err
	}
	t.Machine = machine
	return d.takeNumbered(numbers, t)
}
