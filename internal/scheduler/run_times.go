package scheduler

import (
	"math"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// recordRunTime adds the run time of a finished task, in seconds, to the smoothed run time of its
// machine and to the smoothed ratio of actual to estimated run times of its class. Values that are
// not positive numbers are ignored.
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

// smoothedValue is an exponentially smoothed value; the zero value has no samples.
type smoothedValue struct {
	value   float64
	samples int
}

// add adds a sample; the first one becomes the value.
func (s *smoothedValue) add(sample float64) {
	if s.samples == 0 {
		s.value = sample
	} else {
		s.value += tuning.RunTimeSmoothing * (sample - s.value)
	}
	s.samples++
}
