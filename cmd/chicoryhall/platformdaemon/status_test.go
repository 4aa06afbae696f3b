package platformdaemon

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/shoenig/test/must"
)

// TestStatusServerKeepsOutputClean guards against lines of another format among the daemon's own.
func TestStatusServerKeepsOutputClean(t *testing.T) {
	read, write, err := os.Pipe()
	must.NoError(t, err)
	before := logging.Output
	logging.Output = write
	defer func() { logging.Output = before }()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, newStatusServer("127.0.0.1:0", readyPath, http.NotFoundHandler()).Serve(ctx), context.DeadlineExceeded)
	must.NoError(t, write.Close())
	text, err := io.ReadAll(read)
	must.NoError(t, err)
	must.Eq(t, "", string(text))
}
