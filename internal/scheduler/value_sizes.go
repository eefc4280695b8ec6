package scheduler

import (
	"math"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// The key-value store may lower its limits without notice. All that this version writes is within
// the lower limits from the start, but values written earlier, or by the previous version, may be
// larger. These stay readable, but rewriting one at its size is refused once the limits are
// lower.

// valueLimit returns the greatest size, in bytes, with which a value may be written. Until a
// refusal shows that the limit was lowered, existing values may be written at their present size;
// jobs of the previous version could not continue otherwise.
func (c *Controller) valueLimit() int {
	if c.formats.limitsLowered {
		return c.cfg.ValueLimit
	}
	return max(c.cfg.ValueLimit, c.cfg.CurrentValueLimit)
}

// mayShrinkValues reports whether values over the lower limit may be made smaller: once all
// controllers can read the result, or if the values can't be written at their present size any
// more.
func (c *Controller) mayShrinkValues() bool { return c.cache.isFormatOn() || c.formats.limitsLowered }

// recordRefusal counts the values of a refused transaction that are over the lower limit. Such a
// refusal shows that the limits were lowered.
func (c *Controller) recordRefusal(refused domain.Transaction) {
	for _, put := range refused.Puts {
		if len(put.Value) <= c.cfg.ValueLimit {
			continue
		}
		c.Work.TooLarge++
		c.info("value refused as too large", "key", put.Key, "bytes", len(put.Value), "count", c.Work.TooLarge)
		if !c.formats.limitsLowered {
			c.formats.limitsLowered = true
			c.info("state service limits lowered", "value_bytes", c.cfg.ValueLimit)
		}
	}
}

// recordSize records the size of a value, in bytes, and whether it is over the limit.
func (c *cache) recordSize(key string, bytes, limit int) {
	c.valueSizes[key] = bytes
	if bytes > limit {
		c.oversized[key] = true
	} else {
		delete(c.oversized, key)
	}
}

// chunkOf returns a value with the tasks of some jobs, given by job, in the format that all
// controllers read.
func (c *cache) chunkOf(tasksByJob map[string][]domain.Task) *codec.ChunkValue {
	return codec.NewChunkValue(tasksByJob, c.isFormatOn())
}

// textBytes returns the length of the text of a job's tasks in a value.
func (c *cache) textBytes(j *Job) int {
	if j.Tasks == nil {
		return 0
	}
	return len(c.chunkOf(map[string][]domain.Task{j.ID: j.Tasks}).Texts[j.ID])
}

// mustShrinkValue reports whether a value has to be made smaller before it can be written: it is
// too large, and would be so even without the texts of jobs that moved or ended. It returns false
// while mayShrinkValues does.
func (c *Controller) mustShrinkValue(key string) bool {
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

// encodeWindow encodes a learning window's record. It leaves out loads at even intervals until
// the record fits a value: the features of the critic hardly change if they are computed from a
// sample.
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

// shortenHeader shortens what users chose freely in a header of the previous version, which had
// no limit for it. The class and the image are used only as names here, and of the machine types
// only those that exist matter.
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

// hasLongNames reports whether a job's spec has a name or list that shortenHeader may shorten.
func hasLongNames(spec *domain.JobSpec) bool {
	return isLongList(spec.MachineTypes) || len(spec.Class) > tuning.NameBytes || len(spec.Image) > tuning.NameBytes
}

// isLongList reports whether a list of machine types is too long for a header to contain all of it.
func isLongList(names []string) bool {
	bytes := 0
	for _, name := range names {
		bytes += len(name)
	}
	return len(names) >= tuning.ManyMachineTypes || bytes > tuning.MachineTypesBytes
}

// existingTypes returns the machine types of a long list that exist. If none of them does, it
// returns the first one, since an empty list would allow all types. A short list is returned as
// it is.
func (c *cache) existingTypes(names []string) []string {
	if !isLongList(names) || len(c.machineTypes) == 0 {
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
