// Package node runs one controller as a process. It connects the scheduler to listeners, clients
// and a timer: requests, responses and ticks become events, a single goroutine passes the events
// to the scheduler one at a time, and the effects that the scheduler returns are executed.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"brassglade/internal/api"
	"brassglade/internal/cloud"
	"brassglade/internal/config"
	"brassglade/internal/kvstore"
	"brassglade/internal/metrics"
	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

const (
	incarnationBytes = 6 // large enough that no two starts of a controller get the same incarnation
	bytesPerMB       = 1 << 20
)

// Node is one running controller. Its exported methods may be called concurrently.
type Node struct {
	member     string    // this controller's name
	start      time.Time // when the scheduler's monotonic clock was 0
	controller *scheduler.Controller
	metrics    *metrics.Recorder // nil unless the operators enabled metrics
	ready      atomic.Bool

	// The inputs of the loop. Senders of events wait while the queue is full; requests are
	// refused if their queue is full.
	events         chan scheduler.Event
	userRequests   chan request
	workerRequests chan request
	done           <-chan struct{} // closed to end the loop

	// The state of the loop, used by its goroutine only: the channels of the requests that wait
	// for a reply, by request ID.
	pendingReplies map[uint64]chan scheduler.Effect
	lastRequestID  uint64

	store   *kvstore.Client
	cloud   *cloud.Client
	peers   map[string]*peer.Link
	workers *workerClients
}

// Run runs a controller until the context ends or a listener fails. operator may be nil. It
// returns an error if the controller can't start or a listener fails, and nil if the context
// ends.
func Run(ctx context.Context, settings *config.Settings, operator *config.Operator) error {
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	configureGC(settings.Params.MachineLimits.MemoryMB)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := newNode(settings, operator, incarnation, ctx.Done())
	slog.Info("controller starting", "member", settings.Member, "incarnation", incarnation,
		"serve_on", settings.ServeOn, "back", settings.Back)
	failed, err := n.listen(ctx, settings)
	if err != nil {
		return err
	}
	go n.store.Watch(ctx, n.now, n.enqueueEvent)
	go n.loop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// newIncarnation returns a random name for this start of the controller.
func newIncarnation() (string, error) {
	var id [incarnationBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fmt.Errorf("generate incarnation: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}

// configureGC sets the garbage collector's target percentage, and its soft memory limit to a
// share of the machine's memory. memoryMB is that memory in MB; 0 means unknown, and sets no
// limit.
func configureGC(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * tuning.MemoryShare * bytesPerMB))
	}
	debug.SetGCPercent(tuning.GCPercent)
}

func newNode(settings *config.Settings, operator *config.Operator, incarnation string, done <-chan struct{}) *Node {
	start := time.Now()
	schedulerSettings := settings.SchedulerSettings(operator, tuning.Seed)
	schedulerSettings.WallClockMS = start.UnixMilli()
	requestRate, changeRate := settings.StoreRates()
	n := &Node{
		member:         settings.Member,
		start:          start,
		controller:     scheduler.New(schedulerSettings, incarnation),
		events:         make(chan scheduler.Event, tuning.WorkerQueue),
		userRequests:   make(chan request, tuning.UserQueue),
		workerRequests: make(chan request, tuning.WorkerQueue),
		done:           done,
		pendingReplies: map[uint64]chan scheduler.Effect{},
		store:          kvstore.New(settings.External.State, requestRate, changeRate),
		cloud:          cloud.New(settings.External.Cloud, settings.CloudRate()),
		peers:          map[string]*peer.Link{},
		workers:        newWorkerClients(),
	}
	if operator != nil && operator.Metrics {
		n.metrics = metrics.New(settings.Member)
	}
	return n
}

// listen opens the listeners for users and workers and for peers, serves on them and starts the
// links to the peers. A listener that fails later sends its error to the channel.
func (n *Node) listen(ctx context.Context, settings *config.Settings) (failed <-chan error, err error) {
	public, err := net.Listen("tcp4", settings.ServeOn)
	if err != nil {
		return nil, err
	}
	back, err := net.Listen("tcp4", settings.Back)
	if err != nil {
		_ = public.Close()
		return nil, err
	}
	for _, m := range settings.Members {
		n.peers[m.Name] = peer.Dial(ctx, m.Address)
	}
	errs := make(chan error, 2)
	go func() { errs <- peer.Serve(back, n.receivePeerMessage) }()
	go func() {
		server := api.New(n, settings.Params.MachineLimits.MaxConnections, n.metricsHandler())
		if err := server.Serve(public); !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
	return errs, nil
}

// metricsHandler returns the handler of GET /metrics; nil if metrics are disabled.
func (n *Node) metricsHandler() http.Handler {
	if n.metrics == nil {
		return nil
	}
	return n.metrics.Handler()
}

// now returns the time on the scheduler's monotonic clock, which is 0 at the controller's start.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Ready reports whether a load balancer should send users to this controller.
func (n *Node) Ready() bool { return n.ready.Load() }
