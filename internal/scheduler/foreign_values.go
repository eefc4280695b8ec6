package scheduler

import "strings"

// isForeign tells whether the value that holds the job's tasks belongs to another shard,
// which writes it a few times a second. Tasks of such a job run on machines of this shard
// after their owners changed: when a zone was cut off, by the hundred.
func (c *Controller) isForeign(j *Job) bool {
	if j.Header.Inline || placedByLeader(j.Header.Spec) || !c.isLargeFleet() {
		return false
	}
	if j.Header.Pack != "" {
		return !strings.HasPrefix(j.Header.Pack, c.cfg.Controller+"/")
	}
	return c.cache.shardOf(j) != c.cfg.Controller
}

// nextForeignValue is the other shard's value to be changed next, in turn; "": none.
func (c *Controller) nextForeignValue() string {
	next, first := "", ""
	for key := range c.planner.foreignValues {
		if c.commits.isKeyAvoided(key, c.now) {
			continue
		}
		if first == "" || key < first {
			first = key
		}
		if key > c.planner.lastForeignValue && (next == "" || key < next) {
			next = key
		}
	}
	if next == "" {
		return first
	}
	return next
}
