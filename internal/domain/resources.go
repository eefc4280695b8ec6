package domain

// Resources is an amount of CPUs, GPUs and memory (GB), each counted in whole thousandths so that
// sums of bookings and releases are exact.
type Resources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// Plus returns r + times*other. A negative times subtracts.
func (r Resources) Plus(other Resources, times int64) Resources {
	return Resources{r.CPU + times*other.CPU, r.GPU + times*other.GPU, r.Memory + times*other.Memory}
}

// Fits reports whether a request fits into r.
func (r Resources) Fits(request Resources) bool {
	return request.CPU <= r.CPU && request.GPU <= r.GPU && request.Memory <= r.Memory
}

// CountFitting returns how many copies of a request fit into r together, from 0 to most.
func (r Resources) CountFitting(request Resources, most int64) int64 {
	count := most
	for _, pair := range [3]struct{ room, request int64 }{{r.CPU, request.CPU}, {r.GPU, request.GPU}, {r.Memory, request.Memory}} {
		if pair.request > 0 {
			count = min(count, pair.room/pair.request)
		}
	}
	return max(count, 0)
}

// Quota holds the resources that a team is guaranteed and the limit of what it may use. For each kind
// of resource, 0 means no guarantee or no limit.
type Quota struct {
	Guarantee, Limit Resources
}
