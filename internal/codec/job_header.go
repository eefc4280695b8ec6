package codec

import (
	"slices"
	"strconv"

	"brassglade/internal/domain"
)

// JobHeader is the value of b/job/ID: all of a job but its tasks, and where these are kept.
//
// A job's tasks are cut into chunks of ChunkSize. They are kept in one of three ways: in the
// header itself (Inline), together with those of other small jobs in a pack (Pack), or each
// chunk in a value of its own. A chunk whose value would outgrow its bound is split into
// cells of CellSize tasks with a value each. A value of b/task/... is called a cell here, be it a
// whole chunk or a part of one.
type JobHeader struct {
	State        domain.JobState `json:"st"`
	Spec         *domain.JobSpec `json:"s,omitempty"` // nil once the job is over and no task is booked
	TaskCount    int             `json:"n"`
	Shard        string          `json:"p,omitempty"`  // that the job was sent to
	AcceptOrder  uint64          `json:"q,omitempty"`  // revision when it was accepted: first come, first served
	ChunkSize    int             `json:"ch,omitempty"` // tasks
	Handovers    int             `json:"hp,omitempty"` // times that it was passed whole to another shard
	Inline       bool            `json:"i,omitempty"`  // the header holds the tasks itself, in InlineTasks
	InlineTasks  *ChunkValue     `json:"t,omitempty"`  // nil: all queued
	Pack         string          `json:"k,omitempty"`  // the pack that holds all its tasks (PackName), if they have no chunks of their own
	DoneChunks   int             `json:"dc,omitempty"` // chunks with every task done, while none is split
	StopUpTo     uint64          `json:"h,omitempty"`  // gangs: attempts up to it are to stop, all tasks together
	Released     bool            `json:"cl,omitempty"` // cancelled and every booking released
	AcceptedAtMS int64           `json:"bo,omitempty"` // time of day when it was accepted, ms
	DoneAtMS     int64           `json:"en,omitempty"` // time of day when it was done, ms
	SplitChunks  []byte          `json:"cu,omitempty"` // bits, the lowest of the first byte first: chunks that are split into cells
	CellSize     int             `json:"su,omitempty"` // tasks a cell; 0: no chunk is split
	DoneTasks    int             `json:"fi,omitempty"` // once any chunk is split: tasks of chunks and cells that are done, in place of DoneChunks
}

// IsSplit tells whether a chunk is kept in cells.
func (h *JobHeader) IsSplit(chunk int) bool {
	return chunk/8 < len(h.SplitChunks) && h.SplitChunks[chunk/8]&(1<<(chunk%8)) != 0
}

// WithSplitChunk returns the split chunks with one more; the header's own stay as they are.
func (h *JobHeader) WithSplitChunk(chunk int) []byte {
	bits := slices.Clone(h.SplitChunks)
	for len(bits) <= chunk/8 {
		bits = append(bits, 0)
	}
	bits[chunk/8] |= 1 << (chunk % 8)
	return bits
}

// ValueKey is the key of the value that holds a task of the job with this header and the given
// name.
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

// ChunkRange is the stretch of tasks, from included and to excluded, of the chunk with a task.
func (h *JobHeader) ChunkRange(task int) (from, to int) {
	chunk := task / h.ChunkSize
	return chunk * h.ChunkSize, min((chunk+1)*h.ChunkSize, h.TaskCount)
}

// CellRange is the stretch of tasks, from included and to excluded, that share a value with a task.
// (A pack or an inline header has one chunk, and it is that.)
func (h *JobHeader) CellRange(task int) (from, to int) {
	from, to = h.ChunkRange(task)
	if h.IsSplit(task / h.ChunkSize) {
		from += (task - from) / h.CellSize * h.CellSize
		to = min(from+h.CellSize, to)
	}
	return from, to
}

// CellEnd is the first task of the cell after that of a task.
func (h *JobHeader) CellEnd(task int) int {
	_, to := h.CellRange(task)
	return to
}

// CellCount is the number of values that hold the job's tasks.
func (h *JobHeader) CellCount() int {
	count := 0
	for task := 0; task < h.TaskCount; task = h.CellEnd(task) {
		count++
	}
	return count
}

// FirstTaskOf is the first task of the chunk or cell that a key below b/task/ID/ names: path
// are the parts of the key after the job's name. False: the key names none of this job. Whether
// the header keeps the task there is for KeyOf to say.
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
