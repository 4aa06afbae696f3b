package fetch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/fetch"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
)

// nbhttp sets the Body of a response with status 204 to nil. Reading it would panic.
func TestGetAcceptsResponseWithoutContent(t *testing.T) {
	server := serve.New("127.0.0.1:0", func(x *serve.Exchange) { x.ReplyEmpty(http.StatusNoContent) })
	must.NoError(t, server.Start())
	defer server.Stop()
	client, err := fetch.New()
	must.NoError(t, err)
	defer client.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body, err := client.Get(ctx, server.Address(), "/", 5*time.Second)
	must.NoError(t, err)
	must.Eq(t, 0, len(body))
}
