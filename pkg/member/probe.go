package member

import (
	"slices"
	"sort"
	"time"
)

// tick sends probes, turns silence into suspicion and suspicion into death.
func (t *Tracker) tick(now time.Time) {
	if t.self.Status == Left {
		return
	}
	t.judgeProbe(now)
	t.judgeSuspects(now)
	if now.Before(t.next) {
		return
	}
	t.next = now.Add(t.period - t.period/10 + time.Duration(t.random.Int64N(int64(t.period/5))))
	t.probeOwn(now)
	if t.periods++; t.periods%t.remoteEvery == 0 {
		t.probeRemote()
	}
	t.forget(now)
}

// probeOwn probes the next member of this failure domain, once the probe before
// has been answered or has led to suspicion.
func (t *Tracker) probeOwn(now time.Time) {
	if t.probe.target != "" {
		return
	}
	target, ok := t.nextInRing()
	if !ok {
		return
	}
	t.seq++
	t.probe = probe{target: target, seq: t.seq, sentAt: now}
	t.send(t.members[target].record.Gossip, Message{Kind: Probe, Seq: t.seq})
}

// nextInRing takes members of the domain in a shuffled order, so that each is
// probed once in every round.
func (t *Tracker) nextInRing() (string, bool) {
	for range 2 {
		for len(t.ring) > 0 {
			name := t.ring[0]
			t.ring = t.ring[1:]
			if e, ok := t.members[name]; ok && e.record.Status < Dead {
				return name, true
			}
		}
		t.ring = t.peers(func(r Record) bool { return r.Status < Dead })
		t.random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
	}
	return "", false
}

// peers lists other members of this domain that satisfy the condition.
func (t *Tracker) peers(want func(Record) bool) []string {
	var list []string
	for _, name := range t.byDomain[t.self.Domain] {
		if e, ok := t.members[name]; ok && name != t.self.VM && want(e.record) {
			list = append(list, name)
		}
	}
	return list
}

// sorted lists the names of a set in order, so that equal seeds draw alike.
func sorted(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// probeRemote probes one member of one other domain in turn, and now and then
// one that is taken for dead, so that a healed partition is noticed.
func (t *Tracker) probeRemote() {
	t.remote++
	domain := t.names[t.remote%len(t.names)]
	if domain == t.self.Domain {
		t.remote++
		domain = t.names[t.remote%len(t.names)]
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

// judgeProbe asks others to probe a silent member, then suspects it.
func (t *Tracker) judgeProbe(now time.Time) {
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
		t.askHelpers()
	}
}

func (t *Tracker) askHelpers() {
	helpers := t.peers(func(r Record) bool {
		return r.Status == Alive && r.VM != t.probe.target
	})
	t.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers[:min(defaultHelpers, len(helpers))] {
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

// judgeSuspects declares dead the suspects of this domain that have not
// contradicted in time. A member that hears from nobody suspects itself: it has
// been paused or cut off, and declares nobody dead.
func (t *Tracker) judgeSuspects(now time.Time) {
	if now.Sub(t.heardAt) > t.suspicion {
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

// forget drops the records of members that have long gone.
func (t *Tracker) forget(now time.Time) {
	if now.Sub(t.forgot) < forgetEvery {
		return
	}
	t.forgot = now
	for name, e := range t.members {
		if e.record.Status >= Dead && e.sends == 0 && now.Sub(e.changedAt) > keepGone {
			t.digest ^= e.record.sum()
			delete(t.members, name)
			delete(t.dead, name)
			list := t.byDomain[e.record.Domain]
			t.byDomain[e.record.Domain] = slices.DeleteFunc(list, func(s string) bool { return s == name })
		}
	}
}

// received answers a datagram and takes its news.
func (t *Tracker) received(m Message) {
	if t.self.Status == Left {
		return
	}
	t.mergeAll(m.Records)
	from, known := t.members[m.From]
	if !known || m.From == t.self.VM {
		return
	}
	t.heard(from.record)
	t.out = append(t.out, PeerVersions{VM: m.From, Addr: from.record.Addr, Versions: m.Versions})
	t.compare(from.record, m.Digest)
	switch m.Kind {
	case Probe:
		t.send(from.record.Gossip, Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		t.acked(m.Seq)
	case IndirectProbe:
		t.relayProbe(m, from.record)
	case IndirectAck:
		t.acked(m.Seq)
	}
}

// heard notes direct evidence of life. A member taken for dead hears of it
// in the answer and contradicts.
func (t *Tracker) heard(r Record) {
	t.heardAt = time.Now()
	t.domains[r.Domain] = time.Now()
	if e := t.members[r.VM]; r.Status == Suspect || r.Status == Dead {
		t.renew(e)
	}
}

func (t *Tracker) acked(seq uint64) {
	if t.probe.seq == seq {
		t.probe.target = ""
	}
	if r, ok := t.relayed[seq]; ok {
		delete(t.relayed, seq)
		t.send(r.addr, Message{Kind: IndirectAck, Seq: r.seq})
	}
}

func (t *Tracker) relayProbe(m Message, from Record) {
	target, ok := t.members[m.Target]
	if !ok {
		return
	}
	for seq, r := range t.relayed {
		if time.Since(r.at) > t.suspicion {
			delete(t.relayed, seq)
		}
	}
	t.seq++
	t.relayed[t.seq] = relay{addr: from.Gossip, seq: m.Seq, at: time.Now()}
	t.send(target.record.Gossip, Message{Kind: Probe, Seq: t.seq})
}

// compare asks for a full exchange when the views differ and no news explains it.
func (t *Tracker) compare(from Record, digest uint64) {
	if digest == t.digest || len(t.news) > 0 || time.Since(t.synced) < syncEvery {
		return
	}
	t.synced = time.Now().Add(time.Duration(t.random.Int64N(int64(syncEvery))))
	t.out = append(t.out, Sync{Addr: from.Addr})
}

// send adds the news to a message and emits it.
func (t *Tracker) send(addr string, m Message) {
	m.From = t.self.VM
	m.Digest = t.digest
	m.Versions = t.versions
	m.Records = append(m.Records, t.self)
	m.Records = append(m.Records, t.takeNews()...)
	t.out = append(t.out, Send{Addr: addr, Message: m})
}

// takeNews picks the news that was sent least often.
func (t *Tracker) takeNews() []Record {
	sort.SliceStable(t.news, func(i, j int) bool { return t.news[i].sends > t.news[j].sends })
	var list []Record
	for _, e := range t.news[:min(t.perSend, len(t.news))] {
		list = append(list, e.record)
		e.sends--
	}
	kept := t.news[:0]
	for _, e := range t.news {
		if e.sends > 0 {
			kept = append(kept, e)
		}
	}
	t.news = kept
	return list
}

// renew queues a record as news again.
func (t *Tracker) renew(e *entry) {
	if e.sends == 0 {
		t.news = append(t.news, e)
		e.sends = t.copies()
	}
}

// farewell tells a few members of every domain at once that this one leaves.
func (t *Tracker) farewell() {
	const tell = 3
	own := t.peers(func(r Record) bool { return r.Status < Dead })
	t.random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	for _, name := range own[:min(tell, len(own))] {
		t.probeOne([]string{name})
	}
	for _, domain := range t.names {
		if domain != t.self.Domain {
			t.probeOne(t.byDomain[domain])
		}
	}
}
