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

// TestSchedulerSettings checks that valid settings are accepted, and some of the values derived
// from them.
func TestSchedulerSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	settings := s.SchedulerSettings(nil, 1)
	if len(settings.Controllers) != 2 || settings.Teams["t"].Limit.GPU != 8000 || settings.StartWithin["x"] != 20 || len(settings.DeadlineMultiples) != 1 || settings.ValueLimit != 8192 {
		t.Errorf("wrong scheduler settings: %+v", settings)
	}
	if settings.FenceAge.Seconds()+settings.WorkerLease.Seconds() >= settings.CancelWithin.Seconds() {
		t.Errorf("FenceAge %v and WorkerLease %v don't fit into CancelWithin %v", settings.FenceAge, settings.WorkerLease, settings.CancelWithin)
	}
}

// TestAllInvalidFieldsAreReported checks that one error names all fields that break a rule.
func TestAllInvalidFieldsAreReported(t *testing.T) {
	bad := strings.NewReplacer(`"member":"c-0",`, ``, `"10.0.0.1:8081"`, `"nowhere"`, `"lease_s":31`, `"lease_s":-1`, `"txn_ops":20`, `"txn_ops":1`).Replace(validSettings)
	_, err := Parse([]byte(bad))
	if err == nil {
		t.Fatal("invalid settings accepted")
	}
	for _, f := range []string{"Member", "Back", "LeaseS", "TxnOps"} {
		if !strings.Contains(err.Error(), f) {
			t.Errorf("field %s is not named in %q", f, err)
		}
	}
	// cancel_s must be longer than the fence age, the lease and the margins together.
	if _, err := Parse([]byte(strings.Replace(validSettings, `"cancel_s":56`, `"cancel_s":32`, 1))); err == nil || !strings.Contains(err.Error(), "cancel_s") {
		t.Errorf("settings with a cancel_s that is too short: error %v", err)
	}
}

// TestValidationMessages checks the exact messages. Operators see them in the output of the check
// command, so they stay the same when Go names change.
func TestValidationMessages(t *testing.T) {
	for name, x := range map[string]struct{ from, to, want string }{
		"broken rule":                         {`"lease_s":31`, `"lease_s":-1`, `Params.Workers.LeaseS: "-1" breaks rule gt 0`},
		"broken rule in a list":               {`"gpus_max":8`, `"gpus_max":-8`, `Params.Teams[0].GpusMax: "-8" breaks rule gte 0`},
		"missing field":                       {`"member":"c-1",`, ``, `Members[0].Member: "" breaks rule required `},
		"wrong type":                          {`"domain":"a"`, `"domain":7`, `settings: json: cannot unmarshal number into Go struct field Settings.Domain of type string`},
		"wrong type in a list":                {`"member":"c-1"`, `"member":7`, `settings: json: cannot unmarshal number into Go struct field Member.Member of type string`},
		"wrong type in an anonymous struct":   {`"txn_ops":20`, `"txn_ops":[]`, `settings: json: cannot unmarshal number [ into Go struct field .TxnOps of type int`},
		"wrong type, field without fault tag": {`"name":"t"`, `"name":7`, `settings: json: cannot unmarshal number into Go struct field Team.Name of type string`},
		"cancel_s too short":                  {`"cancel_s":56`, `"cancel_s":32`, `params.workers.cancel_s: 32 s leaves -0.0 s besides lease_s (31 s) and margins; at least 2.0 s are needed`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, x.from, x.to, 1)
			if text == validSettings {
				t.Fatal("the replacement did not change the settings")
			}
			if _, err := Parse([]byte(text)); err == nil || err.Error() != x.want {
				t.Errorf("error %q, want %q", err, x.want)
			}
		})
	}
}

// TestLoadOperator checks that valid operators' settings, among them the example in deploy/,
// are accepted, and that unknown keys and values out of range are rejected.
func TestLoadOperator(t *testing.T) {
	f := filepath.Join(t.TempDir(), "o.yaml")
	for name, x := range map[string]struct {
		text string
		ok   bool
	}{
		"valid":        {"learn: false\nspare: 2\n", true},
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
		t.Errorf("deploy/operator.example.yaml: %v", err)
	}
}

// FuzzSettings checks that no settings that are accepted let a cancelled task run past
// cancel_s.
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
		// A task that a controller allowed at the last moment must have ended by the time
		// that a cancellation has to be complete.
		c := s.SchedulerSettings(nil, 1)
		if last := c.FenceAge + c.WorkerLease + c.WorkerLease/1000 + tuning.DriftMargin + tuning.FenceMargin; c.FenceAge < tuning.MinFenceAge || last > c.CancelWithin+time.Microsecond {
			t.Errorf("FenceAge %v; a cancelled task may run for %v, CancelWithin is %v", c.FenceAge, last, c.CancelWithin)
		}
	})
}
