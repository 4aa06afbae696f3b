package hall

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"time"
)

// quiet drops what net/http logs of connections that faults have cut.
func quiet() *log.Logger { return log.New(io.Discard, "", 0) }

// control tells the stand-in what to do wrong.
func (w *World) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(out http.ResponseWriter, _ *http.Request) { reply(out, http.StatusOK, w.ledger.Runs()) })
	mux.HandleFunc("POST /store", func(out http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if decode(out, r, &faults) {
			w.store.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { w.store.Compact() })
	mux.HandleFunc("POST /configuration", func(out http.ResponseWriter, r *http.Request) {
		var text json.RawMessage
		if decode(out, r, &text) {
			w.fail(w.store.Put("op", "config", text))
		}
	})
	mux.HandleFunc("POST /engines/{id}/faults", func(out http.ResponseWriter, r *http.Request) {
		var faults EngineFaults
		if engine := w.byID(r.PathValue("id")); engine != nil && decode(out, r, &faults) {
			engine.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /engines/{id}/crash", func(_ http.ResponseWriter, r *http.Request) {
		if engine := w.byID(r.PathValue("id")); engine != nil {
			engine.Crash(crashTime)
		}
	})
	mux.HandleFunc("POST /engines/{id}/leave", func(_ http.ResponseWriter, r *http.Request) {
		if engine := w.byID(r.PathValue("id")); engine != nil {
			w.fail(engine.Leave())
		}
	})
	return mux
}

// crashTime is how long a crashed endpoint is away.
const crashTime = 2 * time.Second

// decode reads the body of a control call.
func decode(out http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
