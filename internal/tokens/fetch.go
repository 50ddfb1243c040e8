package tokens

import (
	"context"
	"slices"
	"time"

	"geraniumstep.org/geraniumstep/pkg/access"
)

const (
	// fetchTimeout bounds a search for tokens of other domains: a few round trips to another
	// region.
	fetchTimeout = 300 * time.Millisecond
	// fetchBelow is the number of tokens below which a domain fetches some: one for the next
	// request, and one for those that arrive until the fetched ones do.
	fetchBelow = 2
	// fetchWait is how long a refused node waits while tokens are being fetched: the round
	// trip to another region.
	fetchWait = 45 * time.Millisecond
	// minLeft is how long a fetched token must last to be granted: the way to the node and
	// its processing there.
	minLeft = 50 * time.Millisecond
)

// fetch gets tokens of other domains in the background, for the nodes of this one, if the domain
// has less than one token left. Urgent requests have no time to ask another region themselves.
func (t *Tokens) fetch(w *access.Workspace) {
	if _, running := t.fetching.LoadOrStore(w.Name(), true); running {
		return
	}
	started := t.tasks.Go(func() {
		defer t.fetching.Delete(w.Name())
		ctx, cancel := context.WithTimeout(t.work, fetchTimeout)
		defer cancel()
		domains := t.domains(w)
		slices.Reverse(domains) // nodes ask the near ones themselves
		for _, domain := range domains {
			if domain != t.self.Domain && t.fetchFrom(ctx, w.Name(), domain) {
				return
			}
		}
	})
	if !started {
		t.fetching.Delete(w.Name())
	}
}

// fetchFrom reports whether the server of the domain granted tokens.
func (t *Tokens) fetchFrom(ctx context.Context, workspace, domain string) bool {
	server := t.serverOf(domain)
	if server == "" || ctx.Err() != nil {
		return false
	}
	q, wait := t.fetched.Ask(workspace, server)
	if wait > 0 {
		return false
	}
	taken, err := t.ask(ctx, server, Take{Workspace: workspace, Tokens: q.Tokens(), Spare: true})
	switch {
	case err != nil:
		t.fetched.Failed(q)
		t.avoid(server, err)
		t.metrics.asked.WithLabelValues(t.distance(domain), "failed").Inc()
		return false
	case taken.Granted == 0:
		t.fetched.Refused(q, taken.Wait)
		t.metrics.asked.WithLabelValues(t.distance(domain), "refused").Inc()
		return false
	}
	t.fetched.Fetched(q, taken.Granted)
	t.metrics.asked.WithLabelValues(t.distance(domain), "granted").Inc()
	return true
}
