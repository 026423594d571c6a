package scheduler

// RemovePlugins removes all plug-ins and returns a function that restores them.
func RemovePlugins() func() {
	savedFilters, savedScores := filters, scores
	filters, scores = nil, nil
	return func() { filters, scores = savedFilters, savedScores }
}
