package route_test

import (
	"fmt"

	"geraniumstep.org/geraniumstep/pkg/route"
)

// All nodes with the same list choose the same owner. Removing a node moves only
// the resources that it owned.
func ExampleOwner() {
	nodes := []string{"entry-1", "entry-2", "entry-3"}
	before := route.Owner("seats-17", nodes)
	after := route.Owner("seats-17", []string{before})
	fmt.Println(before == after)
	// Output: true
}
