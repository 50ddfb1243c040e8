package setup

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"geraniumstep.org/geraniumstep/pkg/canary"
)

// Relay holds the settings of a relay node.
type Relay struct {
	VM            string `yaml:"vm" validate:"required,hostname_rfc1123"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `yaml:"regions"`
	Listen  RelayListen       `yaml:"listen" validate:"required"`
	// ReadyPath is the path on which the load balancer requests the readiness of
	// the node.
	ReadyPath string   `yaml:"ready_path" validate:"required,startswith=/"`
	Platform  Platform `yaml:"platform" validate:"required"`
	// Peers are the initial addresses of other nodes, which may be stale.
	Peers []string `yaml:"peers" validate:"dive,hostname_port"`
	// FirstStart is set when all nodes start for the first time and receive no
	// requests from callers yet.
	FirstStart bool        `yaml:"first_start"`
	Budget     RelayBudget `yaml:"budget"`
	// Allotment bounds the requests of workspaces that have a limit. Without it their
	// limits are not enforced.
	Allotment *RelayAllotment `yaml:"allotment"`
	// Capacity is the amount of work that the node can do relative to other nodes,
	// given as the number of processor cores that it may use, possibly a fraction.
	Capacity float64 `yaml:"capacity" validate:"min=0.001,max=100000"`
	// MemoryMB is the memory available to the process in MB. The garbage collector
	// runs more often as memory use approaches it.
	MemoryMB int `yaml:"memory_mb" validate:"min=32,max=1048576"`
	// Canary is when a search that has completed nowhere yet waits for the result of one
	// shard request before the others are sent.
	Canary string    `yaml:"canary" validate:"oneof=never on_alert always"`
	Stop   RelayStop `yaml:"stop"`
	// Evacuation is the time within which the upstreams of an evacuated failure domain get
	// no more requests, or 0 if the evacuations are not followed.
	Evacuation time.Duration `yaml:"evacuation" validate:"omitempty,min=1s,max=10m"`
	// Pace is at which services upstreams that have started or recovered get their share of
	// the requests only as fast as they prove to be good for it.
	Pace string `yaml:"pace" validate:"oneof=auto always never"`
	// Cold bounds the requests to cold upstreams; nil if they are not bounded.
	Cold *RelayCold `yaml:"cold"`
	Log  Log        `yaml:"log"`
}

// RelayListen holds the listen addresses of a relay node.
type RelayListen struct {
	Caller string `yaml:"caller" validate:"required,hostname_port"`
	Ready  string `yaml:"ready" validate:"required,hostname_port"`
	Inner  string `yaml:"inner" validate:"required,hostname_port"`
	// Announce is the address at which other nodes reach Inner, if it differs from
	// the address of Inner.
	Announce string `yaml:"announce" validate:"omitempty,hostname_port"`
	Metrics  string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// Announced returns the address that the node announces to other nodes.
func (l RelayListen) Announced() string { return cmp.Or(l.Announce, l.Inner) }

// RelayBudget limits the additional sends to upstreams, beyond the first send of
// each request. The limit per window is Ratio times the number of requests plus
// Allowance, which all nodes share.
type RelayBudget struct {
	Ratio     float64       `yaml:"ratio" validate:"min=0,max=10"`
	Allowance int           `yaml:"allowance" validate:"min=0,max=1000000"`
	Window    time.Duration `yaml:"window" validate:"min=100ms,max=10m"`
	// Nodes is the number of nodes assumed to share the allowance and the
	// connections of upstreams while no other node is known.
	Nodes int `yaml:"nodes" validate:"min=1,max=100000"`
}

// RelayCold bounds the requests to a cold upstream in any second, from all nodes together:
// Excess times the rate that the configuration states, and Slack.
type RelayCold struct {
	Excess float64 `yaml:"excess" validate:"min=0,max=1000"`
	Slack  float64 `yaml:"slack" validate:"min=0,max=1000000"`
}

// RelayAllotment is the bound on the requests of a workspace in any window, over all nodes:
// (rate times Window plus burst) times (1 + Excess), plus Slack.
type RelayAllotment struct {
	Window time.Duration `yaml:"window" validate:"min=100ms,max=10m"`
	Excess float64       `yaml:"excess" validate:"min=0,max=100"`
	Slack  float64       `yaml:"slack" validate:"min=0,max=1000000"`
}

// RelayStop holds the durations of a graceful shutdown.
type RelayStop struct {
	// Grace is the time from the signal until the process must have exited.
	Grace time.Duration `yaml:"grace" validate:"min=100ms,max=10m"`
	// Notice is how long a node that is no longer ready still accepts connections,
	// so that the load balancer can detect the change.
	Notice time.Duration `yaml:"notice" validate:"min=0,max=5m"`
}

// RelayDefaults returns the values of settings that the file does not contain.
func RelayDefaults() Relay {
	return Relay{
		Platform: Platform{Timeout: 2 * time.Second},
		Budget:   RelayBudget{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second, Nodes: 32},
		Capacity: 1,
		MemoryMB: 256,
		Canary:   canary.OnAlert.String(),
		Pace:     "auto",
		Stop:     RelayStop{Grace: 6 * time.Second, Notice: 2500 * time.Millisecond},
		Log:      Log{Level: "info", Format: "json"},
	}
}

// LoadRelay reads settings from a file.
func LoadRelay(path string) (Relay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, merry.Prepend(ErrSettings, fmt.Sprintf("cannot read %s: %v; name a readable file with --config", path, err))
	}
	return ParseRelay(path, data)
}

// ParseRelay reads settings from YAML. The name identifies the file in error
// messages.
func ParseRelay(name string, data []byte) (Relay, error) {
	s := RelayDefaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(&s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %s", name, formatYAMLError(err)))
	}
	if err := newValidator().Struct(s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %v; see docs/CONFIGURATION.md for what each key allows", name, err))
	}
	if s.Stop.Notice >= s.Stop.Grace {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: stop.notice %v is not shorter than stop.grace %v; shorten it", name, s.Stop.Notice, s.Stop.Grace))
	}
	return s, nil
}
