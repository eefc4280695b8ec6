package scheduler

import "time"

// wallMS returns the current wall-clock time in ms. It dates jobs, so that their order and age are
// known after a restart. No safety rule depends on it.
func (c *Controller) wallMS() int64 { return c.cfg.WallClockMS + c.now.Milliseconds() }

// monotonicTime converts a wall-clock time in ms to this controller's monotonic time in ns.
func (c *Controller) monotonicTime(wallMS int64) int64 {
	return int64(time.Duration(wallMS-c.cfg.WallClockMS) * time.Millisecond)
}
