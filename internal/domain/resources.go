package domain

// Resources is an amount of a machine in thousandths (CPUs, GPUs, GB), kept whole so
// that sums of bookings and releases come out exactly.
type Resources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// Plus returns r + k*o.
func (r Resources) Plus(o Resources, k int64) Resources {
	return Resources{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Memory + k*o.Memory}
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// CountFitting is how many of o fit into r, at most most.
func (r Resources) CountFitting(o Resources, most int64) int64 {
	n := most
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return max(n, 0)
}

// Quota of one team, in thousandths; 0 means none.
type Quota struct {
	Guarantee, Limit Resources
}
