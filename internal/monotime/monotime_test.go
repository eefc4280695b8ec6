package monotime

import (
	"testing"
	"time"
)

func TestInstant(t *testing.T) {
	var never Instant
	early, late := At(0), At(time.Second)
	if never.IsSet() || never.Time() != -1 || never.Within(time.Hour, 0) {
		t.Error("the zero instant is not never")
	}
	if !early.IsSet() || !early.Within(time.Second, 999*time.Millisecond) || early.Within(time.Second, time.Second) {
		t.Error("an instant is within an age until that age is reached")
	}
	if Latest(never, early) != early || Latest(early, never) != early || Latest(early, late) != late || Latest(late, early) != late {
		t.Error("not the later one")
	}
}

func TestDeadline(t *testing.T) {
	var g Deadline
	if !g.HasPassed(0) {
		t.Error("the zero gate is closed")
	}
	g.Set(3 * time.Second)
	if g.HasPassed(3*time.Second-1) || !g.HasPassed(3*time.Second) {
		t.Error("a gate opens at its time")
	}
	g.BringForward(5 * time.Second)
	if !g.HasPassed(3 * time.Second) {
		t.Error("advancing delayed the gate")
	}
	if g.BringForward(time.Second); !g.HasPassed(time.Second) {
		t.Error("advancing did not open the gate earlier")
	}
}
