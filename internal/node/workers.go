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

// commandsPath is the path at which workers accept commands that don't wait for the next
// heartbeat.
const commandsPath = "/commands"

// workerClients holds HTTP clients for the workers that were sent commands directly, and limits
// the number of such requests in flight.
type workerClients struct {
	inFlight chan struct{} // one element for each request in flight

	mu        sync.Mutex
	byAddress map[string]*httpclient.Client
}

func newWorkerClients() *workerClients {
	return &workerClients{
		inFlight:  make(chan struct{}, tuning.MaxDirectCommands),
		byAddress: map[string]*httpclient.Client{},
	}
}

// client returns the client for a worker's address. Since machines come and go, all clients are
// dropped when there are more than tuning.MaxWorkerClients; those in use are then created again.
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

// sendCommands sends commands directly to a worker. If too many such requests are in flight it
// does nothing: the response to the worker's next heartbeat contains the commands.
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

// send sends commands to a worker and parses the heartbeat in its response. A worker that
// knows a newer fencing token or has another agent epoch responds with status 409 and a
// heartbeat as well. OK is true in the result only for status 200; the heartbeat is nil unless
// it is well-formed and from the machine that the commands are for.
func (w *workerClients) send(e scheduler.SendCommands) scheduler.CommandsAnswered {
	result := scheduler.CommandsAnswered{Machine: e.Machine}
	body, err := json.Marshal(api.NewCommands(e))
	if err != nil {
		return result
	}
	response, err := w.client(e.Addr).Do(http.MethodPost, commandsPath, body, tuning.DirectCommandTimeout)
	if err != nil {
		return result
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return result
	}
	result.OK = response.Status == http.StatusOK
	heartbeat, err := api.ParseHeartbeat(response.Body)
	if err == nil && heartbeat.Machine == e.Machine {
		result.Heartbeat = &heartbeat
	}
	return result
}
