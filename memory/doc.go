// Package memory keeps a process within the memory of its VM, which ends processes that exceed it. LimitProcess makes the
// garbage collector keep below a share of it; a Budget bounds what callers can make the process hold, so that a request for
// which there is no memory can be refused instead.
package memory
