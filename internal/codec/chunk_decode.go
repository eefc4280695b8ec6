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

// Tasks reads a job's tasks back and hands each to take. What was read before an error
// has been handed over.
func (v *ChunkValue) Tasks(text string, take func(int, domain.Task)) error {
	d := &chunkDecoder{value: v, take: take}
	if v.Version == shortForm {
		return d.short(text)
	}
	return d.long(text)
}

// chunkDecoder reads one text. A number or name that can't be read makes it bad.
type chunkDecoder struct {
	value *ChunkValue
	take  func(int, domain.Task)
	next  int // number of the next task of the runs of states
	bad   bool
}

// number reads a decimal number.
func (d *chunkDecoder) number(s string) uint64 {
	x, err := strconv.ParseUint(s, 10, 64)
	d.bad = d.bad || err != nil
	return x
}

// name reads a place in the value's list of names.
func (d *chunkDecoder) name(s string) string {
	x, err := strconv.Atoi(s)
	if err != nil || x < 0 || x >= len(d.value.Names) {
		d.bad = true
		return ""
	}
	return d.value.Names[x]
}

// list hands over the tasks of a list of numbers: 8-10.12.
func (d *chunkDecoder) list(list string, t domain.Task) error {
	for _, r := range strings.Split(list, ".") {
		first, last, isRange := strings.Cut(r, "-")
		from := d.number(first)
		to := from
		if isRange {
			to = d.number(last)
		}
		if d.bad || to < from || to > maxTasksPerText {
			return ErrMalformedChunk
		}
		for i := from; i <= to; i++ {
			d.take(int(i), t)
		}
	}
	return nil
}

// run hands over n tasks of one state, which fields describe: a count, and for queued
// ones maybe the attempts so far and the part. Booked ones are only counted here.
func (d *chunkDecoder) run(state byte, n uint64, fields []string) error {
	var t domain.Task
	switch state {
	case '?':
		if len(fields) == 3 {
			t.Attempt, t.Shard = d.number(fields[1]), d.name(fields[2])
		}
	case '!':
		t.State = domain.Done
	case '*':
		t.State = domain.Booked
	default:
		return ErrMalformedChunk
	}
	if d.bad || n > maxTasksPerText {
		return ErrMalformedChunk
	}
	for ; n > 0; n-- {
		if t.State != domain.Booked {
			d.take(d.next, t)
		}
		d.next++
	}
	return nil
}

// booking is what a group of bookings shares: zone and part, and session and attempt
// where these aren't both 1.
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

// short reads the form of V 2.
func (d *chunkDecoder) short(text string) error {
	runs, groups, booked := strings.Cut(text, "/")
	for len(runs) > 0 {
		end := strings.IndexAny(runs[1:], "?*!") + 1
		if end == 0 {
			end = len(runs)
		}
		if err := d.shortRun(runs[0], strings.Split(runs[1:end], ",")); err != nil {
			return err
		}
		runs = runs[end:]
	}
	if d.next == 0 {
		return ErrMalformedChunk
	}
	if !booked {
		return nil
	}
	for _, group := range strings.Split(groups, "/") {
		if err := d.shortGroup(strings.Split(group, "|")); err != nil {
			return err
		}
	}
	return nil
}

// shortRun reads a run of states; a count of one is left out.
func (d *chunkDecoder) shortRun(state byte, fields []string) error {
	if len(fields) != 1 && (len(fields) != 3 || state != '?') {
		return ErrMalformedChunk
	}
	n := uint64(1)
	if fields[0] != "" {
		n = d.number(fields[0])
	}
	return d.run(state, n, fields)
}

// shortGroup reads the bookings that share all but machine and number.
func (d *chunkDecoder) shortGroup(parts []string) error {
	t, err := d.booking(strings.Split(parts[0], ","))
	if err != nil {
		return err
	}
	for _, part := range parts[1:] {
		name, list, _ := strings.Cut(part, ":")
		if d.bad {
			return ErrMalformedChunk
		}
		t.Machine = d.value.MachinePrefix + name
		if err := d.list(list, t); err != nil {
			return err
		}
	}
	return nil
}

// long reads the first form.
func (d *chunkDecoder) long(text string) error {
	runs, groups, booked := strings.Cut(text, "|")
	for _, item := range strings.Split(runs, ";") {
		fields := strings.Split(item, ",")
		if len(fields[0]) < 2 || len(fields) != 1 && len(fields) != 3 {
			return ErrMalformedChunk
		}
		if err := d.run(fields[0][0], d.number(fields[0][1:]), fields); err != nil {
			return err
		}
	}
	if !booked {
		return nil
	}
	for _, item := range strings.Split(groups, ";") {
		head, list, _ := strings.Cut(item, ":")
		machine, rest, _ := strings.Cut(head, ",")
		t, err := d.booking(strings.Split(rest, ","))
		if err != nil {
			return err
		}
		t.Machine = machine
		if err := d.list(list, t); err != nil {
			return err
		}
	}
	return nil
}
