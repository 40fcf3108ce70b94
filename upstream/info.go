package upstream

// Name identifies an upstream within the fleet, such as "engine-07".
type Name string

// Kind is the kind of an upstream.
type Kind int

// Kinds of upstreams.
const (
	KindEngine  Kind = iota + 1 // a model engine
	KindService                 // a plain service
)

// String returns the name of the kind in the host list.
func (k Kind) String() string {
	switch k {
	case KindEngine:
		return "engine"
	case KindService:
		return "service"
	default:
		return "unknown"
	}
}

// Info is the entry of an upstream in the host list.
type Info struct {
	Name          Name
	Kind          Kind
	Address       string // IP:port
	FailureDomain string
	Model         string // model that the engine was started with
	Service       string // name of the plain service
	Leaving       bool   // gets no new work
	ChecksFence   bool   // refuses orders with an outdated fencing number
}
