package outside

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// bodyLimit is the protocol's limit of a request body.
const bodyLimit = 64 << 10

// WorkerSettings are the settings of the workers and the addresses of the controllers.
type WorkerSettings struct {
	ReportS, LeaseS, GangWaitS float64
	Controllers                []string          // names, in the order in which workers try them
	Addresses                  map[string]string // by name
}

// Task states and causes on the wire.
const (
	fetching  = "fetching"
	gathering = "gathering"
	running   = "running"
	saving    = "saving"
	ended     = "ended"
)

// pieceKey names an attempt of a task.
type pieceKey struct {
	id      string
	attempt uint64
}

// piece is an attempt of a task on a machine.
type piece struct {
	machine  string
	id       string
	attempt  uint64
	state    string
	cause    string
	saved    bool
	job      *Job
	since    time.Time // of the present state
	until    time.Time // end of the present state
	progress float64   // when it began to run, s
}

func (p *piece) isLive() bool { return p.state != ended }

type pieceReport struct {
	Piece  string `json:"Piece"`
	Try    uint64 `json:"Try"`
	Status string `json:"Status"`
	Cause  string `json:"Cause,omitempty"`
	Saved  bool   `json:"Saved,omitempty"`
}

type report struct {
	Bracket string
	Address string
	Build   string
	Yard    string
	Loaners bool
	Shift   uint64
	Tally   uint64
	Baton   uint64
	RecallS *float64
	Pieces  []pieceReport
}

type order struct {
	Verb    string
	Piece   string
	Try     uint64
	LeewayS float64
}

type orders struct {
	Baton  *uint64
	Shift  *uint64
	Orders []order
}

// Worker is the worker of one machine.
type Worker struct {
	name, address string
	kind          Kind
	flavor        *Flavor
	settings      WorkerSettings
	jobs          *Jobs
	record        *Record
	listener      net.Listener
	client        *http.Client

	mu       sync.Mutex
	stopped  bool
	pieces   map[pieceKey]*piece
	images   map[string]bool
	shift    uint64
	tally    uint64
	baton    uint64
	answered time.Time // when the newest answered report was sent
	node     int       // index of the controller that it reports to
	changed  chan struct{}
	tooLong  int // reports longer than the protocol's limit
	longest  int // longest line of an answer, in bytes
	refused  int // reports that were answered with 400
	lost     int // live tasks that were killed as the lease ended or the machine was returned
}

// newWorker returns the worker of a machine that does not run yet.
func newWorker(name string, kind Kind, flavor *Flavor, settings WorkerSettings, jobs *Jobs, record *Record) *Worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return &Worker{
		name: name, address: listener.Addr().String(), kind: kind, flavor: flavor, settings: settings, jobs: jobs, record: record,
		listener: listener, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		pieces: map[pieceKey]*piece{}, images: map[string]bool{}, shift: 1, changed: make(chan struct{}, 1),
	}
}

// start begins to report and to take commands.
func (w *Worker) start() {
	w.answered, w.node = time.Now(), rand.IntN(len(w.settings.Controllers))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.onCommands)
	mux.HandleFunc("GET /inspect", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		r := w.makeReport()
		w.mu.Unlock()
		Answer(out, http.StatusOK, r)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(w.listener) }()
	go w.reportLoop()
	go w.taskLoop()
}

// stop ends the machine with all that is on it.
func (w *Worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	_ = w.listener.Close()
	live := 0
	for _, p := range w.pieces {
		if p.isLive() {
			w.jobs.left(p)
			live++
		}
	}
	w.lost += live
	w.record.Line("%s: gone with %d live tasks", w.name, live)
	w.pieces = map[pieceKey]*piece{}
}

func (w *Worker) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// makeReport returns a new report; mu must be held.
func (w *Worker) makeReport() report {
	w.tally++
	r := report{
		Bracket: w.name, Address: w.address, Build: w.kind.Build, Yard: w.kind.Yard, Loaners: w.kind.Loaners,
		Shift: w.shift, Tally: w.tally, Baton: w.baton, Pieces: []pieceReport{},
	}
	for _, p := range w.pieces {
		r.Pieces = append(r.Pieces, pieceReport{p.id, p.attempt, p.state, p.cause, p.saved})
	}
	sort.Slice(r.Pieces, func(a, b int) bool { return r.Pieces[a].Piece < r.Pieces[b].Piece })
	return r
}

// reportLoop sends a report every report_s, give or take a quarter, and after a change, but not more
// often than every half second.
func (w *Worker) reportLoop() {
	for !w.isStopped() {
		sent := time.Now()
		retry := w.report()
		pause := time.Duration(w.settings.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		if retry >= 0 {
			time.Sleep(retry)
			continue
		}
		select {
		case <-time.After(time.Until(sent.Add(pause))):
		case <-w.changed:
			time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		}
	}
}

func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report sends one report and executes the commands of its answer. It returns the pause before the
// next one if that goes to another controller, else -1.
func (w *Worker) report() time.Duration {
	w.mu.Lock()
	r, node := w.makeReport(), w.settings.Controllers[w.node]
	w.mu.Unlock()
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	if len(body) > bodyLimit {
		w.mu.Lock()
		w.tooLong++
		w.mu.Unlock()
		w.record.Line("%s: report of %d tasks has %d bytes, more than a request may have", w.name, len(r.Pieces), len(body))
	}
	sent := time.Now()
	response, err := w.client.Post("http://"+w.settings.Addresses[node]+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		w.record.Line("%s: report to %s: %v", w.name, node, err)
		return w.nextNode()
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return w.nextNode()
	case response.StatusCode == http.StatusOK:
		w.mu.Lock()
		for _, line := range bytes.Split(answer, []byte("\n")) {
			w.longest = max(w.longest, len(line))
		}
		w.mu.Unlock()
		w.onAnswer(r, sent, answer)
		return -1
	case response.StatusCode == http.StatusMisdirectedRequest:
		return w.redirect(answer)
	}
	w.record.Line("%s: report to %s answered with %d", w.name, node, response.StatusCode)
	if response.StatusCode == http.StatusBadRequest {
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
	}
	return w.nextNode()
}

func (w *Worker) nextNode() time.Duration {
	w.mu.Lock()
	w.node = (w.node + 1) % len(w.settings.Controllers)
	w.mu.Unlock()
	return time.Second
}

func (w *Worker) redirect(answer []byte) time.Duration {
	var owner struct{ Foreman string }
	_ = json.Unmarshal(answer, &owner)
	w.mu.Lock()
	for i, name := range w.settings.Controllers {
		if name == owner.Foreman && i != w.node {
			w.node = i
			w.mu.Unlock()
			return time.Duration(rand.IntN(500)) * time.Millisecond
		}
	}
	w.mu.Unlock()
	return w.nextNode()
}

// onAnswer executes an answer, unless it is late, from an earlier session or has a low token.
func (w *Worker) onAnswer(r report, sent time.Time, answer []byte) {
	var o orders
	if json.Unmarshal(answer, &o) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Baton == nil || *o.Baton < w.baton || r.Shift != w.shift || time.Since(sent) > 4*time.Second || w.stopped {
		return
	}
	if *o.Baton > w.baton {
		w.baton = *o.Baton
		w.noteChange()
	}
	w.answered = sent
	w.execute(o.Orders)
}

func (w *Worker) onCommands(out http.ResponseWriter, in *http.Request) {
	var o orders
	if json.NewDecoder(in.Body).Decode(&o) != nil || o.Baton == nil || o.Shift == nil {
		Answer(out, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	status := http.StatusConflict
	if *o.Baton >= w.baton && *o.Shift == w.shift && !w.stopped {
		w.baton = *o.Baton
		w.execute(o.Orders)
		status = http.StatusOK
	}
	r := w.makeReport()
	w.mu.Unlock()
	Answer(out, status, r)
}

// room returns the machine's free room.
func (w *Worker) room(kind Kind) Room {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Room{w.name, kind, w.flavor.Cores, w.flavor.Cards, w.flavor.MemGb, 0, w.answered}
	for _, p := range w.pieces {
		if p.isLive() {
			r.Cores, r.Cards, r.Mem = r.Cores-p.job.Cores, r.Cards-p.job.Cards, r.Mem-p.job.MemGb
			r.Tasks++
		}
	}
	return r
}

// Counts are what the judge of a case asks a worker.
type Counts struct {
	Name    string
	TooLong int // reports longer than the protocol's limit
	Refused int // reports that were answered with 400
	Lost    int // live tasks that were killed as the lease ended or the machine was returned
	Longest int // longest line of an answer, in bytes
}

// Counts returns the worker's counts.
func (w *Worker) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Counts{w.name, w.tooLong, w.refused, w.lost, w.longest}
}
