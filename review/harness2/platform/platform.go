package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// platformList is the infrastructure's list of servers.
type platformList struct {
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	servers  []*server
	foreign  []map[string]any // entries of another writer
}

func newPlatformList(address string) (*platformList, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platformList{listener: l}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }() // it ends with close
	return p, nil
}

func (p *platformList) address() string { return p.listener.Addr().String() }

func (p *platformList) close() { _ = p.server.Close() }

func (p *platformList) add(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, s)
}

// ServeHTTP implements http.Handler.
func (p *platformList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	list := []map[string]any{}
	for _, s := range p.servers {
		list = append(list, s.entry())
	}
	list = append(list, p.foreign...)
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "nextToken": nil}) // the caller asks again
}
