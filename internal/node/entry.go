package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/forward"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/datagram"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/platform"
)

const (
	// turnAwayTime is how long an entry that stops still takes connections: the
	// platform asks for readiness once a second and acts after two misses.
	turnAwayTime = 2500 * time.Millisecond
	// callerIdle is above the idle time that any catalog promises to callers.
	callerIdle = 60 * time.Second
	// callerHeaderTime bounds the time to send a head.
	callerHeaderTime = 5 * time.Second
	// callerConnections leaves descriptors for connections to endpoints.
	callerConnections = 2600
)

func runEntry(ctx context.Context, s *platform.Settings, metrics *telemetry.Metrics, log *slog.Logger) error {
	transport := newTransport()
	defer transport.Close()
	client := newClient()
	defer client.Close()
	loadAddress := s.PeerAddress(s.IP)
	loads, err := datagram.Listen(loadAddress)
	if err != nil {
		return err
	}
	defer func() { _ = loads.Close() }() // the process ends
	session := &statev1.Session{Vm: s.VM, Incarnation: uuid.NewString(), DataCentre: s.DataCentre}
	watcher := &forward.Watcher{
		LoadAddress: loadAddress,
		SetPeers: func(addresses []string) {
			if bad := loads.SetPeers(addresses); len(bad) > 0 {
				log.Warn("addresses of entries cannot be read", "addresses", bad)
			}
		},
		Calls: transport, Decode: decodeStored, Log: log,
		Session: session,
	}
	watcher.SetSeeds(seedAddresses(s))
	server := forward.New(forward.Config{
		Codec: platform.Codec{}, Client: client, Loader: watcher, Metrics: metrics, Log: log, Name: session.Incarnation,
		DataCentre: s.DataCentre, AtOnceLimit: directory.AtOnceLimit, ExchangeLimit: directory.ExchangeLimit,
		Tell: func(u *peerv1.LoadUpdate) {
			if err := loads.Send(u); err != nil {
				log.Warn("load not told", "error", err)
			}
		},
		RetryWindow: s.Bounds.RetryWindow, RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
	})
	callers, err := newServer(s.CallerAddress, server, httpserver.Limits{
		IdleTimeout: callerIdle, HeaderTimeout: callerHeaderTime, OpenConnections: callerConnections,
		Grace: max(time.Second, s.Bounds.Grace-turnAwayTime-stopMargin),
	}, log)
	if err != nil {
		return err
	}
	ready, err := newServer(s.ReadyAddress, platform.NewReadyHandler(server.Ready), httpserver.Limits{OpenConnections: 64}, log)
	if err != nil {
		return err
	}
	scrapes, err := newMetricsServer(s, metrics, log)
	if err != nil {
		return err
	}
	// Parts outlive the stop signal, so that requests can be finished.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 2)
	for _, part := range []*httpserver.Server{callers, ready, scrapes} {
		serve(running, part, failed)
	}
	go watcher.Run(running, server)
	go server.RefreshLoads(running)
	go func() { failed <- receiveLoads(loads, server, log) }()
	go watchSettings(running, s, log, func(next *platform.Settings) { watcher.SetSeeds(seedAddresses(next)) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return stopEntry(server, callers, log)
}

// receiveLoads hands updates of other entries on until the socket is closed.
func receiveLoads(loads *datagram.Socket, server *forward.Server, log *slog.Logger) error {
	return loads.Receive(func(data []byte) {
		u := &peerv1.LoadUpdate{}
		if err := proto.Unmarshal(data, u); err != nil {
			log.Warn("load update cannot be decoded", "bytes", len(data), "error", err)
			return
		}
		server.HearLoads(u)
	})
}

func seedAddresses(s *platform.Settings) []string {
	var out []string
	for _, m := range peersOf(s) {
		out = append(out, m.GetAddress())
	}
	return out
}

// stopEntry gives up readiness, lets the balancer notice, and then ends
// connections as their requests end.
func stopEntry(server *forward.Server, callers *httpserver.Server, log *slog.Logger) error {
	log.Info("stop signal", "open", server.Open())
	server.Leave()
	callers.Drain()
	time.Sleep(turnAwayTime)
	err := callers.Stop(context.Background())
	log.Info("requests ended", "open", server.Open(), "error", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the grace period cut what was left
	}
	return err
}
