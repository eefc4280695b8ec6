package scheduler

import "time"

// wallMS is the time of day now, in ms. It dates jobs for orders and ages after a
// restart, never for anything that a rule depends on.
func (c *Controller) wallMS() int64 { return c.cfg.WallClockMS + c.now.Milliseconds() }

// monotonicTime turns a time of day, in ms, into this controller's steady time, in ns.
func (c *Controller) monotonicTime(wallMS int64) int64 {
	return int64(time.Duration(wallMS-c.cfg.WallClockMS) * time.Millisecond)
}
