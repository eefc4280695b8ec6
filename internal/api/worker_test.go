package api

import (
	"errors"
	"testing"

	"brassglade/internal/domain"
)

func TestParseHeartbeat(t *testing.T) {
	r, err := ParseHeartbeat([]byte(`{"Bracket":"n-000231","Address":"10.1.0.232:9000","Build":"g8","Yard":"a","Loaners":true,
     "Shift":1,"Tally":88,"Baton":41,"RecallS":null,"Pieces":[{"Piece":"job-000412/3","Try":2,"Status":"running"},
              {"Piece":"job-000398/0","Try":1,"Status":"ended","Cause":"no_such"}]}`))
	if err != nil || r.Machine != "n-000231" || r.PreemptionNotice >= 0 || r.FencingToken != 41 || len(r.Tasks) != 2 ||
		r.Tasks[0].Task != (domain.TaskID{Job: "job-000412", Index: 3}) || r.Tasks[1].Cause != domain.CauseUnknown {
		t.Errorf("heartbeat %+v", r)
	}
	for _, b := range []string{"", "{}", `{"Bracket":"n","Shift":1,"Pieces":[{"Piece":"job","Try":1,"Status":"running"}]}`,
		`{"Bracket":"n","Shift":1,"Pieces":[{"Piece":"job-1/0","Try":1,"Status":"dancing"}]}`} {
		if _, err := ParseHeartbeat([]byte(b)); !errors.Is(err, errMalformedHeartbeat) {
			t.Errorf("%q: error %v, want errMalformedHeartbeat", b, err)
		}
	}
}

// TestHeartbeatFieldsInOtherCaseAreUnknown is the same for heartbeats: an agent epoch or a token in
// an unknown field must not replace the known ones.
func TestHeartbeatFieldsInOtherCaseAreUnknown(t *testing.T) {
	r, err := ParseHeartbeat([]byte(`{"Bracket":"n-1","Shift":2,"shift":1,"Tally":7,"TALLY":9,"Baton":41,"baton":40,"bracket":"n-2","Pieces":[],"pieces":[{"Piece":"x"}]}`))
	if err != nil || r.Machine != "n-1" || r.AgentEpoch != 2 || r.Sequence != 7 || r.FencingToken != 41 || len(r.Tasks) != 0 {
		t.Errorf("heartbeat %+v, error %v", r, err)
	}
}
