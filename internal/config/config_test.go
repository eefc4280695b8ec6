package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brassglade/internal/tuning"
)

const validSettings = `{"member":"c-0","domain":"a","serve_on":"10.0.0.1:8080","back":"10.0.0.1:8081",
"members":[{"member":"c-1","domain":"b","address":"10.0.0.2:8081"}],"external":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"params":{"zones":["a","b"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],"new":1,
"objectives":[{"kind":"wait","class":"x","within_s":20,"share":0.8},{"kind":"deadline","class":"y","share":0.9,"times":1.5}],
"workers":{"report_s":3,"lease_s":31,"gang_wait_s":40,"gang_peer_s":6,"cancel_s":56},
"state":{"rps":100,"write_rps":25,"value_kb":8,"txn_ops":20},"cloud":{"rps":4,"list_lag_s":6},
"machine_limits":{"cpu":0.12,"ram_mb":234,"max_connections":3000},"skew_ms":25}}`

func TestSchedulerSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	c := s.SchedulerSettings(nil, 1)
	if len(c.Nodes) != 2 || c.Teams["t"].Limit.GPU != 8000 || c.StartWithin["x"] != 20 || len(c.DeadlineMultiples) != 1 || c.ValueLimit != 8192 {
		t.Errorf("scheduler settings %+v", c)
	}
	if c.FenceAge.Seconds()+c.WorkerLease.Seconds() >= c.CancelWithin.Seconds() {
		t.Errorf("fence %v and lease %v don't fit into %v", c.FenceAge, c.WorkerLease, c.CancelWithin)
	}
}

// TestAllInvalidFieldsAreReported: every fault is told by its field, all at once.
func TestAllInvalidFieldsAreReported(t *testing.T) {
	bad := strings.NewReplacer(`"member":"c-0",`, ``, `"10.0.0.1:8081"`, `"nowhere"`, `"lease_s":31`, `"lease_s":-1`, `"txn_ops":20`, `"txn_ops":1`).Replace(validSettings)
	_, err := Parse([]byte(bad))
	if err == nil {
		t.Fatal("taken")
	}
	for _, f := range []string{"Member", "Back", "LeaseS", "TxnOps"} {
		if !strings.Contains(err.Error(), f) {
			t.Errorf("%s is not named in %q", f, err)
		}
	}
	// A cancellation must fit fence and lease.
	if _, err := Parse([]byte(strings.Replace(validSettings, `"cancel_s":56`, `"cancel_s":32`, 1))); err == nil || !strings.Contains(err.Error(), "cancel_s") {
		t.Errorf("short cancel_s: %v", err)
	}
}

// TestValidationMessages: what the check command prints is known to operators; the Go names behind
// it may change.
func TestValidationMessages(t *testing.T) {
	for name, x := range map[string]struct{ from, to, want string }{
		"rule":               {`"lease_s":31`, `"lease_s":-1`, `Params.Workers.LeaseS: "-1" breaks rule gt 0`},
		"rule in a list":     {`"gpus_max":8`, `"gpus_max":-8`, `Params.Teams[0].GpusMax: "-8" breaks rule gte 0`},
		"missing":            {`"member":"c-1",`, ``, `Members[0].Member: "" breaks rule required `},
		"type":               {`"domain":"a"`, `"domain":7`, `settings: json: cannot unmarshal number into Go struct field Settings.Domain of type string`},
		"type in a list":     {`"member":"c-1"`, `"member":7`, `settings: json: cannot unmarshal number into Go struct field Member.Member of type string`},
		"type without name":  {`"txn_ops":20`, `"txn_ops":[]`, `settings: json: cannot unmarshal number [ into Go struct field .TxnOps of type int`},
		"type, name as is":   {`"name":"t"`, `"name":7`, `settings: json: cannot unmarshal number into Go struct field Team.Name of type string`},
		"cancel_s too short": {`"cancel_s":56`, `"cancel_s":32`, `params.workers.cancel_s: 32 s leaves -0.0 s besides lease_s (31 s) and margins; at least 2.0 s are needed`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, x.from, x.to, 1)
			if text == validSettings {
				t.Fatal("nothing changed")
			}
			if _, err := Parse([]byte(text)); err == nil || err.Error() != x.want {
				t.Errorf("error %q, want %q", err, x.want)
			}
		})
	}
}

func TestLoadOperator(t *testing.T) {
	f := filepath.Join(t.TempDir(), "o.yaml")
	for name, x := range map[string]struct {
		text string
		ok   bool
	}{
		"taken":        {"learn: false\nspare: 2\n", true},
		"unknown key":  {"spares: 2\n", false},
		"out of range": {"spare: -1\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(f, []byte(x.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadOperator(f); (err == nil) != x.ok {
				t.Errorf("error %v", err)
			}
		})
	}
	if _, err := LoadOperator("../../deploy/operator.example.yaml"); err != nil {
		t.Errorf("the example: %v", err)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{}`))
	for _, s := range []string{`"cancel_s":36`, `"cancel_s":34.1`, `"cancel_s":40.5`, `"cancel_s":1e300`} {
		f.Add([]byte(strings.Replace(validSettings, `"cancel_s":56`, s, 1)))
	}
	f.Add([]byte(strings.NewReplacer(`"lease_s":31`, `"lease_s":1e12`, `"cancel_s":56`, `"cancel_s":1e13`).Replace(validSettings)))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			return
		}
		// What a node last allowed is dead before a cancellation has to be carried out.
		c := s.SchedulerSettings(nil, 1)
		if last := c.FenceAge + c.WorkerLease + c.WorkerLease/1000 + tuning.DriftMargin + tuning.FenceMargin; c.FenceAge < tuning.MinFenceAge || last > c.CancelWithin+time.Microsecond {
			t.Errorf("fence %v, a cancelled task may last %v of %v", c.FenceAge, last, c.CancelWithin)
		}
	})
}
