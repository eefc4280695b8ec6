package outside

import (
	"strings"
	"time"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// execute executes commands in order; mu must be held.
func (w *Worker) execute(list []order) {
	for _, o := range list {
		key := pieceKey{o.Piece, o.Try}
		p := w.pieces[key]
		switch o.Verb {
		case "run":
			if p == nil {
				w.run(o, key)
			}
		case "halt":
			if p != nil && p.isLive() {
				w.halt(p, o.LeewayS)
			}
		case "clear":
			if p != nil && !p.isLive() {
				delete(w.pieces, key)
				w.noteChange()
			}
		}
	}
}

// run starts a task, or refuses it; mu must be held.
func (w *Worker) run(o order, key pieceKey) {
	id, _, _ := strings.Cut(o.Piece, "/")
	job := w.jobs.Get(id)
	w.record.Line("%s: run %s try %d", w.name, o.Piece, o.Try)
	now := time.Now()
	p := &piece{machine: w.name, id: o.Piece, attempt: o.Try, state: ended, job: job, since: now}
	w.pieces[key] = p
	w.noteChange()
	switch {
	case job == nil:
		p.cause = "no_such"
	case w.isLive(o.Piece):
		p.cause = "busy"
	case !w.hasRoom(job):
		p.cause = "no_room"
	default:
		p.state, p.until = fetching, now.Add(w.fetchTime(job))
		return
	}
	w.record.Line("%s: refuses %s: %s", w.name, o.Piece, p.cause)
}

// isLive reports whether any attempt of a task is on the machine; mu must be held.
func (w *Worker) isLive(id string) bool {
	for key, p := range w.pieces {
		if key.id == id && p.isLive() {
			return true
		}
	}
	return false
}

func (w *Worker) fetchTime(job *Job) time.Duration {
	if w.images[job.Kit] {
		return 0
	}
	return seconds(job.PullGb / w.flavor.PullGbPerS)
}

func (w *Worker) hasRoom(job *Job) bool {
	const slack = 1e-6
	cores, cards, mem := w.flavor.Cores+slack, w.flavor.Cards+slack, w.flavor.MemGb+slack
	for _, p := range w.pieces {
		if p.isLive() {
			cores, cards, mem = cores-p.job.Cores, cards-p.job.Cards, mem-p.job.MemGb
		}
	}
	return job.Cores <= cores && job.Cards <= cards && job.MemGb <= mem
}

// halt stops a task; mu must be held.
func (w *Worker) halt(p *piece, leeway float64) {
	w.record.Line("%s: halt %s try %d, %g s", w.name, p.id, p.attempt, leeway)
	if p.state == running && p.job.SnapshotS > 0 && leeway >= p.job.StowS {
		p.progress = p.job.RunS - time.Until(p.until).Seconds()
		p.state, p.since = saving, time.Now()
		p.until = p.since.Add(seconds(p.job.StowS))
		w.noteChange()
		return
	}
	if p.state == saving && leeway > 0 {
		return
	}
	w.end(p, "stopped")
}

// end ends a task; mu must be held.
func (w *Worker) end(p *piece, cause string) {
	w.jobs.left(p)
	p.state, p.cause, p.since = ended, cause, time.Now()
	w.record.Line("%s: %s try %d ended: %s", w.name, p.id, p.attempt, cause)
	w.noteChange()
}

// taskLoop moves the tasks on and ends the session when the lease is over.
func (w *Worker) taskLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(w.answered) > seconds(w.settings.LeaseS) {
			w.endSession(now)
		}
		for _, p := range w.pieces {
			w.advance(p, now)
		}
		w.mu.Unlock()
	}
}

// endSession kills and forgets all tasks; mu must be held.
func (w *Worker) endSession(now time.Time) {
	live := 0
	for _, p := range w.pieces {
		if p.isLive() {
			live++
			w.jobs.left(p)
		}
	}
	w.lost += live
	w.record.Line("%s: lease of session %d over, %d live tasks killed", w.name, w.shift, live)
	w.pieces = map[pieceKey]*piece{}
	w.shift++
	w.answered = now
	w.noteChange()
}

// advance moves one task on; mu must be held.
func (w *Worker) advance(p *piece, now time.Time) {
	switch p.state {
	case fetching:
		if now.Before(p.until) {
			return
		}
		w.images[p.job.Kit] = true
		p.since = now
		if w.jobs.isDone(p) {
			w.end(p, "done")
			return
		}
		p.state, p.until = gathering, now.Add(seconds(w.settings.GangWaitS))
		w.jobs.arrived(p)
		w.noteChange()
		w.advance(p, now)
	case gathering:
		if w.jobs.isComplete(p) {
			p.state, p.since = running, now
			p.until = now.Add(seconds(p.job.RunS - w.jobs.begin(p)))
			w.noteChange()
		} else if now.After(p.until) {
			w.end(p, "incomplete")
		}
	case running:
		if !now.Before(p.until) && p.job.Shape != Daemon {
			w.jobs.finish(p)
			w.end(p, "done")
		}
	case saving:
		if !now.Before(p.until) {
			p.saved = true
			w.jobs.save(p)
			w.end(p, "stopped")
		}
	}
}
