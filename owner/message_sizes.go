package owner

import (
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

const (
	// MaxOrdersBytes limits the body of a request with orders. Owners split what they send to a node accordingly.
	MaxOrdersBytes = 4 << 20
	// maxOrdersPerRequest limits the orders in a request, so that their results fit into maxReplyBytes.
	maxOrdersPerRequest = 2000
	// MaxReportReplyBytes limits the reply to a report, which holds the traits of the tasks of an executor, of at most maxTraitsBytes, and the
	// learned losses.
	MaxReportReplyBytes = 4 << 20
	maxTraitsBytes      = 3 << 20
	// orderOverheadBytes is more than the encoding of an order takes beside its texts.
	orderOverheadBytes = 256
	// maxEscapedBytes is the most that the JSON encoding of one byte of a text takes.
	maxEscapedBytes = 6
)

// splitOrders splits the orders for a node into requests that it accepts. Stops come before starts.
func splitOrders(d *engine.NodeOrders) []*engine.NodeOrders {
	s := orderSplitter{whole: d}
	for i := range d.Orders.Stops {
		s.addStop(&d.Orders.Stops[i])
	}
	for i := range d.Orders.Starts {
		s.addStart(i)
	}
	if len(s.requests) <= 1 {
		return []*engine.NodeOrders{d}
	}
	return s.requests
}

// orderSplitter distributes the orders of a delivery over requests.
type orderSplitter struct {
	whole    *engine.NodeOrders
	requests []*engine.NodeOrders
	// bytes and orders are the size of the last request.
	bytes, orders int
}

func (s *orderSplitter) addStop(stop *workflow.StopOrder) {
	bytes := orderBytes(stop.Task, stop.Reason)
	if !s.fits(bytes) {
		s.begin()
	}
	r := s.grow(bytes)
	r.Orders.Stops = append(r.Orders.Stops, *stop)
}

// addStart adds a start with what it was based on, and the specification of its job unless the request has it already.
func (s *orderSplitter) addStart(i int) {
	start := &s.whole.Orders.Starts[i]
	job, _ := workflow.ParseTaskID(start.Task)
	spec := s.whole.Orders.Specs[job.Job]
	bytes, specBytes := orderBytes(start.Task, start.Image, start.Saved, start.Ticket), orderBytes(job.Job, spec)
	if s.hasSpec(job.Job) {
		specBytes = 0
	}
	if !s.fits(bytes + specBytes) {
		s.begin()
		specBytes = orderBytes(job.Job, spec)
	}
	r := s.grow(bytes + specBytes)
	r.Orders.Starts = append(r.Orders.Starts, *start)
	r.Orders.Specs[job.Job] = spec
	if i < len(s.whole.Bases) {
		r.Bases = append(r.Bases, s.whole.Bases[i])
	}
}

func (s *orderSplitter) hasSpec(job string) bool {
	if len(s.requests) == 0 {
		return false
	}
	_, found := s.requests[len(s.requests)-1].Orders.Specs[job]
	return found
}

// fits reports whether the last request takes another order of a size. An order that is too large by itself gets a request of its own.
func (s *orderSplitter) fits(bytes int) bool {
	return len(s.requests) > 0 && s.orders < maxOrdersPerRequest && s.bytes+bytes <= MaxOrdersBytes
}

// begin begins a request without orders.
func (s *orderSplitter) begin() {
	r := *s.whole
	r.Orders.Starts, r.Orders.Stops, r.Orders.Specs, r.Bases = nil, nil, map[string]string{}, nil
	s.requests = append(s.requests, &r)
	s.bytes, s.orders = orderBytes(r.Node, r.Orders.ExecutorIncarnation), 0
}

// grow counts another order in the last request and returns the request.
func (s *orderSplitter) grow(bytes int) *engine.NodeOrders {
	s.bytes += bytes
	s.orders++
	return s.requests[len(s.requests)-1]
}

// fittingTraits returns as many of the traits as a reply to a report holds beside the rest of it. Runs without traits count as ordinary ones.
func fittingTraits(traits []workflow.RunTraits) []workflow.RunTraits {
	bytes := 0
	for i := range traits {
		bytes += orderBytes(traits[i].Task, traits[i].Image)
		if bytes > maxTraitsBytes {
			return traits[:i]
		}
	}
	return traits
}

// orderBytes returns at least as many bytes as the JSON encoding of an order with the given texts takes.
func orderBytes(texts ...string) int {
	bytes := orderOverheadBytes
	for _, text := range texts {
		bytes += maxEscapedBytes * len(text)
	}
	return bytes
}
