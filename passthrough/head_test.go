package passthrough_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOwnAnswersToHeadHaveNoBody guards against bytes that a caller takes for the answer to its next request (MIXED).
func TestOwnAnswersToHeadHaveNoBody(t *testing.T) {
	cases := []struct {
		name, target, fields string
		status               int
	}{
		{"no rule", "/nowhere", "Key: k\r\n", http.StatusNotFound},
		{"no credential", "/safe/a", "", http.StatusUnauthorized},
		{"no endpoint", "/safe/a", "Key: k\r\n", http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules())
			conn, reader := w.dial(t)
			for range 2 {
				must.True(t, send(conn, "HEAD "+c.target+" HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+c.fields+"\r\n"))
				response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
				must.NoError(t, err)
				must.Eq(t, c.status, response.StatusCode)
				must.Positive(t, response.ContentLength)
			}
		})
	}
}
