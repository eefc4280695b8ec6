package outside

import (
	"strings"
	"sync"
)

// Shapes of jobs.
const (
	Batch  = "batch"
	Group  = "group"
	Daemon = "daemon"
)

// Job is a job as its user submits it.
type Job struct {
	ID        string   `json:"NameId"`
	Docket    string   `json:"Docket"`
	Crew      string   `json:"Crew"`
	Shape     string   `json:"Shape"`
	Urgency   string   `json:"Urgency"`
	Count     int      `json:"Pieces"`
	Cores     float64  `json:"Cores"`
	Cards     float64  `json:"Cards"`
	MemGb     float64  `json:"MemGb"`
	Kit       string   `json:"Kit"`
	PullGb    float64  `json:"PullGb"`
	Builds    []string `json:"Builds"`
	Yard      *string  `json:"Yard"`
	SamePlace bool     `json:"SamePlace"`
	Apart     bool     `json:"Apart"`
	Loaners   bool     `json:"Loaners"`
	ExpectS   float64  `json:"ExpectS"`
	SnapshotS float64  `json:"SnapshotS"`
	StowS     float64  `json:"StowS"`
	DueS      *float64 `json:"DueS"`

	RunS float64 `json:"-"` // how long a task really runs
}

// Jobs are the jobs that users have submitted, as workers see them, with the progress of the tasks,
// which is stored outside of the machines.
type Jobs struct {
	mu       sync.Mutex
	record   *Record
	jobs     map[string]*Job
	done     map[string]bool            // by task
	progress map[string]float64         // saved, by task
	gathered map[string]map[uint64]int  // gangs: tasks that have their image, by job and attempt
	on       map[string]map[string]bool // machines on which a task is, by task
	started  map[string]int             // starts by job
	breaches []string
}

// NewJobs returns an empty set of jobs.
func NewJobs(record *Record) *Jobs {
	return &Jobs{
		record: record, jobs: map[string]*Job{}, done: map[string]bool{}, progress: map[string]float64{},
		gathered: map[string]map[uint64]int{}, on: map[string]map[string]bool{}, started: map[string]int{},
	}
}

// Add makes a job known to the workers.
func (j *Jobs) Add(job *Job) {
	j.mu.Lock()
	j.jobs[job.ID] = job
	j.mu.Unlock()
}

// Get returns a job, or nil.
func (j *Jobs) Get(id string) *Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.jobs[id]
}

// Started returns how many tasks of a job were on a machine with their image so far.
func (j *Jobs) Started(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.started[id]
}

// DoneTasks returns how many tasks of a job are done.
func (j *Jobs) DoneTasks(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task := range j.done {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

// Breaches returns the rules seen broken by starts.
func (j *Jobs) Breaches() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.breaches...)
}

func (j *Jobs) isDone(p *piece) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[p.id]
}

// arrived records that a task has its image on a machine.
func (j *Jobs) arrived(p *piece) {
	machine := p.machine
	j.mu.Lock()
	defer j.mu.Unlock()
	for other := range j.on[p.id] {
		if other != machine {
			j.breaches = append(j.breaches, "ran_twice: "+p.id+" on "+machine+" while on "+other)
			j.record.Line("BROKEN ran_twice: %s starts on %s while on %s", p.id, machine, other)
		}
	}
	if j.on[p.id] == nil {
		j.on[p.id] = map[string]bool{}
	}
	j.on[p.id][machine] = true
	j.started[p.job.ID]++
	if j.gathered[p.job.ID] == nil {
		j.gathered[p.job.ID] = map[uint64]int{}
	}
	j.gathered[p.job.ID][p.attempt]++
}

// isComplete reports whether a task may run: all tasks of its gang's attempt have their image.
func (j *Jobs) isComplete(p *piece) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return p.job.Shape != Group || j.gathered[p.job.ID][p.attempt] >= p.job.Count
}

// begin returns the progress from which a task goes on.
func (j *Jobs) begin(p *piece) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	p.progress = j.progress[p.id]
	return p.progress
}

func (j *Jobs) finish(p *piece) {
	j.mu.Lock()
	j.done[p.id] = true
	j.mu.Unlock()
}

func (j *Jobs) save(p *piece) {
	j.mu.Lock()
	j.progress[p.id] = max(j.progress[p.id], p.progress)
	j.mu.Unlock()
}

// left records that a task is no longer on its machine.
func (j *Jobs) left(p *piece) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.on[p.id], p.machine)
	if p.state == gathering && p.job.Shape == Group {
		j.gathered[p.job.ID][p.attempt]--
	}
}
