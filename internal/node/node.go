// Package node puts sockets and timers round the core.
package node

import (
	"context"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	json "github.com/goccy/go-json"

	crand "crypto/rand"

	"brassglade/internal/api"
	"brassglade/internal/cloud"
	"brassglade/internal/config"
	"brassglade/internal/httpclient"
	"brassglade/internal/kvstore"
	"brassglade/internal/metrics"
	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// ask is a request on its way through the loop.
type ask struct {
	make func(uint64) scheduler.Event
	ch   chan scheduler.Effect
}

// Node is one running controller.
type Node struct {
	start      time.Time
	controller *scheduler.Controller
	self       string
	events     chan scheduler.Event // answers to the core's own requests
	users      chan ask
	workers    chan ask
	waiting    map[uint64]chan scheduler.Effect
	nextReq    uint64
	ready      atomic.Bool

	state   *kvstore.Client
	cloud   *cloud.Client
	links   map[string]*peer.Link
	direct  chan struct{}
	workMu  sync.Mutex
	workCon map[string]*httpclient.Client
	metrics *metrics.Controller // nil unless the operators switched them on
}

// Run serves until the process is killed or a listener fails.
func Run(ctx context.Context, s *config.Settings, op *config.Operator) error {
	var id [6]byte
	if _, err := crand.Read(id[:]); err != nil {
		return err
	}
	inc := hex.EncodeToString(id[:])
	if m := s.Params.MachineLimits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m * tuning.MemoryShare * (1 << 20)))
	}
	debug.SetGCPercent(tuning.GCPercent)
	share := s.Share()
	rps, writeRps, _, _ := s.Least()
	start, set := time.Now(), s.Core(op, tuning.Seed)
	set.WallClockMS = start.UnixMilli()
	n := &Node{
		start: start, controller: scheduler.New(set, inc), self: s.Member,
		events: make(chan scheduler.Event, tuning.WorkerQueue), users: make(chan ask, tuning.UserQueue),
		workers: make(chan ask, tuning.WorkerQueue), waiting: map[uint64]chan scheduler.Effect{},
		state:  kvstore.New(s.External.State, rps*share, writeRps*min(1, s.WriteShare()*tuning.LeaderWeight)),
		cloud:  cloud.New(s.External.Cloud, s.Params.Cloud.Rps*tuning.BudgetShare),
		links:  map[string]*peer.Link{},
		direct: make(chan struct{}, tuning.DirectAtOnce), workCon: map[string]*httpclient.Client{},
	}
	var metricsHandler http.Handler
	if op != nil && op.Metrics {
		n.metrics = metrics.New(s.Member)
		metricsHandler = n.metrics.Handler()
	}
	slog.Info("starting", "member", s.Member, "incarnation", inc, "serve_on", s.ServeOn, "back", s.Back)
	ln, err := net.Listen("tcp4", s.ServeOn)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp4", s.Back)
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		n.links[m.Member] = peer.Dial(m.Address)
	}
	failed := make(chan error, 3)
	go func() {
		failed <- peer.Serve(back, func(from string, m scheduler.PeerMessage) {
			n.events <- scheduler.PeerMessageReceived{From: from, Message: m}
		})
	}()
	go func() {
		if err := api.New(n, s.Params.MachineLimits.Conns, metricsHandler).Serve(ln); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	go n.state.Watch(ctx, func() time.Duration { return time.Since(n.start) }, func(e scheduler.Event) { n.events <- e })
	go n.loop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Ready answers GET /up.
func (n *Node) Ready() bool { return n.ready.Load() }

// Ask puts a request into the loop's stage; a full stage says no at once.
func (n *Node) Ask(worker bool, make_ func(uint64) scheduler.Event) (scheduler.Effect, bool) {
	a := ask{make_, make(chan scheduler.Effect, 1)}
	q := n.users
	if worker {
		q = n.workers
	}
	select {
	case q <- a:
	default:
		return nil, false
	}
	t := time.NewTimer(tuning.AskPatience)
	defer t.Stop()
	select {
	case e := <-a.ch:
		return e, true
	case <-t.C:
		return nil, false
	}
}

func (n *Node) loop() {
	tick := time.NewTicker(tuning.Tick)
	for {
		// Answers first: they carry view, fence and outcomes.
		select {
		case e := <-n.events:
			n.step(e)
			continue
		default:
		}
		select {
		case e := <-n.events:
			n.step(e)
		case a := <-n.workers:
			n.request(a)
		case a := <-n.users:
			n.request(a)
		case <-tick.C:
			n.step(scheduler.Tick{})
		}
	}
}

func (n *Node) request(a ask) {
	n.nextReq++
	n.waiting[n.nextReq] = a.ch
	n.step(a.make(n.nextReq))
}

func (n *Node) answer(req uint64, e scheduler.Effect) {
	if ch, ok := n.waiting[req]; ok {
		delete(n.waiting, req)
		ch <- e
	}
}

func (n *Node) step(ev scheduler.Event) {
	if n.metrics != nil {
		n.metrics.Event(ev)
		defer func() { n.metrics.Status(n.controller.Status()) }()
	}
	// The same message goes to all peers: written once.
	var frame []byte
	for _, e := range n.controller.Step(time.Since(n.start), ev) {
		if n.metrics != nil {
			n.metrics.Effect(e)
		}
		if x, ok := e.(scheduler.SendPeerMessage); ok && x.Message.Steal == nil {
			if frame == nil {
				frame = peer.Encode(n.self, x.Message)
			}
			if l := n.links[x.To]; l != nil {
				l.Send(frame)
			}
			continue
		}
		n.carry(e)
	}
	n.ready.Store(n.controller.Ready())
}

func (n *Node) send(f func() scheduler.Event) {
	go func() { n.events <- f() }()
}

// carry carries out one effect.
func (n *Node) carry(e scheduler.Effect) {
	switch x := e.(type) {
	case scheduler.HeartbeatReply:
		n.answer(x.RequestID, x)
	case scheduler.UserReply:
		n.answer(x.RequestID, x)
	case scheduler.ConfirmView:
		n.send(func() scheduler.Event { return n.state.Confirm(x) })
	case scheduler.Commit:
		n.send(func() scheduler.Event { return n.state.Commit(x) })
	case scheduler.ReadKeys:
		n.send(func() scheduler.Event { return n.state.Read(x) })
	case scheduler.GrantLease:
		n.send(func() scheduler.Event { return n.state.Grant(x) })
	case scheduler.RenewLease:
		n.send(func() scheduler.Event { return n.state.Renew(x) })
	case scheduler.ListMachineTypes:
		n.send(func() scheduler.Event { return n.cloud.MachineTypes() })
	case scheduler.ListInstances:
		n.send(func() scheduler.Event { return n.cloud.Instances() })
	case scheduler.RentMachines:
		n.send(func() scheduler.Event { return n.cloud.Rent(x) })
	case scheduler.ReturnMachines:
		n.send(func() scheduler.Event { return n.cloud.Return(x) })
	case scheduler.SendPeerMessage:
		if l := n.links[x.To]; l != nil {
			l.Send(peer.Encode(n.self, x.Message))
		}
	case scheduler.SendCommands:
		select {
		case n.direct <- struct{}{}:
			n.send(func() scheduler.Event {
				defer func() { <-n.direct }()
				return n.order(x)
			})
		default: // the next check-in carries it
		}
	case scheduler.LogLine:
		slog.Log(context.Background(), x.Level, x.Message, x.Args...)
	}
}

func (n *Node) order(x scheduler.SendCommands) scheduler.Event {
	n.workMu.Lock()
	w := n.workCon[x.Addr]
	if w == nil {
		if len(n.workCon) > 500 {
			clear(n.workCon)
		}
		w = httpclient.New(x.Addr)
		n.workCon[x.Addr] = w
	}
	n.workMu.Unlock()
	ev := scheduler.CommandsAnswered{Machine: x.Machine}
	body, err := json.Marshal(api.NewCommands(x))
	if err != nil {
		return ev
	}
	response, err := w.Do("POST", "/commands", body, tuning.DirectTimeout)
	if err != nil || response.Status != 200 && response.Status != 409 {
		return ev
	}
	ev.OK = response.Status == 200
	if r, ok := api.ParseReport(response.Body); ok && r.Machine == x.Machine {
		ev.Heartbeat = &r
	}
	return ev
}
