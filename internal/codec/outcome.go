package codec

import (
	"brassglade/internal/domain"
	"brassglade/internal/finaljobs"
)

// OutcomeOf returns the outcome that a job's header, as stored, is reduced to once the job is over
// and none of its tasks is booked any more. It returns false for other headers.
func OutcomeOf(value []byte) (finaljobs.Outcome, bool) {
	header, err := Decode[JobHeader](value)
	if err != nil || header.Spec != nil || header.State != domain.StateDone && header.State != domain.StateCancelled {
		return finaljobs.Outcome{}, false
	}
	return finaljobs.Outcome{State: header.State, TaskCount: header.TaskCount, DoneAtMS: header.DoneAtMS}, true
}
