package dedup_test

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/pkg/dedup"
)

// A key runs once; a second send gets the recorded outcome.
func ExampleTable_Begin() {
	table := dedup.NewTable()
	key := dedup.NewKey(time.Now(), 1)
	for range 2 {
		switch d := table.Begin(key, time.Time{}, true, false).(type) {
		case dedup.Run:
			fmt.Println("run")
			table.End(key, dedup.Outcome{Status: dedup.Ran, Answer: []byte("bench 7")})
		case dedup.Replay:
			fmt.Printf("%s: %s\n", d.Outcome.Status, d.Outcome.Answer)
		}
	}
	// Output:
	// run
	// ran: bench 7
}
