// Package serve is the HTTP server of the stand-ins, built on nbhttp. Each
// request becomes an Exchange, which may be answered immediately, later or in
// pieces from any goroutine, so that no worker has to wait. A Server can also go
// silent on its open connections, which simulates links that have lost their
// connection state.
package serve
