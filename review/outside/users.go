package outside

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Users submit, query and cancel jobs at the controllers that are healthy.
type Users struct {
	cluster *Cluster
	jobs    *Jobs
	client  *http.Client
	next    atomic.Int64
}

// NewUsers returns users of a cluster.
func NewUsers(c *Cluster, jobs *Jobs) *Users {
	return &Users{cluster: c, jobs: jobs, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// JobState is what users are told about a job.
type JobState struct {
	Code    int    `json:"-"` // 0: no response
	ID      string `json:"NameId"`
	Status  string
	Done    int `json:"done"`
	Running int `json:"running"`
}

// IsAccepted reports whether a submission was accepted.
func (s JobState) IsAccepted() bool { return s.Code == http.StatusOK || s.Code == http.StatusCreated }

// Call sends one request to a controller and records it.
func (u *Users) Call(k *Controller, method, path string, body any, timeout time.Duration) JobState {
	text := []byte(nil)
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+k.Serve+path, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	var state JobState
	response, err := u.client.Do(request)
	if err != nil {
		u.cluster.Record.Line("user: %s %s at %s: %v", method, path, k.Name, err)
		return state
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return state
	}
	_ = json.Unmarshal(answer, &state)
	state.Code = response.StatusCode
	u.cluster.Record.Line("user: %s %s at %s: %d %s", method, path, k.Name, state.Code, bytes.TrimSpace(answer))
	return state
}

// IsUp reports whether a controller is healthy.
func (u *Users) IsUp(k *Controller) bool {
	return u.Call(k, http.MethodGet, "/up", nil, time.Second).Code == http.StatusOK
}

// WaitUp waits until all controllers are healthy.
func (u *Users) WaitUp(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		up := 0
		for _, k := range u.cluster.Controllers {
			if u.IsUp(k) {
				up++
			}
		}
		if up == len(u.cluster.Controllers) {
			return true
		}
	}
	return false
}

// pick returns the controllers in turns.
func (u *Users) pick() *Controller {
	return u.cluster.Controllers[int(u.next.Add(1))%len(u.cluster.Controllers)]
}

// Submit submits a job until it is accepted or refused, for up to 60 s.
func (u *Users) Submit(job *Job) JobState {
	u.jobs.Add(job)
	var state JobState
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		state = u.Call(u.pick(), http.MethodPost, "/v1/jobs", job, 5*time.Second)
		switch state.Code {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return state
		}
	}
	return state
}

// Query asks for a job's state once.
func (u *Users) Query(id string) JobState {
	return u.Call(u.pick(), http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
}

// Cancel cancels a job until that is answered, for up to 60 s.
func (u *Users) Cancel(id string) JobState {
	var state JobState
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		state = u.Call(u.pick(), http.MethodPost, "/v1/jobs/"+id+"/abort", struct{}{}, 5*time.Second)
		if state.Code == http.StatusOK {
			return state
		}
	}
	return state
}
