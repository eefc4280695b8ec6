package simulation

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden traces")

// TestGoldenTraces plays the script of each file in testdata and compares the trace with the
// golden trace below the script. The comment in each file says what the scenario shows.
func TestGoldenTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) < 8 {
		t.Fatalf("found %d golden traces, want at least 8: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			expectGoldenTrace(t, file)
		})
	}
}

// expectGoldenTrace plays the script of a file and compares the traces. With -update it writes
// the new trace to the file instead.
func expectGoldenTrace(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	script, want, _ := strings.Cut(string(text), "\n----\n")
	c := mustPlay(t, script)
	expectCleanRun(t, c, "%s", file)
	got := strings.Join(c.Trace, "\n") + "\n"
	if *update {
		if err := os.WriteFile(file, []byte(script+"\n----\n"+got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != want {
		t.Fatal(firstDifference(strings.Split(got, "\n"), strings.Split(want, "\n")))
	}
}

// firstDifference describes the first line at which two traces differ.
func firstDifference(got, want []string) string {
	for i := range got {
		if i >= len(want) || got[i] != want[i] {
			return fmt.Sprintf("trace differs at line %d:\n got %q\nwant %q", i+1, got[i], append(want, "(end)")[min(i, len(want))])
		}
	}
	return fmt.Sprintf("trace ends after %d of %d lines", len(got), len(want))
}

// TestSameSeedGivesSameTrace plays a random scenario twice and requires the same trace, so that
// every failure can be repeated by its seed.
func TestSameSeedGivesSameTrace(t *testing.T) {
	first, second := mustPlay(t, randomScenario(3, "")), mustPlay(t, randomScenario(3, ""))
	if strings.Join(first.Trace, "\n") != strings.Join(second.Trace, "\n") {
		t.Error("two runs of the same scenario gave different traces")
	}
}
