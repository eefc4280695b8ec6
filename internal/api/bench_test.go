package api

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"brassglade/internal/scheduler"
)

// BenchmarkHeartbeat is what one heartbeat with eight tasks costs the HTTP side.
func BenchmarkHeartbeat(b *testing.B) {
	f := &fakeBackend{reply: scheduler.HeartbeatReply{Status: 200, FencingToken: 7}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(f, 0, nil)
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	var ps []string
	for i := 0; i < 8; i++ {
		ps = append(ps, fmt.Sprintf(`{"Piece":"job-000412/%d","Try":1,"Status":"running"}`, i))
	}
	body := `{"Bracket":"n-000231","Address":"10.1.0.232:9000","Build":"g8","Yard":"a","Loaners":true,"Shift":1,"Tally":88,"Baton":41,"RecallS":null,"Pieces":[` + strings.Join(ps, ",") + `]}`
	req := []byte(fmt.Sprintf("POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	r := bufio.NewReader(c)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		if _, err := c.Write(req); err != nil {
			b.Fatal(err)
		}
		a, err := http.ReadResponse(r, nil)
		if err != nil || a.StatusCode != 200 {
			b.Fatal(err)
		}
		_ = a.Body.Close()
	}
}
