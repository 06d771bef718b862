package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a TCP proxy between a machine and the store. While it is silent, nothing passes in
// either direction, and connections stay open.
type link struct {
	address string
	target  string
	silent  atomic.Bool
	// sentBytes counts the bytes that the machine has sent to the store.
	sentBytes atomic.Int64
	listener  net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// linkPollInterval is how often a silent link checks whether it has ended to be.
const linkPollInterval = 5 * time.Millisecond

func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		conns:    make(map[net.Conn]bool),
	}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		l.mu.Lock()
		l.conns[conn], l.conns[target] = true, true
		l.mu.Unlock()
		go l.copy(target, conn, true)
		go l.copy(conn, target, false)
	}
}

func (l *link) copy(to, from net.Conn, outbound bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		l.mu.Lock()
		delete(l.conns, to)
		delete(l.conns, from)
		l.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if outbound {
			l.sentBytes.Add(int64(n))
		}
		for l.silent.Load() {
			time.Sleep(linkPollInterval)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}
