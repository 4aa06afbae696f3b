// Package certificate reads a TLS certificate and its key from files and reloads
// them when they change, so that a renewed certificate needs no restart.
package certificate
