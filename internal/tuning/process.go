package tuning

import "time"

// Process.
const (
	// GCPercent trades memory, which is ample, for collector time, which isn't.
	GCPercent = 300
	// RequestTimeout ends a request that the loop did not answer; workers drop
	// answers after 4 s, so nothing later is of use to them.
	RequestTimeout = 3500 * time.Millisecond
)

// Seed of the draws; the node's name is mixed in. Fixed, so that a day can be
// played again.
const Seed = 1
