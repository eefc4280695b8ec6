package scheduler

import "strings"

// isForeign reports whether the value that holds the job's tasks belongs to another shard, whose
// controller writes it a few times a second. Tasks of such jobs run on machines of this shard
// after machines changed owners: hundreds of them after a zone was cut off. Only large fleets
// treat such values differently.
func (c *Controller) isForeign(j *Job) bool {
	if j.Header.Inline || placedByLeader(j.Header.Spec) || !c.isLargeFleet() {
		return false
	}
	if j.Header.Pack != "" {
		return !strings.HasPrefix(j.Header.Pack, c.cfg.Controller+"/")
	}
	return c.cache.shardOf(j) != c.cfg.Controller
}

// nextForeignValue returns the key of the next value of another shard to change, in round-robin
// order; "": none.
func (c *Controller) nextForeignValue() string {
	following, first := "", ""
	for key := range c.planner.foreignValues {
		if c.commits.isKeyAvoided(key, c.now) {
			continue
		}
		if first == "" || key < first {
			first = key
		}
		if key > c.planner.lastForeignValue && (following == "" || key < following) {
			following = key
		}
	}
	if following == "" {
		return first
	}
	return following
}
