// Package pace keeps limits that endpoints state themselves: the number of requests a second that an endpoint takes
// from all daemons together, for as long as its answers say so.
//
// Daemons exchange no messages about it. Each takes a part of the limit that follows from the daemons that it knows, so
// that the parts of all add up to at most the limit: see Shares. A part may be far less than one request a second. Limiter
// spends it so that daemons that were idle do not all send at once.
//
// The package does no I/O. Package limit, by contrast, keeps limits of organisations, of which daemons lend each other
// parts by messages, and package retry a bound on retries, of which a daemon earns most by its own requests.
package pace
