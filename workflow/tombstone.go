package workflow

import "bytes"

// tombstone is the value of the key of a job that was cancelled before it was stored. While it is there, a submission of the job that the
// store carries out late fails, since its condition is that the key does not exist.
var tombstone = []byte(`{"tombstone":true}`)

// Tombstone returns the value that takes the place of a job that was cancelled before it was stored.
func Tombstone() []byte { return bytes.Clone(tombstone) }

// IsTombstone reports whether a stored value is that of Tombstone, and so no job.
func IsTombstone(value []byte) bool { return bytes.Equal(value, tombstone) }
