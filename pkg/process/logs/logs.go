// Package logs makes the structured logger of a process. Lines are written
// only for changes of state; everything else is a counter.
package logs

import (
	"io"
	"os"

	"github.com/sirupsen/logrus"
)

// timeFormat has milliseconds: the lines of many hosts are put in order by it.
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
