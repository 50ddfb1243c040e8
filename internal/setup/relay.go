package setup

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// Relay is the settings of a node that relays requests on a platform.
type Relay struct {
	VM            string `yaml:"vm" validate:"required,hostname_rfc1123"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Regions names the region of each failure domain.
	Regions map[string]string `yaml:"regions"`
	Listen  RelayListen       `yaml:"listen" validate:"required"`
	// ReadyPath is where the balancer asks whether the node takes callers.
	ReadyPath string   `yaml:"ready_path" validate:"required,startswith=/"`
	Platform  Platform `yaml:"platform" validate:"required"`
	// Peers are addresses of other nodes to begin with, possibly stale.
	Peers []string `yaml:"peers" validate:"dive,hostname_port"`
	// FirstStart tells that all nodes start for the first time, without callers.
	FirstStart bool        `yaml:"first_start"`
	Budget     RelayBudget `yaml:"budget"`
	// Capacity is how much work the node can do relative to others, as its
	// share of a processor core.
	Capacity float64 `yaml:"capacity" validate:"min=0.001,max=100000"`
	// MemoryMB bounds the process; the collector works harder near it.
	MemoryMB int       `yaml:"memory_mb" validate:"min=32,max=1048576"`
	Stop     RelayStop `yaml:"stop"`
	Log      Log       `yaml:"log"`
}

// RelayListen names the addresses of a node that relays.
type RelayListen struct {
	Caller string `yaml:"caller" validate:"required,hostname_port"`
	Ready  string `yaml:"ready" validate:"required,hostname_port"`
	Inner  string `yaml:"inner" validate:"required,hostname_port"`
	// Announce is where other nodes reach Inner, if not at that address.
	Announce string `yaml:"announce" validate:"omitempty,hostname_port"`
	Metrics  string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// Announced is the address that other nodes are told.
func (l RelayListen) Announced() string { return cmp.Or(l.Announce, l.Inner) }

// RelayBudget bounds what upstreams receive beyond the first send of each
// request: a share of the requests and an allowance of all nodes together, in
// each window.
type RelayBudget struct {
	Ratio     float64       `yaml:"ratio" validate:"min=0,max=10"`
	Allowance int           `yaml:"allowance" validate:"min=0,max=1000000"`
	Window    time.Duration `yaml:"window" validate:"min=100ms,max=10m"`
	// Nodes is how many nodes are taken to share the allowance and the
	// connections of upstreams while no other node is known.
	Nodes int `yaml:"nodes" validate:"min=1,max=100000"`
}

// RelayStop sets the times of a graceful shutdown.
type RelayStop struct {
	// Grace is the time from the signal until the process must have ended.
	Grace time.Duration `yaml:"grace" validate:"min=100ms,max=10m"`
	// Notice is how long a node that is no longer ready goes on taking
	// connections, until the balancer has noticed.
	Notice time.Duration `yaml:"notice" validate:"min=0,max=5m"`
}

// RelayDefaults are the settings in force where the file is silent.
func RelayDefaults() Relay {
	return Relay{
		Platform: Platform{Timeout: 2 * time.Second},
		Budget:   RelayBudget{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second, Nodes: 32},
		Capacity: 1,
		MemoryMB: 256,
		Stop:     RelayStop{Grace: 6 * time.Second, Notice: 2500 * time.Millisecond},
		Log:      Log{Level: "info", Format: "json"},
	}
}

// LoadRelay reads the settings of a file.
func LoadRelay(path string) (Relay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, merry.Prepend(ErrSettings, fmt.Sprintf("cannot read %s: %v; name a readable file with --config", path, err))
	}
	return ParseRelay(path, data)
}

// ParseRelay reads settings from YAML. The name is for messages.
func ParseRelay(name string, data []byte) (Relay, error) {
	s := RelayDefaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(&s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %s", name, explain(err)))
	}
	if err := newValidator().Struct(s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %v; see docs/CONFIGURATION.md for what each key allows", name, err))
	}
	if s.Stop.Notice >= s.Stop.Grace {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: stop.notice %v leaves nothing of stop.grace %v; shorten it", name, s.Stop.Notice, s.Stop.Grace))
	}
	return s, nil
}
