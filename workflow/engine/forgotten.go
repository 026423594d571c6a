package engine

// maxForgottenJobs is the number of removed jobs of which the IDs are kept.
const maxForgottenJobs = 2048

// forgottenJobs holds the IDs of the jobs that were last removed, so that a job that is added again can be told from a new one.
type forgottenJobs struct {
	ids  map[string]struct{}
	ring []string
	next int
}

func (f *forgottenJobs) add(id string) {
	if _, known := f.ids[id]; known {
		return
	}
	if f.ids == nil {
		f.ids = map[string]struct{}{}
	}
	if len(f.ring) < maxForgottenJobs {
		f.ring = append(f.ring, id)
	} else {
		delete(f.ids, f.ring[f.next])
		f.ring[f.next] = id
		f.next = (f.next + 1) % maxForgottenJobs
	}
	f.ids[id] = struct{}{}
}

// WasForgotten reports whether a job was removed before by this owner, as far as that is kept.
func (e *Engine) WasForgotten(id string) bool {
	_, found := e.forgotten.ids[id]
	return found
}
