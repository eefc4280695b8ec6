package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// scrape returns the metrics in the text format that Prometheus reads.
func scrape(t *testing.T, m *Recorder) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestScrape checks the exposed metrics after a few events and effects: commands are counted
// by verb and reason, commits by lane and result, and no status is exposed before the first
// step.
func TestScrape(t *testing.T) {
	m := New("c-0")
	if s := scrape(t, m); strings.Contains(s, "brassglade_epoch") {
		t.Errorf("a status is exposed before the first step: %s", s)
	}
	run := domain.Command{Kind: domain.StartTask, Reason: domain.ReasonBooked}
	halt := domain.Command{Kind: domain.StopTask, Reason: domain.ReasonPreemptionNotice}
	m.ObserveEffect(scheduler.HeartbeatReply{Status: 200, Commands: []domain.Command{run, run, halt}})
	m.ObserveEffect(scheduler.HeartbeatReply{Status: 421})
	m.ObserveEffect(scheduler.SendCommands{Commands: []domain.Command{halt}})
	m.ObserveEffect(scheduler.UserReply{Status: 201, State: "pending"})
	m.ObserveEffect(scheduler.Commit{ID: 7, Lane: scheduler.LaneTask})
	m.ObserveEffect(scheduler.Commit{ID: 8, Lane: scheduler.LaneUser})
	m.ObserveEvent(scheduler.CommitAnswered{ID: 7, Result: domain.Conflict})
	m.ObserveEvent(scheduler.CommitAnswered{ID: 7, Result: domain.Conflict}) // a repeated response must not be counted again
	m.ObserveEvent(scheduler.CommitAnswered{ID: 8, Result: domain.InDoubt})
	status := scheduler.Status{Epoch: 4, Leader: "c-0", IsLeader: true, MayAct: true, Revision: 431, ConfirmationAge: 250 * time.Millisecond, Machines: 3}
	status.Work.Bookings[scheduler.PassCached], status.Work.Events = 5, 99
	status.Waiting = map[scheduler.WaitingTasksKey]int{{Team: "red", Reason: scheduler.WaitsForGangs}: 12}
	m.SetStatus(status)
	got := scrape(t, m)
	for _, want := range []string{
		`brassglade_orders_total{member="c-0",reason="booked",verb="run"} 2`,
		`brassglade_orders_total{member="c-0",reason="recalled",verb="halt"} 2`,
		`brassglade_checkin_answers_total{member="c-0",status="200"} 1`,
		`brassglade_checkin_answers_total{member="c-0",status="421"} 1`,
		`brassglade_user_answers_total{member="c-0",state="pending",status="201"} 1`,
		`brassglade_commits_total{lane="task",member="c-0",result="conflict"} 1`,
		`brassglade_commits_total{lane="user",member="c-0",result="unknown"} 1`,
		`brassglade_epoch{member="c-0"} 4`,
		`brassglade_leads{member="c-0"} 1`,
		`brassglade_acts{member="c-0"} 1`,
		`brassglade_state_revision{member="c-0"} 431`,
		`brassglade_confirmed_age_seconds{member="c-0"} 0.25`,
		`brassglade_machines{member="c-0"} 3`,
		`brassglade_bookings_total{member="c-0",pass="cached"} 5`,
		`brassglade_bookings_total{member="c-0",pass="any"} 0`,
		`brassglade_steps_total{member="c-0"} 99`,
		`brassglade_waiting_tasks{member="c-0",reason="gangs",team="red"} 12`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("%s is missing from\n%s", want, got)
		}
	}
	if strings.Contains(got, "go_") {
		t.Error("the runtime's own metrics are exposed")
	}
}
