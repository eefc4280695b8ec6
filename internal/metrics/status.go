package metrics

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"brassglade/internal/scheduler"
)

// statusCollector exposes the scheduler's latest status. Prometheus' handler calls it from other
// goroutines than the one that sets the status.
type statusCollector struct {
	latest   atomic.Pointer[scheduler.Status] // nil before the first step
	gauges   []gauge
	bookings *prometheus.Desc
	steps    *prometheus.Desc
	waiting  *prometheus.Desc
}

// gauge is a metric whose value is computed from the status.
type gauge struct {
	desc  *prometheus.Desc
	value func(*scheduler.Status) float64
}

// defineMetrics creates the descriptions of the exposed metrics. It must be called before the
// collector is registered.
func (s *statusCollector) defineMetrics(labels prometheus.Labels) {
	desc := func(name, help string, labelNames ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labelNames, labels)
	}
	s.bookings = desc("bookings_total", "Committed bookings of tasks, by the planning pass that chose the machine.", "pass")
	s.steps = desc("steps_total", "Events that the scheduler has processed.")
	s.waiting = desc("waiting_tasks", "Waiting tasks that this controller places, by team and by the reason why they can't start.", "team", "reason")
	s.gauges = []gauge{
		{desc("epoch", "Epoch of the view, and the fencing token of all commands; 0 before the first view."),
			func(s *scheduler.Status) float64 { return float64(s.Epoch) }},
		{desc("leads", "1 while this controller is the view's leader."),
			func(s *scheduler.Status) float64 { return boolValue(s.IsLeader) }},
		{desc("acts", "1 while view, lease and cache are confirmed, so that this controller may give commands to workers."),
			func(s *scheduler.Status) float64 { return boolValue(s.MayAct) }},
		{desc("state_revision", "Revision of the state service up to which the cache has all changes."),
			func(s *scheduler.Status) float64 { return float64(s.Revision) }},
		{desc("confirmed_age_seconds", "Age of the newest confirmation of view and cache; -1 before the first."),
			confirmedAge},
		{desc("machines", "Machines known to this controller."),
			func(s *scheduler.Status) float64 { return float64(s.Machines) }},
		{desc("open_jobs", "Accepted jobs that may start and have not ended."),
			func(s *scheduler.Status) float64 { return float64(s.OpenJobs) }},
	}
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// confirmedAge returns the age of the newest confirmation in seconds; -1: not confirmed yet.
func confirmedAge(s *scheduler.Status) float64 {
	if s.ConfirmationAge < 0 {
		return -1
	}
	return s.ConfirmationAge.Seconds()
}

// Describe sends the descriptions of all metrics that Collect sends.
func (s *statusCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range s.gauges {
		out <- g.desc
	}
	out <- s.bookings
	out <- s.steps
	out <- s.waiting
}

// Collect sends the metrics of the latest status; none before the first step.
func (s *statusCollector) Collect(out chan<- prometheus.Metric) {
	status := s.latest.Load()
	if status == nil {
		return
	}
	for _, g := range s.gauges {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(status))
	}
	for _, pass := range scheduler.PlanningPasses() {
		out <- prometheus.MustNewConstMetric(s.bookings, prometheus.CounterValue, float64(status.Work.Bookings[pass]), pass.String())
	}
	out <- prometheus.MustNewConstMetric(s.steps, prometheus.CounterValue, float64(status.Work.Events))
	for key, count := range status.Waiting {
		out <- prometheus.MustNewConstMetric(s.waiting, prometheus.GaugeValue, float64(count), key.Team, key.Reason.String())
	}
}
