package standin

import (
	"fmt"
	"slices"
	"sync"
)

// Rules judges the rules that concern tasks on machines. A task is on its machine from when it has
// its image.
type Rules struct {
	record *Record
	limits map[string]Team

	mu      sync.Mutex
	starts  map[string]int             // task -> how often it began to be on a machine
	placed  map[string]map[string]bool // task -> machines that it is on
	used    map[string][2]float64      // team -> cores and cards in use
	broken  []string
	strange map[string]bool // orders for tasks that nobody submitted
}

func newRules(record *Record, teams []Team) *Rules {
	r := &Rules{
		record: record, limits: map[string]Team{}, placed: map[string]map[string]bool{}, starts: map[string]int{}, used: map[string][2]float64{},
		strange: map[string]bool{},
	}
	for _, team := range teams {
		r.limits[team.Name] = team
	}
	return r
}

// Break records that a rule was broken.
func (r *Rules) Break(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakRule(rule, format, args...)
}

// breakRule is Break for callers that hold mu.
func (r *Rules) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.record.Logf("RULE BROKEN %s", text)
}

// Broken returns the broken rules in their order.
func (r *Rules) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// Strange returns the orders for tasks that no user submitted.
func (r *Rules) Strange() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.strange {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ordered is told of each start that a worker was ordered.
func (r *Rules) ordered(w *Worker, o order) {
	id, index := splitPiece(o.Piece)
	job := w.d.jobs.get(id)
	if job != nil && index >= 0 && index < job.Pieces {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.strange[o.Piece] {
		r.strange[o.Piece] = true
		r.record.Logf("worker %s: %s is a task that nobody submitted", w.machine.Name, o.Piece)
	}
}

// started is told of each task that begins to be on a machine.
func (r *Rules) started(w *Worker, t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, job := w.machine, t.job
	r.starts[t.piece]++
	r.record.Logf("worker %s: %s, attempt %d, runs", m.Name, t.piece, t.try)
	for other := range r.placed[t.piece] {
		r.breakRule("ran_twice", "%s started on %s while it is on %s", t.piece, m.Name, other)
	}
	if r.placed[t.piece] == nil {
		r.placed[t.piece] = map[string]bool{}
	}
	r.placed[t.piece][m.Name] = true
	r.checkPlace(m, t)
	r.use(job, 1)
	limit, used := r.limits[job.Crew], r.used[job.Crew]
	if limit.CPULimit > 0 && used[0] > limit.CPULimit || limit.GPULimit > 0 && used[1] > limit.GPULimit {
		r.breakRule("quota", "%s uses %g cores and %g cards with the start of %s; its limits are %g and %g (0: none)",
			job.Crew, used[0], used[1], t.piece, limit.CPULimit, limit.GPULimit)
	}
}

// checkPlace judges the machine's type, zone and kind; mu must be held.
func (r *Rules) checkPlace(m *Machine, t *task) {
	job := t.job
	switch {
	case len(job.Builds) > 0 && !slices.Contains(job.Builds, m.Type.Name):
		r.breakRule("wrong_place", "%s started on a machine of type %s, its job allows %v", t.piece, m.Type.Name, job.Builds)
	case job.Yard != nil && *job.Yard != m.Zone:
		r.breakRule("wrong_place", "%s started in zone %s, its job allows only %s", t.piece, m.Zone, *job.Yard)
	case m.Spot && !job.Loaners:
		r.breakRule("wrong_place", "%s started on the spot machine %s, its job allows none", t.piece, m.Name)
	}
}

// left is told of each task that is no longer on a machine.
func (r *Rules) left(w *Worker, t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.placed[t.piece], w.machine.Name)
	r.use(t.job, -1)
}

// use adds n tasks of a job to its team's use; mu must be held.
func (r *Rules) use(job *Job, n float64) {
	used := r.used[job.Crew]
	used[0], used[1] = used[0]+n*job.Cores, used[1]+n*job.Cards
	r.used[job.Crew] = used
}

// Starts returns how often a task began to be on a machine.
func (r *Rules) Starts(piece string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[piece]
}

// onMachines returns the number of tasks that are on machines.
func (r *Rules) onMachines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, machines := range r.placed {
		n += len(machines)
	}
	return n
}
