package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	reportTimeout = 4 * time.Second
	nextNodePause = time.Second
	changeSpacing = 500 * time.Millisecond
)

// Worker is the worker of one machine.
type Worker struct {
	d         *Deployment
	machine   *Machine
	address   string
	startedAt time.Time
	listener  net.Listener
	client    *http.Client

	mu       sync.Mutex
	removed  bool
	shift    uint64
	tally    uint64
	baton    uint64
	leaseAt  time.Time // when the last answered report was sent, or the session began
	tasks    []*task
	changed  chan struct{}
	kitReady map[string]bool
	node     int
}

// report is the worker's message.
type report struct {
	Bracket string        `json:"Bracket"`
	Address string        `json:"Address"`
	Build   string        `json:"Build"`
	Yard    string        `json:"Yard"`
	Loaners bool          `json:"Loaners"`
	Shift   uint64        `json:"Shift"`
	Tally   uint64        `json:"Tally"`
	Baton   uint64        `json:"Baton"`
	RecallS *float64      `json:"RecallS"`
	Pieces  []pieceReport `json:"Pieces"`
}

type pieceReport struct {
	Piece  string `json:"Piece"`
	Try    uint64 `json:"Try"`
	Status string `json:"Status"`
	Cause  string `json:"Cause,omitempty"`
	Saved  bool   `json:"Saved,omitempty"`
}

// order is a command of a controller.
type order struct {
	Verb    string  `json:"Verb"`
	Piece   string  `json:"Piece"`
	Try     uint64  `json:"Try"`
	LeewayS float64 `json:"LeewayS"`
}

type orders struct {
	Baton  *uint64 `json:"Baton"`
	Shift  *uint64 `json:"Shift"`
	Orders []order `json:"Orders"`
}

// newWorker returns the worker of a machine that has booted, nil if it can't listen.
func (d *Deployment) newWorker(m *Machine) *Worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.Record.Logf("worker %s: %v", m.Name, err)
		return nil
	}
	return &Worker{
		d: d, machine: m, address: listener.Addr().String(), listener: listener, startedAt: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: reportTimeout},
		shift:  1, leaseAt: time.Now(), changed: make(chan struct{}, 1), kitReady: map[string]bool{},
		node: rand.IntN(len(d.Controllers)),
	}
}

func (w *Worker) start() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	mux.HandleFunc("GET /inspect", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(out, http.StatusOK, w.makeReport())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(w.listener) }()
	go w.run()
	go w.watchLease()
}

// remove ends the worker: its machine is gone.
func (w *Worker) remove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	for _, t := range w.tasks {
		w.leave(t)
	}
	w.tasks = nil
	_ = w.listener.Close()
}

// makeReport returns the next report; mu must be held.
func (w *Worker) makeReport() report {
	w.tally++
	m := w.machine
	r := report{
		Bracket: m.Name, Address: w.address, Build: m.Type.Name, Yard: m.Zone, Loaners: m.Spot,
		Shift: w.shift, Tally: w.tally, Baton: w.baton, Pieces: []pieceReport{},
	}
	for _, t := range w.tasks {
		r.Pieces = append(r.Pieces, pieceReport{Piece: t.piece, Try: t.try, Status: t.status, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// run sends reports until the machine is gone.
func (w *Worker) run() {
	interval := w.d.Options.ReportS
	for {
		w.mu.Lock()
		if w.removed {
			w.mu.Unlock()
			return
		}
		r := w.makeReport()
		node := w.node
		w.mu.Unlock()
		sent := time.Now()
		pause := w.send(r, node, sent)
		if pause > 0 {
			time.Sleep(pause)
			continue
		}
		next := time.Duration(interval * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		select {
		case <-w.changed:
			time.Sleep(time.Until(sent.Add(changeSpacing)))
		case <-time.After(time.Until(sent.Add(next))):
		}
	}
}

// send sends a report to a controller. It returns the pause before the next report, 0 if that is
// due at its usual time.
func (w *Worker) send(r report, node int, sent time.Time) time.Duration {
	body, err := json.Marshal(r)
	if err != nil {
		return nextNodePause
	}
	w.d.noteReport(r.Bracket, len(body))
	response, err := w.client.Post("http://"+w.d.Controllers[node].ServeOn+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return w.tryNext(r, "no response", len(body))
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return w.tryNext(r, "no response", len(body))
	}
	switch response.StatusCode {
	case http.StatusOK:
		w.accept(r, text, sent)
		return 0
	case http.StatusMisdirectedRequest:
		return w.redirect(r, node, text)
	}
	return w.tryNext(r, "status "+strconv.Itoa(response.StatusCode), len(body))
}

// tryNext turns to the next controller.
func (w *Worker) tryNext(r report, why string, size int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = (w.node + 1) % len(w.d.Controllers)
	w.d.Record.Logf("worker %s: report %d/%d of %d bytes with %d pieces: %s", r.Bracket, r.Shift, r.Tally, size, len(r.Pieces), why)
	return nextNodePause
}

// redirect follows a 421.
func (w *Worker) redirect(r report, node int, text []byte) time.Duration {
	var answer struct {
		Foreman string `json:"Foreman"`
	}
	_ = json.Unmarshal(text, &answer)
	for i, c := range w.d.Controllers {
		if c.Name == answer.Foreman && i != node {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.node = i
			return time.Duration(1 + rand.IntN(100_000_000))
		}
	}
	return w.tryNext(r, "status 421 without another node", 0)
}

// accept executes an answer, unless it is to be dropped.
func (w *Worker) accept(r report, text []byte, sent time.Time) {
	var answer orders
	if w.d.isTooLong(w.machine.Name, text) || json.Unmarshal(text, &answer) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || r.Shift != w.shift || answer.Baton == nil || *answer.Baton < w.baton {
		return
	}
	w.leaseAt = sent
	w.seeBaton(*answer.Baton)
	for _, o := range answer.Orders {
		w.execute(o)
	}
}

// seeBaton records a token; mu must be held.
func (w *Worker) seeBaton(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		w.notify()
	}
}

// notify has the next report sent soon.
func (w *Worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) handleCommands(out http.ResponseWriter, in *http.Request) {
	var body orders
	text, err := io.ReadAll(in.Body)
	if len(text) > messageLimit {
		w.d.rules.Break("message size", "commands to %s have a body of %d bytes; at most %d are allowed", w.machine.Name, len(text), messageLimit)
		reply(out, http.StatusBadRequest, map[string]any{})
		return
	}
	if err != nil || json.Unmarshal(text, &body) != nil || body.Baton == nil || body.Shift == nil {
		reply(out, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	if *body.Baton < w.baton || *body.Shift != w.shift {
		status = http.StatusConflict
	} else {
		w.seeBaton(*body.Baton)
		for _, o := range body.Orders {
			w.execute(o)
		}
	}
	reply(out, status, w.makeReport())
}

// watchLease ends the session when its lease ends.
func (w *Worker) watchLease() {
	lease := time.Duration(w.d.Options.LeaseS * float64(time.Second))
	for range time.Tick(50 * time.Millisecond) {
		w.mu.Lock()
		if w.removed {
			w.mu.Unlock()
			return
		}
		if time.Since(w.leaseAt) > lease {
			w.d.Record.Logf("worker %s: lease ended, session %d begins", w.machine.Name, w.shift+1)
			for _, t := range w.tasks {
				w.leave(t)
			}
			w.tasks = nil
			w.shift++
			w.leaseAt = time.Now()
			w.notify()
		}
		w.mu.Unlock()
	}
}

// pieceName returns the name of a task.
func pieceName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// splitPiece returns the job's ID and the index in a task's name.
func splitPiece(piece string) (job string, index int) {
	job, number, _ := strings.Cut(piece, "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return job, -1
	}
	return job, index
}
