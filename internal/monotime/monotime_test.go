package monotime

import (
	"testing"
	"time"
)

func TestInstant(t *testing.T) {
	var unset Instant
	early, late := At(0), At(time.Second)
	if unset.IsSet() || unset.Time() != -1 || unset.Within(time.Hour, 0) {
		t.Error("the zero instant is not unset")
	}
	if !early.IsSet() || !early.Within(time.Second, 999*time.Millisecond) || early.Within(time.Second, time.Second) {
		t.Error("an instant must be within an age exactly until that age is reached")
	}
	if Latest(unset, early) != early || Latest(early, unset) != early || Latest(early, late) != late || Latest(late, early) != late {
		t.Error("Latest did not return the later instant")
	}
}

func TestDeadline(t *testing.T) {
	var d Deadline
	if !d.HasPassed(0) {
		t.Error("the zero deadline has not passed")
	}
	d.Set(3 * time.Second)
	if d.HasPassed(3*time.Second-1) || !d.HasPassed(3*time.Second) {
		t.Error("a deadline must pass exactly at its time")
	}
	d.BringForward(5 * time.Second)
	if !d.HasPassed(3 * time.Second) {
		t.Error("BringForward made the deadline later")
	}
	if d.BringForward(time.Second); !d.HasPassed(time.Second) {
		t.Error("BringForward did not make the deadline earlier")
	}
}
