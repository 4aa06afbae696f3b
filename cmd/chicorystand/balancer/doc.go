// Package balancer stands in for the platform's TCP balancer: it passes each
// new connection on to the next daemon whose readiness check (GET /readyz)
// answered 200 or 204, in turn. Open connections stay where they are.
package balancer
