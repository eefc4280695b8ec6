package codec

import (
	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
)

// JobHeader is the value of job/ID.
type JobHeader struct {
	State        domain.JobState `json:"st"`
	Spec         *domain.JobSpec `json:"s,omitempty"`
	TaskCount    int             `json:"n"`
	Shard        string          `json:"p,omitempty"` // the part that the job was sent to
	AcceptOrder  uint64          `json:"q,omitempty"` // ledger when accepted: first come
	ChunkSize    int             `json:"ch,omitempty"`
	Handovers    int             `json:"hp,omitempty"` // times that it was passed whole
	Inline       bool            `json:"i,omitempty"`  // the header holds the tasks itself, in T
	InlineTasks  *ChunkValue     `json:"t,omitempty"`
	Pack         string          `json:"k,omitempty"`  // the shared value that holds all its tasks, if not own chunks
	DoneChunks   int             `json:"dc,omitempty"` // chunks with every task done
	StopThrough  uint64          `json:"h,omitempty"`  // gangs: attempts up to it are to stop, all tasks together
	Released     bool            `json:"cl,omitempty"` // cancelled and every booking released
	AcceptedAtMS int64           `json:"bo,omitempty"` // time of day when it was accepted, ms
	DoneAtMS     int64           `json:"en,omitempty"` // time of day when it was done, ms
	SplitChunks  []byte          `json:"cu,omitempty"` // bits: chunks that are kept in several cells
	CellSize     int             `json:"su,omitempty"` // tasks a cell
	DoneTasks    int             `json:"fi,omitempty"` // once anything is cut: tasks of chunks and cells that are done, in place of Chunks
}

// IsSplit tells whether chunk k is kept in cells.
func (h *JobHeader) IsSplit(k int) bool {
	return k/8 < len(h.SplitChunks) && h.SplitChunks[k/8]&(1<<(k%8)) != 0
}

// TeamShares is the value of team/NAME: what each node has set aside of the team's
// limit for the bookings it made or is about to make. The sum stays within the
// limit, and a node's bookings stay within its share.
type TeamShares struct {
	ByNode map[string]domain.Resources `json:"r"`
}

// CordonPage is the value of mach/NODE: the marks of the machines whose home that
// node is. Gone machines stand oldest first and are forgotten in that order.
type CordonPage struct {
	Draining map[string]string `json:"d,omitempty"` // machine -> why
	Gone     []string          `json:"g,omitempty"`
}

// MachineTypePage is the value of the flavors key.
type MachineTypePage struct {
	Types []domain.MachineType `json:"f"`
	More  int                  `json:"m,omitempty"` // further pages, flavors/1 and so on
}

// Format is the value of format and of format/NODE.
type Format struct {
	Version     int    `json:"v"`
	Incarnation string `json:"i,omitempty"`
}

// WindowRecord is the value of window/NODE: what one node tells all at the end of
// each window.
type WindowRecord struct {
	Sequence      uint64    `json:"q"`
	Loads         []float64 `json:"x"`
	Passes        int       `json:"p"`
	CriticWeights []float64 `json:"t"`
}

func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // own records always encode
	}
	return b
}
