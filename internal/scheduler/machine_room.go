package scheduler

import (
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// machineRoom is an amount of everything that bounds how many tasks a machine takes: its resources,
// and the length of its report. A report lists every task on the machine, and a request body has at
// most tuning.BodyLimit bytes: no controller could read a longer report, so that the machine would
// count as lost.
type machineRoom struct {
	resources   domain.Resources
	reportBytes int64
}

// emptyRoom returns the room on an empty machine with the given resources.
func (c *cache) emptyRoom(capacity domain.Resources) machineRoom {
	return machineRoom{capacity, c.reportBytes}
}

// reportBytes returns how many bytes of a machine's report the tasks booked there may take.
func (s *Settings) reportBytes() int64 {
	if s.DisabledGuard == GuardReportRoom {
		return 1 << 40 // only in tests, which disable the guard
	}
	return tuning.BodyLimit - tuning.ReportHeaderBytes
}

// roomForTask returns the room that one task of a job takes, whichever of its tasks it is.
func roomForTask(spec *domain.JobSpec) machineRoom {
	last := domain.TaskID{Job: spec.ID, Index: spec.TaskCount - 1}
	return machineRoom{spec.Request, maxReportBytes(last, tuning.AttemptDigits)}
}

// plus returns r + times*other. A negative times subtracts.
func (r machineRoom) plus(other machineRoom, times int64) machineRoom {
	return machineRoom{r.resources.Plus(other.resources, times), r.reportBytes + times*other.reportBytes}
}

// fits reports whether r has room for the request.
func (r machineRoom) fits(request machineRoom) bool {
	return r.resources.Fits(request.resources) && request.reportBytes <= r.reportBytes
}

// countFitting returns how many copies of a request r has room for together, from 0 to most.
func (r machineRoom) countFitting(request machineRoom, most int64) int64 {
	if request.reportBytes > 0 {
		most = min(most, r.reportBytes/request.reportBytes)
	}
	return r.resources.CountFitting(request.resources, most)
}

// shortfall returns what r lacks for a request; zero if it has room for it.
func (r machineRoom) shortfall(request machineRoom) machineRoom {
	missing := request.plus(r, -1)
	return machineRoom{
		resources: domain.Resources{
			CPU: max(missing.resources.CPU, 0), GPU: max(missing.resources.GPU, 0), Memory: max(missing.resources.Memory, 0),
		},
		reportBytes: max(missing.reportBytes, 0),
	}
}
