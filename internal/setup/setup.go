// Package setup reads and validates the settings of a node. Errors in the file are
// reported with their line, their column and how to correct them:
//
//	s, err := setup.Load("node.yaml")
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// ErrSettings is the error, in the sense of errors.Is, for invalid settings.
var ErrSettings = merry.New("settings not accepted")

// Settings holds the settings of one node. Durations are written as in 150ms.
type Settings struct {
	VM            string   `yaml:"vm" validate:"required,hostname_rfc1123"`
	FailureDomain string   `yaml:"failure_domain" validate:"required"`
	Listen        Listen   `yaml:"listen" validate:"required"`
	Platform      Platform `yaml:"platform" validate:"required"`
	Peers         []string `yaml:"peers" validate:"dive,hostname_port"`
	Seed          uint64   `yaml:"seed"`
	Limits        Limits   `yaml:"limits"`
	Leases        Leases   `yaml:"leases"`
	Routing       Routing  `yaml:"routing"`
	Stop          Stop     `yaml:"stop"`
	Log           Log      `yaml:"log"`
	TLS           TLS      `yaml:"tls"`
	// Operators lists who may change the configuration. If it is empty, changes
	// are accepted from loopback only.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// Listen holds the listen addresses of a node, each an IP address and a port.
type Listen struct {
	Caller string `yaml:"caller" validate:"required,hostname_port"`
	Inner  string `yaml:"inner" validate:"required,hostname_port"`
	Gossip string `yaml:"gossip" validate:"required,hostname_port"`
}

// Platform holds the URL and the request timeout of the platform's object API.
type Platform struct {
	URL     string        `yaml:"url" validate:"required,url"`
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
}

// Limits holds the limits on requests of callers.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes" validate:"min=64,max=16777216"`
	HeaderBytes int   `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	FanOut      int   `yaml:"fan_out" validate:"min=1,max=10000"`
	InFlight    int   `yaml:"in_flight" validate:"min=1,max=100000"`
	// InFlightBytes limits the total size of the request bodies and results that
	// are in memory at the same time.
	InFlightBytes int64 `yaml:"in_flight_bytes" validate:"min=65536"`
	Queue         int   `yaml:"queue" validate:"min=1,max=100000"`
}

// Leases holds the parameters of the leases on the key space. They must be equal
// on all nodes.
type Leases struct {
	TTL    time.Duration `yaml:"ttl" validate:"min=1s,max=5m"`
	Margin time.Duration `yaml:"clock_margin" validate:"min=1ms,max=1m"`
	Slots  int           `yaml:"slots" validate:"min=1,max=65536"`
	Window time.Duration `yaml:"key_window" validate:"min=1s,max=24h"`
}

// Routing holds the settings for sending shard requests to upstreams.
type Routing struct {
	Mode          string  `yaml:"mode" validate:"oneof=front independent shared"`
	Policy        string  `yaml:"policy" validate:"oneof=least-cost random"`
	Queue         string  `yaml:"queue" validate:"oneof=priority fifo"`
	Hedge         bool    `yaml:"hedge"`
	HedgeQuantile float64 `yaml:"hedge_quantile" validate:"gt=0,lt=1"`
	HedgeBudget   float64 `yaml:"hedge_budget" validate:"min=0,max=1"`
	RescueBudget  float64 `yaml:"rescue_budget" validate:"min=0,max=1"`
	RetryBudget   float64 `yaml:"retry_budget" validate:"min=0,max=1"`
	Canary        bool    `yaml:"canary"`
	Claimants     int     `yaml:"claimants" validate:"min=1,max=64"`
	StandardShare float64 `yaml:"standard_share" validate:"min=0,max=0.45"`
	BulkShare     float64 `yaml:"bulk_share" validate:"min=0,max=0.45"`
	BulkSpare     int     `yaml:"bulk_spare_slots" validate:"min=0,max=1000"`
}

// Stop holds the durations of a graceful shutdown.
type Stop struct {
	// Notice is how long a node that is no longer ready still accepts requests, so
	// that the load balancer can detect the change.
	Notice time.Duration `yaml:"notice" validate:"min=0,max=5m"`
	// Grace is the time that requests in flight have to finish.
	Grace time.Duration `yaml:"grace" validate:"min=0,max=10m"`
}

// Log holds the level and format of the log.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// TLS holds the paths of certificate and key files in PEM form. The files are
// reloaded when they change.
type TLS struct {
	Caller   Pair `yaml:"caller"`
	Inner    Pair `yaml:"inner"`
	Upstream Pair `yaml:"upstream"`
	Platform Pair `yaml:"platform"`
	// GossipKey is the path of a file with the key, 32 bytes in hex, that encrypts
	// membership datagrams. All nodes use the same key.
	GossipKey string `yaml:"gossip_key"`
	// AllowPlaintext allows listening without TLS on addresses other than loopback.
	AllowPlaintext bool `yaml:"allow_plaintext"`
}

// Pair holds the files of a certificate, its key and the certificate authority that
// must have issued the certificate of the other side. If a listener has a CA,
// clients must present a certificate.
type Pair struct {
	Cert string `yaml:"cert" validate:"required_with=Key"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
	CA   string `yaml:"ca"`
}

// Enabled reports whether TLS is used.
func (p Pair) Enabled() bool { return p.Cert != "" || p.CA != "" }

// Operator is a person or program that may change the configuration. It is
// identified by the SHA-256 of a bearer token, in hex.
type Operator struct {
	Name        string `yaml:"name" validate:"required"`
	TokenSHA256 string `yaml:"token_sha256" validate:"len=64,hexadecimal"`
}

// Defaults returns the values of settings that the file does not contain.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Limits: Limits{
			BodyBytes: 64 << 10, HeaderBytes: 16 << 10, FanOut: 1000,
			InFlight: 2000, InFlightBytes: 128 << 20, Queue: 64,
		},
		Leases: Leases{TTL: 10 * time.Second, Margin: 500 * time.Millisecond, Slots: 64, Window: 5 * time.Minute},
		Routing: Routing{
			Mode: "front", Policy: "least-cost", Queue: "priority",
			Hedge: true, HedgeQuantile: 0.99, HedgeBudget: 0.015, RescueBudget: 0.03, RetryBudget: 0.1,
			Canary: true, Claimants: 3, StandardShare: 0.08, BulkShare: 0.04,
		},
		Stop: Stop{Notice: 2 * time.Second, Grace: 15 * time.Second},
		Log:  Log{Level: "info", Format: "text"},
	}
}

// Load reads settings from a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(ErrSettings, fmt.Sprintf("cannot read %s: %v; name a readable file with --config", path, err))
	}
	return Parse(path, data)
}

// Parse reads settings from YAML. The name identifies the file in error messages.
func Parse(name string, data []byte) (Settings, error) {
	s := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(&s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %s", name, formatYAMLError(err)))
	}
	if err := s.validate(); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %v", name, err))
	}
	return s, nil
}

func newValidator() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
}

// formatYAMLError formats an error with its position in the file, if it has one.
func formatYAMLError(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return yaml.FormatError(err, false, true)
	}
	return err.Error()
}

// validate checks the fields and the constraints between them.
func (s Settings) validate() error {
	if err := newValidator().Struct(s); err != nil {
		return fmt.Errorf("%v; see docs/CONFIGURATION.md for what each key allows", err)
	}
	if s.Leases.Margin*4 > s.Leases.TTL {
		return fmt.Errorf("leases.clock_margin %v is over a quarter of leases.ttl %v; lengthen the ttl", s.Leases.Margin, s.Leases.TTL)
	}
	if s.Routing.StandardShare+s.Routing.BulkShare > 0.5 {
		return fmt.Errorf("routing.standard_share and bulk_share add up to more than 0.5; lower them, urgent requests would get less than half of the dispatches")
	}
	return s.checkPlaintext()
}

// checkPlaintext rejects listen addresses other than loopback without TLS, unless
// AllowPlaintext is set.
func (s Settings) checkPlaintext() error {
	if s.TLS.AllowPlaintext {
		return nil
	}
	listeners := []struct {
		key, addr, remedy string
		secure            bool
	}{
		{"caller", s.Listen.Caller, "tls.caller", s.TLS.Caller.Enabled()},
		{"inner", s.Listen.Inner, "tls.inner", s.TLS.Inner.Enabled()},
		{"gossip", s.Listen.Gossip, "tls.gossip_key", s.TLS.GossipKey != ""},
	}
	for _, l := range listeners {
		addr, err := netip.ParseAddrPort(l.addr)
		if err != nil {
			return fmt.Errorf("listen.%s is %q; write an IP address and a port, as in 127.0.0.1:8080", l.key, l.addr)
		}
		if !addr.Addr().IsLoopback() && !l.secure {
			return fmt.Errorf("listen.%s %q is not loopback and has no TLS; set %s, or tls.allow_plaintext: true", l.key, l.addr, l.remedy)
		}
	}
	return nil
}
