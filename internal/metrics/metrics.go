// Package metrics counts what a controller does and serves the counts to Prometheus. It
// has a registry of its own, so that nothing but what is listed here is exposed, and it
// sees the core's events and effects only: the core knows nothing of it.
package metrics

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"brassglade/internal/scheduler"

	"brassglade/internal/domain"
)

// namespace is what all names begin with.
const namespace = "brassglade"

// Controller counts for one controller. Its methods but Handler are called by the one
// goroutine that drives the core.
type Controller struct {
	registry *prometheus.Registry
	status   statusCollector
	orders   *prometheus.CounterVec
	checkins *prometheus.CounterVec
	answers  *prometheus.CounterVec
	commits  *prometheus.CounterVec
	lanes    map[uint64]int // lane of each commit under way
}

// New returns counters that start at zero, labelled with the controller's name.
func New(member string) *Controller {
	labels := prometheus.Labels{"member": member}
	counter := func(name, help string, by ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, by)
	}
	m := &Controller{
		registry: prometheus.NewRegistry(),
		orders:   counter("orders_total", "Commands given to workers, by verb and the reason that allowed them.", "verb", "reason"),
		checkins: counter("checkin_answers_total", "Answers to workers' reports, by HTTP status.", "status"),
		answers:  counter("user_answers_total", "Answers to users, by HTTP status and the job state told.", "status", "state"),
		commits:  counter("commits_total", "Commits to the state service that were answered or given up, by lane and result.", "lane", "result"),
		lanes:    map[uint64]int{},
	}
	m.status.describe(labels)
	m.registry.MustRegister(&m.status, m.orders, m.checkins, m.answers, m.commits)
	return m
}

// Handler serves the counts in Prometheus' text format.
func (m *Controller) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Event counts an event that the core is about to take.
func (m *Controller) Event(event scheduler.Event) {
	commit, is := event.(scheduler.CommitAnswered)
	if !is {
		return
	}
	lane, known := m.lanes[commit.ID]
	if !known {
		return
	}
	delete(m.lanes, commit.ID)
	m.commits.WithLabelValues(laneName(lane), resultName(commit.Result)).Inc()
}

// Effect counts an effect of the core.
func (m *Controller) Effect(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Commit:
		m.lanes[e.ID] = e.Lane
	case scheduler.HeartbeatReply:
		m.checkins.WithLabelValues(strconv.Itoa(e.Status)).Inc()
		m.countOrders(e.Commands)
	case scheduler.SendCommands:
		m.countOrders(e.Commands)
	case scheduler.UserReply:
		m.answers.WithLabelValues(strconv.Itoa(e.Status), e.State).Inc()
	}
}

// Status takes the core's status after a step.
func (m *Controller) Status(status scheduler.Status) { m.status.latest.Store(&status) }

func (m *Controller) countOrders(orders []domain.Command) {
	for _, o := range orders {
		m.orders.WithLabelValues(string(o.Kind), string(o.Reason)).Inc()
	}
}

func laneName(lane int) string {
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

func resultName(result domain.CommitResult) string {
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

// statusCollector exposes the core's latest status. Scrapes come from other goroutines.
type statusCollector struct {
	latest   atomic.Pointer[scheduler.Status]
	gauges   []gauge
	bookings *prometheus.Desc
	steps    *prometheus.Desc
}

// gauge is one number of the status.
type gauge struct {
	desc  *prometheus.Desc
	value func(*scheduler.Status) float64
}

func (s *statusCollector) describe(labels prometheus.Labels) {
	desc := func(name, help string, by ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, by, labels)
	}
	flag := func(on bool) float64 {
		if on {
			return 1
		}
		return 0
	}
	s.bookings = desc("bookings_total", "Committed bookings of tasks, by the planning pass that chose the machine.", "pass")
	s.steps = desc("steps_total", "Events that the core has taken.")
	s.gauges = []gauge{
		{desc("epoch", "Epoch of the view, and the fencing token of all commands; 0 before the first view."),
			func(t *scheduler.Status) float64 { return float64(t.Epoch) }},
		{desc("leads", "1 while this controller is the view's leader."),
			func(t *scheduler.Status) float64 { return flag(t.Leads) }},
		{desc("acts", "1 while view, lease and cache are confirmed, so that workers may be answered."),
			func(t *scheduler.Status) float64 { return flag(t.Acts) }},
		{desc("state_revision", "Revision of the state service up to which the cache has every change."),
			func(t *scheduler.Status) float64 { return float64(t.Revision) }},
		{desc("confirmed_age_seconds", "Age of the newest confirmation of view and cache; -1 before the first."),
			func(t *scheduler.Status) float64 {
				if t.Confirmed < 0 {
					return -1
				}
				return t.Confirmed.Seconds()
			}},
		{desc("machines", "Machines known to this controller."),
			func(t *scheduler.Status) float64 { return float64(t.Machines) }},
		{desc("open_jobs", "Jobs that were accepted, may start and are not over."),
			func(t *scheduler.Status) float64 { return float64(t.OpenJobs) }},
	}
}

// Describe lists what Collect gives.
func (s *statusCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range s.gauges {
		out <- g.desc
	}
	out <- s.bookings
	out <- s.steps
}

// Collect gives the numbers of the latest status; nothing before the first step.
func (s *statusCollector) Collect(out chan<- prometheus.Metric) {
	t := s.latest.Load()
	if t == nil {
		return
	}
	for _, g := range s.gauges {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(t))
	}
	for _, pass := range scheduler.PlanningPasses() {
		out <- prometheus.MustNewConstMetric(s.bookings, prometheus.CounterValue, float64(t.Work.Bookings[pass]), pass.String())
	}
	out <- prometheus.MustNewConstMetric(s.steps, prometheus.CounterValue, float64(t.Work.Events))
}
