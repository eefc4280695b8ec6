package tuning

import "time"

// The process.
const (
	// Tick is the interval at which the scheduler runs when no event arrives. Work that is
	// due then is at most one tick late.
	Tick = 100 * time.Millisecond
	// GCPercent is by how much the heap may grow between garbage collections, in percent.
	// It trades memory, which is ample, for processor time, which is scarce.
	GCPercent = 300
	// MemoryShare is the part of the machine's memory that is set as the garbage collector's
	// soft limit. The heap may exceed it if the memory is needed.
	MemoryShare = 0.55
	// RequestTimeout ends a request that the scheduler did not answer. Workers drop answers
	// after 4 s, so that a later one would be of no use to them.
	RequestTimeout = 3500 * time.Millisecond
	// EndedJobRetention is how long the whole record of a job that is over stays in the cache.
	// Everything that was under way as the job ended is over by then.
	EndedJobRetention = time.Minute
	// DoneTimeRetention is how long the time at which a job was done is kept. The age of jobs
	// that depend on it counts from then.
	DoneTimeRetention = 10 * time.Minute
	// WaitCountInterval is the pause between counts of waiting tasks by reason, which visit all
	// open jobs. Only the metrics use them.
	WaitCountInterval = time.Second
	// Seed is the seed of random draws; the controller's name is mixed in. It is fixed, so
	// that a scenario can be reproduced.
	Seed = 1
)
