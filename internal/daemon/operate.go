package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// quarantinesPath lists the quarantines. With a fingerprint appended, DELETE ends one.
const quarantinesPath = "/quarantines"

// quarantine is an element of the list of quarantines.
type quarantine struct {
	Fingerprint string  `json:"fingerprint"`
	RemainingS  float64 `json:"remaining_s"`
}

// operation returns the handler for operators: metrics and quarantines. It is served on
// the address of the metrics, which callers cannot reach.
func (d *Daemon) operation() http.Handler {
	mux := flow.New()
	mux.HandleFunc(quarantinesPath, d.listQuarantines, http.MethodGet)
	mux.HandleFunc(quarantinesPath+"/:fingerprint", d.endQuarantine, http.MethodDelete)
	mux.Handle("/...", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}), http.MethodGet)
	return mux
}

func (d *Daemon) listQuarantines(w http.ResponseWriter, _ *http.Request) {
	list := []quarantine{}
	for _, f := range d.crashes.Quarantined() {
		list = append(list, quarantine{Fingerprint: fmt.Sprintf("%016x", uint64(f)), RemainingS: d.crashes.Remaining(f).Seconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		d.log.WithField("error", err.Error()).Debug("tier: could not send the list of quarantines.")
	}
}

// endQuarantine clears a fingerprint at all nodes. If the request crashes upstreams again,
// it is quarantined again.
func (d *Daemon) endQuarantine(w http.ResponseWriter, r *http.Request) {
	text := r.PathValue("fingerprint")
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("fingerprint %q is not a hexadecimal number; take one from GET %s", text, quarantinesPath), http.StatusBadRequest)
		return
	}
	if d.crashes.Verdict(poison.Fingerprint(f)) != poison.Quarantined {
		http.Error(w, fmt.Sprintf("no quarantine has the fingerprint %q; list them with GET %s", text, quarantinesPath), http.StatusNotFound)
		return
	}
	d.mesh.Share(d.crashes.Clear(poison.Fingerprint(f)))
	d.log.WithFields(logrus.Fields{"fingerprint": text}).Warn("tier: operator has ended a quarantine.")
	w.WriteHeader(http.StatusNoContent)
}
