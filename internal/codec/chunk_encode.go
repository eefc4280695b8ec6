package codec

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"brassglade/internal/domain"
)

// SetTasks stores a job's tasks, in the form that the value's version says.
func (v *ChunkValue) SetTasks(id string, tasks []domain.Task) {
	e := chunkEncoder{value: v, tasks: tasks}
	e.writeRuns()
	if v.Version == compactVersion {
		e.writeCompactBookings()
	} else {
		e.writeVerboseBookings()
	}
	v.Texts[id] = e.text.String()
}

// chunkEncoder encodes the tasks of one job.
type chunkEncoder struct {
	value *ChunkValue
	tasks []domain.Task
	text  strings.Builder
}

func (e *chunkEncoder) isCompact() bool { return e.value.Version == compactVersion }

// writeName writes the index of a name in Names, and appends the name there if it is missing.
func (e *chunkEncoder) writeName(name string) {
	index := slices.Index(e.value.Names, name)
	if index < 0 {
		index = len(e.value.Names)
		e.value.Names = append(e.value.Names, name)
	}
	e.text.WriteString(strconv.Itoa(index))
}

func (e *chunkEncoder) writeNumber(n uint64) { e.text.WriteString(strconv.FormatUint(n, 10)) }

// writeRuns writes the runs of tasks in the same state.
func (e *chunkEncoder) writeRuns() {
	for from := 0; from < len(e.tasks); {
		to := from + 1
		for to < len(e.tasks) && inSameRun(e.tasks[from], e.tasks[to]) {
			to++
		}
		if from > 0 && !e.isCompact() {
			e.text.WriteString(verboseItemSeparator)
		}
		e.writeRun(e.tasks[from], to-from)
		from = to
	}
}

// inSameRun reports whether two neighbouring tasks belong to one run. A run describes queued and
// done tasks completely, so these must be equal; of booked tasks it holds only the number.
func inSameRun(a, b domain.Task) bool {
	return a == b || a.State == domain.Booked && b.State == domain.Booked
}

// writeRun writes a run of count tasks like t.
func (e *chunkEncoder) writeRun(t domain.Task, count int) {
	e.text.WriteByte(runMarks[t.State])
	if count > 1 || !e.isCompact() {
		e.text.WriteString(strconv.Itoa(count))
	}
	if t.State == domain.Queued && (t.Attempt > 0 || t.Shard != "") {
		e.text.WriteString(fieldSeparator)
		e.writeNumber(t.Attempt)
		e.text.WriteString(fieldSeparator)
		e.writeName(t.Shard)
	}
}

// writeBooking writes the common fields of a group of bookings except the machine: zone and
// controller, and also agent epoch and attempt unless both are 1.
func (e *chunkEncoder) writeBooking(zone, controller string, agentEpoch, attempt uint64) {
	e.writeName(zone)
	e.text.WriteString(fieldSeparator)
	e.writeName(controller)
	if agentEpoch != 1 || attempt != 1 {
		e.text.WriteString(fieldSeparator)
		e.writeNumber(agentEpoch)
		e.text.WriteString(fieldSeparator)
		e.writeNumber(attempt)
	}
}

// writeTaskNumbers writes ascending task numbers, with ranges: 8-10.12.
func (e *chunkEncoder) writeTaskNumbers(numbers []int) {
	e.text.WriteString(tasksSeparator)
	for first := 0; first < len(numbers); {
		last := first
		for last+1 < len(numbers) && numbers[last+1] == numbers[last]+1 {
			last++
		}
		if first > 0 {
			e.text.WriteString(numberSeparator)
		}
		e.text.WriteString(strconv.Itoa(numbers[first]))
		if last > first {
			e.text.WriteString(rangeSeparator)
			e.text.WriteString(strconv.Itoa(numbers[last]))
		}
		first = last + 1
	}
}

// writeVerboseBookings writes the bookings in the verbose form, as a group for each machine, agent
// epoch, attempt and controller.
func (e *chunkEncoder) writeVerboseBookings() {
	var booked []int
	for i := range e.tasks {
		if e.tasks[i].State == domain.Booked {
			booked = append(booked, i)
		}
	}
	slices.SortStableFunc(booked, func(a, b int) int {
		x, y := &e.tasks[a], &e.tasks[b]
		return cmp.Or(cmp.Compare(x.Machine, y.Machine), cmp.Compare(x.AgentEpoch, y.AgentEpoch),
			cmp.Compare(x.Attempt, y.Attempt), cmp.Compare(x.Shard, y.Shard), cmp.Compare(a, b))
	})
	separator := verboseBookingsSeparator
	for from := 0; from < len(booked); {
		t, to := &e.tasks[booked[from]], from+1
		for to < len(booked) && e.tasks[booked[to]] == *t {
			to++
		}
		e.text.WriteString(separator)
		e.text.WriteString(t.Machine)
		e.text.WriteString(fieldSeparator)
		e.writeBooking(t.Zone, t.Shard, t.AgentEpoch, t.Attempt)
		e.writeTaskNumbers(booked[from:to])
		separator, from = verboseItemSeparator, to
	}
}

// bookingGroup holds the common fields of a group of bookings in the compact form.
type bookingGroup struct {
	zone, controller    string
	agentEpoch, attempt uint64
}

// bookingsByMachine holds the bookings of a group: the machines in the order of their first task,
// and the numbers of the tasks on each.
type bookingsByMachine struct {
	machines []string
	tasks    map[string][]int
}

// writeCompactBookings writes the bookings in the compact form, grouped by all fields but the machine.
func (e *chunkEncoder) writeCompactBookings() {
	var groups []bookingGroup
	bookings := map[bookingGroup]*bookingsByMachine{}
	for i := range e.tasks {
		t := &e.tasks[i]
		if t.State != domain.Booked {
			continue
		}
		group := bookingGroup{t.Zone, t.Shard, t.AgentEpoch, t.Attempt}
		if bookings[group] == nil {
			groups, bookings[group] = append(groups, group), &bookingsByMachine{tasks: map[string][]int{}}
		}
		bookings[group].add(t.Machine, i)
	}
	slices.SortFunc(groups, func(a, b bookingGroup) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.controller, b.controller),
			cmp.Compare(a.agentEpoch, b.agentEpoch), cmp.Compare(a.attempt, b.attempt))
	})
	for _, group := range groups {
		e.text.WriteString(compactGroupSeparator)
		e.writeBooking(group.zone, group.controller, group.agentEpoch, group.attempt)
		e.writeMachines(bookings[group])
	}
}

func (b *bookingsByMachine) add(machine string, task int) {
	if b.tasks[machine] == nil {
		b.machines = append(b.machines, machine)
	}
	b.tasks[machine] = append(b.tasks[machine], task)
}

// writeMachines writes the machines of a group, sorted by name, with the task numbers on each.
func (e *chunkEncoder) writeMachines(b *bookingsByMachine) {
	slices.Sort(b.machines)
	for _, machine := range b.machines {
		e.text.WriteString(compactMachineSeparator)
		e.text.WriteString(strings.TrimPrefix(machine, e.value.MachinePrefix))
		e.writeTaskNumbers(b.tasks[machine])
	}
}
