package relay

import "sync/atomic"

// claims counts the sends of a request that may have run. An attempt takes one
// before its first byte and gives it back on proof that it did not run. Once the
// claims are closed no attempt can send any more, so that a promise that the
// request has not run stays true.
type claims struct{ state atomic.Int64 }

// claimsClosed is set in the state once no attempt may send.
const claimsClosed = 1 << 62

// take lets one attempt send.
func (c *claims) take() bool {
	for {
		old := c.state.Load()
		if old&claimsClosed != 0 {
			return false
		}
		if c.state.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// giveBack records proof that an attempt did not run.
func (c *claims) giveBack() { c.state.Add(-1) }

// close ends the sending and tells whether the request provably has not run.
func (c *claims) close() bool {
	for {
		old := c.state.Load()
		if old&claimsClosed != 0 || c.state.CompareAndSwap(old, old|claimsClosed) {
			return old&^claimsClosed == 0
		}
	}
}
