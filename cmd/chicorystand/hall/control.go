package hall

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"time"
)

// discardLogger returns a logger that discards all messages. net/http logs each connection aborted by a fault.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// foreignRow is a row of another writer.
type foreignRow struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// controlHandler returns the handler of the control endpoint, through which tests read the ledger and inject faults.
func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, p.ledger.entries()) })
	mux.HandleFunc("GET /arrivals", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, p.arrivals.entries()) })
	mux.HandleFunc("GET /requests", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, p.requests.entries()) })
	mux.HandleFunc("GET /statements", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, p.statements.entries())
	})
	mux.HandleFunc("POST /store", func(rw http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if decode(rw, r, &faults) {
			p.store.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /cut", func(rw http.ResponseWriter, r *http.Request) {
		var cut Cut
		if decode(rw, r, &cut) {
			p.cuts.apply(cut)
		}
	})
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { p.store.Compact() })
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { p.store.Copy() })
	mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) { p.Restore() })
	mux.HandleFunc("POST /configuration", func(rw http.ResponseWriter, r *http.Request) {
		var text json.RawMessage
		if decode(rw, r, &text) {
			p.configuration.Store(&text)
			p.stopOnError(p.store.Put("op", "config", text))
		}
	})
	mux.HandleFunc("POST /rows", func(rw http.ResponseWriter, r *http.Request) {
		var written foreignRow
		if decode(rw, r, &written) {
			p.store.PutBytes(written.Table, written.Key, written.Value)
		}
	})
	mux.HandleFunc("POST /engines/{id}/faults", func(rw http.ResponseWriter, r *http.Request) {
		var faults EndpointFaults
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil && decode(rw, r, &faults) {
			endpoint.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /engines/{id}/pause", func(rw http.ResponseWriter, r *http.Request) {
		var pause Pause
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil && decode(rw, r, &pause) {
			endpoint.Pause(time.Duration(pause.Millis) * time.Millisecond)
		}
	})
	mux.HandleFunc("POST /engines/{id}/crash", func(_ http.ResponseWriter, r *http.Request) {
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil {
			endpoint.Crash(endpoint.crashTime())
		}
	})
	mux.HandleFunc("POST /engines/{id}/depart", func(_ http.ResponseWriter, r *http.Request) {
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil {
			endpoint.Depart()
		}
	})
	mux.HandleFunc("POST /engines/{id}/vanish", func(rw http.ResponseWriter, r *http.Request) {
		var pause Pause
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil && decode(rw, r, &pause) {
			endpoint.Vanish(time.Duration(pause.Millis) * time.Millisecond)
		}
	})
	mux.HandleFunc("POST /engines/{id}/leave", func(_ http.ResponseWriter, r *http.Request) {
		if endpoint := p.byID(r.PathValue("id")); endpoint != nil {
			p.stopOnError(endpoint.Leave())
		}
	})
	return mux
}

// crashTime is the time until a crashed endpoint has restarted. It exceeds lapseTime, so the endpoint's entry disappears
// before.
const crashTime = 2 * time.Second

// decode decodes the body of a request into the value that into points to. On an error it answers the request and
// returns false.
func decode(rw http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
