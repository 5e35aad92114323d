package node

import (
	"context"
	"log/slog"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/state/catalog"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/platform"
)

// catalogs implements platform.Catalogs.
type catalogs struct{ control *control.Server }

// Put implements platform.Catalogs.
func (c catalogs) Put(ctx context.Context, in *catalog.Catalog, document []byte) error {
	packed, err := catalog.Pack(document)
	if err != nil {
		return err
	}
	return c.control.PutCatalog(ctx, in.Version, packed)
}

// Get implements platform.Catalogs.
func (c catalogs) Get(ctx context.Context) ([]byte, error) {
	found, err := c.control.ReadCatalog(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Unpack(found.GetDocument())
}

// decodeStored decodes a catalog's document as the log holds it.
func decodeStored(packed []byte) (*catalog.Catalog, error) {
	document, err := catalog.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return platform.DecodeCatalog(document)
}

func runControl(ctx context.Context, s *platform.Settings, metrics *telemetry.Metrics, log *slog.Logger) error {
	transport := newTransport()
	defer transport.Close()
	member := &statev1.Member{Vm: s.VM, Address: s.PeerAddress(s.IP), DataCentre: s.DataCentre}
	var server *control.Server
	server, err := control.New(control.Config{
		Dir: s.DataFolder, FS: wal.OS{}, Member: member, Peers: peersOf(s), Bootstrap: s.Bootstrap, Transport: transport,
		MinVoters: 2*s.ToleratedLosses + 1,
		Metrics:   telemetry.Control{Metrics: metrics, Log: log, Self: func() uint64 { return server.MemberID() }},
	})
	if err != nil {
		return err
	}
	client := newClient()
	defer client.Close()
	endpoints := &platform.Client{HTTP: client, ListAddress: s.ListAddress, Skipped: func(reason string) {
		log.Warn("entry of the list skipped", "reason", reason)
	}}
	guide := directory.New(directory.Config{
		Leadership: server, Platform: endpoints, Decode: decodeStored,
		Holder: s.VM, OrderLease: s.Bounds.OrderLease, Metrics: metrics, Log: log,
	})
	peers, err := newServer(s.PeerAddress(s.IP), peerrpc.NewDirectoryHandler(server, guide), httpserver.Limits{}, log)
	if err != nil {
		return err
	}
	operators, err := newServer(s.ControlAddress, platform.NewOperatorHandler(catalogs{server}, log), httpserver.Limits{OpenConnections: 256}, log)
	if err != nil {
		return err
	}
	scrapes, err := newMetricsServer(s, metrics, log)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, part := range []*httpserver.Server{peers, operators, scrapes} {
		serve(running, part, failed)
	}
	go guide.Run(ctx)
	go watchSettings(ctx, s, log, func(next *platform.Settings) { server.SetPeers(peersOf(next)) })
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	select {
	case err := <-failed:
		return err
	case err := <-ended:
		return err
	}
}
