// Command geraniumstep runs the nodes of a query tier between routers and upstreams,
// and the tools to operate and test them. Start with the demo, which runs a complete
// deployment on one machine:
//
//	geraniumstep demo
package main

import (
	"os"

	"geraniumstep.org/geraniumstep/internal/cmds"
	"geraniumstep.org/geraniumstep/platform"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdin, os.Stdout, os.Stderr, cmds.WithPlatform(platform.Adapter{})))
}
