package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against a change that is reported as made, or a list that is reported as empty,
// since the beginning of the answer decoded.
func TestResponsesWithoutFramingAreNotBelieved(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		args []string
		exit int
	}{
		{"change", []string{"evacuate", "east"}, ExitUnconfirmed},
		{"list", []string{"evacuations"}, ExitUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := rawserver.Always(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n")
			args := append([]string{"--token-file", token, "--server", "http://" + address, "--timeout", "300ms"}, tt.args...)
			if exit, stdout, stderr := runTool(args...); exit != tt.exit {
				t.Errorf("exit %d, want %d: %q, %q", exit, tt.exit, stdout, stderr)
			}
		})
	}
}
