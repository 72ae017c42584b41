package main

import (
	"io"
	"net"
	"sync"
)

// link forwards connections to an address. While it is cut, it resets those that are open and
// refuses new ones.
type link struct {
	target, addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

func (l *lab) newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{target: target, addr: listener.Addr().String(), listener: listener, conns: make(map[net.Conn]struct{})}
	go k.accept(listener)
	l.atClose(k.cut)
	return k, nil
}

func (k *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go k.forward(client)
	}
}

func (k *link) forward(client net.Conn) {
	server, err := net.Dial("tcp4", k.target)
	if err != nil || !k.add(client, server) {
		_ = client.Close()
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	k.drop(client, server)
}

func (k *link) add(conns ...net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener == nil {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	for _, c := range conns {
		k.conns[c] = struct{}{}
	}
	return true
}

func (k *link) drop(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(k.conns, c)
	}
}

// cut resets all connections and refuses new ones until heal.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		_ = k.listener.Close()
		k.listener = nil
	}
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(k.conns, c)
	}
}

// heal accepts connections again.
func (k *link) heal() error {
	listener, err := net.Listen("tcp4", k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = listener
	k.mu.Unlock()
	go k.accept(listener)
	return nil
}
