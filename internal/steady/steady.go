// Package steady has points of a controller's steady time, which is the time since its
// process began and never goes back.
package steady

import "time"

// Instant is a point of steady time, or never, which is its zero value.
type Instant struct {
	at    time.Duration
	known bool
}

// At is the instant at steady time t.
func At(t time.Duration) Instant { return Instant{at: t, known: true} }

// IsKnown tells whether the instant is not never.
func (i Instant) IsKnown() bool { return i.known }

// Time is the instant's steady time, or -1 for never.
func (i Instant) Time() time.Duration {
	if !i.known {
		return -1
	}
	return i.at
}

// Within tells whether the instant is less than age before now; never is not.
func (i Instant) Within(age, now time.Duration) bool { return i.known && now-i.at < age }

// Latest is the later of two instants; any is later than never.
func Latest(i, k Instant) Instant {
	if !k.known || i.known && i.at >= k.at {
		return i
	}
	return k
}

// Gate keeps something from being done before a time. The zero Gate is open.
type Gate struct {
	opens time.Duration
}

// IsOpen tells whether it may be done now.
func (g Gate) IsOpen(now time.Duration) bool { return now >= g.opens }

// Close keeps it from being done before steady time t.
func (g *Gate) Close(t time.Duration) { g.opens = t }

// Advance opens the gate at steady time t unless it opens earlier.
func (g *Gate) Advance(t time.Duration) { g.opens = min(g.opens, t) }
