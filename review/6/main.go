// Command 6 is the sixth case of the reviews: a gang of several hundred small tasks is accepted,
// and machines with room for all of it are up. See claim.txt.
package main

import (
	"fmt"
	"time"

	"brassglade/review/outside"
)

const (
	troubleTasks = 700 // with TROUBLE=1; the protocol allows up to 100,000
	quietTasks   = 300 // with TROUBLE=0
	waitLimit    = 90 * time.Second
	runLimit     = 108 * time.Second // of the whole run
)

// watched is a job that has to start.
type watched struct {
	job       *outside.Job
	roomSince time.Time // since when it has waited beside room without interruption; zero: not now
	longest   time.Duration
	started   bool
}

// run is one run of the case.
type run struct {
	*outside.Case
	watched []*watched
}

func main() {
	outside.Play(outside.Laurentides, func(c *outside.Case) (int, error) {
		r := &run{Case: c}
		if err := r.submit(); err != nil {
			return outside.CouldNot, err
		}
		return r.watch(), nil
	})
}

// submit submits the gang, then jobs of the site's own classes.
func (r *run) submit() error {
	tasks := quietTasks
	if r.Trouble {
		tasks = troubleTasks
	}
	gang := &outside.Job{
		ID: "job-000500", Docket: "reconjoin", Crew: "plateforme", Shape: outside.Group, Urgency: "standard", Count: tasks,
		Cores: 1, MemGb: 1, Kit: "img-join", PullGb: 0.5, ExpectS: 20, RunS: 20,
	}
	jobs := []*outside.Job{gang}
	for i := range 2 {
		jobs = append(jobs, &outside.Job{
			ID: fmt.Sprintf("job-00060%d", i), Docket: "pinguard", Crew: "fraude", Shape: outside.Group, Urgency: "standard", Count: 1,
			Cores: 57, Cards: 8, MemGb: 200, Kit: fmt.Sprintf("img-pin-%d", i), PullGb: 0.5, SamePlace: true,
			ExpectS: 20, RunS: 20, SnapshotS: 45, StowS: 3,
		})
	}
	for _, job := range jobs {
		if err := r.Submit(job); err != nil {
			return err
		}
		r.watched = append(r.watched, &watched{job: job})
		if job == gang {
			r.awaitRoomFor(r.watched[0])
		}
	}
	return nil
}

// awaitRoomFor waits until there has been room for a job for some seconds, or it has started.
func (r *run) awaitRoomFor(w *watched) {
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && !w.started && w.longest < 3*time.Second; {
		time.Sleep(200 * time.Millisecond)
		r.review(w, r.Cloud.Rooms())
	}
}

// watch follows the jobs until each has started or has waited too long beside room.
func (r *run) watch() int {
	for time.Since(r.Began) < runLimit {
		time.Sleep(time.Second)
		rooms, waiting := r.Cloud.Rooms(), 0
		for _, w := range r.watched {
			if r.review(w, rooms); !w.started && w.longest < waitLimit {
				waiting++
			}
		}
		if waiting == 0 {
			break
		}
	}
	return r.verdict()
}

// review looks at one job: whether a task of it was on a machine, and if not, whether the machines
// that report have room for all of its tasks at this moment.
func (r *run) review(w *watched, rooms []outside.Room) {
	if w.started || r.Jobs.Started(w.job.ID) > 0 {
		w.started, w.roomSince = true, time.Time{}
		return
	}
	fitting := 0
	for _, m := range rooms {
		if time.Since(m.Answered) < 10*time.Second && (w.job.Loaners || !m.Kind.Loaners) {
			fitting += copies(m, w.job)
		}
	}
	if fitting < w.job.Count {
		w.roomSince = time.Time{}
		return
	}
	if w.roomSince.IsZero() {
		w.roomSince = time.Now()
		r.Record.Line("judge: from now on there is room for all %d tasks of %s", w.job.Count, w.job.ID)
	}
	w.longest = max(w.longest, time.Since(w.roomSince))
}

// copies returns how many tasks of a job fit into a machine's free room.
func copies(m outside.Room, job *outside.Job) int {
	n := job.Count
	for _, pair := range [][2]float64{{m.Cores, job.Cores}, {m.Cards, job.Cards}, {m.Mem, job.MemGb}} {
		if pair[1] > 0 {
			n = min(n, int(pair[0]/pair[1]+1e-6))
		}
	}
	return max(n, 0)
}

func (r *run) verdict() int {
	code := outside.Held
	for _, w := range r.watched {
		state := r.Users.Query(w.job.ID)
		r.Record.Print("%s (%s, %d tasks): started %t, state %q, waited beside room for %.0f s", w.job.ID, w.job.Docket, w.job.Count, w.started,
			state.Status, w.longest.Seconds())
		if w.longest >= waitLimit {
			code = outside.Broken
		}
	}
	r.AlsoSeen()
	if code == outside.Broken {
		r.afterCancel()
		r.Record.Print("BROKEN: a job waited for 90 s beside machines with room for it")
	}
	return code
}

// afterCancel cancels the gang and records, for the reader alone, whether the others start then.
func (r *run) afterCancel() {
	r.Users.Cancel(r.watched[0].job.ID)
	time.Sleep(6 * time.Second)
	for _, w := range r.watched[1:] {
		r.Record.Print("6 s after %s was cancelled: %s started: %t", r.watched[0].job.ID, w.job.ID, r.Jobs.Started(w.job.ID) > 0)
	}
}
