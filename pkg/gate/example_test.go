package gate_test

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/prio"
)

// An upstream with one slot runs a bulk ticket. Of the tickets that arrive in
// the meantime, the urgent one is dispatched next.
func ExampleGate_Step() {
	g := gate.New(gate.WithSlots(1))
	deadline := time.Now().Add(time.Minute)
	show := func(actions []gate.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case gate.Dispatch:
				fmt.Println("dispatch", a.Ticket.ID())
			case gate.Refuse:
				fmt.Println("refuse", a.Ticket.ID(), a.Reason)
			}
		}
	}
	first := gate.NewTicket(1, prio.Bulk, "schools", deadline, false)
	show(g.Step(gate.Arrive{Ticket: first}))
	show(g.Step(gate.Arrive{Ticket: gate.NewTicket(2, prio.Bulk, "schools", deadline, false)}))
	show(g.Step(gate.Arrive{Ticket: gate.NewTicket(3, prio.Urgent, "folders", deadline, false)}))
	show(g.Step(gate.Finish{Ticket: first, Service: 20 * time.Millisecond, Outcome: gate.OutcomeServed}))
	// Output:
	// dispatch 1
	// dispatch 3
}
