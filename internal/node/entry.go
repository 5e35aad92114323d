package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/forward"
	"github.com/radishloom/radishloom/internal/coordination/pool"
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
	socket, err := datagram.Listen(loadAddress)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }() // the process ends
	session := &statev1.Session{Vm: s.VM, Incarnation: uuid.NewString(), DataCentre: s.DataCentre}
	watcher := &forward.Watcher{
		DatagramAddress: loadAddress,
		Directory:       transport, Decode: decodeStored, Log: log,
		Session: session,
	}
	watcher.SetSeeds(seedAddresses(s))
	server := forward.New(forward.Config{
		Codec: platform.Codec{}, Client: client, Loader: watcher, Metrics: metrics, Log: log,
		Self: pool.Sender{Address: loadAddress, Incarnation: rand.Uint64()}, DataCentre: s.DataCentre,
		Send: func(to string, m *peerv1.PlaceMessage) {
			if err := socket.Send(to, m); err != nil {
				log.Warn("datagram not sent", "error", err)
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
	go server.Run(running)
	go func() { failed <- receive(socket, server, log) }()
	go watchSettings(running, s, log, func(next *platform.Settings) { watcher.SetSeeds(seedAddresses(next)) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return stopEntry(server, callers, log)
}

// receive hands datagrams of other entries on until the socket is closed.
func receive(socket *datagram.Socket, server *forward.Server, log *slog.Logger) error {
	return socket.Receive(func(data []byte) {
		m := &peerv1.PlaceMessage{}
		if err := proto.Unmarshal(data, m); err != nil {
			log.Warn("datagram cannot be decoded", "bytes", len(data), "error", err)
			return
		}
		server.Receive(m)
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
	server.Drain()
	callers.Drain()
	time.Sleep(turnAwayTime)
	err := callers.Stop(context.Background())
	log.Info("requests ended", "open", server.Open(), "error", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the grace period cut what was left
	}
	return err
}
