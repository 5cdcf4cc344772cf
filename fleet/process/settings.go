package process

// CoreSettings is the part of a core's settings file that test fleets use. The daemon's default
// applies to optional fields that are empty.
type CoreSettings struct {
	Address     string   `json:"address"`
	Listen      string   `json:"listen,omitempty"`
	Zone        string   `json:"district"`
	Seeds       []string `json:"seeds"`
	Founders    []string `json:"founders,omitempty"`
	Voters      int      `json:"voters,omitempty"`
	DataDir     string   `json:"data"`
	RingFileMiB int      `json:"ringFileMiB,omitempty"`
	RingFiles   int      `json:"ringFiles,omitempty"`
}

// SidecarSettings is the part of a sidecar's settings file that test fleets use. The daemon's
// default applies to optional fields that are empty.
type SidecarSettings struct {
	Node        string   `json:"node"`
	Address     string   `json:"address"`
	Listen      string   `json:"listen,omitempty"`
	ClientAddr  string   `json:"caller"`
	Zone        string   `json:"district"`
	Seeds       []string `json:"seeds"`
	StopSeconds int      `json:"stopS,omitempty"`
	// ServerIDHeader is the response header in which endpoints return their ID to health checks.
	ServerIDHeader string `json:"serverIdHeader,omitempty"`
}
