package simulation

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the kept traces anew")

// TestGoldenTraces plays each script in testdata and compares what happened with
// the trace kept below it. The traces are for reading: each tells one story.
func TestGoldenTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) < 8 {
		t.Fatalf("kept traces: %d, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			expectGoldenTrace(t, file)
		})
	}
}

// expectGoldenTrace plays the script of a file; with -update it writes its trace.
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

// firstDifference says where two traces part.
func firstDifference(got, want []string) string {
	for i := range got {
		if i >= len(want) || got[i] != want[i] {
			return fmt.Sprintf("trace differs at line %d:\n got %q\nwant %q", i+1, got[i], append(want, "(end)")[min(i, len(want))])
		}
	}
	return fmt.Sprintf("trace ends early, after %d of %d lines", len(got), len(want))
}

// TestSameSeedGivesSameTrace: a day plays the same way each time.
func TestSameSeedGivesSameTrace(t *testing.T) {
	first, second := mustPlay(t, randomScenario(3, "")), mustPlay(t, randomScenario(3, ""))
	if strings.Join(first.Trace, "\n") != strings.Join(second.Trace, "\n") {
		t.Error("two plays of one day differ")
	}
}
