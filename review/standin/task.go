package standin

import "time"

// States and causes of tasks, as the protocol names them.
const (
	fetching = "fetching"
	running  = "running"
	saving   = "saving"
	ended    = "ended"

	causeDone    = "done"
	causeStopped = "stopped"
	causeNoRoom  = "no_room"
	causeBusy    = "busy"
	causeNoSuch  = "no_such"
)

// task is one attempt of a task on a machine. Gangs of one task are like the tasks of an array;
// larger gangs aren't played.
type task struct {
	piece  string
	try    uint64
	job    *Job // nil: there is no such job or task
	status string
	cause  string
	saved  bool
	timer  *time.Timer
}

// execute executes a command; mu must be held.
func (w *Worker) execute(o order) {
	w.d.Record.Logf("worker %s: ordered to %s %s, attempt %d", w.machine.Name, o.Verb, o.Piece, o.Try)
	switch o.Verb {
	case "run":
		w.runTask(o)
	case "halt":
		if t := w.find(o); t != nil && t.status != ended {
			w.haltTask(t, o.LeewayS)
		}
	case "clear":
		for i, t := range w.tasks {
			if t.piece == o.Piece && t.try == o.Try && t.status == ended {
				w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
				return
			}
		}
	}
}

// find returns the attempt that an order names; mu must be held.
func (w *Worker) find(o order) *task {
	for _, t := range w.tasks {
		if t.piece == o.Piece && t.try == o.Try {
			return t
		}
	}
	return nil
}

// runTask starts an attempt; mu must be held.
func (w *Worker) runTask(o order) {
	if w.find(o) != nil {
		return
	}
	id, index := splitPiece(o.Piece)
	t := &task{piece: o.Piece, try: o.Try, status: fetching, job: w.d.jobs.get(id)}
	refusal := ""
	if t.job == nil || index < 0 || index >= t.job.Pieces {
		refusal = causeNoSuch
	} else {
		refusal = w.refusal(t)
	}
	w.tasks = append(w.tasks, t)
	w.d.rules.ordered(w, o)
	if refusal != "" {
		w.endTask(t, refusal)
		return
	}
	fetch := time.Duration(0)
	if !w.kitReady[t.job.Kit] {
		fetch = time.Duration(t.job.PullGB / w.machine.Type.FetchRate * float64(time.Second))
	}
	w.notify()
	t.timer = time.AfterFunc(fetch, func() { w.hasImage(t) })
}

// refusal returns why an attempt can't be taken, "" if it can; mu must be held.
func (w *Worker) refusal(t *task) string {
	cores, cards, mem := t.job.Cores, t.job.Cards, t.job.MemGB
	for _, other := range w.tasks {
		if other.status == ended {
			continue
		}
		if other.piece == t.piece {
			return causeBusy
		}
		cores, cards, mem = cores+other.job.Cores, cards+other.job.Cards, mem+other.job.MemGB
	}
	const rounding = 1e-9
	size := w.machine.Type
	if cores > size.Cores+rounding || cards > size.Cards+rounding || mem > size.MemGB+rounding {
		return causeNoRoom
	}
	return ""
}

// hasImage begins the run of an attempt whose image is there.
func (w *Worker) hasImage(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status != fetching || w.removed {
		return
	}
	w.kitReady[t.job.Kit] = true
	t.status = running
	w.d.rules.started(w, t)
	w.notify()
	if w.d.jobs.isDone(t.piece) {
		w.endTask(t, causeDone)
		return
	}
	if t.job.Shape != "daemon" {
		t.timer = time.AfterFunc(t.job.runTime(), func() { w.completeTask(t) })
	}
}

func (w *Worker) completeTask(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status != running || w.removed {
		return
	}
	w.d.jobs.complete(t.piece)
	w.endTask(t, causeDone)
}

// haltTask stops an attempt; mu must be held.
func (w *Worker) haltTask(t *task, leeway float64) {
	if t.status != running || t.job.SnapshotS <= 0 || leeway < t.job.StowS {
		w.endTask(t, causeStopped)
		return
	}
	t.status = saving
	w.notify()
	time.AfterFunc(time.Duration(t.job.StowS*float64(time.Second)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.status == saving && !w.removed {
			t.saved = true
			w.endTask(t, causeStopped)
		}
	})
}

// endTask records the end of an attempt; mu must be held.
func (w *Worker) endTask(t *task, cause string) {
	w.leave(t)
	t.status, t.cause = ended, cause
	w.d.Record.Logf("worker %s: %s, attempt %d, ended: %s", w.machine.Name, t.piece, t.try, cause)
	w.notify()
}

// leave records that an attempt is no longer on the machine; mu must be held.
func (w *Worker) leave(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.status == running || t.status == saving {
		w.d.rules.left(w, t)
	}
	t.status = ended
}
