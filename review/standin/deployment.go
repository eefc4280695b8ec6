package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// messageLimit is the largest body of a request and the longest line of an answer, in bytes.
const messageLimit = 64 << 10

// Team is a team's entry in the settings.
type Team struct {
	Name         string  `json:"name"`
	CPUGuarantee float64 `json:"cpus"`
	CPULimit     float64 `json:"cpus_max"`
	GPUGuarantee float64 `json:"gpus"`
	GPULimit     float64 `json:"gpus_max"`
}

// Options say what a deployment is like. The fields are those of a site file.
type Options struct {
	Program     string // the built controller
	RunCommand  string // the deploy file's command, after which the settings file is named
	Folder      string // temporary folder for settings and logs
	Zones       []string
	Members     []string // names of the controllers
	MemberZones []string
	Teams       []Team
	Types       []MachineType
	Capacity    int // machines at a time
	State       StateLimits
	CloudRPS    float64
	ListLagS    float64
	ReportS     float64
	LeaseS      float64
	CancelS     float64
	GangWaitS   float64
	GangPeerS   float64
	RAM         float64
	Connections int
	NameOf      func(number int) string
}

// Deployment is a running deployment: controllers as processes, all else in this one.
type Deployment struct {
	Options     Options
	Record      *Record
	State       *State
	Cloud       *Cloud
	Controllers []*Controller

	jobs    *jobs
	rules   *Rules
	largest atomic.Int64 // bytes of the largest report of a worker
}

// Controller is one controller.
type Controller struct {
	Name    string
	ServeOn string
	Back    string

	settings string
	options  *Options
	record   *Record
	command  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
}

// New starts the stand-ins, writes the settings and returns the deployment. The controllers don't
// run yet.
func New(record *Record, options Options) (*Deployment, error) {
	if options.NameOf == nil {
		options.NameOf = SixDigits
	}
	d := &Deployment{
		Options: options, Record: record, State: NewState(record, options.State),
		jobs:  &jobs{byID: map[string]*Job{}, done: map[string]bool{}},
		rules: newRules(record, options.Teams),
	}
	d.Cloud = &Cloud{
		record: record, types: options.Types, listLag: time.Duration(options.ListLagS * float64(time.Second)),
		nameOf: options.NameOf, newWorker: d.newWorker, capacity: options.Capacity,
		answers: map[string][]string{}, requests: newBucket(options.CloudRPS),
	}
	cloud, err := d.Cloud.serve()
	if err != nil {
		return nil, err
	}
	for _, name := range options.Members {
		c := &Controller{Name: name, options: &d.Options, record: record}
		if c.ServeOn, err = freeAddress(); err != nil {
			return nil, err
		}
		if c.Back, err = freeAddress(); err != nil {
			return nil, err
		}
		d.Controllers = append(d.Controllers, c)
	}
	for i, c := range d.Controllers {
		state, err := d.State.Serve(c.Name)
		if err != nil {
			return nil, err
		}
		if err := d.writeSettings(i, c, cloud, state); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Rules returns the judge of the rules.
func (d *Deployment) Rules() *Rules { return d.rules }

// freeAddress returns an address that nobody listens on. Its port is below those that the system
// gives to outgoing connections and to listeners without a port.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// writeSettings writes the settings file of a controller, in the form of the deploy page.
func (d *Deployment) writeSettings(index int, c *Controller, cloud, state string) error {
	o := &d.Options
	members := []map[string]any{}
	for i, other := range d.Controllers {
		if i != index {
			members = append(members, map[string]any{"member": other.Name, "domain": o.MemberZones[i], "address": other.Back})
		}
	}
	settings := map[string]any{
		"member": c.Name, "domain": o.MemberZones[index], "serve_on": c.ServeOn, "back": c.Back, "members": members,
		"external": map[string]any{"cloud": cloud, "state": state},
		"params": map[string]any{
			"initial_size": len(d.Controllers), "zones": o.Zones, "teams": o.Teams, "objectives": []any{},
			"workers": map[string]any{
				"report_s": o.ReportS, "lease_s": o.LeaseS, "gang_wait_s": o.GangWaitS, "gang_peer_s": o.GangPeerS, "cancel_s": o.CancelS,
			},
			"state":          map[string]any{"rps": o.State.Requests, "write_rps": o.State.Changes, "value_kb": o.State.ValueKB, "txn_ops": o.State.TxnOps},
			"cloud":          map[string]any{"rps": o.CloudRPS, "list_lag_s": o.ListLagS},
			"machine_limits": map[string]any{"cpu": 0.24, "ram_mb": o.RAM, "max_connections": o.Connections},
			"skew_ms":        25.0,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	c.settings = filepath.Join(o.Folder, c.Name+".json")
	return os.WriteFile(c.settings, text, 0o600)
}

// Start starts the controller's process with the deploy file's command.
func (c *Controller) Start() error {
	words := strings.Fields(c.options.RunCommand)
	log, err := os.OpenFile(filepath.Join(c.options.Folder, c.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(c.options.Program, append(words[1:], c.settings)...) // #nosec: the project's own program
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	// The system kills the controller when the thread that started it ends, and so with this process,
	// however that ends. The thread is therefore kept until the controller has ended.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended, started := make(chan struct{}), make(chan error)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := command.Start()
		started <- err
		if err != nil {
			return
		}
		err = command.Wait()
		_ = log.Close()
		c.record.Logf("controller %s: process ended: %v", c.Name, err)
		close(ended)
	}()
	if err := <-started; err != nil {
		return err
	}
	c.command, c.ended = command, ended
	c.record.Logf("controller %s: process started on %s", c.Name, c.ServeOn)
	return nil
}

// logLevel returns the level at which the controllers log.
func logLevel() string {
	if level := os.Getenv("CASE_LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// HasEnded reports whether the process has ended.
func (c *Controller) HasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the controller's process.
func (c *Controller) Signal(signal os.Signal) {
	c.record.Logf("controller %s: signal %v", c.Name, signal)
	_ = c.command.Process.Signal(signal)
}

// Kill kills the process and waits for its end.
func (c *Controller) Kill() {
	if c.command == nil {
		return
	}
	if !c.HasEnded() {
		c.Signal(os.Kill)
	}
	<-c.ended
}

// Close ends all controllers.
func (d *Deployment) Close() {
	for _, c := range d.Controllers {
		c.Kill()
	}
}

// StartAll starts all controllers and waits until each answers that it is ready.
func (d *Deployment) StartAll(limit time.Duration) error {
	for _, c := range d.Controllers {
		if err := c.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(limit)
	for _, c := range d.Controllers {
		for !c.IsUp() {
			if time.Now().After(deadline) || c.HasEnded() {
				return fmt.Errorf("%s isn't up", c.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		d.Record.Logf("controller %s: up", c.Name)
	}
	return nil
}

// isTooLong reports whether an answer to a worker has a longer line than the protocol allows. If so it
// breaks a rule, and the worker drops it.
func (d *Deployment) isTooLong(machine string, text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if len(line) > messageLimit {
			d.rules.Break("message size", "an answer to %s has a line of %d bytes; at most %d are allowed", machine, len(line), messageLimit)
			return true
		}
	}
	return false
}

// noteReport records the size of a worker's report.
func (d *Deployment) noteReport(machine string, bytes int) {
	if bytes > messageLimit {
		d.Record.Logf("worker %s: its report has %d bytes, more than the protocol allows", machine, bytes)
	}
	for {
		largest := d.largest.Load()
		if int64(bytes) <= largest || d.largest.CompareAndSwap(largest, int64(bytes)) {
			return
		}
	}
}

// LargestReport returns the size of the largest report of a worker, in bytes.
func (d *Deployment) LargestReport() int64 { return d.largest.Load() }

// OnMachines returns the number of tasks that are on machines.
func (d *Deployment) OnMachines() int { return d.rules.onMachines() }
