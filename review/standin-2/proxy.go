package main

import (
	"io"
	"net"
	"sync"
)

// proxy is a path from one router to the store that can be cut: bytes are then held back in both directions, also on new connections.
type proxy struct {
	address string

	mu   sync.Mutex // guards open
	open chan struct{}
}

func startProxy(listenAddress, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(in, target)
		}
	}()
	return p, nil
}

// cut holds back all bytes until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve(in net.Conn, target string) {
	p.wait()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	go p.copy(out, in)
	p.copy(in, out)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}
