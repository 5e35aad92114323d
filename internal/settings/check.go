package settings

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	maxGracePeriod   = 10 * time.Minute
	maxCallerTimeout = time.Hour
	maxHeaderBytes   = 1 << 20
	maxBodyBytes     = 1 << 30
	maxOpenRequests  = 1 << 20
	// minMemoryBytes is about twice what a daemon takes at rest.
	minMemoryBytes = 64 << 20
	maxMemoryBytes = 1 << 40
	// maxFileDescriptors is the default of fs.nr_open, above which Linux refuses a limit.
	maxFileDescriptors = 1 << 20
	// maxControlVMs is the largest number of control VMs that the design supports.
	maxControlVMs = 7
	// minTokenBytes rejects tokens that are short enough to be guessed.
	minTokenBytes = 16
)

const nameRule = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"

// checker collects the faults of one file.
type checker struct {
	file   string
	faults Faults
	// decodeFailed is set if the document could not be decoded completely.
	decodeFailed bool
	// listeners maps each address that this daemon listens on to its key.
	listeners map[netip.AddrPort]string
}

func (c *checker) add(key, value, allowed string) {
	c.faults = append(c.faults, Fault{File: c.file, Key: key, Value: strconv.Quote(value), Allowed: allowed})
}

func (c *checker) build(d *document) *Settings {
	c.listeners = make(map[netip.AddrPort]string)
	s := &Settings{
		File:        c.file,
		VM:          c.checkName("vm", d.VM),
		DataCentre:  c.checkName("data_centre", d.DataCentre),
		LogLevel:    c.logLevel(d.LogLevel),
		GracePeriod: c.duration("grace_period", d.GracePeriod, time.Second, maxGracePeriod),
		ControlVMs:  c.controlVMs(d.ControlVMs),
	}
	s.Caller = c.listener("caller", d.Caller)
	s.Admin.Listener = c.listener("admin", listenerDoc{d.Admin.Address, d.Admin.AllowPlaintext, d.Admin.TLS})
	s.Admin.Operators = c.operators(d.Admin.Operators)
	s.Peer = c.peer(d)
	s.Metrics = c.metrics(d.Metrics)
	s.Control = c.control(d)
	s.Limits = c.limits(d.Limits)
	s.PlatformListURL = c.platform(d.Platform)
	return s
}

func (c *checker) checkName(key, value string) string {
	if !regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`).MatchString(value) {
		c.add(key, value, nameRule)
	}
	return value
}

func (c *checker) logLevel(value string) slog.Level {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	level, ok := levels[value]
	if !ok {
		c.add("log_level", value, `"debug", "info", "warn" or "error"`)
	}
	return level
}

func (c *checker) duration(key string, value any, lowest, highest time.Duration) time.Duration {
	allowed := fmt.Sprintf(`a string with a unit, for example "30s", from %s to %s`, lowest, highest)
	text, ok := value.(string)
	if !ok {
		c.faults = append(c.faults, Fault{File: c.file, Key: key, Value: fmt.Sprint(value), Allowed: allowed})
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < lowest || d > highest {
		c.add(key, text, allowed)
		return 0
	}
	return d
}

// address parses IP:port. An unspecified IP is accepted only for listening.
func (c *checker) address(key, value string, listen bool) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		c.add(key, value, `IP:port, for example "10.1.0.5:8080" or "[2001:db8::5]:8080"`)
		return netip.AddrPort{}, false
	}
	if !listen && a.Addr().IsUnspecified() {
		c.add(key, value, "an IP that other VMs can connect to")
		return netip.AddrPort{}, false
	}
	return a, true
}

// listenAddress checks an address that this daemon listens on, and that no other
// listener uses it.
func (c *checker) listenAddress(key, value string) (netip.AddrPort, bool) {
	a, ok := c.address(key, value, true)
	if !ok {
		return a, false
	}
	for other, otherKey := range c.listeners {
		if other.Port() != a.Port() {
			continue
		}
		if other.Addr() == a.Addr() || other.Addr().IsUnspecified() || a.Addr().IsUnspecified() {
			c.add(key, value, fmt.Sprintf("an address that differs from that of %s", otherKey))
			return a, false
		}
	}
	c.listeners[a] = key
	return a, true
}

// checkPlaintext reports missing TLS for an address that is not a loopback
// address, unless the settings allow plain text.
func (c *checker) checkPlaintext(key string, a netip.AddrPort, allow bool) {
	if !a.Addr().IsLoopback() && !allow {
		c.add(key+".tls", "(missing)", fmt.Sprintf(
			"a TLS certificate, since %s is not a loopback address; or %s.allow_plaintext = true", a, key))
	}
}

func (c *checker) listener(key string, d listenerDoc) Listener {
	l := Listener{Address: d.Address, AllowPlaintext: d.AllowPlaintext}
	a, ok := c.listenAddress(key+".address", d.Address)
	if d.TLS == nil {
		if ok {
			c.checkPlaintext(key, a, d.AllowPlaintext)
		}
		return l
	}
	if d.TLS.CA != "" {
		c.add(key+".tls.ca", d.TLS.CA, "only in peer.tls; callers and operators show no certificate")
	}
	pair := c.keyPair(key+".tls", d.TLS)
	l.TLS = &pair
	return l
}

// resolvePath resolves a path against the folder of the settings file.
func (c *checker) resolvePath(p string) string {
	if filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(c.file), p)
}

func (c *checker) keyPair(key string, d *tlsDoc) KeyPair {
	pair := KeyPair{Certificate: c.resolvePath(d.Certificate), Key: c.resolvePath(d.Key)}
	readable := c.pemFile(key+".certificate", d.Certificate)
	readable = c.pemFile(key+".key", d.Key) && readable
	if !readable {
		return pair
	}
	if _, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key); err != nil {
		c.add(key+".certificate", d.Certificate, fmt.Sprintf("a PEM certificate that matches the private key (%v)", err))
	}
	return pair
}

func (c *checker) pemFile(key, value string) bool {
	if value == "" {
		c.add(key, value, "the path of a PEM file")
		return false
	}
	if _, err := os.ReadFile(c.resolvePath(value)); err != nil {
		c.add(key, value, fmt.Sprintf("a readable PEM file (%v)", err))
		return false
	}
	return true
}

func (c *checker) operators(docs []operatorDoc) []Operator {
	if len(docs) == 0 {
		c.add("admin.operators", "", "at least one operator")
	}
	names := make(map[string]bool)
	var operators []Operator
	for i, d := range docs {
		key := fmt.Sprintf("admin.operators[%d]", i)
		c.checkName(key+".name", d.Name)
		if names[d.Name] {
			c.add(key+".name", d.Name, "a name that no other operator has")
		}
		names[d.Name] = true
		operators = append(operators, Operator{Name: d.Name, TokenSHA256: c.tokenHash(key, d)})
	}
	return operators
}

// tokenHash never shows the value of token_sha256 in a fault, since the token
// itself could have been written there by mistake.
func (c *checker) tokenHash(key string, d operatorDoc) [sha256.Size]byte {
	var hash [sha256.Size]byte
	if (d.TokenSHA256 == "") == (d.TokenFile == "") {
		c.add(key, "", "exactly one of token_sha256 and token_file")
		return hash
	}
	if d.TokenFile != "" {
		return c.tokenFile(key+".token_file", d.TokenFile)
	}
	decoded, err := hex.DecodeString(d.TokenSHA256)
	if err != nil || len(decoded) != sha256.Size {
		c.add(key+".token_sha256", "(not shown)", "the SHA-256 of the token as 64 hexadecimal digits; never the token itself")
		return hash
	}
	copy(hash[:], decoded)
	return hash
}

func (c *checker) tokenFile(key, value string) [sha256.Size]byte {
	data, err := os.ReadFile(c.resolvePath(value))
	if err != nil {
		c.add(key, value, fmt.Sprintf("a readable file that holds the token (%v)", err))
		return [sha256.Size]byte{}
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		c.add(key, value, fmt.Sprintf("a file that holds a token of at least %d bytes", minTokenBytes))
	}
	return sha256.Sum256([]byte(token))
}

func (c *checker) peer(d *document) Peer {
	p := Peer{Address: d.Peer.Address, AllowPlaintext: d.Peer.AllowPlaintext}
	switch {
	case d.Control != nil:
		c.listenAddress("peer.address", d.Peer.Address)
	case d.Peer.Address != "":
		c.add("peer.address", d.Peer.Address, "unset without [control]; only control VMs listen for other daemons")
	}
	if d.Peer.TLS == nil {
		c.checkPeerPlaintext(d)
		return p
	}
	p.TLS = &MutualTLS{KeyPair: c.keyPair("peer.tls", d.Peer.TLS), CA: c.resolvePath(d.Peer.TLS.CA)}
	if !c.pemFile("peer.tls.ca", d.Peer.TLS.CA) {
		return p
	}
	data, err := os.ReadFile(p.TLS.CA)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(data) {
		c.add("peer.tls.ca", d.Peer.TLS.CA, "a PEM file with at least one certificate")
	}
	return p
}

// checkPeerPlaintext reports one fault if plain text is not allowed and any peer
// address is not a loopback address.
func (c *checker) checkPeerPlaintext(d *document) {
	for _, value := range append([]string{d.Peer.Address}, d.ControlVMs...) {
		a, err := netip.ParseAddrPort(value)
		if err == nil && !a.Addr().IsLoopback() && !d.Peer.AllowPlaintext {
			c.checkPlaintext("peer", a, false)
			return
		}
	}
}

func (c *checker) metrics(d metricsDoc) Metrics {
	if d.Address == "" {
		return Metrics{}
	}
	a, ok := c.listenAddress("metrics.address", d.Address)
	if ok && !a.Addr().IsLoopback() && !d.AllowPlaintext {
		c.add("metrics.address", d.Address, "a loopback address; or metrics.allow_plaintext = true, since scrapes have no TLS")
	}
	return Metrics(d)
}

func (c *checker) controlVMs(values []string) []string {
	if len(values) < 1 || len(values) > maxControlVMs {
		c.add("control_vms", strings.Join(values, ", "), fmt.Sprintf("1 to %d addresses", maxControlVMs))
	}
	seen := make(map[netip.AddrPort]bool)
	for i, value := range values {
		key := fmt.Sprintf("control_vms[%d]", i)
		a, ok := c.address(key, value, false)
		if ok && seen[a] {
			c.add(key, value, "an address that is listed once")
		}
		seen[a] = true
	}
	return values
}

func (c *checker) control(d *document) *Control {
	if d.Control == nil {
		return nil
	}
	if d.Control.DataFolder == "" {
		c.add("control.data_folder", "", "the path of a folder on this VM's disk")
	}
	own, ok := c.address("control.address", d.Control.Address, false)
	control := &Control{
		DataFolder: c.resolvePath(d.Control.DataFolder),
		Address:    d.Control.Address,
		Bootstrap:  d.Control.Bootstrap,
	}
	control.BootstrapMembers = c.members(d.Control.BootstrapMembers)
	if !d.Control.Bootstrap || !ok {
		return control
	}
	for _, m := range control.BootstrapMembers {
		if a, err := netip.ParseAddrPort(m.Address); err == nil && a == own && m.VM == d.VM {
			return control
		}
	}
	c.add("control.bootstrap_members", "", fmt.Sprintf("a list with this VM: vm = %q, address = %q", d.VM, d.Control.Address))
	return control
}

func (c *checker) members(docs []memberDoc) []Member {
	if len(docs) > maxControlVMs {
		c.add("control.bootstrap_members", fmt.Sprint(len(docs)), fmt.Sprintf("at most %d members", maxControlVMs))
	}
	addresses := make(map[netip.AddrPort]bool)
	names := make(map[string]bool)
	var members []Member
	for i, d := range docs {
		key := fmt.Sprintf("control.bootstrap_members[%d]", i)
		c.checkName(key+".vm", d.VM)
		c.checkName(key+".data_centre", d.DataCentre)
		a, ok := c.address(key+".address", d.Address, false)
		if ok && addresses[a] {
			c.add(key+".address", d.Address, "an address that no other member has")
		}
		if names[d.VM] {
			c.add(key+".vm", d.VM, "a VM that is listed once")
		}
		addresses[a] = true
		names[d.VM] = true
		members = append(members, Member(d))
	}
	return members
}

func (c *checker) limits(d limitsDoc) Limits {
	l := Limits{
		HeaderBytes:          int(c.checkRange("limits.header_bytes", d.HeaderBytes, 1024, maxHeaderBytes)),
		BodyBytes:            c.checkRange("limits.body_bytes", d.BodyBytes, 1024, maxBodyBytes),
		OpenRequests:         int(c.checkRange("limits.open_requests", d.OpenRequests, 1, maxOpenRequests)),
		CustomerOpenRequests: int(c.checkRange("limits.customer_open_requests", d.CustomerOpenRequests, 1, maxOpenRequests)),
		BodyMemoryBytes:      c.checkRange("limits.body_memory_bytes", d.BodyMemoryBytes, 1024, 1<<36),
		MemoryBytes:          c.checkRange("limits.memory_bytes", d.MemoryBytes, minMemoryBytes, maxMemoryBytes),
		FileDescriptors:      int(c.checkRange("limits.file_descriptors", d.FileDescriptors, 0, maxFileDescriptors)),
		TimeToSend:           c.duration("limits.time_to_send", d.TimeToSend, 100*time.Millisecond, maxCallerTimeout),
		TimeToRead:           c.duration("limits.time_to_read", d.TimeToRead, 100*time.Millisecond, maxCallerTimeout),
	}
	if l.BodyMemoryBytes < l.BodyBytes {
		c.add("limits.body_memory_bytes", fmt.Sprint(d.BodyMemoryBytes), "at least limits.body_bytes")
	}
	return l
}

func (c *checker) checkRange(key string, value, lowest, highest int64) int64 {
	if value < lowest || value > highest {
		c.add(key, fmt.Sprint(value), fmt.Sprintf("%d to %d", lowest, highest))
	}
	return value
}

func (c *checker) platform(d *platformDoc) string {
	if d == nil {
		return ""
	}
	u, err := url.Parse(d.ListURL)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.User == nil {
		if _, err := netip.ParseAddrPort(u.Host); err == nil {
			return d.ListURL
		}
	}
	c.add("platform.list_url", d.ListURL, `an http or https URL with IP:port, for example "http://10.0.0.2:7000/v1/vms"`)
	return d.ListURL
}
