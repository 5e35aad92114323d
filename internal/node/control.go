package node

import (
	"context"
	"log/slog"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/protocol/quarantinehttp"
	"github.com/radishloom/radishloom/internal/state/catalog"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/platform"
)

// maxOperatorConnections bounds the connections of operators.
const maxOperatorConnections = 256

// maxPeerConnections bounds the connections of other VMs: two from each of 400 VMs, and
// some to spare.
const maxPeerConnections = 1024

// catalogStore implements platform.CatalogStore with the replicated state of the
// control role.
type catalogStore struct{ control *control.Server }

// Put implements platform.CatalogStore.
func (c catalogStore) Put(ctx context.Context, in *catalog.Catalog, document []byte) error {
	packed, err := catalog.Pack(document)
	if err != nil {
		return err
	}
	return c.control.PutCatalog(ctx, &statev1.PutCatalog{
		Catalog:      &statev1.Catalog{Version: in.Version, Document: packed},
		StreamRoutes: catalog.NewStreamRoutes(catalog.NewIndex(in)).Digest(),
	})
}

// Get implements platform.CatalogStore.
func (c catalogStore) Get(ctx context.Context) ([]byte, uint64, error) {
	found, err := c.control.ReadCatalog(ctx)
	if err != nil {
		return nil, 0, err
	}
	document, err := catalog.Unpack(found.GetDocument())
	return document, found.GetVersion(), err
}

// evacuationStore implements platform.EvacuationStore with the replicated state of the
// control role.
type evacuationStore struct{ control *control.Server }

// operatorName is the author of the platform's calls, which do not name the operator.
const operatorName = "operator"

// SetEvacuation implements platform.EvacuationStore. The platform's calls have no
// identifier, so that a resent order counts as a new one.
func (e evacuationStore) SetEvacuation(ctx context.Context, dataCentre string, evacuated bool) (uint64, error) {
	return e.control.SetEvacuation(ctx, "", operatorName, dataCentre, evacuated)
}

// decodePackedCatalog decodes a catalog document in the packed form in which the
// log stores it.
func decodePackedCatalog(packed []byte) (*catalog.Catalog, error) {
	document, err := catalog.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return platform.DecodeCatalog(document)
}

func runControl(ctx context.Context, s *platform.Settings, metrics *telemetry.Metrics, b bounds, log *slog.Logger) error {
	transport := newTransport()
	defer transport.Close()
	member := &statev1.Member{Vm: s.VM, Address: s.PeerAddress(s.IP), DataCentre: s.DataCentre}
	var server *control.Server
	server, err := control.New(control.Config{
		Dir: s.DataDir, FS: wal.OS{}, Member: member, Peers: seedMembers(s), Bootstrap: s.Bootstrap, Transport: transport,
		MinVoters: 2*s.ToleratedFailures + 1,
		Metrics:   telemetry.ControlMetrics{Metrics: metrics, Log: log, Self: func() uint64 { return server.MemberID() }},
	})
	if err != nil {
		return err
	}
	client := newClient()
	defer client.Close()
	endpoints := &platform.Client{HTTP: client, ListAddress: s.ListAddress, OnInvalidEntry: func(reason string) {
		log.Warn("invalid entry of the endpoint list skipped", "reason", reason)
	}}
	directoryServer := directory.New(directory.Config{
		Leadership: server, Quarantine: server, Evacuations: server, Versions: server, Platform: endpoints, Decode: decodePackedCatalog,
		Holder: s.VM, OrderLease: s.Bounds.OrderLease, Metrics: metrics, Log: log,
	})
	relay := directory.NewRelay(directory.RelayConfig{
		Leadership: server, Follower: transport, VM: s.VM, Address: s.PeerAddress(s.IP), Log: log,
	}, directoryServer)
	service := directory.Service{Relay: relay, Leader: directoryServer}
	peerServer, err := b.newServer(s.PeerAddress(s.IP), peerrpc.NewDirectoryHandler(server, service), httpserver.Limits{OpenConnections: maxPeerConnections}, log)
	if err != nil {
		return err
	}
	operatorServer, err := b.newServer(s.ControlAddress, platform.NewOperatorHandler(catalogStore{server}, evacuationStore{server}, log), httpserver.Limits{OpenConnections: min(maxOperatorConnections, b.otherConnections)}, log)
	if err != nil {
		return err
	}
	metricsServer, err := newMetricsServer(s, b, log, quarantinehttp.Path, quarantinehttp.New(directoryServer))
	if err != nil {
		return err
	}
	serveErrs := make(chan error, 1)
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, srv := range []*httpserver.Server{peerServer, operatorServer, metricsServer} {
		serve(serveCtx, srv, serveErrs)
	}
	go directoryServer.Run(ctx)
	go relay.Run(ctx)
	go watchSettings(ctx, s, log, func(next *platform.Settings) { server.SetPeers(seedMembers(next)) })
	controlDone := make(chan error, 1)
	go func() { controlDone <- server.Run(ctx) }()
	select {
	case err := <-serveErrs:
		return err
	case err := <-controlDone:
		return err
	}
}
