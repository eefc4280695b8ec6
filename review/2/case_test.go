package main

import (
	"testing"

	"brassglade/review/script"
)

// TestReviewCase2 runs the case's script.
func TestReviewCase2(t *testing.T) { script.Run(t) }
