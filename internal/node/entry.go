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
	"github.com/radishloom/radishloom/internal/protocol/explainhttp"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/datagram"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/platform"
)

const (
	// drainDelay is how long a stopping entry still accepts connections. The platform
	// checks readiness once a second and acts after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// callerIdleTimeout exceeds the idle time-out that any catalog promises to
	// callers.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderTimeout is the longest time in which a caller sends a request head, and
	// the time after which its body must have kept the minimum rate.
	callerHeaderTimeout = 5 * time.Second
	// maxCallerConnections leaves enough file descriptors for connections to
	// endpoints.
	maxCallerConnections = 2600
	// maxReadyConnections bounds the connections of load balancers' readiness checks.
	maxReadyConnections = 64
)

func runEntry(ctx context.Context, s *platform.Settings, metrics *telemetry.Metrics, b bounds, log *slog.Logger) error {
	transport := newTransport()
	defer transport.Close()
	client := newClient()
	defer client.Close()
	datagramAddress := s.PeerAddress(s.IP)
	socket, err := datagram.Listen(datagramAddress)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }() // the process exits, so an error has no effect
	session := &statev1.Session{Vm: s.VM, Incarnation: uuid.NewString(), DataCentre: s.DataCentre}
	watcher := forward.NewWatcher(forward.WatcherConfig{
		DatagramAddress: datagramAddress,
		Directory:       transport, Decode: decodePackedCatalog, Log: log,
		Session: session,
	})
	watcher.SetSeeds(seedAddresses(s))
	server := forward.New(forward.Config{
		Codec: platform.Codec{}, Client: client, Loader: watcher, Metrics: metrics, Log: log,
		Self: pool.Sender{Address: datagramAddress, Incarnation: rand.Uint64()}, DataCentre: s.DataCentre,
		Send: func(to string, m *peerv1.PlaceMessage) {
			if err := socket.Send(to, m); err != nil {
				log.Warn("datagram not sent", "error", err)
			}
		},
		RetryWindow: s.Bounds.RetryWindow, RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
	})
	callerServer, err := b.newServer(s.CallerAddress, server, httpserver.Limits{
		IdleTimeout: callerIdleTimeout, HeaderTimeout: callerHeaderTimeout, BodyGrace: callerHeaderTimeout, OpenConnections: maxCallerConnections,
		Grace: requestGrace(s),
	}, log)
	if err != nil {
		return err
	}
	readyServer, err := b.newServer(s.ReadyAddress, platform.NewReadyHandler(server.Ready), httpserver.Limits{OpenConnections: min(maxReadyConnections, b.otherConnections)}, log)
	if err != nil {
		return err
	}
	metricsServer, err := newMetricsServer(s, b, log, explainhttp.Path, explainhttp.New(server))
	if err != nil {
		return err
	}
	// The servers keep running after the stop signal, so that open requests can end.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErrs := make(chan error, 2)
	for _, srv := range []*httpserver.Server{callerServer, readyServer, metricsServer} {
		serve(serveCtx, srv, serveErrs)
	}
	go watcher.Run(serveCtx, server)
	go server.Run(serveCtx)
	go func() { serveErrs <- receive(socket, server, log) }()
	go watchSettings(serveCtx, s, log, func(next *platform.Settings) { watcher.SetSeeds(seedAddresses(next)) })
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
	}
	return stopEntry(server, callerServer, requestGrace(s), log)
}

// requestGrace is how long requests in flight may last after an entry has closed its
// listener.
func requestGrace(s *platform.Settings) time.Duration {
	return max(time.Second, s.Bounds.GracePeriod-drainDelay-shutdownMargin)
}

// receive passes datagrams of other entries to server until the socket is closed.
func receive(socket *datagram.Socket, server *forward.Server, log *slog.Logger) error {
	return socket.Receive(func(data []byte) {
		m := &peerv1.PlaceMessage{}
		if err := proto.Unmarshal(data, m); err != nil {
			log.Warn("received datagram cannot be decoded", "bytes", len(data), "error", err)
			return
		}
		server.Receive(m)
	})
}

func seedAddresses(s *platform.Settings) []string {
	var out []string
	for _, m := range seedMembers(s) {
		out = append(out, m.GetAddress())
	}
	return out
}

// stopEntry reports not ready, waits until the load balancer has noticed, and then
// closes each connection when its requests have ended.
func stopEntry(server *forward.Server, callerServer *httpserver.Server, grace time.Duration, log *slog.Logger) error {
	log.Info("stop signal received, draining", "open", server.Open())
	server.Drain(drainDelay + grace)
	callerServer.Drain()
	time.Sleep(drainDelay)
	err := callerServer.Stop(context.Background())
	log.Info("draining ended", "open", server.Open(), "error", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the grace period ended with requests still open
	}
	return err
}
