// Package metrics counts what a controller does and serves the counts to Prometheus. It
// has a registry of its own, so that nothing but what is listed here is exposed, and it
// sees the scheduler's events and effects only: the scheduler knows nothing of it. Names,
// labels and help texts keep the protocol's words, which dashboards and alerts use.
package metrics

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// namespace is what all names begin with.
const namespace = "brassglade"

// Recorder counts for one controller. Its methods but Handler are called by the one
// goroutine that drives the scheduler.
type Recorder struct {
	registry         *prometheus.Registry
	status           statusCollector
	commands         *prometheus.CounterVec
	heartbeatReplies *prometheus.CounterVec
	userReplies      *prometheus.CounterVec
	commits          *prometheus.CounterVec
	commitLanes      map[uint64]int // by id, of the commits under way
}

// New returns counters that start at zero, labelled with the controller's name.
func New(member string) *Recorder {
	labels := prometheus.Labels{"member": member}
	counter := func(name, help string, by ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, by)
	}
	m := &Recorder{
		registry:         prometheus.NewRegistry(),
		commands:         counter("orders_total", "Commands given to workers, by verb and the reason that allowed them.", "verb", "reason"),
		heartbeatReplies: counter("checkin_answers_total", "Answers to workers' reports, by HTTP status.", "status"),
		userReplies:      counter("user_answers_total", "Answers to users, by HTTP status and the job state told.", "status", "state"),
		commits:          counter("commits_total", "Commits to the state service that were answered or given up, by lane and result.", "lane", "result"),
		commitLanes:      map[uint64]int{},
	}
	m.status.defineMetrics(labels)
	m.registry.MustRegister(&m.status, m.commands, m.heartbeatReplies, m.userReplies, m.commits)
	return m
}

// Handler serves the counts in Prometheus' text format.
func (m *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveEvent counts an event that the scheduler is about to take.
func (m *Recorder) ObserveEvent(event scheduler.Event) {
	commit, is := event.(scheduler.CommitAnswered)
	if !is {
		return
	}
	lane, underWay := m.commitLanes[commit.ID]
	if !underWay {
		return
	}
	delete(m.commitLanes, commit.ID)
	m.commits.WithLabelValues(laneLabel(lane), resultLabel(commit.Result)).Inc()
}

// ObserveEffect counts an effect of the scheduler.
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

// SetStatus takes the scheduler's status after a step.
func (m *Recorder) SetStatus(status scheduler.Status) { m.status.latest.Store(&status) }

func (m *Recorder) countCommands(commands []domain.Command) {
	for _, k := range commands {
		m.commands.WithLabelValues(string(k.Kind), string(k.Reason)).Inc()
	}
}

// laneLabel is the label of a commit's lane.
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

// resultLabel is the label of a commit's result.
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
