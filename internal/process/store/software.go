package store

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

// softwareWait is how long an item waits for a free engine of the software version that began it,
// before it starts again at an engine of another version.
const softwareWait = 400 * time.Millisecond

// softwareOf returns the software version at which an item must go on, or nil if it starts at its
// beginning. What engines of two versions write does not fit together, so an item whose version has
// no engine left, or none that becomes free soon, is reset. The caller holds d.mu.
func (d *driver) softwareOf(k itemqueue.Key, w *pendingItem, now time.Time) *string {
	if w.progress.Events == 0 {
		w.blockedAt = time.Time{}
		return nil
	}
	software := w.progress.Software
	req := placement.Requirement{Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion, Software: &software, Strict: true}
	if w.blockedAt.IsZero() {
		w.blockedAt = now
	}
	other := req
	other.Software = nil
	var reason string
	switch {
	case d.table.Available(req, now), !d.table.Available(other, now):
		return &software
	case !d.table.Continues(req, now):
		reason = "no engine has its software version"
	case now.Sub(w.blockedAt) > softwareWait:
		reason = "no engine of its software version is free"
	default:
		return &software
	}
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "software": software, "events": w.progress.Events, "reason": reason}).
		Info("item restarts from the beginning")
	d.s.cfg.Scope.Counter("software_restarts").Inc(1)
	w.reset()
	w.blockedAt = time.Time{}
	return nil
}

// softwareKey returns a text that tells software versions apart, and is empty for nil only.
func softwareKey(software *string) string {
	if software == nil {
		return ""
	}
	return "=" + *software
}
