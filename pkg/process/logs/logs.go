// Package logs creates the structured logger of a process. Log lines are for changes
// of state and failures; everything else is counted in metrics.
package logs

import (
	"io"
	"os"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, because the lines of many hosts are merged in
// order of time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes JSON lines to standard error.
func New(level, role, host string) *logrus.Entry { return NewTo(os.Stderr, level, role, host) }

// NewTo returns a logger that writes JSON lines to out.
func NewTo(out io.Writer, level, role, host string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return l.WithFields(logrus.Fields{"role": role, "host": host})
}
