package scheduler

import (
	"strings"

	"brassglade/internal/codec"
)

// How the names of the jobs that a job depends on are kept. Only those that are not done
// need to be named; most submissions name a few, which lie in the header. Longer lists lie
// in pieces beside it, written before it under a name of their own, so that a header never
// refers to a list that is not there.

// applyDependencyPiece takes a piece of a list. Its header mostly comes later.
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

// countMissingPieces counts the pieces of a job's list that are not here yet.
func (c *cache) countMissingPieces(j *Job) {
	j.missingPieces = 0
	for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
		if _, ok := c.dependencyPieces[codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)]; !ok {
			j.missingPieces++
		}
	}
}

// resolveDependencyPieces joins a job to all that its list names. The pieces are all here, and
// are forgotten.
func (c *Controller) resolveDependencyPieces(j *Job) {
	for k := 0; k < j.Header.Spec.DependencyListPieces; k++ {
		c.resolveDependencyPiece(j, k)
	}
}

// resolveDependencyPiece joins a job to those that the k-th piece of its list names.
func (c *Controller) resolveDependencyPiece(j *Job, k int) {
	key := codec.KeyDependencyPiece(j.ID, j.Header.Spec.DependencyListName, k)
	ids := codec.ParseNames(c.cache.dependencyPieces[key])
	delete(c.cache.dependencyPieces, key)
	j.Header.Spec.Dependencies = append(j.Header.Spec.Dependencies, ids...)
	c.addDependencies(j, ids)
}
