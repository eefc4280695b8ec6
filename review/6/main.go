// Command 6 is the sixth case of the reviews: a gang of several hundred small tasks is accepted,
// and machines with room for all of it are up. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"brassglade/review/outside"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
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

type run struct {
	began   time.Time
	record  *outside.Record
	cluster *outside.Cluster
	cloud   *outside.Cloud
	jobs    *outside.Jobs
	users   *outside.Users
	watched []*watched
}

func main() {
	code, err := play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("could not run:", err)
		code = couldNot
	}
	os.Exit(code)
}

// play runs the case; root is the repository, folder that of the case, temporary one for settings.
func play(root, folder, temporary string, trouble bool) (int, error) {
	r := &run{began: time.Now()}
	var err error
	if r.record, err = outside.NewRecord(filepath.Join(folder, "record.txt")); err != nil {
		return couldNot, err
	}
	site, flavors, capacity := outside.Laurentides()
	if r.cluster, err = outside.NewCluster(root, temporary, site, r.record); err != nil {
		return couldNot, err
	}
	defer r.cluster.Stop()
	r.jobs = outside.NewJobs(r.record)
	r.cloud = outside.NewCloud(r.record, flavors, capacity, site.CloudRPS, time.Duration(site.ListLagS*float64(time.Second)), outside.QuickBoot,
		r.cluster.WorkerSettings(), r.jobs)
	if err := r.cluster.Start(r.cloud.Handler()); err != nil {
		return couldNot, err
	}
	r.users = outside.NewUsers(r.cluster, r.jobs)
	if !r.users.WaitUp(15 * time.Second) {
		return couldNot, fmt.Errorf("not all controllers are up")
	}
	if err := r.submit(trouble); err != nil {
		return couldNot, err
	}
	return r.watch(), nil
}

// submit submits the gang, then jobs of the site's own classes.
func (r *run) submit(trouble bool) error {
	tasks := quietTasks
	if trouble {
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
		if state := r.users.Submit(job); state.Code != http.StatusCreated && state.Code != http.StatusOK {
			return fmt.Errorf("%s was answered with %d", job.ID, state.Code)
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
		r.review(w, r.cloud.Rooms())
	}
}

// watch follows the jobs until each has started or has waited too long beside room.
func (r *run) watch() int {
	for time.Since(r.began) < runLimit {
		time.Sleep(time.Second)
		rooms, waiting := r.cloud.Rooms(), 0
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
	if w.started || r.jobs.Started(w.job.ID) > 0 {
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
		r.record.Line("judge: from now on there is room for all %d tasks of %s", w.job.Count, w.job.ID)
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
	code := held
	for _, w := range r.watched {
		state := r.users.Query(w.job.ID)
		r.record.Print("%s (%s, %d tasks): started %t, state %q, waited beside room for %.0f s", w.job.ID, w.job.Docket, w.job.Count, w.started,
			state.Status, w.longest.Seconds())
		if w.longest >= waitLimit {
			code = broken
		}
	}
	for _, breach := range r.jobs.Breaches() {
		r.record.Print("also seen: %s", breach)
	}
	for _, name := range r.cluster.Ended() {
		r.record.Print("also seen: %s ended by itself", name)
	}
	if code == broken {
		r.afterCancel()
		r.record.Print("BROKEN: a job waited for 90 s beside machines with room for it")
	}
	return code
}

// afterCancel cancels the gang and records, for the reader alone, whether the others start then.
func (r *run) afterCancel() {
	r.users.Cancel(r.watched[0].job.ID)
	time.Sleep(6 * time.Second)
	for _, w := range r.watched[1:] {
		r.record.Print("6 s after %s was cancelled: %s started: %t", r.watched[0].job.ID, w.job.ID, r.jobs.Started(w.job.ID) > 0)
	}
}
