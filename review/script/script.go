// Package script calls the scripts of the review's cases from Go tests.
package script

import (
	"errors"
	"os/exec"
	"testing"
)

// Run runs the script of the case in whose folder the test runs. The test fails where the script
// ends with status 1, and is skipped where the case couldn't run.
func Run(t *testing.T) {
	t.Helper()
	out, err := exec.Command("./run.sh").CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("the rule was broken:\n%s", out)
	default:
		t.Skipf("the case couldn't run: %v\n%s", err, out)
	}
}
