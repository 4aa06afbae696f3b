// Package balancer simulates the platform's TCP load balancer: it relays each
// new connection to the next daemon, in round-robin order, whose readiness check
// (GET /readyz) returned 200 or 204. Open connections stay with their daemon.
package balancer
