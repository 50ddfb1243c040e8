package quota

import "time"

// News is what an upstream has stated about its limit, as nodes tell each other.
type News struct {
	// Upstream and Started identify the incarnation: its ID, and its start in
	// milliseconds since 1970.
	Upstream string `msgpack:"u"`
	Started  int64  `msgpack:"s"`
	// Rate is the limit in requests per second. It counts only if Limited is set.
	Rate    float64 `msgpack:"r,omitempty"`
	Limited bool    `msgpack:"l,omitempty"`
	// Age is how long ago the upstream stated it. Times are given as ages, because the
	// clocks of nodes differ.
	Age time.Duration `msgpack:"a,omitempty"`
}

// ColdNews is that an upstream is cold, as nodes tell each other.
type ColdNews struct {
	// Upstream and Started identify the incarnation, as in News.
	Upstream string `msgpack:"u"`
	Started  int64  `msgpack:"s"`
	// Left is how much longer it is cold.
	Left time.Duration `msgpack:"c"`
}

// NewsOf returns the news that an upstream has just stated the limit.
func NewsOf(upstream string, started int64, l Limit) News {
	return News{Upstream: upstream, Started: started, Rate: l.rate, Limited: l.kind == at}
}

// Limit returns the limit that the upstream has stated.
func (n News) Limit() Limit {
	if !n.Limited {
		return None
	}
	return At(n.Rate)
}
