package relay

import "sync/atomic"

// sendPermits counts the sends of a request that may have run. An attempt acquires a
// permit before it sends the first byte and releases it on proof that it did not
// run. After close no attempt can send, so that an answer stating that the request
// has not run stays true.
type sendPermits struct{ state atomic.Int64 }

// permitsClosed is the bit of the state that is set when no attempt may send.
const permitsClosed = 1 << 62

// acquire reports whether an attempt may send, and counts it if so.
func (p *sendPermits) acquire() bool {
	for {
		old := p.state.Load()
		if old&permitsClosed != 0 {
			return false
		}
		if p.state.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// release records proof that an attempt with a permit did not run.
func (p *sendPermits) release() { p.state.Add(-1) }

// close forbids further sends and reports whether the request provably has not run.
func (p *sendPermits) close() bool {
	for {
		old := p.state.Load()
		if old&permitsClosed != 0 || p.state.CompareAndSwap(old, old|permitsClosed) {
			return old&^permitsClosed == 0
		}
	}
}
