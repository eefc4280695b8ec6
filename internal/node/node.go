// Package node runs one controller as a process. It puts listeners, clients and a timer
// round the scheduler: what arrives becomes an event, one goroutine takes the events one
// after the other through the scheduler, and the effects that come out are carried out.
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
	incarnationBytes = 6 // enough that no two starts of a controller share one
	bytesPerMB       = 1 << 20
)

// Node is one running controller.
type Node struct {
	member     string    // this controller's name
	start      time.Time // when the scheduler's steady time was 0
	controller *scheduler.Controller
	metrics    *metrics.Recorder // nil unless the operators switched them on
	ready      atomic.Bool

	// The loop's inputs. Events wait for room in their queue; requests that find theirs
	// full are refused.
	events         chan scheduler.Event
	userRequests   chan request
	workerRequests chan request
	done           <-chan struct{} // closed when the loop ends

	// The loop's own state: requests that wait for their reply.
	pendingReplies map[uint64]chan scheduler.Effect
	lastRequestID  uint64

	store   *kvstore.Client
	cloud   *cloud.Client
	peers   map[string]*peer.Link
	workers *workerClients
}

// Run serves until the context ends or a listener fails.
func Run(ctx context.Context, settings *config.Settings, operator *config.Operator) error {
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	configureGC(settings.Params.MachineLimits.MemoryMB)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := newNode(settings, operator, incarnation, ctx.Done())
	slog.Info("starting", "member", settings.Member, "incarnation", incarnation,
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

// newIncarnation returns the random name of this start of the controller.
func newIncarnation() (string, error) {
	var id [incarnationBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fmt.Errorf("incarnation: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}

// configureGC sets the garbage collector to the machine's memory; 0 MB: not known.
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

// listen opens both listeners, serves on them and starts the links to the peers. The
// channel gets the error of a listener that fails later.
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

// metricsHandler answers scrapes; nil where metrics are off.
func (n *Node) metricsHandler() http.Handler {
	if n.metrics == nil {
		return nil
	}
	return n.metrics.Handler()
}

// now is the scheduler's steady time.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Ready tells whether a load balancer should send users here.
func (n *Node) Ready() bool { return n.ready.Load() }
