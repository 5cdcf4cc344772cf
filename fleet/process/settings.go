package process

// CoreSettings is the settings file of a core, as far as test fleets set it. A field that is
// left empty takes the daemon's default.
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

// SidecarSettings is the settings file of a sidecar, as far as test fleets set it. A field
// that is left empty takes the daemon's default.
type SidecarSettings struct {
	Node        string   `json:"node"`
	Address     string   `json:"address"`
	Listen      string   `json:"listen,omitempty"`
	ClientAddr  string   `json:"caller"`
	Zone        string   `json:"district"`
	Seeds       []string `json:"seeds"`
	StopSeconds int      `json:"stopS,omitempty"`
	// ServerIDHeader is the header by which endpoints tell their id when they are asked for their health.
	ServerIDHeader string `json:"serverIdHeader,omitempty"`
}
