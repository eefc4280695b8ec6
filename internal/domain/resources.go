package domain

// Resources is an amount of a machine in thousandths (CPUs, GPUs, GB), kept whole so
// that sums of bookings and releases come out exactly.
type Resources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// Plus returns r and times as much of other; a negative number takes away.
func (r Resources) Plus(other Resources, times int64) Resources {
	return Resources{r.CPU + times*other.CPU, r.GPU + times*other.GPU, r.Memory + times*other.Memory}
}

// Fits tells whether a request fits into r.
func (r Resources) Fits(request Resources) bool {
	return request.CPU <= r.CPU && request.GPU <= r.GPU && request.Memory <= r.Memory
}

// CountFitting is how many of a request fit into r together, from 0 to most.
func (r Resources) CountFitting(request Resources, most int64) int64 {
	count := most
	for _, pair := range [3]struct{ room, request int64 }{{r.CPU, request.CPU}, {r.GPU, request.GPU}, {r.Memory, request.Memory}} {
		if pair.request > 0 {
			count = min(count, pair.room/pair.request)
		}
	}
	return max(count, 0)
}

// Quota of one team: what it is guaranteed and what it may use at most. Zero means none.
type Quota struct {
	Guarantee, Limit Resources
}
