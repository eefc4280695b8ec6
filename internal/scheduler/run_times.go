package scheduler

import (
	"math"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// recordRunTime takes a run, in seconds, into the smoothed run times of its machine, and into
// how those of its class compare with users' estimates.
func (q *queues) recordRunTime(m *Machine, spec *domain.JobSpec, seconds float64) {
	if seconds <= 0 || math.IsNaN(seconds) {
		return
	}
	m.runTime.add(seconds)
	if q.runTimeRatios[spec.Class] == nil {
		q.runTimeRatios[spec.Class] = &smoothedValue{}
	}
	q.runTimeRatios[spec.Class].add(seconds / max(spec.EstimatedRuntime, 1))
}

// smoothedValue is a value smoothed exponentially over its samples.
type smoothedValue struct {
	value   float64
	samples int
}

// add takes the next sample.
func (s *smoothedValue) add(sample float64) {
	if s.samples == 0 {
		s.value = sample
	} else {
		s.value += tuning.RunTimeSmoothing * (sample - s.value)
	}
	s.samples++
}
