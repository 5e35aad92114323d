package settings

// document is the settings file as decoded from TOML. Durations have the type
// any, so that a wrong type is reported together with the other faults.
type document struct {
	VM          string       `toml:"vm"`
	DataCentre  string       `toml:"data_centre"`
	LogLevel    string       `toml:"log_level"`
	GracePeriod any          `toml:"grace_period"`
	ControlVMs  []string     `toml:"control_vms"`
	Caller      listenerDoc  `toml:"caller"`
	Admin       adminDoc     `toml:"admin"`
	Peer        peerDoc      `toml:"peer"`
	Metrics     metricsDoc   `toml:"metrics"`
	Control     *controlDoc  `toml:"control"`
	Limits      limitsDoc    `toml:"limits"`
	Platform    *platformDoc `toml:"platform"`
}

type listenerDoc struct {
	Address        string  `toml:"address"`
	AllowPlaintext bool    `toml:"allow_plaintext"`
	TLS            *tlsDoc `toml:"tls"`
}

type tlsDoc struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

type adminDoc struct {
	Address        string        `toml:"address"`
	AllowPlaintext bool          `toml:"allow_plaintext"`
	TLS            *tlsDoc       `toml:"tls"`
	Operators      []operatorDoc `toml:"operators"`
}

type operatorDoc struct {
	Name        string `toml:"name"`
	TokenSHA256 string `toml:"token_sha256"`
	TokenFile   string `toml:"token_file"`
}

type peerDoc struct {
	Address        string  `toml:"address"`
	AllowPlaintext bool    `toml:"allow_plaintext"`
	TLS            *tlsDoc `toml:"tls"`
}

type metricsDoc struct {
	Address        string `toml:"address"`
	AllowPlaintext bool   `toml:"allow_plaintext"`
}

type controlDoc struct {
	DataFolder       string      `toml:"data_folder"`
	Address          string      `toml:"address"`
	Bootstrap        bool        `toml:"bootstrap"`
	BootstrapMembers []memberDoc `toml:"bootstrap_members"`
}

type memberDoc struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Address    string `toml:"address"`
}

type limitsDoc struct {
	HeaderBytes          int64 `toml:"header_bytes"`
	BodyBytes            int64 `toml:"body_bytes"`
	OpenRequests         int64 `toml:"open_requests"`
	CustomerOpenRequests int64 `toml:"customer_open_requests"`
	BodyMemoryBytes      int64 `toml:"body_memory_bytes"`
	MemoryBytes          int64 `toml:"memory_bytes"`
	FileDescriptors      int64 `toml:"file_descriptors"`
	TimeToSend           any   `toml:"time_to_send"`
	TimeToRead           any   `toml:"time_to_read"`
}

type platformDoc struct {
	ListURL string `toml:"list_url"`
}

// defaults returns the values of keys that a file does not set. The default of
// body_memory_bytes leaves three quarters of the 256 MB that docs/design.md
// allows for a VM to everything else.
func defaults() *document {
	return &document{
		LogLevel:    "info",
		GracePeriod: "30s",
		Limits: limitsDoc{
			HeaderBytes:          64 << 10,
			BodyBytes:            8 << 20,
			OpenRequests:         4096,
			CustomerOpenRequests: 1024,
			BodyMemoryBytes:      64 << 20,
			MemoryBytes:          256 << 20,
			TimeToSend:           "10s",
			TimeToRead:           "30s",
		},
	}
}
