package main

import (
	"testing"

	"brassglade/review/script"
)

// TestReviewCase5 runs the case's script.
func TestReviewCase5(t *testing.T) { script.Run(t) }
