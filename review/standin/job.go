package standin

import (
	"sync"
	"time"
)

// Job is a job as its user submits it.
type Job struct {
	NameID    string   `json:"NameId"`
	Docket    string   `json:"Docket"`
	Crew      string   `json:"Crew"`
	Shape     string   `json:"Shape"`
	Urgency   string   `json:"Urgency"`
	Pieces    int      `json:"Pieces"`
	Cores     float64  `json:"Cores"`
	Cards     float64  `json:"Cards"`
	MemGB     float64  `json:"MemGb"`
	Kit       string   `json:"Kit"`
	PullGB    float64  `json:"PullGb"`
	Builds    []string `json:"Builds"`
	Yard      *string  `json:"Yard"`
	SamePlace bool     `json:"SamePlace"`
	Apart     bool     `json:"Apart"`
	Loaners   bool     `json:"Loaners"`
	ExpectS   float64  `json:"ExpectS"`
	SnapshotS float64  `json:"SnapshotS"`
	StowS     float64  `json:"StowS"`
	DueS      *float64 `json:"DueS"`

	RunS  float64           `json:"-"` // run time of each task, without the fetch
	Extra map[string]string `json:"-"` // further fields of the submission, as JSON texts
}

// jobs holds the descriptions that users uploaded, for the workers, and the tasks that are done.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*Job
	done map[string]bool // tasks that completed, whose results are kept
}

func (j *jobs) add(job *Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[job.NameID] = job
}

func (j *jobs) get(id string) *Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byID[id]
}

func (j *jobs) complete(piece string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[piece] = true
}

func (j *jobs) isDone(piece string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[piece]
}

// doneCount returns how many tasks of a job completed.
func (j *jobs) doneCount(job *Job) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for i := range job.Pieces {
		if j.done[pieceName(job.NameID, i)] {
			n++
		}
	}
	return n
}

// runTime returns how long a task of the job runs.
func (j *Job) runTime() time.Duration { return time.Duration(j.RunS * float64(time.Second)) }
