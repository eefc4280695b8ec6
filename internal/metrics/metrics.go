// Package metrics records a controller's metrics and exposes them to Prometheus. It has its
// own registry, so that only the metrics defined here are exposed. It observes the scheduler's
// events, effects and status; the scheduler does not depend on it. The names and labels of
// metrics use the protocol's words, because dashboards and alerts refer to them.
package metrics

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// namespace is the prefix of all metric names.
const namespace = "brassglade"

// Recorder records the metrics of one controller. Handler may be called by any goroutine, the
// other methods only by the one that drives the scheduler.
type Recorder struct {
	registry         *prometheus.Registry
	status           statusCollector
	commands         *prometheus.CounterVec
	heartbeatReplies *prometheus.CounterVec
	userReplies      *prometheus.CounterVec
	commits          *prometheus.CounterVec
	commitLanes      map[uint64]int // lanes of the commits in flight, by commit ID
}

// New returns a recorder whose counters are zero and whose metrics are labelled with the
// controller's name.
func New(member string) *Recorder {
	labels := prometheus.Labels{"member": member}
	counter := func(name, help string, labelNames ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, labelNames)
	}
	m := &Recorder{
		registry:         prometheus.NewRegistry(),
		commands:         counter("orders_total", "Commands given to workers, by verb and the reason that allowed them.", "verb", "reason"),
		heartbeatReplies: counter("checkin_answers_total", "Responses to workers' heartbeats, by HTTP status.", "status"),
		userReplies:      counter("user_answers_total", "Responses to users, by HTTP status and the job state in the response.", "status", "state"),
		commits:          counter("commits_total", "Commits to the state service that got a response or were given up, by lane and result.", "lane", "result"),
		commitLanes:      map[uint64]int{},
	}
	m.status.defineMetrics(labels)
	m.registry.MustRegister(&m.status, m.commands, m.heartbeatReplies, m.userReplies, m.commits)
	return m
}

// Handler returns the handler that serves the metrics in Prometheus' text format.
func (m *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveEvent updates the counters for an event that the scheduler is about to process.
func (m *Recorder) ObserveEvent(event scheduler.Event) {
	commit, ok := event.(scheduler.CommitAnswered)
	if !ok {
		return
	}
	lane, inFlight := m.commitLanes[commit.ID]
	if !inFlight {
		return
	}
	delete(m.commitLanes, commit.ID)
	m.commits.WithLabelValues(laneLabel(lane), resultLabel(commit.Result)).Inc()
}

// ObserveEffect updates the counters for an effect of the scheduler.
func (m *Recorder) ObserveEffect(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Commit:
		m.commitLanes[e.ID] = e.Lane
	case scheduler.HeartbeatReply:
		m.heartbeatReplies.WithLabelValues(strconv.Itoa(e.Status)).Inc()
		m.countCommands(e.Commands)
	case scheduler.SendCommands:
		m.countCommands(e.Commands)
	case scheduler.UserReply:
		m.userReplies.WithLabelValues(strconv.Itoa(e.Status), e.State).Inc()
	}
}

// SetStatus sets the status that is exposed, which is the scheduler's after its last step.
func (m *Recorder) SetStatus(status scheduler.Status) { m.status.latest.Store(&status) }

func (m *Recorder) countCommands(commands []domain.Command) {
	for _, k := range commands {
		m.commands.WithLabelValues(string(k.Kind), string(k.Reason)).Inc()
	}
}

// laneLabel returns the label value for a commit's lane.
func laneLabel(lane int) string {
	switch lane {
	case scheduler.LaneView:
		return "view"
	case scheduler.LaneUser:
		return "user"
	case scheduler.LaneTask:
		return "task"
	}
	return "idle"
}

// resultLabel returns the label value for a commit's result.
func resultLabel(result domain.CommitResult) string {
	switch result {
	case domain.Committed:
		return "committed"
	case domain.Conflict:
		return "conflict"
	case domain.Refused:
		return "refused"
	}
	return "unknown"
}
