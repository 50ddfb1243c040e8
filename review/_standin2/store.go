package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It loses nothing and is always there.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// object is a stored object. spec is JSON.
type object struct {
	name              string
	revision, created uint64
	spec              json.RawMessage
}

// event is a change of an object.
type event struct {
	kind    string
	object  object
	deleted bool
}

func newStore() *store {
	return &store{revision: 1000, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a programming error
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{name: name, revision: s.revision, created: s.revision, spec: data}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if old, ok := s.objects[kind][name]; ok {
		o.created = old.created
	}
	s.objects[kind][name] = o
	s.publish(event{kind: kind, object: o})
}

// remove deletes an object and reports whether there was one.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	o.revision = s.revision
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, object: o, deleted: true})
	return true
}

// publish must be called with mu held.
func (s *store) publish(ev event) {
	s.events = append(s.events, ev)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the store's interface.
func (s *store) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
		w.Header().Set("Content-Type", "application/json")
		switch {
		case r.Method != http.MethodGet:
			s.write(w, r, kind, name)
		case r.URL.Query().Get("watch") != "":
			s.watch(w, r, kind)
		default:
			s.list(w, kind)
		}
	})
}

// write executes a call that changes an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.Method == http.MethodDelete {
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, "{}")
		return
	}
	var body struct {
		Meta struct {
			Name string `json:"name"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Meta.Name
	}
	s.mu.Lock()
	_, exists := s.objects[kind][name]
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.put(kind, name, body.Spec)
	}
	fmt.Fprint(w, "{}")
}

// list returns all objects of a kind in one page.
func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []any{}
	var names []string
	for n := range s.objects[kind] {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		items = append(items, encode(s.objects[kind][n]))
	}
	reply(w, map[string]any{"items": items, "more": false, "atRev": s.revision})
}

// watch returns the changes of a kind after a revision, and waits for one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, ev := range s.events {
			if ev.kind == kind && ev.object.revision > since {
				events = append(events, map[string]any{"object": encode(ev.object), "deleted": ev.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns an object as the store sends it.
func encode(o object) any {
	return map[string]any{
		"meta":   map[string]any{"name": o.name, "revision": o.revision, "createdRev": o.created, "finalizers": []string{}, "deleting": false},
		"spec":   o.spec,
		"status": map[string]any{},
	}
}

func reply(w http.ResponseWriter, body any) {
	// A caller that has gone loses the reply.
	_ = json.NewEncoder(w).Encode(body)
}
