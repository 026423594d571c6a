package gateway

import "sync"

// maxRememberedSubmissions limits the submissions whose results are remembered.
const maxRememberedSubmissions = 20000

// submissions remembers the results of submissions, by job, that a later one of the same job must not contradict while the
// store can't be asked. Beyond maxRememberedSubmissions the oldest half is forgotten.
type submissions struct {
	mu sync.Mutex
	// newer and older hold true for an accepted job and false for one whose result was unknown.
	newer, older map[string]bool
	// storing holds the number of submissions that are storing each job.
	storing map[string]int
}

func newSubmissions() *submissions {
	return &submissions{newer: map[string]bool{}, storing: map[string]int{}}
}

// begin records that a submission is about to store a job, if it is admitted, or if the job has been accepted, may have been, or is
// being stored by another submission. Otherwise it returns false.
func (s *submissions) begin(job string, admitted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, newer := s.newer[job]
	_, older := s.older[job]
	if !admitted && !newer && !older && s.storing[job] == 0 {
		return false
	}
	s.storing[job]++
	return true
}

// end records that a submission no longer stores a job. Its result has been remembered.
func (s *submissions) end(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storing[job]--; s.storing[job] <= 0 {
		delete(s.storing, job)
	}
}

// remember records that a job was accepted, or that the result of its submission was unknown.
func (s *submissions) remember(job string, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newer) >= maxRememberedSubmissions/2 {
		s.newer, s.older = map[string]bool{}, s.newer
	}
	s.newer[job] = accepted
}

// find returns the result of an earlier submission of a job. known is false if there was none, or if it was rejected.
func (s *submissions) find(job string) (accepted, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if accepted, known = s.newer[job]; known {
		return accepted, true
	}
	accepted, known = s.older[job]
	return accepted, known
}
