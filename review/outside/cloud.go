package outside

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Flavor is a machine type.
type Flavor struct {
	Name       string   `json:"Name"`
	Cores      float64  `json:"Cores"`
	Cards      float64  `json:"Cards"`
	MemGb      float64  `json:"MemGb"`
	CacheGb    float64  `json:"CacheGb"`
	PullGbPerS float64  `json:"PullGbPerS"`
	Hourly     float64  `json:"Hourly"`
	SpotPrice  float64  `json:"SpotPrice"`
	BootS      float64  `json:"BootS"`
	Yards      []string `json:"Yards"`
}

// Kind is a machine type in a zone, ordinary or spot.
type Kind struct {
	Build, Yard string
	Loaners     bool
}

// Cloud rents machines, whose workers run in this process.
type Cloud struct {
	mu       sync.Mutex
	record   *Record
	flavors  []Flavor
	capacity map[Kind]int
	bootIn   time.Duration
	lag      time.Duration
	requests *bucket
	rentals  map[string][]string
	machines map[string]*machine
	count    int
	workers  WorkerSettings
	jobs     *Jobs
}

type machine struct {
	name         string
	kind         Kind
	rentedAt     time.Time
	upAt, goneAt time.Time // zero: not yet
	worker       *Worker
}

// NewCloud returns a cloud without machines. Machines are up after bootIn.
func NewCloud(record *Record, flavors []Flavor, capacity map[Kind]int, rps float64, lag, bootIn time.Duration, workers WorkerSettings, jobs *Jobs) *Cloud {
	return &Cloud{
		record: record, flavors: flavors, capacity: capacity, bootIn: bootIn, lag: lag, requests: newBucket(2 * rps),
		rentals: map[string][]string{}, machines: map[string]*machine{}, workers: workers, jobs: jobs,
	}
}

// Handler returns the cloud's HTTP interface.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	limited := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			admitted := c.requests.take(1)
			c.mu.Unlock()
			if !admitted {
				Answer(w, http.StatusTooManyRequests, map[string]string{"error": "too many requests"})
				return
			}
			h(w, r)
		}
	}
	mux.HandleFunc("GET /flavors", limited(func(w http.ResponseWriter, _ *http.Request) {
		Answer(w, http.StatusOK, map[string]any{"Builds": c.flavors})
	}))
	mux.HandleFunc("POST /rentals", limited(c.rent))
	mux.HandleFunc("POST /rentals/return", limited(c.takeBack))
	mux.HandleFunc("GET /rentals", limited(c.list))
	return mux
}

func (c *Cloud) flavor(name string) *Flavor {
	for i := range c.flavors {
		if c.flavors[i].Name == name {
			return &c.flavors[i]
		}
	}
	return nil
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || asked.Count < 1 || asked.Count > 50 || c.flavor(asked.Build) == nil {
		Answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.rentals[asked.Hire]; known {
		Answer(w, http.StatusOK, map[string]any{"Brackets": names})
		return
	}
	kind := Kind{asked.Build, asked.Yard, asked.Loaners}
	n := min(asked.Count, c.capacity[kind])
	if n == 0 {
		Answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.capacity[kind] -= n
	names := []string{}
	for range n {
		c.count++
		m := &machine{name: fmt.Sprintf("n-%06d", c.count), kind: kind, rentedAt: time.Now()}
		m.worker = newWorker(m.name, m.kind, c.flavor(m.kind.Build), c.workers, c.jobs, c.record)
		c.machines[m.name] = m
		names = append(names, m.name)
		time.AfterFunc(c.bootIn, func() { c.boot(m) })
	}
	c.rentals[asked.Hire] = names
	c.record.Line("cloud: rented %v: %d of %d", kind, n, asked.Count)
	Answer(w, http.StatusOK, map[string]any{"Brackets": names})
}

// boot starts a machine's worker.
func (c *Cloud) boot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.goneAt.IsZero() {
		return
	}
	m.upAt = time.Now()
	m.worker.start()
	c.record.Line("cloud: %s is up at %s", m.name, m.worker.address)
}

func (c *Cloud) takeBack(w http.ResponseWriter, r *http.Request) {
	var asked struct{ Brackets []string }
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || len(asked.Brackets) > 100 {
		Answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range asked.Brackets {
		m := c.machines[name]
		if m == nil || !m.goneAt.IsZero() {
			continue
		}
		m.goneAt = time.Now()
		c.capacity[m.kind]++
		m.worker.stop()
		c.record.Line("cloud: %s returned", name)
	}
	Answer(w, http.StatusOK, struct{}{})
}

type listedMachine struct {
	Name    string `json:"NameId"`
	Address string
	Build   string
	Yard    string
	Loaners bool
	Status  string
	HeldS   float64
}

// list shows the machines as they were some time ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("Page"))
	if err != nil || page > 500 {
		page = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	listed := []listedMachine{}
	for name, m := range c.machines {
		if name <= q.Get("Since") || m.rentedAt.After(at) || !m.goneAt.IsZero() && m.goneAt.Before(at) {
			continue
		}
		status := "booting"
		if !m.upAt.IsZero() && m.upAt.Before(at) {
			status = "running"
		}
		listed = append(listed, listedMachine{name, m.worker.address, m.kind.Build, m.kind.Yard, m.kind.Loaners, status, at.Sub(m.rentedAt).Seconds()})
	}
	sort.Slice(listed, func(a, b int) bool { return listed[a].Name < listed[b].Name })
	truncated := len(listed) > page
	listed = listed[:min(page, len(listed))]
	Answer(w, http.StatusOK, map[string]any{"Brackets": listed, "Truncated": truncated})
}

// Room describes the free room of a machine that is up.
type Room struct {
	Name              string
	Kind              Kind
	Cores, Cards, Mem float64
	Tasks             int
	Answered          time.Time // when its newest answered report was sent
}

// Rooms returns the machines that are up, with their free room, by name.
func (c *Cloud) Rooms() []Room {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rooms []Room
	for _, m := range c.machines {
		if !m.upAt.IsZero() && m.goneAt.IsZero() {
			rooms = append(rooms, m.worker.room(m.kind))
		}
	}
	sort.Slice(rooms, func(a, b int) bool { return rooms[a].Name < rooms[b].Name })
	return rooms
}

// Workers returns the workers of all machines that were ever up, by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, m := range c.machines {
		if !m.upAt.IsZero() {
			workers = append(workers, m.worker)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].name < workers[b].name })
	return workers
}
