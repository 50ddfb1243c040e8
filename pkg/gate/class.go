package gate

import (
	"container/heap"
	"time"
)

// class is the fair queue of one priority, with one flow per workspace.
type class struct {
	fifo  bool
	fair  bool
	flows map[string]*flow
	// served holds the virtual times, above virtualNow, of the workspaces whose flow is
	// empty. It is used only if fair is set.
	served map[string]float64
	count  int
	// virtualNow is the virtual time of the flow that was served last. A flow
	// that becomes active again starts here, so it gains nothing by being idle.
	virtualNow float64
}

// flow holds the waiting tickets of one workspace, ordered by deadline.
type flow struct {
	tickets     ticketHeap
	virtualTime float64
}

func newClass(fifo bool) class {
	return class{fifo: fifo, flows: make(map[string]*flow), served: make(map[string]float64)}
}

func (c *class) size() int { return c.count }

func (c *class) push(t Ticket) {
	name := t.workspace
	if c.fifo {
		name = ""
	}
	f, ok := c.flows[name]
	if !ok {
		f = &flow{virtualTime: c.startOf(name), tickets: ticketHeap{fifo: c.fifo}}
		c.flows[name] = f
	}
	heap.Push(&f.tickets, t)
	c.count++
}

// leastServed returns the flow with the lowest virtual time. Ties go to the
// flow with the earliest deadline, then to the first name: peek and pop must
// choose the same flow.
func (c *class) leastServed() (string, *flow) {
	var (
		name string
		best *flow
	)
	for n, f := range c.flows {
		if best == nil || f.isBefore(n, best, name) {
			name, best = n, f
		}
	}
	return name, best
}

// isBefore reports whether the flow is served before another one.
func (f *flow) isBefore(name string, other *flow, otherName string) bool {
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	if d := f.earliestDeadline().Compare(other.earliestDeadline()); d != 0 {
		return d < 0
	}
	return name < otherName
}

func (f *flow) earliestDeadline() time.Time { return f.tickets.list[0].deadline }

func (c *class) peek() (Ticket, bool) {
	_, f := c.leastServed()
	if f == nil {
		return Ticket{}, false
	}
	return f.tickets.list[0], true
}

func (c *class) pop() {
	name, f := c.leastServed()
	heap.Pop(&f.tickets)
	c.count--
	c.advance(f.virtualTime)
	f.virtualTime++
	if f.tickets.Len() == 0 {
		c.removeFlow(name, f)
	}
}

func (c *class) remove(id uint64) (Ticket, bool) {
	for name, f := range c.flows {
		for i, t := range f.tickets.list {
			if t.id == id {
				c.removeAt(name, f, i)
				return t, true
			}
		}
	}
	return Ticket{}, false
}

// dropLast removes and returns the ticket with the latest deadline of the
// longest flow.
func (c *class) dropLast() (Ticket, bool) {
	name, longest := c.longest()
	if longest == nil {
		return Ticket{}, false
	}
	last := 0
	for i, t := range longest.tickets.list {
		if t.deadline.After(longest.tickets.list[last].deadline) {
			last = i
		}
	}
	t := longest.tickets.list[last]
	c.removeAt(name, longest, last)
	return t, true
}

// longest returns the flow with the most waiting tickets, or nil if none waits.
func (c *class) longest() (string, *flow) {
	var (
		name    string
		longest *flow
	)
	for n, f := range c.flows {
		if longest == nil || f.tickets.Len() > longest.tickets.Len() || f.tickets.Len() == longest.tickets.Len() && n < name {
			name, longest = n, f
		}
	}
	return name, longest
}

func (c *class) removeAt(name string, f *flow, i int) {
	heap.Remove(&f.tickets, i)
	c.count--
	if f.tickets.Len() == 0 {
		c.removeFlow(name, f)
	}
}

func (c *class) clear() []Ticket {
	var all []Ticket
	for _, f := range c.flows {
		all = append(all, f.tickets.list...)
	}
	clear(c.flows)
	c.count = 0
	return all
}

// ticketHeap orders tickets by deadline, or by arrival in the FIFO baseline.
type ticketHeap struct {
	list []Ticket
	fifo bool
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h ticketHeap) Len() int { return len(h.list) }

func (h ticketHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if h.fifo || a.deadline.Equal(b.deadline) {
		return a.arrived.Before(b.arrived)
	}
	return a.deadline.Before(b.deadline)
}

func (h ticketHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

func (h *ticketHeap) Push(x any) { h.list = append(h.list, x.(Ticket)) }

func (h *ticketHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}
