// Package monotime has points of a controller's steady time, which is the time since its
// process began and never goes back.
package monotime

import "time"

// Instant is a point of steady time, or never, which is its zero value.
type Instant struct {
	at  time.Duration
	set bool
}

// At is the instant at steady time t.
func At(t time.Duration) Instant { return Instant{at: t, set: true} }

// IsSet tells whether the instant is not never.
func (i Instant) IsSet() bool { return i.set }

// Time is the instant's steady time, or -1 for never.
func (i Instant) Time() time.Duration {
	if !i.set {
		return -1
	}
	return i.at
}

// Within tells whether the instant is less than age before now; never is not.
func (i Instant) Within(age, now time.Duration) bool { return i.set && now-i.at < age }

// Latest is the later of two instants; any is later than never.
func Latest(i, k Instant) Instant {
	if !k.set || i.set && i.at >= k.at {
		return i
	}
	return k
}

// Deadline keeps something from being done before a time. The zero Deadline is open.
type Deadline struct {
	at time.Duration
}

// HasPassed tells whether it may be done now.
func (g Deadline) HasPassed(now time.Duration) bool { return now >= g.at }

// Set keeps it from being done before steady time t.
func (g *Deadline) Set(t time.Duration) { g.at = t }

// BringForward opens the gate at steady time t unless it opens earlier.
func (g *Deadline) BringForward(t time.Duration) { g.at = min(g.at, t) }
