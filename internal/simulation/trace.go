package simulation

import (
	"fmt"
	"strings"
)

// log adds a line to the trace, with the virtual time in seconds.
func (c *Cluster) log(format string, args ...any) {
	c.Trace = append(c.Trace, fmt.Sprintf("%7.2f ", c.Now.Seconds())+fmt.Sprintf(format, args...))
}

// TaskStarts returns the number of task starts in the trace.
func (c *Cluster) TaskStarts() int {
	n := 0
	for _, line := range c.Trace {
		if strings.Contains(line, " runs on ") {
			n++
		}
	}
	return n
}
