package api

import (
	"reflect"
	"strings"
	"testing"

	"brassglade/internal/domain"
)

const validSubmission = `{"NameId":"job-000412","Docket":"train","Crew":"vision","Shape":"group","Urgency":"urgent","Pieces":16,
 "Cores":8.0,"Cards":1.0,"MemGb":64.0,"Kit":"img-07","PullGb":6.2,"Builds":["g8"],"Yard":null,"SamePlace":true,
 "Apart":false,"Loaners":true,"ExpectS":240.0,"SnapshotS":30.0,"StowS":4.0,"DueS":900.0,"New":{"x":1}}`

func TestParseSubmission(t *testing.T) {
	id, s := ParseSubmission([]byte(validSubmission))
	if id != "job-000412" || s == nil {
		t.Fatalf("id %q, spec %v", id, s)
	}
	if s.Shape != domain.Gang || s.Priority != 2 || s.TaskCount != 16 || s.Request != (domain.Resources{CPU: 8000, GPU: 1000, Memory: 64000}) ||
		!s.OneZone || s.Spread || !s.Spot || s.Zone != "" || s.Deadline != 900 || len(s.MachineTypes) != 1 {
		t.Errorf("spec %+v", s)
	}
	for name, change := range map[string][2]string{
		"missing field":    {`"Docket":"train",`, ``},
		"wrong type":       {`"Pieces":16`, `"Pieces":"16"`},
		"zero tasks":       {`"Pieces":16`, `"Pieces":0`},
		"too many tasks":   {`"Pieces":16`, `"Pieces":100001`},
		"fractional count": {`"Pieces":16`, `"Pieces":1.5`},
		"negative amount":  {`"Cores":8.0`, `"Cores":-8.0`},
		"not finite":       {`"MemGb":64.0`, `"MemGb":1e999`},
		"unknown shape":    {`"group"`, `"ring"`},
		"unknown priority": {`"urgent"`, `"soon"`},
		"null amount":      {`"ExpectS":240.0`, `"ExpectS":null`},
		"null flag":        {`"Loaners":true`, `"Loaners":null`},
	} {
		t.Run(name, func(t *testing.T) {
			id, s := ParseSubmission([]byte(strings.Replace(validSubmission, change[0], change[1], 1)))
			if s != nil || id != "job-000412" {
				t.Errorf("id %q, accepted %v", id, s != nil)
			}
		})
	}
	for _, b := range []string{"", "[]", "null", "7", `{"NameId":7}`, `{"NameId":"JOB-1"}`, `{"NameId":"job-12x456"}`} {
		if id, s := ParseSubmission([]byte(b)); id != "" || s != nil {
			t.Errorf("%q: id %q, accepted %v", b, id, s != nil)
		}
	}
}

func FuzzSubmission(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"NameId":"job-000001","Pieces":1e3}`))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		id, s := ParseSubmission(b)
		if s != nil && (s.ID != id || s.TaskCount < 1 || s.TaskCount > 100000 || s.Request.CPU < 0 || s.Request.GPU < 0 || s.Request.Memory < 0 || s.Class == "" || s.Team == "") {
			t.Errorf("accepted %+v", s)
		}
	})
}

// TestFieldsInOtherCaseAreUnknown guards against unknown fields that replace known ones of a
// submission, since their names differ only in the case of letters: tasks then started in a wrong
// zone or on spot machines, and workers were told to run tasks that nobody had submitted.
func TestFieldsInOtherCaseAreUnknown(t *testing.T) {
	body := strings.Replace(validSubmission, `"New":{"x":1}`, `"yard":"b","PIECES":5,"loaners":false,"cores":"x","nameid":"job-000001"`, 1)
	_, want := ParseSubmission([]byte(validSubmission))
	id, got := ParseSubmission([]byte(body))
	if id != "job-000412" || !reflect.DeepEqual(got, want) {
		t.Errorf("id %q, spec %+v, want that of the known fields, %+v", id, got, want)
	}
	missing := strings.Replace(validSubmission, `"Pieces":16`, `"pieces":16`, 1)
	if _, got := ParseSubmission([]byte(missing)); got != nil {
		t.Error("a submission without Pieces is accepted because of its field pieces")
	}
}
