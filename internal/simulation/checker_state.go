package simulation

import (
	"strings"

	"brassglade/internal/domain"
)

// checkReadableByPrevious (misread): until all controllers know the new format, whatever is
// written passes whole through the version before.
func (s *stateService) checkReadableByPrevious(put domain.Put) {
	_, isFormatOn := s.entries[formatKey]
	if isFormatOn || put.Value == nil || strings.HasPrefix(put.Key, formatKey) {
		return
	}
	if !asPreviousVersion(put.Key, put.Value).isLossless {
		s.cluster.violated(ruleMisread, "%s: %s", put.Key, put.Value)
	}
}
