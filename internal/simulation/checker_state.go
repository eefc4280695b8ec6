package simulation

import (
	"strings"

	"brassglade/internal/domain"
)

// checkReadableByPrevious (misread) checks that the previous version can read a written value and
// write it back without loss, as long as the state service does not record that all controllers
// know the new format.
func (s *stateService) checkReadableByPrevious(put domain.Put) {
	_, isFormatOn := s.entries[formatKey]
	if isFormatOn || put.Value == nil || strings.HasPrefix(put.Key, formatKey) {
		return
	}
	if !asPreviousVersion(put.Key, put.Value).isLossless {
		s.cluster.violated(ruleMisread, "the previous version would lose a part of %s: %s", put.Key, put.Value)
	}
}
