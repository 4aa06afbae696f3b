package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// darken makes an address silent, as that of a VM without power: it listens there with a queue that is full, so that the opening packets of
// further channels are dropped. It returns a function that ends this.
func darken(address string) (light func(), err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return func() {}, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return func() {}, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
		if err == nil {
			err = syscall.Listen(fd, 0)
		}
		if err != nil {
			_ = syscall.Close(fd)
			return func() {}, err
		}
	}
	var queued []net.Conn
	for range 3 {
		conn, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil { // The queue is full.
			break
		}
		queued = append(queued, conn)
	}
	return func() {
		for _, conn := range queued {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}, nil
}
