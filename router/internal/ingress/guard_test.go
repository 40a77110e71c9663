package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/ingress"
)

const (
	testTimeout = 10 * time.Second // of all that a connection does
	testMemory  = 1 << 20
	shortTime   = 300 * time.Millisecond
	longTime    = time.Hour
)

// refusedPath is a path whose requests the handler refuses without reading their bodies.
const refusedPath = "/refused"

// largePath is a path whose requests get an answer of largeAnswer bytes, in one write.
const (
	largePath   = "/large"
	largeAnswer = 2 << 20
)

// guarded is a server under test. Its handler reads the body and answers with its length.
type guarded struct {
	t       *testing.T
	guard   *ingress.Guard
	budget  *exchange.Budget
	address string
}

func newGuarded(t *testing.T, opts ...ingress.HandlerOption) *guarded {
	g := &guarded{t: t, budget: exchange.NewBudget(testMemory)}
	g.guard = ingress.New(g.budget, clockwork.NewRealClock(), zap.NewNop())
	g.setLimits(longTime, longTime)
	handler := g.guard.Handler(http.HandlerFunc(g.serve), opts...)
	s := httptest.NewUnstartedServer(handler)
	s.Listener = g.guard.Listen(s.Listener)
	s.Config.ConnContext = g.guard.ConnContext
	s.Config.ConnState = g.guard.StateChanged
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols = protocols
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	go g.guard.Run(t.Context())
	g.address = s.Listener.Addr().String()
	return g
}

func (g *guarded) setLimits(header, idle time.Duration) {
	g.guard.SetLimits(ingress.Limits{HeaderBytes: 1000, HeaderTimeout: header, IdleTimeout: idle})
}

func (g *guarded) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case refusedPath:
		w.WriteHeader(http.StatusUnauthorized)
		return
	case largePath:
		_, _ = w.Write(make([]byte, largeAnswer))
		return
	}
	client := exchange.ClientFrom(r.Context())
	memory := g.budget.NewMemory(client)
	defer memory.Release()
	body, err := memory.ReadBody(r.Body, r.ContentLength)
	if err != nil {
		w.WriteHeader(client.BodyStatus(err))
		return
	}
	fmt.Fprint(w, len(body))
}

// dial opens a connection and sends a text.
func (g *guarded) dial(text string) *guardedConn {
	conn, err := net.Dial("tcp", g.address)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	assert.NilError(g.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	c := &guardedConn{Conn: conn, t: g.t, reader: bufio.NewReader(conn)}
	c.write(text)
	return c
}

type guardedConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (c *guardedConn) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// status returns the status of the next answer, or 0 if the connection ends without one.
func (c *guardedConn) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// get returns a request with n bytes of fields beside the necessary ones.
func get(n int) string {
	return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", n/4) + "\r\n"
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestHeaderBytes guards against heads over the limit that are accepted, against others that are
// refused, and against a changed limit that open connections ignore.
func TestHeaderBytes(t *testing.T) {
	g := newGuarded(t)
	c := g.dial(get(900))
	assert.Equal(t, c.status(), http.StatusOK)
	assert.Equal(t, g.dial(get(1000)).status(), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, g.dial(get(9000)).status(), http.StatusRequestHeaderFieldsTooLarge)
	g.guard.SetLimits(ingress.Limits{HeaderBytes: 500})
	c.write(get(900))
	assert.Equal(t, c.status(), http.StatusRequestHeaderFieldsTooLarge)
	g.guard.SetLimits(ingress.Limits{HeaderBytes: 20_000})
	assert.Equal(t, g.dial(get(16_000)).status(), http.StatusOK)
	assert.Equal(t, g.guard.Usage().TooLarge, int64(3))
}

// TestTimeouts guards against connections that stay open without progress, also if the limit
// changes while they are open.
func TestTimeouts(t *testing.T) {
	for name, tt := range map[string]struct {
		text         string
		header, idle time.Duration
		statuses     []int
	}{
		"silent":    {"", longTime, shortTime, []int{0}},
		"half head": {get(0)[:20], shortTime, longTime, []int{0}},
		"idle":      {get(0), longTime, shortTime, []int{http.StatusOK, 0}},
		"body":      {post(9, "body"), longTime, shortTime, []int{http.StatusRequestTimeout, 0}},
		"HTTP/2":    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00", longTime, shortTime, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGuarded(t)
			c := g.dial(tt.text)
			time.Sleep(shortTime)
			g.setLimits(tt.header, tt.idle)
			for _, want := range tt.statuses {
				assert.Equal(t, c.status(), want)
			}
		})
	}
}

// TestIdleReuse guards against a connection that is closed although its client uses it again within
// four fifths of the idle timeout.
func TestIdleReuse(t *testing.T) {
	const idle = 2 * time.Second
	g := newGuarded(t)
	g.setLimits(longTime, idle)
	c := g.dial(get(0))
	assert.Equal(t, c.status(), http.StatusOK)
	for range 3 {
		time.Sleep(idle * 4 / 5)
		c.write(get(0))
		assert.Equal(t, c.status(), http.StatusOK)
	}
}

// TestBodyTime guards against a body that goes on after the deadline of its request because it
// makes a little progress.
func TestBodyTime(t *testing.T) {
	g := newGuarded(t, ingress.WithBodyTime(func(*http.Request) time.Duration { return shortTime }))
	c := g.dial(post(1000, "b"))
	go func() {
		for range 100 {
			time.Sleep(shortTime / 10)
			if _, err := io.WriteString(c, "b"); err != nil {
				return
			}
		}
	}()
	assert.Equal(t, c.status(), http.StatusRequestTimeout)
}

// TestBodyGivenUp guards against a body that holds the memory which the next request needs, and
// against a refusal that doesn't reach its caller.
func TestBodyGivenUp(t *testing.T) {
	g := newGuarded(t)
	held := g.dial(post(600_000, "b"))
	for g.guard.Usage().Bytes < 600_000 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, g.dial(post(300_000, strings.Repeat("b", 300_000))).status(), http.StatusOK)
	assert.Equal(t, held.status(), http.StatusServiceUnavailable)
	assert.Equal(t, held.status(), 0)
}

// TestMemoryComesBack guards against memory that is still counted when all clients have gone.
func TestMemoryComesBack(t *testing.T) {
	g := newGuarded(t)
	for _, text := range []string{"", get(0), get(0)[:20], get(9000), post(9, "body"), post(4, "body"), "GET\r\n\r\n", "PRI * HTTP/2.0\r\n\r\n"} {
		c := g.dial(text)
		time.Sleep(shortTime / 10) // the server has read it, in most runs
		c.Close()
	}
	for end := time.Now().Add(testTimeout); g.guard.Usage().Bytes > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%+v", g.guard.Usage())
	}
	assert.Equal(t, g.guard.Usage().Connections, 0)
}
