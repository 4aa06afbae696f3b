// Package serve is the HTTP server of the stand-ins over nbhttp. Each request
// becomes an Exchange that may be answered at once, later or piece by piece
// from any goroutine, so no worker waits. A Server can also go silent on the
// connections that are open, as a stand-in for links that lost track of them.
package serve
