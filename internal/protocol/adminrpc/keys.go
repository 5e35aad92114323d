package adminrpc

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"strings"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

// CreateKey implements adminv1.Admin.
//
// The key identifier is derived from the request identifier, so that a retry
// finds the key that the first attempt created. The secret is returned only if
// the stored hash is that of this attempt.
func (s *Server) CreateKey(ctx context.Context, r *adminv1.CreateKeyRequest) (*adminv1.CreateKeyResponse, error) {
	ch, err := s.newChange(ctx, "create_key", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	if r.GetCustomer() == "" || len(r.GetNote()) > maxTextBytes {
		return nil, s.callError(ctx, resultcode.New(resultcode.BadRequest,
			"customer must not be empty and note must have at most %d bytes", maxTextBytes))
	}
	secret, key, err := newKey(s.o.Random, ch.id, r.GetCustomer(), r.GetNote())
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	id := key.GetId()
	stored, version, err := s.readKey(ctx, id)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	if stored != nil {
		return repeatedKeyResponse(id, version), nil
	}
	result, err := s.propose(ctx, ch, keyCommand("create key "+id, &statev1.ConfigChange{
		Upserts: &statev1.Config{Keys: []*statev1.Key{key}},
	}))
	if err != nil {
		return nil, err
	}
	if result.GetCode() != uint32(resultcode.OK) {
		return &adminv1.CreateKeyResponse{Code: result.GetCode(), Message: resultText(result), Version: result.GetConfigVersion()}, nil
	}
	stored, _, err = s.readKey(ctx, id)
	if err != nil {
		return nil, s.unconfirmedError(ctx, ch, err)
	}
	if stored == nil || subtle.ConstantTimeCompare(stored.GetSecretSha256(), key.GetSecretSha256()) != 1 {
		return repeatedKeyResponse(id, result.GetConfigVersion()), nil
	}
	return &adminv1.CreateKeyResponse{KeyId: id, Secret: secret, Version: result.GetConfigVersion()}, nil
}

func repeatedKeyResponse(id string, version uint64) *adminv1.CreateKeyResponse {
	return &adminv1.CreateKeyResponse{
		KeyId:   id,
		Version: version,
		Message: "an earlier attempt created the key, and the secret is shown once; if it was lost, withdraw the key and create another",
	}
}

// newKey creates a key whose public identifier is derived from the request
// identifier: config.NewKey reads the identifier from the first random bytes.
func newKey(random io.Reader, requestID, customer, note string) (secret string, key *statev1.Key, err error) {
	const identifierBytes = 10
	hash := sha256.Sum256([]byte("radishloom key " + requestID))
	return config.NewKey(io.MultiReader(bytes.NewReader(hash[:identifierBytes]), random), customer, note)
}

func keyCommand(comment string, c *statev1.ConfigChange) *statev1.Command {
	c.AnyBase = true
	c.Comment = comment
	return &statev1.Command{Op: &statev1.Command_ConfigChange{ConfigChange: c}}
}

// readKey returns the key with its hash, or nil if it does not exist, and the
// current configuration version.
func (s *Server) readKey(ctx context.Context, id string) (key *statev1.Key, version uint64, err error) {
	err = s.o.Fleet.Read(ctx, true, func(v View) {
		version = v.Config().GetVersion()
		for _, k := range v.Config().GetKeys() {
			if k.GetId() == id {
				key = k
			}
		}
	})
	return key, version, err
}

// WithdrawKey implements adminv1.Admin.
func (s *Server) WithdrawKey(ctx context.Context, r *adminv1.WithdrawKeyRequest) (*adminv1.WithdrawKeyResponse, error) {
	ch, err := s.newChange(ctx, "withdraw_key", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, ch, keyCommand("withdraw key "+r.GetKeyId(), &statev1.ConfigChange{
		Removed: []*statev1.ResourceName{{Kind: statev1.ResourceKind_RESOURCE_KIND_KEY, Name: r.GetKeyId()}},
	}))
	if err != nil {
		return nil, err
	}
	if result.GetCode() != uint32(resultcode.OK) {
		return &adminv1.WithdrawKeyResponse{Code: result.GetCode(), Message: resultText(result), Version: result.GetConfigVersion()}, nil
	}
	return s.withdrawResponse(ctx, result.GetConfigVersion(), r.GetWaitMs()), nil
}

// withdrawResponse reports the time after which no VM accepts the key. Since the
// change is committed, every freshness lease granted from now on includes it, and
// every earlier lease expires within one lease duration.
func (s *Server) withdrawResponse(ctx context.Context, version uint64, waitMs uint32) *adminv1.WithdrawKeyResponse {
	committed := time.Now()
	inForce, live := s.waitInForce(ctx, version, waitMs)
	remaining := max(s.o.Lease-time.Since(committed), 0)
	return &adminv1.WithdrawKeyResponse{
		Version:         version,
		InForceWithinMs: uint32((remaining + time.Millisecond - 1) / time.Millisecond),
		VmsInForce:      inForce,
		VmsLive:         live,
	}
}

// resultText joins the message and the faults of a result.
func resultText(r *statev1.Result) string {
	parts := r.GetFaults()
	if r.GetMessage() != "" {
		parts = append([]string{r.GetMessage()}, parts...)
	}
	return strings.Join(parts, "; ")
}
