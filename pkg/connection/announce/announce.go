// Package announce implements the HTTP endpoint at which backend servers register,
// report their load and announce their shutdown.
package announce

import (
	"net"
	"net/http"
	"regexp"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Announcement is the body of POST /announce. A backend server sends one every
// second, and sets Leaving when it is about to stop.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation increases with every start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Seq increases with every announcement of an incarnation.
	Seq  uint64 `json:"seq"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	Pool string `json:"pool"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Class is "steady" or "cheap".
	Class string `json:"class"`
	// Capacity is the number of concurrent requests that the server supports once it
	// is warm.
	Capacity int `json:"bears"`
	Running  int `json:"running"`
	// Versions maps each rollout to its loaded weight version.
	Versions map[string]uint64 `json:"versions,omitempty"`
	// SupportsFencing reports whether the server refuses orders with an old fencing
	// token.
	SupportsFencing bool `json:"fences"`
	Leaving         bool `json:"leaving"`
}

// maxCapacity bounds the capacity that a server may announce.
const maxCapacity = 100_000

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Config holds the settings and callbacks of a Handler.
type Config struct {
	// Token is the SHA-256 of the backend servers' token in hex.
	Token string
	// OnAnnouncement is called with every valid announcement.
	OnAnnouncement func(*pb.Announcement)
}

// Handler serves the backend servers' listener.
type Handler struct{ cfg Config }

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg} }

// Serve handles one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	if !operator.Authorized(ctx, h.cfg.Token) {
		response.WriteError(ctx, &response.Error{Status: http.StatusUnauthorized, Code: response.CodeForbidden,
			Message: "the backend servers' token is required", Ran: attempt.RanNo})
		return
	}
	if string(ctx.Path()) != "/announce" || !ctx.IsPost() {
		response.WriteError(ctx, &response.Error{Status: http.StatusNotFound, Code: response.CodeNoRoute,
			Message: "use POST /announce", Ran: attempt.RanNo})
		return
	}
	var a Announcement
	err := strictjson.Decode(ctx.PostBody(), &a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		response.WriteError(ctx, err)
		return
	}
	h.cfg.OnAnnouncement(a.toProto())
	response.Write(ctx, http.StatusOK, struct{}{})
}

func (a *Announcement) check() error {
	for _, f := range []struct{ field, value string }{{"id", a.ID}, {"zone", a.Zone}, {"pool", a.Pool}} {
		if !namePattern.MatchString(f.value) {
			return response.Invalid(f.field, "must be a name of 1 to 63 letters, digits, dots, hyphens or underscores")
		}
	}
	host, _, err := net.SplitHostPort(a.Addr)
	switch {
	case err != nil || net.ParseIP(host) == nil:
		return response.Invalid("addr", "must be an IP address and port")
	case a.Incarnation == 0:
		return response.Invalid("incarnation", "must be 1 or more")
	case a.Capacity < 1 || a.Capacity > maxCapacity:
		return response.Invalid("bears", "must be 1 to 100000")
	case a.Running < 0:
		return response.Invalid("running", "must not be negative")
	}
	if err := strictjson.OneOf("kind", a.Kind, "engine", "service"); err != nil {
		return err
	}
	return strictjson.OneOf("class", a.Class, "cheap", "steady")
}

func (a *Announcement) toProto() *pb.Announcement {
	return &pb.Announcement{Id: a.ID, Incarnation: a.Incarnation, Seq: a.Seq, Addr: a.Addr, Zone: a.Zone, Pool: a.Pool,
		Kind: a.Kind, Class: a.Class, Bears: uint32(a.Capacity), Running: uint32(a.Running), Versions: a.Versions,
		Fences: a.SupportsFencing, Leaving: a.Leaving}
}
