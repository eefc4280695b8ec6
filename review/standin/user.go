package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	probeTimeout  = time.Second
)

// Answer is what a user learns from one request.
type Answer struct {
	Status  int // 0: no response
	State   string
	Done    int
	Running int
	Body    string
}

// user is the HTTP client of all users. Each request has a connection of its own.
var user = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a user's request to a controller.
func (d *Deployment) ask(c *Controller, method, path string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.ServeOn+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	response, err := user.Do(request)
	if err != nil {
		d.Record.Logf("user: %s %s at %s: no response", method, path, c.Name)
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	answer := Answer{Status: response.StatusCode, Body: strings.TrimSpace(string(text))}
	var fields struct {
		Status  string `json:"Status"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
	if json.Unmarshal(text, &fields) == nil {
		answer.State, answer.Done, answer.Running = fields.Status, fields.Done, fields.Running
	}
	d.Record.Logf("user: %s %s at %s: %d %s", method, path, c.Name, answer.Status, answer.Body)
	return answer
}

// text returns the body of the job's submission.
func (j *Job) text() []byte {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err) // can't happen: all fields are plain
	}
	names := make([]string, 0, len(j.Extra))
	for name := range j.Extra {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		body = append(body[:len(body)-1], fmt.Sprintf(",%q:%s}", name, j.Extra[name])...)
	}
	return body
}

// Submit submits a job, which its user has uploaded before, and repeats that until it is accepted
// or refused for good, for up to 60 s. It begins with the given controller.
func (d *Deployment) Submit(job *Job, first int) Answer {
	d.jobs.add(job)
	body := job.text()
	d.Record.Logf("user: submits %s", body)
	begun := time.Now()
	for try := first; ; try++ {
		answer := d.ask(d.Controllers[try%len(d.Controllers)], http.MethodPost, "/v1/jobs", body, submitTimeout)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return answer
		}
		if time.Since(begun) > time.Minute {
			return answer
		}
		time.Sleep(time.Second)
	}
}

// Poll asks a controller for a job's state.
func (d *Deployment) Poll(job *Job, c *Controller) Answer {
	return d.ask(c, http.MethodGet, "/v1/jobs/"+job.NameID, nil, pollTimeout)
}

// Cancel asks a controller to cancel a job.
func (d *Deployment) Cancel(job *Job, c *Controller) Answer {
	return d.ask(c, http.MethodPost, "/v1/jobs/"+job.NameID+"/abort", nil, submitTimeout)
}

// DoneTasks returns how many tasks of a job completed on their machines.
func (d *Deployment) DoneTasks(job *Job) int { return d.jobs.doneCount(job) }

// IsUp reports whether the controller answers GET /up with 200 within a second.
func (c *Controller) IsUp() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.ServeOn+"/up", nil)
	if err != nil {
		return false
	}
	response, err := user.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
