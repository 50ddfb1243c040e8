package relay

import (
	"net/http"

	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/pkg/access"
	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// identify finds the workspace of the caller by the key of the request. It returns the request
// without the key, as it may be sent on, or the answer if it must not be sent. The workspace is
// nil if the configuration has none, or if the route needs no key and the request has none
// that is known.
func (e *Engine) identify(routes *vhost.Snapshot, route *vhost.Route, req *proto.Request) (*proto.Request, *access.Workspace, proto.Answer) {
	if routes.Workspaces() == nil {
		return req, nil, nil
	}
	w, ok := routes.Workspaces().Lookup(e.dialect.ReadKey(req.Header))
	if !ok && !route.Anonymous() {
		e.metrics.unknownKeys.Inc()
		return nil, nil, proto.Invalid{Status: http.StatusUnauthorized, Reason: "key is not known; send the key of a workspace"}
	}
	own := *req
	own.Header = e.endToEnd(req.Header)
	e.dialect.WriteWorkspace(own.Header, w.Name())
	return &own, w, nil
}
