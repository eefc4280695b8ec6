package node

import (
	"net/http"
	"sync"

	json "github.com/goccy/go-json"

	"brassglade/internal/api"
	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// commandsPath is where a worker takes commands that don't wait for its next heartbeat.
const commandsPath = "/commands"

// workerClients holds the HTTP clients of workers that were sent commands, and bounds
// how many commands are under way at a time.
type workerClients struct {
	inFlight chan struct{} // one element for each request under way

	mu        sync.Mutex
	byAddress map[string]*httpclient.Client
}

func newWorkerClients() *workerClients {
	return &workerClients{
		inFlight:  make(chan struct{}, tuning.MaxDirectCommands),
		byAddress: map[string]*httpclient.Client{},
	}
}

// client returns the client of a worker's address. Machines come and go: a full set of
// clients is forgotten and fills up again with those in use.
func (w *workerClients) client(address string) *httpclient.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.byAddress[address]
	if c == nil {
		if len(w.byAddress) > tuning.MaxWorkerClients {
			clear(w.byAddress)
		}
		c = httpclient.New(address)
		w.byAddress[address] = c
	}
	return c
}

// sendCommands sends commands straight to a worker. Where too many are under way it does
// nothing: the answer to the worker's next heartbeat carries them.
func (n *Node) sendCommands(e scheduler.SendCommands) {
	select {
	case n.workers.inFlight <- struct{}{}:
		n.runAsync(func() scheduler.Event {
			defer func() { <-n.workers.inFlight }()
			return n.workers.send(e)
		})
	default:
	}
}

// send carries commands to a worker and reads the heartbeat in its answer. A worker that
// knows a newer fencing token or another agent epoch answers 409, with a heartbeat as well.
func (w *workerClients) send(e scheduler.SendCommands) scheduler.CommandsAnswered {
	answered := scheduler.CommandsAnswered{Machine: e.Machine}
	body, err := json.Marshal(api.NewCommands(e))
	if err != nil {
		return answered
	}
	response, err := w.client(e.Addr).Do(http.MethodPost, commandsPath, body, tuning.DirectCommandTimeout)
	if err != nil {
		return answered
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return answered
	}
	answered.OK = response.Status == http.StatusOK
	heartbeat, err := api.ParseHeartbeat(response.Body)
	if err == nil && heartbeat.Machine == e.Machine {
		answered.Heartbeat = &heartbeat
	}
	return answered
}
