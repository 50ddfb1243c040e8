package route_test

import (
	"fmt"

	"geraniumstep.org/geraniumstep/pkg/route"
)

// Every node with the same list chooses the same owner; when a node departs,
// only what it owned moves.
func ExampleOwner() {
	nodes := []string{"entry-1", "entry-2", "entry-3"}
	before := route.Owner("seats-17", nodes)
	after := route.Owner("seats-17", []string{before})
	fmt.Println(before == after)
	// Output: true
}
