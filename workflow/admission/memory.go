package admission

import "time"

const (
	// TaskBytes is the memory that an owner needs for a task. TestFootprintCoversMemory measures 0.4 to 0.9 KB; checkpoints, former runs
	// and failures come on top.
	TaskBytes = 1280
	// takeoverBytes is what a new owner needs for a task beyond that while it reads the store: a decoded row of a record takes 181
	// bytes and its stored form 72 with texts of usual length, the response of the store up to twice 96.
	takeoverBytes = 448
	// processBytes is what the process of an owner needs besides its jobs: 20 MB for an idle node, and as much for reports,
	// responses and stacks.
	processBytes = 40 << 20
	// garbageFactor is how much more memory than the live one the process takes before garbage is collected.
	garbageFactor = 1.5
	// minMaxTasks is the least bound, so that a small host still accepts one job of usual size.
	minMaxTasks = 1000
)

// MaxTasks returns the most tasks, as Footprint counts, that an owner may hold on a host with a given memory in MB. It returns 0, for
// no limit, if the memory isn't known.
func MaxTasks(memoryMB int64) int {
	if memoryMB <= 0 {
		return 0
	}
	left := float64(memoryMB<<20-processBytes) / garbageFactor
	return max(int(left/(TaskBytes+takeoverBytes)), minMaxTasks)
}

const (
	// SmallJobTasks is the footprint up to which a job counts as small.
	SmallJobTasks = 100
	// SmallGrant is what a gateway wants at least for small jobs: 20 jobs of 20 tasks in each of two seconds.
	SmallGrant = 800
	// maxGrantAge is the age from which a grant no longer limits small jobs: the owner is away or is about to change, and ordinary clients
	// are served meanwhile.
	maxGrantAge = 2 * time.Second
	// smallJobShare is the share of the owner's tasks that only small jobs may take, so that large ones can't keep them out.
	smallJobShare = 0.25
)

// Grant is a number of tasks, as Footprint counts, in small jobs and in large ones.
type Grant struct{ Small, Large int }

// GrantOf returns the tasks of a job.
func GrantOf(r *Request) Grant {
	if r.isSmall() {
		return Grant{Small: r.Tasks}
	}
	return Grant{Large: r.Tasks}
}

// Add returns the sum of two numbers of tasks.
func (g Grant) Add(other Grant) Grant { return Grant{g.Small + other.Small, g.Large + other.Large} }

// Sub returns the difference of two numbers of tasks.
func (g Grant) Sub(other Grant) Grant { return Grant{g.Small - other.Small, g.Large - other.Large} }

func (r *Request) isSmall() bool { return r.Tasks <= SmallJobTasks }

// NewGrant returns what a gateway may accept, of what it wants, beyond what the owner holds and what other gateways may accept. All grants
// and what is held stay within maxTasks together. Small jobs may get all that is left, and a part of maxTasks that is reserved for them in
// any case.
func NewGrant(maxTasks, held int, others, want Grant) Grant {
	reserved := reservedTasks(maxTasks)
	left := maxTasks - held - others.Small - others.Large
	small := max(min(want.Small, max(left, min(reserved, maxTasks-held)-others.Small)), 0)
	large := max(min(want.Large, maxTasks-reserved-held-others.Large, left-small), 0)
	return Grant{Small: small, Large: large}
}

func reservedTasks(maxTasks int) int { return int(smallJobShare * float64(maxTasks)) }

// fitsMemory reports whether the owner has room for the tasks of a job, or may have.
func fitsMemory(s *Snapshot, r *Request) bool {
	if s.Held == nil || s.HeldAge > MaxHeldAge || s.Held.MaxTasks == 0 {
		return true
	}
	left := s.Held.Grant.Sub(s.LocalTasks)
	if !r.isSmall() {
		return r.Tasks <= left.Large
	}
	return r.Tasks <= max(left.Small, 0)+max(left.Large, 0) ||
		s.HeldAge > maxGrantAge && s.Held.HeldTasks+s.LocalTasks.Small+s.LocalTasks.Large+r.Tasks <= s.Held.MaxTasks
}

// NeedsGrant reports whether a job doesn't fit only because the grant of the gateway is too low.
func NeedsGrant(s *Snapshot, r *Request) bool {
	if fitsMemory(s, r) {
		return false
	}
	most := s.Held.MaxTasks
	if !r.isSmall() {
		most -= reservedTasks(most)
	}
	return s.Held.HeldTasks+r.Tasks <= most
}
