package scheduler

import (
	"strings"

	"brassglade/internal/codec"
)

// Storage of the IDs of the jobs that a job depends on. Only jobs that are not done need to be
// named. Most submissions name a few, which are stored in the header. A longer list is stored
// in pieces under keys of its own, which are written before the header, so that a header never
// refers to a list that does not exist.

// applyDependencyPiece puts a piece of a dependency list into the cache, and links the job if
// this was the last missing piece. The job's header usually comes later.
func (c *Controller) applyDependencyPiece(key string, value []byte) {
	text, err := codec.Decode[string](value)
	if value == nil || err != nil {
		delete(c.cache.dependencyPieces, key)
		return
	}
	c.cache.dependencyPieces[key] = *text
	id, _, _ := strings.Cut(key[len(codec.PrefixDependencies):], "/")
	j := c.cache.jobs[id]
	if j == nil || j.missingPieces == 0 || j.Header.Spec == nil {
		return
	}
	if c.cache.countMissingPieces(j); j.missingPieces > 0 {
		return
	}
	c.resolveDependencyPieces(j)
	c.propagateUrgency(j)
	c.updatePhases(j)
}

// countMissingPieces counts the pieces of a job's dependency list that the cache lacks.
func (c *cache) countMissingPieces(j *Job) {
	j.missingPieces = 0
	for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
		if _, ok := c.dependencyPieces[codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)]; !ok {
			j.missingPieces++
		}
	}
}

// resolveDependencyPieces links a job with all jobs that its dependency list names and drops the
// pieces from the cache, which must have all of them.
func (c *Controller) resolveDependencyPieces(j *Job) {
	for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
		c.resolveDependencyPiece(j, k)
	}
}

// resolveDependencyPiece links a job with the jobs named in the k-th piece of its list and drops
// the piece from the cache.
func (c *Controller) resolveDependencyPiece(j *Job, k int) {
	key := codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)
	ids := codec.ParseJobNames(c.cache.dependencyPieces[key])
	delete(c.cache.dependencyPieces, key)
	j.Header.Spec.Dependencies = append(j.Header.Spec.Dependencies, ids...)
	c.addDependencies(j, ids)
}
