package outside

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// logName is the file of the controllers' log.
const logName = "controllers.log"

// Team is a team's quota in the settings.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Site is a deployment.
type Site struct {
	Zones       []string // of the controllers, one each
	AllZones    []string
	Teams       []Team
	Objectives  []map[string]any
	Workers     map[string]float64
	State       StateLimits
	CloudRPS    float64
	ListLagS    float64
	CPU, RAM    float64
	Connections int
	SkewMS      float64
}

// Controller is one process of the service.
type Controller struct {
	Name, Serve, Back string
	settings          string
	process           *exec.Cmd
	exited            chan struct{} // closed once the process has ended
	killed            bool
}

// Cluster runs the controllers of a site beside the stand-ins.
type Cluster struct {
	Site        Site
	State       *State
	Record      *Record
	Controllers []*Controller
	root        string // of the repository
	run         []string
	folder      string
	log         *os.File
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// runCommand returns the words of "run" in the deploy file.
func runCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/service.toml has no run line")
}

// NewCluster prepares a cluster; folder is temporary and gets settings and logs.
func NewCluster(root, folder string, site Site, record *Record) (*Cluster, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, logName))
	if err != nil {
		return nil, err
	}
	c := &Cluster{Site: site, State: NewState(site.State), Record: record, root: root, run: run, folder: folder, log: log}
	for i := range site.Zones {
		k := &Controller{Name: fmt.Sprintf("bracket-%d", i)}
		for _, address := range []*string{&k.Serve, &k.Back} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		c.Controllers = append(c.Controllers, k)
	}
	return c, nil
}

// Serve serves a handler on a free loopback address and returns the address.
func Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// WorkerSettings returns the settings of the workers.
func (c *Cluster) WorkerSettings() WorkerSettings {
	w := WorkerSettings{
		ReportS: c.Site.Workers["report_s"], LeaseS: c.Site.Workers["lease_s"], GangWaitS: c.Site.Workers["gang_wait_s"],
		Addresses: map[string]string{},
	}
	for _, k := range c.Controllers {
		w.Controllers = append(w.Controllers, k.Name)
		w.Addresses[k.Name] = k.Serve
	}
	return w
}

// Start writes the settings and starts all controllers. Each has a front of the state service of
// its own.
func (c *Cluster) Start(cloud http.Handler) error {
	cloudAddress, err := Serve(cloud)
	if err != nil {
		return err
	}
	for i, k := range c.Controllers {
		state, err := Serve(c.State.Front(k.Name))
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(c.settings(i, state, cloudAddress), "", "  ")
		if err != nil {
			return err
		}
		k.settings = filepath.Join(c.folder, k.Name+".json")
		if err := os.WriteFile(k.settings, text, 0o600); err != nil {
			return err
		}
		if err := c.StartController(k); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) settings(index int, state, cloud string) map[string]any {
	var members []map[string]string
	for i, k := range c.Controllers {
		if i != index {
			members = append(members, map[string]string{"member": k.Name, "domain": c.Site.Zones[i], "address": k.Back})
		}
	}
	k, s := c.Controllers[index], c.Site
	return map[string]any{
		"member": k.Name, "domain": s.Zones[index], "serve_on": k.Serve, "back": k.Back, "members": members,
		"external": map[string]string{"cloud": cloud, "state": state},
		"params": map[string]any{
			"initial_size": len(c.Controllers), "zones": s.AllZones, "teams": s.Teams, "objectives": s.Objectives, "workers": s.Workers,
			"state":          map[string]any{"rps": s.State.RPS, "write_rps": s.State.WriteRPS, "value_kb": s.State.ValueKB, "txn_ops": s.State.TxnOps},
			"cloud":          map[string]any{"rps": s.CloudRPS, "list_lag_s": s.ListLagS},
			"machine_limits": map[string]any{"cpu": s.CPU, "ram_mb": s.RAM, "max_connections": s.Connections},
			"skew_ms":        s.SkewMS,
		},
	}
}

// StartController starts one controller with the deploy file's command.
func (c *Cluster) StartController(k *Controller) error {
	args := append(append([]string{}, c.run[1:]...), k.settings)
	k.process = exec.Command(filepath.Join(c.root, c.run[0]), args...)
	k.process.Dir = c.root
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	k.process.Env = append(os.Environ(), "LOG_LEVEL="+level)
	k.process.Stderr = c.log
	k.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := k.process.Start(); err != nil {
		return err
	}
	c.Record.Line("%s started, process %d", k.Name, k.process.Process.Pid)
	k.exited, k.killed = make(chan struct{}), false
	process, exited := k.process, k.exited
	go func() {
		err := process.Wait()
		c.Record.Line("process %d ended: %v", process.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// Kill kills a controller and waits for its end.
func (c *Cluster) Kill(k *Controller) {
	k.killed = true
	_ = k.process.Process.Kill()
	<-k.exited
	c.Record.Line("%s killed", k.Name)
}

// Signal sends a signal to a controller.
func (c *Cluster) Signal(k *Controller, s syscall.Signal) {
	_ = k.process.Process.Signal(s)
	c.Record.Line("%s: signal %v", k.Name, s)
}

// Ended returns the names of controllers that ended by themselves.
func (c *Cluster) Ended() []string {
	var names []string
	for _, k := range c.Controllers {
		select {
		case <-k.exited:
			if !k.killed {
				names = append(names, k.Name)
			}
		default:
		}
	}
	return names
}

// Stop ends all controllers.
func (c *Cluster) Stop() {
	for _, k := range c.Controllers {
		if k.process != nil && k.process.Process != nil {
			_ = k.process.Process.Kill()
			<-k.exited
		}
	}
	_ = c.log.Close()
}
