// Package admission decides whether a gateway accepts a job while capacity or the memory of the owner is short. It addresses bursts
// of large jobs, which would otherwise wait until they have no value left for their clients, and clients that submit more tasks than
// an owner can hold. The owner describes its load in a Summary, which gateways get with the responses to their queries; Decide is a
// pure function of the newest one.
package admission

import (
	"errors"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// Header carries the summary in the responses of the owner, in the form that Summary.Encode returns.
	Header = "Qz-Load"
	// AskHeader carries an Ask in the requests of gateways. Owners without it get no request for a summary, and gateways that don't
	// send it get none.
	AskHeader = "Qz-Load-For"
	// NoSummary is the value of Header if an owner has no summary yet.
	NoSummary = "-"
	// MaxHeaderBytes limits the length of both headers. A queue name of usual length gives some 70 bytes.
	MaxHeaderBytes = 512
	// formatVersion is the version of the encoded form. Other versions are ignored.
	formatVersion = "1"
)

// ErrMalformed is returned for headers that can't be decoded.
var ErrMalformed = errors.New("admission: malformed header")

// SizeClasses is the number of classes of jobs by their work.
const SizeClasses = 4

// classBounds holds the work in core seconds up to which a job belongs to each class but the last.
var classBounds = [SizeClasses - 1]float64{4, 32, 256}

// SizeClass returns the class of a job by its work in core seconds.
func SizeClass(work float64) int {
	for class, bound := range classBounds {
		if work <= bound {
			return class
		}
	}
	return SizeClasses - 1
}

// Summary is the load of an owner, and of the queue that was asked for.
type Summary struct {
	// Epoch and Sequence order summaries: those of a later owner, and later ones of the same owner, are newer.
	Epoch, Sequence int64
	// Age is how long ago the summary was taken when it was sent.
	Age time.Duration
	// HeldTasks is what the owner holds, and MaxTasks the most that its memory can hold, both as Footprint counts. 0 means no limit.
	HeldTasks, MaxTasks int
	// Grant is what the gateway may accept beyond HeldTasks, so that all gateways together stay within MaxTasks.
	Grant Grant
	// Queue is the name of the queue that Load describes, and HasLoad is set if the owner knows the load.
	Queue   string
	HasLoad bool
	Load    QueueLoad
}

// QueueLoad is the load that matters for the jobs of one queue.
type QueueLoad struct {
	// Capacity is the CPU of the executors of the queue's pool that are in service, and Reserved what tasks reserve of it, both in
	// millicores.
	Capacity, Reserved int64
	// LargestFree is the most CPU that is not reserved on one of these executors, in millicores.
	LargestFree int64
	// Running and Waiting are the queue's tasks that are assigned to executors, and its jobs of which no task has begun.
	Running, Waiting int
	// Backlog is the ready work, in core seconds, that comes before a new job of each size class: of jobs with a higher priority, and
	// of those with the same priority that are not in a larger class. Jobs that are too late to have any value left are left out.
	Backlog [SizeClasses]float64
}

// NewerThan reports whether the summary was taken after another one.
func (s *Summary) NewerThan(other *Summary) bool {
	return s.Epoch > other.Epoch || s.Epoch == other.Epoch && s.Sequence > other.Sequence
}

// Encode returns the summary as the value of Header.
func (s *Summary) Encode() string {
	b := make([]byte, 0, 96)
	b = append(b, formatVersion...)
	add := func(n int64) { b = strconv.AppendInt(append(b, ' '), n, 36) }
	for _, n := range [...]int64{s.Epoch, s.Sequence, s.Age.Milliseconds(), int64(s.HeldTasks), int64(s.MaxTasks), int64(s.Grant.Small), int64(s.Grant.Large)} {
		add(n)
	}
	if !s.HasLoad {
		return string(b)
	}
	b = append(append(b, ' '), url.QueryEscape(s.Queue)...)
	l := &s.Load
	for _, n := range [...]int64{l.Capacity, l.Reserved, l.LargestFree, int64(l.Running), int64(l.Waiting)} {
		add(n)
	}
	for _, work := range l.Backlog {
		// Rounds down, so that a forecast is never worse than what the owner knows.
		add(int64(min(max(work, 0), math.MaxInt32)))
	}
	return string(b)
}

const (
	// ownerFields is the number of fields of an encoded summary without a load, and loadFields that of one with a load.
	ownerFields = 8
	loadFields  = ownerFields + 6 + SizeClasses
)

// Decode reads the form that Encode returns.
func Decode(text string) (Summary, error) {
	if len(text) > MaxHeaderBytes {
		return Summary{}, ErrMalformed
	}
	fields := strings.Split(text, " ")
	if fields[0] != formatVersion || len(fields) != ownerFields && len(fields) != loadFields {
		return Summary{}, ErrMalformed
	}
	r := fieldReader{fields: fields[1:]}
	s := Summary{
		Epoch: r.number(), Sequence: r.number(), Age: time.Duration(r.bounded(math.MaxInt32)) * time.Millisecond,
		HeldTasks: r.count(), MaxTasks: r.count(), Grant: Grant{Small: r.count(), Large: r.count()},
	}
	if len(fields) == loadFields {
		s.HasLoad, s.Queue = true, r.name()
		s.Load = QueueLoad{
			Capacity: r.number(), Reserved: r.number(), LargestFree: r.number(), Running: r.count(), Waiting: r.count(),
		}
		for i := range s.Load.Backlog {
			s.Load.Backlog[i] = float64(r.number())
		}
	}
	if r.failed {
		return Summary{}, ErrMalformed
	}
	return s, nil
}

// fieldReader reads the fields of an encoded summary one after the other.
type fieldReader struct {
	fields []string
	failed bool
}

func (r *fieldReader) next() string {
	field := r.fields[0]
	r.fields = r.fields[1:]
	return field
}

func (r *fieldReader) number() int64 { return r.bounded(math.MaxInt64) }

func (r *fieldReader) count() int { return int(r.bounded(math.MaxInt32)) }

func (r *fieldReader) bounded(most int64) int64 {
	n, err := strconv.ParseInt(r.next(), 36, 64)
	if err != nil || n < 0 || n > most {
		r.failed = true
		return 0
	}
	return n
}

func (r *fieldReader) name() string {
	name, err := url.QueryUnescape(r.next())
	r.failed = r.failed || err != nil
	return name
}

// Ask is a gateway's request for a summary, which it adds to its queries.
type Ask struct {
	// Gateway identifies the process of the gateway.
	Gateway string
	// Want is what the gateway wants to be able to accept.
	Want Grant
	// Queue is the queue of which the load is wanted.
	Queue string
}

// askFields is the number of fields of an encoded Ask.
const askFields = 4

// Encode returns the value of AskHeader.
func (a *Ask) Encode() string {
	return a.Gateway + " " + strconv.FormatInt(int64(a.Want.Small), 36) + " " + strconv.FormatInt(int64(a.Want.Large), 36) + " " + url.QueryEscape(a.Queue)
}

// DecodeAsk reads the form that Ask.Encode returns.
func DecodeAsk(text string) (Ask, error) {
	fields := strings.Split(text, " ")
	if len(text) > MaxHeaderBytes || len(fields) != askFields || fields[0] == "" {
		return Ask{}, ErrMalformed
	}
	r := fieldReader{fields: fields}
	a := Ask{Gateway: r.next(), Want: Grant{Small: r.count(), Large: r.count()}, Queue: r.name()}
	if r.failed {
		return Ask{}, ErrMalformed
	}
	return a, nil
}
