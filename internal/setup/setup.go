// Package setup reads and checks the settings of a node. A mistake is reported
// with its line, its column and what to write instead.
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

// ErrSettings marks settings that cannot be used.
var ErrSettings = merry.New("settings not accepted")

// Settings are the settings of one node. Durations are written as in 150ms.
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
	// Operators may change the configuration. Without any, changes are
	// accepted from loopback only.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// Listen names the addresses of a node, each an IP address and a port.
type Listen struct {
	Caller string `yaml:"caller" validate:"required,hostname_port"`
	Inner  string `yaml:"inner" validate:"required,hostname_port"`
	Gossip string `yaml:"gossip" validate:"required,hostname_port"`
}

// Platform tells where the platform's object API is.
type Platform struct {
	URL     string        `yaml:"url" validate:"required,url"`
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
}

// Limits bound what callers may use.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes" validate:"min=64,max=16777216"`
	HeaderBytes int   `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	FanOut      int   `yaml:"fan_out" validate:"min=1,max=10000"`
	InFlight    int   `yaml:"in_flight" validate:"min=1,max=100000"`
	// InFlightBytes bounds the bodies and results held in memory at once.
	InFlightBytes int64 `yaml:"in_flight_bytes" validate:"min=65536"`
	Queue         int   `yaml:"queue" validate:"min=1,max=100000"`
}

// Leases are the times of leases on the key space. All nodes must agree.
type Leases struct {
	TTL    time.Duration `yaml:"ttl" validate:"min=1s,max=5m"`
	Margin time.Duration `yaml:"clock_margin" validate:"min=1ms,max=1m"`
	Slots  int           `yaml:"slots" validate:"min=1,max=65536"`
	Window time.Duration `yaml:"key_window" validate:"min=1s,max=24h"`
}

// Routing sets how sub-requests reach upstreams.
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

// Stop sets the times of a graceful shutdown.
type Stop struct {
	// Notice is how long a node that is no longer ready goes on taking
	// requests, until the balancer has noticed.
	Notice time.Duration `yaml:"notice" validate:"min=0,max=5m"`
	// Grace is how long requests in flight may take to finish.
	Grace time.Duration `yaml:"grace" validate:"min=0,max=10m"`
}

// Log sets the log's level and format.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// TLS names the files of certificates and keys in PEM form. They are read
// again when they change.
type TLS struct {
	Caller   Pair `yaml:"caller"`
	Inner    Pair `yaml:"inner"`
	Upstream Pair `yaml:"upstream"`
	Platform Pair `yaml:"platform"`
	// GossipKey names a file with 32 bytes in hex, by which membership
	// datagrams are encrypted. All nodes share it.
	GossipKey string `yaml:"gossip_key"`
	// AllowPlaintext permits addresses other than loopback without TLS.
	AllowPlaintext bool `yaml:"allow_plaintext"`
}

// Pair is one certificate with its key and the authority that the other side's
// certificate must come from. With CA on a listening side, clients must show a
// certificate.
type Pair struct {
	Cert string `yaml:"cert" validate:"required_with=Key"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
	CA   string `yaml:"ca"`
}

// Enabled tells whether TLS is in use.
func (p Pair) Enabled() bool { return p.Cert != "" || p.CA != "" }

// Operator is a person or program that may change the configuration, known by
// the SHA-256 of a bearer token, in hex.
type Operator struct {
	Name        string `yaml:"name" validate:"required"`
	TokenSHA256 string `yaml:"token_sha256" validate:"len=64,hexadecimal"`
}

// Defaults are the settings in force where the file is silent.
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

// Load reads the settings of a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(ErrSettings, fmt.Sprintf("cannot read %s: %v; name a readable file with --config", path, err))
	}
	return Parse(path, data)
}

// Parse reads settings from YAML. The name is for messages.
func Parse(name string, data []byte) (Settings, error) {
	s := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(&s); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %s", name, explain(err)))
	}
	if err := s.check(); err != nil {
		return s, merry.Prepend(ErrSettings, fmt.Sprintf("%s: %v", name, err))
	}
	return s, nil
}

func newValidator() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
}

// explain shows where in the file a mistake is.
func explain(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return yaml.FormatError(err, false, true)
	}
	return err.Error()
}

// check looks at what no single field shows.
func (s Settings) check() error {
	if err := newValidator().Struct(s); err != nil {
		return fmt.Errorf("%v; see docs/CONFIGURATION.md for what each key allows", err)
	}
	if s.Leases.Margin*4 > s.Leases.TTL {
		return fmt.Errorf("leases.clock_margin %v is over a quarter of leases.ttl %v; lengthen the ttl", s.Leases.Margin, s.Leases.TTL)
	}
	if s.Routing.StandardShare+s.Routing.BulkShare > 0.5 {
		return fmt.Errorf("routing.standard_share and bulk_share add up to more than 0.5; urgent work would come second")
	}
	return s.checkPlaintext()
}

// checkPlaintext refuses addresses beyond loopback without TLS, unless the
// settings say so.
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
