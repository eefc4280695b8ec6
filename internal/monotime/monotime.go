// Package monotime provides points in a controller's monotonic time and deadlines on it.
// Monotonic time is measured from the start of the controller's process and never goes
// backwards.
package monotime

import "time"

// Instant is a point in monotonic time, or unset, which is its zero value.
type Instant struct {
	at  time.Duration
	set bool
}

// At returns the instant at monotonic time t.
func At(t time.Duration) Instant { return Instant{at: t, set: true} }

// IsSet reports whether the instant is set.
func (i Instant) IsSet() bool { return i.set }

// Time returns the monotonic time of the instant, or -1 if it is unset.
func (i Instant) Time() time.Duration {
	if !i.set {
		return -1
	}
	return i.at
}

// Within reports whether the instant is set and less than age before now.
func (i Instant) Within(age, now time.Duration) bool { return i.set && now-i.at < age }

// Latest returns the later of two instants; any set instant is later than an unset one.
func Latest(i, k Instant) Instant {
	if !k.set || i.set && i.at >= k.at {
		return i
	}
	return k
}

// Deadline is the monotonic time before which something must not be done. The zero value is a
// deadline that has passed.
type Deadline struct {
	at time.Duration
}

// HasPassed reports whether the deadline has passed at monotonic time now.
func (d Deadline) HasPassed(now time.Duration) bool { return now >= d.at }

// Set moves the deadline to monotonic time t.
func (d *Deadline) Set(t time.Duration) { d.at = t }

// BringForward moves the deadline to monotonic time t if t is earlier.
func (d *Deadline) BringForward(t time.Duration) { d.at = min(d.at, t) }
