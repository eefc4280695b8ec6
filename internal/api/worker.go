// Package api is the HTTP side: users and workers, with the boundary structs
// that carry the protocol's JSON names.
package api

import (
	"strconv"
	"strings"

	json "github.com/goccy/go-json"

	"brassglade/internal/scheduler"

	"brassglade/internal/domain"
)

type pieceReport struct {
	Piece  string `json:"Piece"`
	Try    uint64 `json:"Try"`
	Status string `json:"Status"`
	Cause  string `json:"Cause"`
	Saved  bool   `json:"Saved"`
}

type checkin struct {
	Bracket string        `json:"Bracket"`
	Address string        `json:"Address"`
	Build   string        `json:"Build"`
	Yard    string        `json:"Yard"`
	Loaners bool          `json:"Loaners"`
	Shift   uint64        `json:"Shift"`
	Tally   uint64        `json:"Tally"`
	Baton   uint64        `json:"Baton"`
	RecallS *float64      `json:"RecallS"`
	Pieces  []pieceReport `json:"Pieces"`
}

type order struct {
	Verb    string   `json:"Verb"`
	Piece   string   `json:"Piece"`
	Try     uint64   `json:"Try"`
	LeewayS *float64 `json:"LeewayS,omitempty"`
}

type checkinAnswer struct {
	Baton  uint64  `json:"Baton"`
	Orders []order `json:"Orders"`
}

type foreman struct {
	Foreman string `json:"Foreman,omitempty"`
}

// Commands is the body of POST /commands.
type Commands struct {
	Baton  uint64  `json:"Baton"`
	Shift  uint64  `json:"Shift"`
	Orders []order `json:"Orders"`
}

// NewCommands makes the body of a direct order.
func NewCommands(e scheduler.SendCommands) Commands {
	return Commands{e.FencingToken, e.AgentEpoch, orders(e.Commands)}
}

var states = map[string]string{
	"fetching": domain.ReportedFetching, "gathering": domain.ReportedWaiting, "running": domain.ReportedRunning,
	"saving": domain.ReportedSaving, "ended": domain.ReportedEnded,
}

func cause(s string) string {
	if s == "no_such" {
		return domain.CauseUnknown
	}
	return s // the others are called the same inside
}

func orders(os []domain.Command) []order {
	l := make([]order, len(os))
	for i, o := range os {
		l[i] = order{Verb: string(o.Kind), Piece: o.Task.Job + "/" + strconv.Itoa(o.Task.Index), Try: o.Attempt}
		if o.Kind == domain.StopTask {
			v := o.GraceSeconds
			l[i].LeewayS = &v
		}
	}
	return l
}

// ParseReport reads a worker's report; false: malformed.
func ParseReport(b []byte) (domain.Heartbeat, bool) {
	var c checkin
	if json.Unmarshal(b, &c) != nil || c.Bracket == "" || c.Shift == 0 {
		return domain.Heartbeat{}, false
	}
	r := domain.Heartbeat{
		Machine: c.Bracket, Addr: c.Address, Type: c.Build, Zone: c.Yard, Spot: c.Loaners,
		AgentEpoch: c.Shift, Sequence: c.Tally, FencingToken: c.Baton, PreemptionNotice: -1,
	}
	if c.RecallS != nil {
		r.PreemptionNotice = max(*c.RecallS, 0)
	}
	for _, p := range c.Pieces {
		k := strings.LastIndexByte(p.Piece, '/')
		if k < 0 {
			return r, false
		}
		i, err := strconv.Atoi(p.Piece[k+1:])
		st, ok := states[p.Status]
		if err != nil || !ok {
			return r, false
		}
		r.Tasks = append(r.Tasks, domain.TaskReport{
			Task: domain.TaskID{Job: p.Piece[:k], Index: i}, Attempt: p.Try, State: st, Cause: cause(p.Cause), Saved: p.Saved,
		})
	}
	return r, true
}
