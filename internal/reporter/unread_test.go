package reporter_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

// Guards against requests that never end because their clients don't read the replies.
func TestReplyThatIsNotReadEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 1)
	w := &reporter.Web{Listener: l, WriteTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := strings.Repeat("x", 1<<20)
		var err error
		for err == nil {
			_, err = io.WriteString(w, part)
		}
		<-r.Context().Done()
		ended <- err
	})}
	go func() { _ = w.Serve(t.Context()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	select {
	case err := <-ended:
		must.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the request still runs")
	}
}
