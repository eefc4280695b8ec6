package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassglade/internal/core"
)

// scrape returns what Prometheus would read.
func scrape(m *Controller) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestScrape: every count tells what was done and why it was allowed.
func TestScrape(t *testing.T) {
	m := New("c-0")
	if s := scrape(m); strings.Contains(s, "brassglade_epoch") {
		t.Errorf("a status before the first step: %s", s)
	}
	run := core.Command{Kind: core.StartTask, Reason: core.ReasonBooked}
	halt := core.Command{Kind: core.StopTask, Reason: core.ReasonPreemptionNotice}
	m.Effect(core.HeartbeatReply{Status: 200, Commands: []core.Command{run, run, halt}})
	m.Effect(core.HeartbeatReply{Status: 421})
	m.Effect(core.SendCommands{Commands: []core.Command{halt}})
	m.Effect(core.UserReply{Status: 201, State: "pending"})
	m.Effect(core.Commit{ID: 7, Lane: core.LaneTask})
	m.Effect(core.Commit{ID: 8, Lane: core.LaneUser})
	m.Event(core.CommitAnswered{ID: 7, Result: core.Conflict})
	m.Event(core.CommitAnswered{ID: 7, Result: core.Conflict}) // a repeat is no second commit
	m.Event(core.CommitAnswered{ID: 8, Result: core.InDoubt})
	status := core.Status{Epoch: 4, Leader: "c-0", Leads: true, Acts: true, Revision: 431, Confirmed: 250 * time.Millisecond, Machines: 3}
	status.Work.Bookings[core.PassCached], status.Work.Events = 5, 99
	m.Status(status)
	got := scrape(m)
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
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("%s is missing from\n%s", want, got)
		}
	}
	if strings.Contains(got, "go_") {
		t.Error("the runtime's own metrics are exposed")
	}
}
