// Command geraniumstep is a query tier between callers' routers and upstreams.
package main

import (
	"os"

	"geraniumstep.org/geraniumstep/internal/cmds"
	"geraniumstep.org/geraniumstep/platform"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdin, os.Stdout, os.Stderr, cmds.WithPlatform(platform.Adapter{})))
}
