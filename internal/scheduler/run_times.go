package scheduler

import (
	"math"

	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// recordRunTime keeps smoothed run times per machine, class and type.
func (q *queues) recordRunTime(m *Machine, sp *domain.JobSpec, run float64) {
	if run <= 0 || math.IsNaN(run) {
		return
	}
	m.runTime.add(run)
	if q.runTimeRatios[sp.Class] == nil {
		q.runTimeRatios[sp.Class] = &smoothedValue{}
	}
	q.runTimeRatios[sp.Class].add(run / max(sp.EstimatedRuntime, 1))
}

// smoothedValue is a smoothed value.
type smoothedValue struct {
	value   float64
	samples int
}

func (r *smoothedValue) add(x float64) {
	if r.samples == 0 {
		r.value = x
	} else {
		r.value += tuning.RateSmooth * (x - r.value)
	}
	r.samples++
}
