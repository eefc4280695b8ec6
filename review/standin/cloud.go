package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// bootTime is how long a machine boots. The protocol says that machines are up within a second or two
// at times; a case has only two minutes.
const bootTime = time.Second

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string   `json:"Name"`
	Cores     float64  `json:"Cores"`
	Cards     float64  `json:"Cards"`
	MemGB     float64  `json:"MemGb"`
	CacheGB   float64  `json:"CacheGb"`
	FetchRate float64  `json:"PullGbPerS"`
	Price     float64  `json:"Hourly"`
	SpotPrice float64  `json:"SpotPrice"`
	BootS     float64  `json:"BootS"`
	Zones     []string `json:"Yards"`
}

// Machine is a rented machine.
type Machine struct {
	Name string
	Type MachineType
	Zone string
	Spot bool

	rentedAt time.Time
	goneAt   time.Time // zero: still there
	worker   *Worker   // nil: still booting
}

// Cloud rents machines. Each gets a worker once it has booted.
type Cloud struct {
	record    *Record
	types     []MachineType
	listLag   time.Duration
	nameOf    func(number int) string
	newWorker func(*Machine) *Worker
	capacity  int // machines at a time, of all types

	mu       sync.Mutex
	machines []*Machine
	answers  map[string][]string // by name of the rental
	requests *bucket
}

// serve opens the listener and returns its address.
func (c *Cloud) serve() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"Builds": c.types})
	})
	mux.HandleFunc("GET /rentals", c.list)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.takeBack)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		allowed := c.requests.take(1)
		c.mu.Unlock()
		if !allowed {
			reply(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire    string `json:"Hire"`
		Build   string `json:"Build"`
		Yard    string `json:"Yard"`
		Loaners bool   `json:"Loaners"`
		Count   int    `json:"Count"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 || request.Count > 50 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.answers[request.Hire]; known {
		reply(w, http.StatusOK, map[string]any{"Brackets": names})
		return
	}
	for _, machineType := range c.types {
		if machineType.Name != request.Build {
			continue
		}
		count := min(request.Count, c.capacity-c.present())
		if count < 1 {
			reply(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return
		}
		names := []string{}
		for range count {
			names = append(names, c.add(machineType, request.Yard, request.Loaners))
		}
		c.answers[request.Hire] = names
		c.record.Logf("cloud: %d machines %s in %s rented, spot %v, rental %s", count, request.Build, request.Yard, request.Loaners, request.Hire)
		reply(w, http.StatusOK, map[string]any{"Brackets": names})
		return
	}
	reply(w, http.StatusBadRequest, map[string]any{})
}

// present returns the number of machines that are there; mu must be held.
func (c *Cloud) present() int {
	n := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// add creates a machine, which boots; mu must be held.
func (c *Cloud) add(machineType MachineType, zone string, spot bool) string {
	m := &Machine{Name: c.nameOf(len(c.machines) + 1), Type: machineType, Zone: zone, Spot: spot, rentedAt: time.Now()}
	c.machines = append(c.machines, m)
	time.AfterFunc(bootTime, func() {
		worker := c.newWorker(m)
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() && worker != nil {
			m.worker = worker
			worker.start()
		}
	})
	return m.Name
}

func (c *Cloud) takeBack(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Brackets []string `json:"Brackets"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Brackets) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range request.Brackets {
		for _, m := range c.machines {
			if m.Name != name || !m.goneAt.IsZero() {
				continue
			}
			m.goneAt = time.Now()
			if m.worker != nil {
				m.worker.remove()
			}
			c.record.Logf("cloud: machine %s returned", name)
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// list lists the machines as they were listLag ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("Since")
	page, err := strconv.Atoi(r.URL.Query().Get("Page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := time.Now().Add(-c.listLag)
	listed := []map[string]any{}
	machines := append([]*Machine(nil), c.machines...)
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	truncated := false
	for _, m := range machines {
		if m.Name <= after || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && m.goneAt.Before(asOf) {
			continue
		}
		if len(listed) == page {
			truncated = true
			break
		}
		status, address := "booting", ""
		if m.worker != nil && m.worker.startedAt.Before(asOf) {
			status, address = "running", m.worker.address
		}
		listed = append(listed, map[string]any{
			"NameId": m.Name, "Address": address, "Build": m.Type.Name, "Yard": m.Zone, "Loaners": m.Spot,
			"Status": status, "HeldS": asOf.Sub(m.rentedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, map[string]any{"Brackets": listed, "Truncated": truncated})
}

// SixDigits names machines as the protocol's examples do.
func SixDigits(number int) string { return fmt.Sprintf("n-%06d", number) }
