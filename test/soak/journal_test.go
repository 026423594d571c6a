package soak

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// journal is the file with the events of a run.
type journal struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// journalTime has the format of the log lines of the processes.
const journalTime = "15:04:05.000"

func openJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: file, out: bufio.NewWriter(file)}, nil
}

func (j *journal) addf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.out, "%s %s\n", time.Now().UTC().Format(journalTime), fmt.Sprintf(format, args...))
}

func (j *journal) flush() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush()
}

func (j *journal) close() {
	j.flush()
	_ = j.file.Close()
}
