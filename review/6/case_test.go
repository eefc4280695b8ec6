package main

import (
	"testing"

	"brassglade/review/script"
)

// TestReviewCase6 runs the case's script.
func TestReviewCase6(t *testing.T) { script.Run(t) }
