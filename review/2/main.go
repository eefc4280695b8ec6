// Command 2 is case 2 of the review: submissions with a field that the protocol doesn't know.
package main

import (
	"fmt"
	"time"

	"brassglade/review/standin"
)

const (
	waitLimit = 60 * time.Second // for the jobs to be done
	settle    = 5 * time.Second  // after that, for the last answers
)

func main() {
	options := standin.Laurentides()
	options.Types[0].Zones = []string{"laval-nord", "montreal-est", "quebec-ville"}
	standin.Main(options, play)
}

func play(d *standin.Deployment, trouble bool) error {
	zone := "montreal-est"
	bound := newJob(1, 2) // all tasks in one zone
	bound.Yard = &zone
	ordinary := newJob(2, 2) // no spot machines
	small := newJob(3, 2)    // two tasks
	if trouble {
		bound.Extra = map[string]string{"yard": `"laval-nord"`}
		ordinary.Extra = map[string]string{"loaners": "true"}
		small.Extra = map[string]string{"pieces": "5"}
	}
	jobs := []*standin.Job{bound, ordinary, small}
	for i, job := range jobs {
		if answer := d.Submit(job, i); answer.Status != 201 {
			return fmt.Errorf("%s was answered %d", job.NameID, answer.Status)
		}
	}
	begun := time.Now()
	for open := len(jobs); open > 0 && time.Since(begun) < waitLimit; {
		time.Sleep(2 * time.Second)
		open = 0
		for i, job := range jobs {
			if d.Poll(job, d.Controllers[i]).State != "done" {
				open++
			}
		}
	}
	time.Sleep(settle)
	for i, job := range jobs {
		answer := d.Poll(job, d.Controllers[i])
		fmt.Printf("%s: %d of %d tasks completed; its user is told %s\n", job.NameID, d.DoneTasks(job), job.Pieces, answer.Body)
	}
	if strange := d.Rules().Strange(); len(strange) > 0 {
		fmt.Println("workers were ordered to run tasks that nobody submitted:", strange)
	}
	return nil
}

func newJob(number, tasks int) *standin.Job {
	return &standin.Job{
		NameID: fmt.Sprintf("job-%06d", number), Docket: "voucherscore", Crew: "soutien", Shape: "batch", Urgency: "standard",
		Pieces: tasks, Cores: 57, Cards: 8, MemGB: 200, Kit: "img-1", PullGB: 1, ExpectS: 8, RunS: 8,
	}
}
