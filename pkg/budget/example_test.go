package budget_test

import (
	"fmt"

	"geraniumstep.org/geraniumstep/pkg/budget"
)

// One extra request is allowed for every 20 primary requests.
func ExampleBudget() {
	b := budget.New(0.05, budget.WithBurst(2))
	b.Earn(20)
	fmt.Println(b.Spend(), b.Spend(), b.Spend())
	// Output: true true false
}
