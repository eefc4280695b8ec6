package tuning

import "time"

// The process.
const (
	// Tick is the interval at which the scheduler is driven when no event comes; what is due
	// then is at most one tick late.
	Tick = 100 * time.Millisecond
	// GCPercent is by how much the heap may grow between garbage collections, in percent.
	// It trades memory, which is ample, for processor time, which isn't.
	GCPercent = 300
	// MemoryShare is the part of the machine's memory that is the garbage collector's soft
	// limit, which is passed where the memory is needed all the same.
	MemoryShare = 0.55
	// RequestTimeout ends a request that the scheduler did not reply to. Workers drop
	// answers after 4 s, so that nothing later is of use to them.
	RequestTimeout = 3500 * time.Millisecond
	// WaitCountInterval is the pause between counts of waiting tasks by reason, which walk all
	// open jobs. Only the metrics ask for them.
	WaitCountInterval = time.Second
	// Seed is that of random draws; the controller's name is mixed in. It is fixed, so that
	// a day can be played again.
	Seed = 1
)
