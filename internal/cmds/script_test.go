package cmds_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumstep.org/geraniumstep/internal/cmds"
	"geraniumstep.org/geraniumstep/internal/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"geraniumstep": func() { os.Exit(cmds.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// scriptsTimeout bounds the run time of all scripts together. Processes that still
// run afterwards are killed.
const scriptsTimeout = 2 * time.Minute

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Deadline: time.Now().Add(scriptsTimeout),
		Dir:      "testdata/script",
		Setup:    setAddresses,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":  await,
			"post":   post,
			"fill":   fill,
			"signal": signal,
			"newkey": newkey,
			"holds":  holds,
			"resend": resend,
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

// addresses counts the addresses that the scripts use. Each has an IP address of its
// own, so that no other connection can take the port before it is opened again.
var addresses atomic.Uint32

// setAddresses sets variables to free loopback addresses for each script: P is for
// the platform, U1 to U4 are for upstreams, and A, B and C for nodes. The suffix I
// stands for a node's inner address and G for its gossip address.
func setAddresses(env *testscript.Env) error {
	for _, name := range []string{"P", "U1", "U2", "U3", "U4", "A", "AI", "AG", "B", "BI", "BG", "C", "CI", "CG"} {
		n := addresses.Add(1)
		ip := net.IPv4(127, byte(2+os.Getpid()%250), byte(n>>8), byte(n))
		l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return err
		}
		env.Setenv(name, l.Addr().String())
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// fill replaces each $NAME in the files by the value of the environment variable.
func fill(ts *testscript.TestScript, neg bool, args []string) {
	for _, path := range args {
		text := os.Expand(ts.ReadFile(path), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(path), []byte(text), 0o600))
	}
	if neg {
		ts.Fatalf("fill cannot be negated")
	}
}

// signal sends TERM, STOP or CONT to the background command whose last argument is
// the given settings file.
func signal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]os.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	for _, c := range ts.BackgroundCmds() {
		if c.Args[len(c.Args)-1] == args[1] && !neg {
			ts.Check(c.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background command ends with %s", args[1])
}

// newkey sets a variable to a new idempotency key.
func newkey(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("newkey cannot be negated")
	}
	ts.Setenv(args[0], uuid.Must(uuid.NewV7()).String())
}

const holdPath = "/v1/workspaces/folders/submissions/hold"

// submit sends a submission and returns the status and the kind of the problem.
func submit(ts *testscript.TestScript, node, key string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, node+holdPath, strings.NewReader(`{"parameters":{"seat":"A7"}}`))
	ts.Check(err)
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Timeout: 3 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0, wire.KindUnknown
	}
	defer res.Body.Close()
	var p wire.Problem
	_ = json.NewDecoder(res.Body).Decode(&p)
	return res.StatusCode, p.Kind
}

// holds sends submissions with new keys to a node until inARow have run one after
// the other. By default, the key space has 64 slots, fewer than inARow, so the node
// then reaches an owner for nearly every key.
func holds(ts *testscript.TestScript, neg bool, args []string) {
	const inARow, maxTries = 100, 2000
	ran := 0
	for range maxTries {
		status, _ := submit(ts, args[0], uuid.Must(uuid.NewV7()).String())
		ran++
		if status != http.StatusOK {
			ran = 0
			time.Sleep(10 * time.Millisecond)
		}
		if ran == inARow && !neg {
			return
		}
	}
	for _, c := range ts.BackgroundCmds() {
		_ = c.Process.Signal(syscall.SIGCONT)
	}
	ts.Fatalf("too few submissions in a row ran through %s", args[0])
}

// resend sends a submission whose key has already run. The node must return the
// stored answer or report that the outcome is unknown.
func resend(ts *testscript.TestScript, neg bool, args []string) {
	status, kind := submit(ts, args[0], args[1])
	if ok := status == http.StatusOK || kind == wire.KindUnknown; ok == neg {
		ts.Fatalf("resent key got status %d and kind %q", status, kind)
	}
}

// await polls a URL until it returns status 200. If negated, it polls until the
// URL does not return 200.
func await(ts *testscript.TestScript, neg bool, args []string) {
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get(args[0])
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		if ok != neg {
			return
		}
	}
	ts.Fatalf("%s did not change within %v", args[0], timeout)
}

// post sends a POST request and prints the status and the body. Its arguments are
// URL BODY ['HEADER: VALUE']...
func post(ts *testscript.TestScript, neg bool, args []string) {
	req, err := http.NewRequest(http.MethodPost, args[0], strings.NewReader(args[1]))
	ts.Check(err)
	for _, h := range args[2:] {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	ts.Check(err)
	_, err = fmt.Fprintf(ts.Stdout(), "%d %s", res.StatusCode, data)
	ts.Check(err)
	if ok := res.StatusCode == http.StatusOK; ok == neg {
		ts.Fatalf("status %d: %s", res.StatusCode, data)
	}
}
