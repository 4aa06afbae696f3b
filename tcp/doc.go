// Package tcp reads and writes TCP connections in one event loop, which waits
// for all of them by epoll.
//
// A Loop has one goroutine that reads. It calls the Handler of a connection with
// what it has read, and with the end of the connection, so that a Handler needs no
// locks for what only these calls use. Conn.Write, Close and Reset may be called by any
// goroutine and do not block: what the kernel does not take is queued.
//
// File descriptors are numbers that the kernel gives out again. The loop gets
// events in batches, and one of them may be of a connection that was closed since and
// whose descriptor a new one has got. Each event therefore carries the number of the
// connection that it was requested for, and any operation on a descriptor holds a
// lock under which it is known to be open.
package tcp
