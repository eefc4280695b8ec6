package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// The key-value store may lower its limits without notice. All that this version
// writes fits the smaller limits from its first moment, but values written before,
// or by the version before, may be larger. These stay readable; a rewrite of one is
// refused from then on.

// valueLimit is how many bytes a value may be written with. Until a refusal shows that the
// limit fell, what is there already may be written at its size of today: jobs of
// the version before could not go on otherwise.
func (c *Controller) valueLimit() int {
	if c.formats.limitsLowered {
		return c.cfg.ValueLimit
	}
	return max(c.cfg.ValueLimit, c.cfg.CurrentValueLimit)
}

// mayShrinkValues tells whether values over the smaller bound are to be written smaller: once
// all controllers read what comes of it, or when they can't be written any more as they are.
func (c *Controller) mayShrinkValues() bool { return c.cache.isFormatOn() || c.formats.limitsLowered }

// recordRefusal learns from a refused transaction that the limits fell.
func (c *Controller) recordRefusal(refused domain.Transaction) {
	for _, put := range refused.Puts {
		if len(put.Value) <= c.cfg.ValueLimit {
			continue
		}
		c.Work.TooLarge++
		c.info("value refused as too large", "key", put.Key, "bytes", len(put.Value), "count", c.Work.TooLarge)
		if !c.formats.limitsLowered {
			c.formats.limitsLowered = true
			c.info("the state service's limits fell", "value_bytes", c.cfg.ValueLimit)
		}
	}
}

// recordSize keeps the size of a value, and the set of those that are larger than they may be
// soon: over the limit, in bytes.
func (c *cache) recordSize(key string, bytes, limit int) {
	c.valueSizes[key] = bytes
	if bytes > limit {
		c.oversized[key] = true
	} else {
		delete(c.oversized, key)
	}
}

// chunkOf makes the value of some jobs' tasks, by job, in the form that all controllers read.
func (c *cache) chunkOf(tasksByJob map[string][]domain.Task) *codec.ChunkValue {
	return codec.NewChunkValue(tasksByJob, c.isFormatOn())
}

// textBytes is what a job's tasks take in a value.
func (c *cache) textBytes(j *Job) int {
	if j.Tasks == nil {
		return 0
	}
	return len(c.chunkOf(map[string][]domain.Task{j.ID: j.Tasks}).Texts[j.ID])
}

// isOversized tells whether a value can't be written again as it is: it is too large,
// and would be without the texts of jobs that moved or ended, too.
func (c *Controller) isOversized(key string) bool {
	if !c.cache.oversized[key] || !c.mayShrinkValues() {
		return false
	}
	kind, pack := codec.ParseKey(key)
	if kind != codec.KindPack {
		return true
	}
	live := map[string][]domain.Task{}
	for id, j := range c.cache.jobsByPack[pack] {
		if j.Tasks != nil {
			live[id] = j.Tasks
		}
	}
	return len(codec.Encode(c.cache.chunkOf(live))) > c.cfg.ValueLimit-tuning.PackSlack
}

// encodeWindow leaves out loads evenly until a window's record fits its value: the
// critic's features hardly change with a sample.
func (c *Controller) encodeWindow(record codec.WindowRecord) []byte {
	value := codec.Encode(record)
	for len(value) > c.cfg.ValueLimit && len(record.Loads) > 0 {
		step := max(2, int(math.Ceil(float64(len(value))/float64(c.cfg.ValueLimit))))
		var kept []float64
		for i := 0; i < len(record.Loads); i += step {
			kept = append(kept, record.Loads[i])
		}
		record.Loads = kept
		value = codec.Encode(record)
	}
	return value
}

// shortenHeader shortens what users chose freely in a header of the version before, which
// had no bound for it: the class and the image serve as names here, and of the
// types only those that exist count.
func (c *Controller) shortenHeader(header *codec.JobHeader) {
	if header.Spec == nil || !c.mayShrinkValues() || !hasLongNames(header.Spec) {
		return
	}
	spec := *header.Spec
	spec.MachineTypes = c.cache.existingTypes(spec.MachineTypes)
	spec.Class = spec.Class[:min(len(spec.Class), tuning.NameBytes)]
	spec.Image = spec.Image[:min(len(spec.Image), tuning.NameBytes)]
	header.Spec = &spec
}

// hasLongNames tells whether a job's description has a name or list that fitHeader may shorten.
func hasLongNames(spec *domain.JobSpec) bool {
	return len(spec.MachineTypes) >= tuning.ManyMachineTypes || len(spec.Class) > tuning.NameBytes || len(spec.Image) > tuning.NameBytes
}

// existingTypes are those of a long list that exist; of none of them, one that doesn't,
// since an empty list would allow all.
func (c *cache) existingTypes(names []string) []string {
	if len(names) < tuning.ManyMachineTypes || len(c.machineTypes) == 0 {
		return names
	}
	var known []string
	for _, name := range names {
		if c.machineType(name) != nil && !slices.Contains(known, name) {
			known = append(known, name)
		}
	}
	if known == nil {
		return names[:1]
	}
	return known
}
