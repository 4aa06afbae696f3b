// Package certificate serves a TLS certificate from two files and reads them
// again when they change, so that a renewed certificate needs no restart.
package certificate
