package setup_test

import (
	"errors"
	"strings"
	"testing"

	"geraniumstep.org/geraniumstep/internal/setup"
)

const validFile = `vm: entry-1
failure_domain: nairobi
listen: {caller: "127.0.0.1:8080", inner: "127.0.0.1:7001", gossip: "127.0.0.1:7002"}
platform: {url: "http://127.0.0.1:7070"}
`

func TestDefaultsAreAccepted(t *testing.T) {
	s, err := setup.Parse("node.yaml", []byte(validFile))
	if err != nil {
		t.Fatalf("Parse() = %v", err)
	}
	if got, want := s.Leases, setup.Defaults().Leases; got != want {
		t.Errorf("Leases = %+v, want %+v", got, want)
	}
}

func TestParseErrorsGivePositionAndRemedy(t *testing.T) {
	for name, c := range map[string]struct{ more, want string }{
		"unknown key":   {"colour: red\n", `[5:1] unknown field "colour"`},
		"wrong type":    {"limits: {fan_out: many}\n", "[5:19]"},
		"out of range":  {"leases: {slots: 0}\n", "[5:"},
		"margin":        {"leases: {ttl: 1s, clock_margin: 500ms}\n", "lengthen the ttl"},
		"shares":        {"routing: {standard_share: 0.4, bulk_share: 0.3}\n", "urgent requests would get less than half of the dispatches"},
		"mode":          {"routing: {mode: magic}\n", "[5:"},
		"half a pair":   {"tls: {caller: {cert: a.pem}}\n", "Key"},
		"short token":   {"operators: [{name: ann, token_sha256: abc}]\n", "[5:"},
		"bad peer":      {"peers: [\"nowhere\"]\n", "Peers[0]"},
		"duplicate key": {"vm: entry-2\n", "[5:1]"},
	} {
		_, err := setup.Parse("node.yaml", []byte(validFile+c.more))
		if !errors.Is(err, setup.ErrSettings) {
			t.Errorf("%s: Parse() = %v, want an ErrSettings", name, err)
			continue
		}
		if got := err.Error(); !strings.Contains(got, c.want) || !strings.Contains(got, "node.yaml") {
			t.Errorf("%s: Parse() = %v, want it to name node.yaml and %q", name, got, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("vm: [")
	f.Add("&a [*a]")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = setup.Parse("node.yaml", []byte(text))
	})
}
