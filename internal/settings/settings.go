// Package settings reads the TOML settings of radishloomd.
//
// Settings hold what differs between VMs: addresses, certificates, limits. What
// the whole fleet shares is in the configuration document (api/state/v1), which
// is replicated. Settings are read once, at startup; unknown keys are refused.
package settings

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the validated settings of one daemon. Paths are absolute or
// relative to the process; relative paths in the file are resolved against the
// folder of the file.
type Settings struct {
	// File is the path that the settings were read from.
	File       string
	VM         string
	DataCentre string
	LogLevel   slog.Level
	// GracePeriod bounds a graceful shutdown.
	GracePeriod time.Duration
	// ControlVMs are the addresses of the control role, in the order in which
	// they are tried before the first Sync.
	ControlVMs []string
	Caller     Listener
	Admin      Admin
	Peer       Peer
	// Metrics is the scrape listener; its address is empty if there is none.
	Metrics Metrics
	// Control is nil on a VM without the control role.
	Control *Control
	Limits  Limits
	// PlatformListURL is empty if the platform offers no list of VMs.
	PlatformListURL string
}

// Listener is an address to listen on, with TLS unless TLS is nil.
type Listener struct {
	Address        string
	AllowPlaintext bool
	TLS            *KeyPair
}

// KeyPair names the PEM files of a certificate and of its private key.
type KeyPair struct {
	Certificate string
	Key         string
}

// Admin is the listener of the administration API and its operators.
type Admin struct {
	Listener
	Operators []Operator
}

// Operator is a person or a program that may use the administration API.
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 of the operator's token.
	TokenSHA256 [sha256.Size]byte
}

// Peer configures the connections between this daemon and other daemons.
type Peer struct {
	// Address is the listener for calls of other daemons; empty on a VM without
	// the control role.
	Address        string
	AllowPlaintext bool
	// TLS is nil for plain text.
	TLS *MutualTLS
}

// MutualTLS names the PEM files of a certificate, of its private key and of the
// authority that signed the certificates of all daemons.
type MutualTLS struct {
	KeyPair
	CA string
}

// Metrics is the listener for scrapes; it has no TLS.
type Metrics struct {
	Address        string
	AllowPlaintext bool
}

// Control holds the settings of the control role.
type Control struct {
	// DataFolder holds the log, the snapshots and the member identifier.
	DataFolder string
	// Address is the address that other daemons use to reach Peer.Address. It
	// is recorded in the membership.
	Address string
	// Bootstrap creates a new fleet from BootstrapMembers. It is ignored once
	// the data folder holds a log.
	Bootstrap        bool
	BootstrapMembers []Member
}

// Member is one initial control VM.
type Member struct {
	VM         string
	DataCentre string
	Address    string
}

// Limits bound the resources of this VM that callers can use.
type Limits struct {
	HeaderBytes int
	// BodyBytes bounds one request body; a route can set less.
	BodyBytes int64
	// OpenRequests bounds the requests of all callers at this VM.
	OpenRequests int
	// CustomerOpenRequests bounds the requests of a customer for which the
	// configuration sets no limit.
	CustomerOpenRequests int
	// BodyMemoryBytes bounds the memory that all request bodies take together.
	BodyMemoryBytes int64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// FileDescriptors is the number of files and connections that the process may hold
	// open; zero for the limit of the operating system.
	FileDescriptors int
	// TimeToSend is how long a caller may take to send its whole request.
	TimeToSend time.Duration
	// TimeToRead is how long a caller may take to read each part of a response.
	TimeToRead time.Duration
}

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line is zero if the fault does not belong to one line.
	Line int
	// Key is the dotted key, for example "caller.address".
	Key   string
	Value string
	// Allowed describes the values that the key accepts.
	Allowed string
}

// Error returns the fault as one line.
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s = %s: allowed: %s", location, f.Key, f.Value, f.Allowed)
}

// Faults lists all faults of a settings file. It is the error type of Load.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. An error is always of type Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Key: "(file)", Value: err.Error(), Allowed: "a readable TOML file"}}
	}
	c := &checker{file: path}
	doc := defaults()
	c.decode(data, doc)
	if c.decodeFailed {
		return nil, c.faults
	}
	s := c.build(doc)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return s, nil
}

// decode fills doc and records unknown keys and wrong types.
func (c *checker) decode(data []byte, doc *document) {
	err := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(doc)
	if err == nil {
		return
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for i := range missing.Errors {
			c.unknownKey(&missing.Errors[i])
		}
		return
	}
	c.decodeFailed = true
	fault := Fault{File: c.file, Key: "(document)", Value: err.Error(), Allowed: "valid TOML with the types of docs/configuration.md"}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		fault.Line, _ = decodeError.Position()
		if key := decodeError.Key(); len(key) > 0 {
			fault.Key = strings.Join(key, ".")
		}
		fault.Value = redactedLine(data, fault.Line)
		fault.Allowed = strings.TrimPrefix(err.Error(), "toml: ")
	}
	c.faults = append(c.faults, fault)
}

func (c *checker) unknownKey(e *toml.DecodeError) {
	line, _ := e.Position()
	c.faults = append(c.faults, Fault{
		File: c.file, Line: line, Key: strings.Join(e.Key(), "."), Value: "(unknown key)",
		Allowed: "a key of docs/configuration.md",
	})
}

// redactedLine returns a line of the file, or a placeholder if the line does not
// exist or could hold an operator's token.
func redactedLine(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) || strings.Contains(lines[line-1], "token") {
		return "(not shown)"
	}
	return strings.TrimSpace(lines[line-1])
}
