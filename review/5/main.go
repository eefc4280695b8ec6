// Command 5 is the fifth case of the reviews: an array of many small tasks is accepted, more of which
// fit on one machine than a report of its worker can list. See claim.txt.
package main

import (
	"time"

	"brassglade/review/outside"
)

const (
	tasks        = 1300
	troubleCores = 0.04 // of 64: all tasks fit on one machine, and leave 12 CPUs
	quietCores   = 0.16 // 400 tasks fit on one machine
	taskTime     = 40.0 // s
	waitLimit    = 90 * time.Second
	runLimit     = 108 * time.Second
	jobID        = "job-000500"
	neighbourID  = "job-000600" // an ordinary job of another team; recorded, not judged
)

// run is one run of the case.
type run struct {
	*outside.Case
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

// submit submits the array.
func (r *run) submit() error {
	cores := quietCores
	if r.Trouble {
		cores = troubleCores
	}
	job := &outside.Job{
		ID: jobID, Docket: "surveyshards", Crew: "plateforme", Shape: outside.Batch, Urgency: "standard", Count: tasks,
		Cores: cores, MemGb: 0.1, Kit: "img-survey", PullGb: 0.5, Loaners: true, ExpectS: taskTime, RunS: taskTime,
	}
	neighbour := &outside.Job{
		ID: neighbourID, Docket: "voucherscore", Crew: "soutien", Shape: outside.Batch, Urgency: "standard", Count: 2,
		Cores: 6, Cards: 1, MemGb: 24, Kit: "img-voucher", PullGb: 0.5, Loaners: true, ExpectS: taskTime, RunS: taskTime,
	}
	for _, j := range []*outside.Job{job, neighbour} {
		if err := r.Submit(j); err != nil {
			return err
		}
	}
	return nil
}

// watch follows the job until it is done, or none of its tasks is done after waitLimit.
func (r *run) watch() int {
	var first time.Time
	for time.Since(r.Began) < runLimit && r.Jobs.DoneTasks(jobID) < tasks {
		time.Sleep(500 * time.Millisecond)
		if first.IsZero() && r.Jobs.Started(jobID) > 0 {
			first = time.Now()
		}
		if !first.IsZero() && time.Since(first) >= waitLimit && r.Jobs.DoneTasks(jobID) == 0 {
			break
		}
	}
	return r.verdict(first)
}

func (r *run) verdict(first time.Time) int {
	if first.IsZero() {
		r.Record.Print("no task was started")
		return outside.CouldNot
	}
	state, done := r.Users.Query(jobID), r.Jobs.DoneTasks(jobID)
	r.Record.Print("%s: state %q, %d of %d tasks done %.0f s after the first start, %d starts", jobID, state.Status, done, tasks,
		time.Since(first).Seconds(), r.Jobs.Started(jobID))
	r.Record.Print("%s, of another team: %d of 2 tasks done, %d starts", neighbourID, r.Jobs.DoneTasks(neighbourID), r.Jobs.Started(neighbourID))
	lost, refused := 0, 0
	for _, w := range r.Cloud.Workers() {
		c := w.Counts()
		r.Record.Print("%s: %d reports over 64 KiB, %d answered with 400, longest line of an answer %d bytes, %d live tasks lost with the machine or its lease",
			c.Name, c.TooLong, c.Refused, c.Longest, c.Lost)
		lost, refused = lost+c.Lost, refused+c.Refused
	}
	r.AlsoSeen()
	if done == 0 && time.Since(first) >= waitLimit && lost > 0 && refused > 0 {
		r.Record.Print("BROKEN: no task of 40 s was done within 90 s; %d running tasks were lost with healthy machines whose reports are refused", lost)
		return outside.Broken
	}
	return outside.Held
}
