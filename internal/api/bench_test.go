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

// BenchmarkHeartbeat measures the HTTP server's cost of one heartbeat with eight tasks.
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
	var tasks []string
	for i := 0; i < 8; i++ {
		tasks = append(tasks, fmt.Sprintf(`{"Piece":"job-000412/%d","Try":1,"Status":"running"}`, i))
	}
	body := `{"Bracket":"n-000231","Address":"10.1.0.232:9000","Build":"g8","Yard":"a","Loaners":true,"Shift":1,"Tally":88,"Baton":41,"RecallS":null,"Pieces":[` + strings.Join(tasks, ",") + `]}`
	req := []byte(fmt.Sprintf("POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	r := bufio.NewReader(c)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		if _, err := c.Write(req); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != 200 {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}
