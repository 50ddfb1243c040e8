package member

import (
	"slices"
	"sort"
	"time"
)

// tick checks outstanding probes and suspects, and sends probes once per period.
func (t *Tracker) tick(now time.Time) {
	if t.self.Status == Left {
		return
	}
	t.checkProbe(now)
	t.expireSuspects(now)
	if now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = now.Add(t.period - t.period/10 + time.Duration(t.random.Int64N(int64(t.period/5))))
	t.probeLocal(now)
	if t.periods++; t.periods%t.remoteInterval == 0 {
		t.probeRemote()
	}
	t.purge(now)
}

// probeLocal probes the next member of this failure domain, once the previous
// probe has been answered or has led to suspicion.
func (t *Tracker) probeLocal(now time.Time) {
	if t.probe.target != "" {
		return
	}
	target, ok := t.nextTarget()
	if !ok {
		return
	}
	t.seq++
	t.probe = probe{target: target, seq: t.seq, sentAt: now}
	t.send(t.members[target].record.Gossip, Message{Kind: Probe, Seq: t.seq})
}

// nextTarget returns the next member of the domain in a shuffled order, so that
// each member is probed once per round.
func (t *Tracker) nextTarget() (string, bool) {
	for range 2 {
		for len(t.probeOrder) > 0 {
			name := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if e, ok := t.members[name]; ok && e.record.Status < Dead {
				return name, true
			}
		}
		t.probeOrder = t.peers(func(r Record) bool { return r.Status < Dead })
		t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return "", false
}

// peers returns the other members of this domain that satisfy the condition.
func (t *Tracker) peers(want func(Record) bool) []string {
	var list []string
	for _, name := range t.byDomain[t.self.Domain] {
		if e, ok := t.members[name]; ok && name != t.self.VM && want(e.record) {
			list = append(list, name)
		}
	}
	return list
}

// sorted returns the names of a set in order, so that equal seeds of the random
// source give equal choices.
func sorted(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// probeRemote probes one member of the next other domain. With a probability of 1/4
// it also probes a member that is assumed dead, to detect the end of a partition.
func (t *Tracker) probeRemote() {
	t.remoteIndex++
	domain := t.domainNames[t.remoteIndex%len(t.domainNames)]
	if domain == t.self.Domain {
		t.remoteIndex++
		domain = t.domainNames[t.remoteIndex%len(t.domainNames)]
	}
	if domain != t.self.Domain {
		t.probeOne(t.byDomain[domain])
	}
	if len(t.dead) > 0 && t.random.IntN(4) == 0 {
		t.probeOne(sorted(t.dead))
	}
}

func (t *Tracker) probeOne(candidates []string) {
	if len(candidates) == 0 {
		return
	}
	e, ok := t.members[candidates[t.random.IntN(len(candidates))]]
	if !ok || e.record.Status == Left {
		return
	}
	t.seq++
	t.send(e.record.Gossip, Message{Kind: Probe, Seq: t.seq})
}

// checkProbe requests indirect probes of a target that has not answered within the
// timeout, and suspects it after three times the timeout.
func (t *Tracker) checkProbe(now time.Time) {
	p := &t.probe
	if p.target == "" {
		return
	}
	switch waited := now.Sub(p.sentAt); {
	case waited >= 3*t.timeout:
		t.suspect(p.target)
		p.target = ""
	case waited >= t.timeout && !p.indirect:
		p.indirect = true
		t.probeIndirectly()
	}
}

func (t *Tracker) probeIndirectly() {
	helpers := t.peers(func(r Record) bool {
		return r.Status == Alive && r.VM != t.probe.target
	})
	t.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers[:min(indirectProbes, len(helpers))] {
		t.send(t.members[h].record.Gossip, Message{Kind: IndirectProbe, Seq: t.probe.seq, Target: t.probe.target})
	}
}

func (t *Tracker) suspect(name string) {
	e, ok := t.members[name]
	if !ok || e.record.Status != Alive {
		return
	}
	r := e.record
	r.Status = Suspect
	t.set(r)
}

// expireSuspects declares dead the suspects of this domain that have not refuted
// the suspicion in time. A member that has received nothing for that long may
// itself have been paused or cut off, and declares no member dead.
func (t *Tracker) expireSuspects(now time.Time) {
	if now.Sub(t.lastReceived) > t.suspicion {
		return
	}
	for _, name := range sorted(t.suspects) {
		e := t.members[name]
		if e.record.Domain != t.self.Domain || now.Sub(e.changedAt) < t.suspicion {
			continue
		}
		r := e.record
		r.Status = Dead
		t.set(r)
	}
}

// purge removes the records of members that have been dead or departed for longer
// than departedRetention.
func (t *Tracker) purge(now time.Time) {
	if now.Sub(t.lastPurge) < purgeInterval {
		return
	}
	t.lastPurge = now
	for name, e := range t.members {
		if e.record.Status >= Dead && e.sendsLeft == 0 && now.Sub(e.changedAt) > departedRetention {
			t.digest ^= e.record.hash()
			delete(t.members, name)
			delete(t.dead, name)
			list := t.byDomain[e.record.Domain]
			t.byDomain[e.record.Domain] = slices.DeleteFunc(list, func(s string) bool { return s == name })
		}
	}
}

// received merges the records of a datagram and replies to it.
func (t *Tracker) received(m Message) {
	if t.self.Status == Left {
		return
	}
	t.mergeAll(m.Records)
	from, known := t.members[m.From]
	if !known || m.From == t.self.VM {
		return
	}
	t.recordContact(from.record)
	t.out = append(t.out, PeerVersions{VM: m.From, Addr: from.record.Addr, Versions: m.Versions})
	t.compareDigest(from.record, m.Digest)
	switch m.Kind {
	case Probe:
		t.send(from.record.Gossip, Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		t.acked(m.Seq)
	case IndirectProbe:
		t.probeForPeer(m, from.record)
	case IndirectAck:
		t.acked(m.Seq)
	}
}

// recordContact records that a message was received from a member. If the member is
// suspect or assumed dead, its record is queued again, so that the reply contains
// it and the member can refute it.
func (t *Tracker) recordContact(r Record) {
	t.lastReceived = time.Now()
	t.domainReceived[r.Domain] = time.Now()
	if e := t.members[r.VM]; r.Status == Suspect || r.Status == Dead {
		t.requeue(e)
	}
}

func (t *Tracker) acked(seq uint64) {
	if t.probe.seq == seq {
		t.probe.target = ""
	}
	if r, ok := t.relays[seq]; ok {
		delete(t.relays, seq)
		t.send(r.addr, Message{Kind: IndirectAck, Seq: r.seq})
	}
}

func (t *Tracker) probeForPeer(m Message, from Record) {
	target, ok := t.members[m.Target]
	if !ok {
		return
	}
	for seq, r := range t.relays {
		if time.Since(r.at) > t.suspicion {
			delete(t.relays, seq)
		}
	}
	t.seq++
	t.relays[t.seq] = relay{addr: from.Gossip, seq: m.Seq, at: time.Now()}
	t.send(target.record.Gossip, Message{Kind: Probe, Seq: t.seq})
}

// compareDigest requests a full exchange when the views differ and no pending
// update explains the difference. A random delay is added to the time of the last
// exchange, so that members do not synchronize their exchanges.
func (t *Tracker) compareDigest(from Record, digest uint64) {
	if digest == t.digest || len(t.updates) > 0 || time.Since(t.lastSync) < minSyncInterval {
		return
	}
	t.lastSync = time.Now().Add(time.Duration(t.random.Int64N(int64(minSyncInterval))))
	t.out = append(t.out, Sync{Addr: from.Addr})
}

// send adds this member's record and pending updates to a message and emits it.
func (t *Tracker) send(addr string, m Message) {
	m.From = t.self.VM
	m.Digest = t.digest
	m.Versions = t.versions
	m.Records = append(m.Records, t.self)
	m.Records = append(m.Records, t.nextUpdates()...)
	t.out = append(t.out, Send{Addr: addr, Message: m})
}

// nextUpdates returns up to updatesPerMessage updates, those sent least often first.
func (t *Tracker) nextUpdates() []Record {
	sort.SliceStable(t.updates, func(i, j int) bool { return t.updates[i].sendsLeft > t.updates[j].sendsLeft })
	var list []Record
	for _, e := range t.updates[:min(t.updatesPerMessage, len(t.updates))] {
		list = append(list, e.record)
		e.sendsLeft--
	}
	kept := t.updates[:0]
	for _, e := range t.updates {
		if e.sendsLeft > 0 {
			kept = append(kept, e)
		}
	}
	t.updates = kept
	return list
}

// requeue queues a record as an update again, unless it is still queued.
func (t *Tracker) requeue(e *entry) {
	if e.sendsLeft == 0 {
		t.updates = append(t.updates, e)
		e.sendsLeft = t.sendsPerUpdate()
	}
}

// announceLeave sends this member's departure to localMembers members of its own
// domain and to one member of every other domain.
func (t *Tracker) announceLeave() {
	const localMembers = 3
	local := t.peers(func(r Record) bool { return r.Status < Dead })
	t.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	for _, name := range local[:min(localMembers, len(local))] {
		t.probeOne([]string{name})
	}
	for _, domain := range t.domainNames {
		if domain != t.self.Domain {
			t.probeOne(t.byDomain[domain])
		}
	}
}
