package codec

import (
	"slices"
	"strconv"

	"brassglade/internal/domain"
)

// JobHeader is the value of b/job/ID. It holds everything about a job except its tasks, and says
// where these are stored.
//
// A job's tasks are divided into chunks of ChunkSize tasks. They are stored in one of three ways: in
// the header itself (Inline), together with the tasks of other small jobs in a pack (Pack), or with
// a value for each chunk. A chunk whose value would exceed the size limit is split into cells of
// CellSize tasks with a value each. The methods call every value of b/task/... a cell, whether it
// holds a whole chunk or a part of one.
type JobHeader struct {
	State        domain.JobState `json:"st"`
	Spec         *domain.JobSpec `json:"s,omitempty"` // nil once the job has ended and no task is booked
	TaskCount    int             `json:"n"`
	Shard        string          `json:"p,omitempty"`  // shard that its tasks are queued in, unless they name another
	AcceptOrder  uint64          `json:"q,omitempty"`  // revision at which it was accepted, for first-come, first-served order
	ChunkSize    int             `json:"ch,omitempty"` // tasks in a chunk
	Handovers    int             `json:"hp,omitempty"` // number of times that the whole job was passed to another shard
	Inline       bool            `json:"i,omitempty"`  // the tasks are stored in this header, in InlineTasks
	InlineTasks  *ChunkValue     `json:"t,omitempty"`  // nil: all tasks are queued
	Pack         string          `json:"k,omitempty"`  // name (PackName) of the pack that holds all its tasks; "": none
	DoneChunks   int             `json:"dc,omitempty"` // number of chunks whose tasks are all done, while no chunk is split
	StopUpTo     uint64          `json:"h,omitempty"`  // gangs: the attempts up to this one are to stop, all tasks together
	Released     bool            `json:"cl,omitempty"` // the job is cancelled and has no bookings left
	AcceptedAtMS int64           `json:"bo,omitempty"` // wall-clock time when it was accepted, Unix ms
	DoneAtMS     int64           `json:"en,omitempty"` // wall-clock time when it was done, Unix ms
	SplitChunks  []byte          `json:"cu,omitempty"` // bit set of the chunks that are split into cells, lowest bit of the first byte first
	CellSize     int             `json:"su,omitempty"` // tasks in a cell; 0: no chunk is split
	DoneTasks    int             `json:"fi,omitempty"` // replaces DoneChunks once a chunk is split: number of tasks in chunks and cells whose tasks are all done
}

// IsSplit reports whether a chunk is stored as cells.
func (h *JobHeader) IsSplit(chunk int) bool {
	return chunk/8 < len(h.SplitChunks) && h.SplitChunks[chunk/8]&(1<<(chunk%8)) != 0
}

// WithSplitChunk returns a copy of SplitChunks with the bit of the given chunk set.
func (h *JobHeader) WithSplitChunk(chunk int) []byte {
	bits := slices.Clone(h.SplitChunks)
	for len(bits) <= chunk/8 {
		bits = append(bits, 0)
	}
	bits[chunk/8] |= 1 << (chunk % 8)
	return bits
}

// ValueKey returns the key of the value that holds a task of the job with this header and the given
// ID.
func (h *JobHeader) ValueKey(id string, task int) string {
	if h.Inline {
		return KeyJob(id)
	}
	if h.Pack != "" {
		return PrefixPack + h.Pack
	}
	chunk := task / h.ChunkSize
	if h.IsSplit(chunk) {
		return KeyCell(id, chunk, (task-chunk*h.ChunkSize)/h.CellSize)
	}
	return KeyChunk(id, chunk)
}

// ChunkRange returns the tasks [from, to) of the chunk that contains a task.
func (h *JobHeader) ChunkRange(task int) (from, to int) {
	chunk := task / h.ChunkSize
	return chunk * h.ChunkSize, min((chunk+1)*h.ChunkSize, h.TaskCount)
}

// CellRange returns the tasks [from, to) of the job that are stored in the same value as a task. A
// job stored inline or in a pack has only one chunk, so these are all its tasks.
func (h *JobHeader) CellRange(task int) (from, to int) {
	from, to = h.ChunkRange(task)
	if h.IsSplit(task / h.ChunkSize) {
		from += (task - from) / h.CellSize * h.CellSize
		to = min(from+h.CellSize, to)
	}
	return from, to
}

// CellEnd returns the end (exclusive) of the cell that contains a task: the first task of the next cell.
func (h *JobHeader) CellEnd(task int) int {
	_, to := h.CellRange(task)
	return to
}

// CellCount returns the number of values that hold the job's tasks.
func (h *JobHeader) CellCount() int {
	count := 0
	for task := 0; task < h.TaskCount; task = h.CellEnd(task) {
		count++
	}
	return count
}

// FirstTaskOf returns the first task of the chunk or cell that a key b/task/ID/... refers to. Path
// holds the parts of the key after the job's ID. The result ok is false if the job has no such
// chunk or cell. Compare the key with ValueKey to find out whether the task is stored there now.
func (h *JobHeader) FirstTaskOf(path []string) (task int, ok bool) {
	if len(path) < 1 || len(path) > 2 || h.ChunkSize < 1 {
		return 0, false
	}
	chunk, err := strconv.Atoi(path[0])
	task = chunk * h.ChunkSize
	if err == nil && len(path) == 2 && h.CellSize > 0 {
		var cell int
		cell, err = strconv.Atoi(path[1])
		task += cell * h.CellSize
	}
	return task, err == nil && task >= 0 && task < h.TaskCount
}
