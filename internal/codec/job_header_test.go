package codec

import (
	"slices"
	"testing"
)

// TestCellRanges checks that the cells of a job are consecutive ranges that cover all its tasks, that
// each task has the key of its cell, and that FirstTaskOf returns the first task of a key's cell.
func TestCellRanges(t *testing.T) {
	split := JobHeader{TaskCount: 50, ChunkSize: 20, CellSize: 8}
	split.SplitChunks = split.WithSplitChunk(1)
	far := JobHeader{TaskCount: 200, ChunkSize: 10, CellSize: 10}
	far.SplitChunks = far.WithSplitChunk(17)
	for _, want := range []struct {
		header JobHeader
		keys   []string
		firsts []int
	}{
		{JobHeader{TaskCount: 3, ChunkSize: 3, Inline: true}, []string{"b/job/job-1"}, []int{0}},
		{JobHeader{TaskCount: 3, ChunkSize: 3, Pack: "c-0/4"}, []string{"b/pack/c-0/4"}, []int{0}},
		{JobHeader{TaskCount: 50, ChunkSize: 20}, []string{"b/task/job-1/0", "b/task/job-1/1", "b/task/job-1/2"}, []int{0, 20, 40}},
		{split, []string{"b/task/job-1/0", "b/task/job-1/1/0", "b/task/job-1/1/1", "b/task/job-1/1/2", "b/task/job-1/2"}, []int{0, 20, 28, 36, 40}},
	} {
		h := &want.header
		keys, firsts := walkCells(t, h)
		if !slices.Equal(keys, want.keys) || !slices.Equal(firsts, want.firsts) || h.CellCount() != len(keys) {
			t.Errorf("%+v: %d cells, keys %v with first tasks %v", h, h.CellCount(), keys, firsts)
		}
	}
	for task, path := range map[int][]string{0: {"0"}, 20: {"1"}, 28: {"1", "1"}, 40: {"2"}} {
		if got, ok := split.FirstTaskOf(path); !ok || got != task {
			t.Errorf("FirstTaskOf(%v) = %d, %t", path, got, ok)
		}
	}
	for _, path := range [][]string{nil, {""}, {"x"}, {"3"}, {"-1"}, {"1", "x"}, {"2", "2"}, {"1", "0", "0"}} {
		if got, ok := split.FirstTaskOf(path); ok {
			t.Errorf("FirstTaskOf(%v) = %d, want none", path, got)
		}
	}
	if far.IsSplit(16) || !far.IsSplit(17) || far.IsSplit(18) || far.IsSplit(99) || len((&JobHeader{}).SplitChunks) != 0 {
		t.Errorf("WithSplitChunk set the wrong bits: %b", far.SplitChunks)
	}
}

// walkCells returns the key and the first task of each cell of job-1, and checks that CellRange and
// ValueKey give the same result for all tasks of a cell.
func walkCells(t *testing.T, h *JobHeader) (keys []string, firsts []int) {
	t.Helper()
	for task := 0; task < h.TaskCount; task = h.CellEnd(task) {
		from, to := h.CellRange(task)
		if from != task || to <= from {
			t.Fatalf("%+v: task %d begins a cell with the range %d to %d", h, task, from, to)
		}
		for i := from; i < to; i++ {
			if f, e := h.CellRange(i); f != from || e != to || h.ValueKey("job-1", i) != h.ValueKey("job-1", from) {
				t.Errorf("%+v: task %d is in the cell %d to %d with key %s", h, i, f, e, h.ValueKey("job-1", i))
			}
		}
		keys, firsts = append(keys, h.ValueKey("job-1", task)), append(firsts, from)
	}
	return keys, firsts
}

// TestParseKey checks the kind and the name of each sort of key.
func TestParseKey(t *testing.T) {
	for key, want := range map[string]struct {
		kind Kind
		name string
	}{
		KeyView: {KindView, ""}, KeyFormat: {KindFormat, ""}, PrefixFormat + "c-0": {KindFormat, "c-0"},
		KeyMachineTypes: {KindMachineTypes, ""}, KeyMachineTypePage(0): {KindMachineTypes, ""}, KeyMachineTypePage(3): {KindMachineTypes, "3"},
		PrefixMember + "c-0": {KindMember, "c-0"}, KeyJob("job-1"): {KindJob, "job-1"}, KeyChunk("job-1", 2): {KindTasks, "job-1/2"},
		KeyCell("job-1", 2, 3): {KindTasks, "job-1/2/3"}, PrefixPack + PackName("c-0", 4): {KindPack, "c-0/4"},
		KeyDependencyPiece("job-1", "c-0.1-7", 0): {KindDependencies, "job-1/c-0.1-7/0"}, PrefixTeam + "red": {KindTeam, "red"},
		PrefixCordons + "c-0": {KindCordons, "c-0"}, PrefixWindow + "c-0": {KindWindow, "c-0"},
		"b/other": {KindUnknown, ""}, "b/viewer": {KindUnknown, ""}, "": {KindUnknown, ""},
	} {
		if kind, name := ParseKey(key); kind != want.kind || name != want.name {
			t.Errorf("%s: kind %d, name %q", key, kind, name)
		}
	}
}
