package platform

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
)

// The paths of the object store and the weight store.
const (
	pathObjects = "/v1/objects/"
	pathWeights = "/v1/weights/"
)

// mediaTypeBytes is the media type of objects and weights.
const mediaTypeBytes = "application/octet-stream"

// serveObject answers one request to the object store. Keys stay URL-escaped: the store only compares them.
func (p *Platform) serveObject(x *serve.Exchange) {
	counts := &p.ledger.Objects
	limit := p.limits.objectWrites
	if x.Method == http.MethodGet {
		limit = p.limits.objectReads
	}
	if !p.allow(x, limit, counts) {
		return
	}
	key := strings.TrimPrefix(x.URL.EscapedPath(), pathObjects)
	switch x.Method {
	case http.MethodGet:
		p.readObject(x, key)
	case http.MethodPut:
		p.objects[key] = bytes.Clone(x.Body)
		counts.Writes++
		p.replyToWrite(x, &p.faults.Objects, counts, func() { x.ReplyEmpty(http.StatusNoContent) })
	case http.MethodDelete:
		delete(p.objects, key)
		counts.Writes++
		p.replyToWrite(x, &p.faults.Objects, counts, func() { x.ReplyEmpty(http.StatusNoContent) })
	default:
		x.Fail(http.StatusMethodNotAllowed, "%s is no request of the object store", x.Method)
	}
}

// readObject answers a read of one object.
func (p *Platform) readObject(x *serve.Exchange, key string) {
	p.ledger.Objects.Reads++
	object, found := p.objects[key]
	if !found {
		x.Fail(http.StatusNotFound, "object %q does not exist", key)
		return
	}
	x.ReplyBytes(http.StatusOK, mediaTypeBytes, object)
}

// serveWeight sends the weights of one layer, which are zeros, as soon as the bandwidth shared by all readers allows
// it. They are always sent by the timer, after at least 1 ms, never by serveWeight itself.
func (p *Platform) serveWeight(x *serve.Exchange) {
	parts := strings.Split(strings.TrimPrefix(x.URL.Path, pathWeights), "/")
	if x.Method != http.MethodGet || len(parts) != 3 {
		x.Fail(http.StatusNotFound, "weights are read by GET %s{model}/{version}/{layer}", pathWeights)
		return
	}
	now := p.timer.Now()
	wait := p.limits.weights.ReserveN(now, p.settings.LayerBytes).DelayFrom(now)
	p.delay(max(1, wait.Round(time.Millisecond).Milliseconds()), func() {
		p.ledger.WeightLayers++
		x.ReplyBytes(http.StatusOK, mediaTypeBytes, make([]byte, p.settings.LayerBytes))
	})
}
