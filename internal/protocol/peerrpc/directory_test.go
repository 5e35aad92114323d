package peerrpc

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// refusingDirectory refuses every load with a code.
type refusingDirectory struct {
	Directory
	code resultcode.Code
}

func (d refusingDirectory) Load(context.Context, *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	return nil, resultcode.New(d.code, "refused")
}

// Guards against an entry that takes the refusal of a load for a failure of the leader, and
// so lets the request wait.
func TestCodeOfRefusedLoadArrives(t *testing.T) {
	for _, code := range []resultcode.Code{resultcode.NoEndpoint, resultcode.ModelLoading} {
		server := httptest.NewServer(NewDirectoryHandler(nil, refusingDirectory{code: code}))
		defer server.Close()
		transport := NewTransport(Options{})
		defer transport.Close()
		_, err := transport.Load(t.Context(), strings.TrimPrefix(server.URL, "http://"), &peerv1.LoadRequest{SoftwareVersion: "v1"})
		if got := resultcode.Of(err); got != code {
			t.Errorf("code %v, want %v", got, code)
		}
	}
}
