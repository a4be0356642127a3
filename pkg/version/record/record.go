// Package record defines the records that operators submit: workspaces, keys,
// availability zones, rollout configurations and routes.
//
// A record is stored as submitted, with its schema version. Converters, one for
// each schema version, convert its spec to the newest schema on reading, so that
// records of old and new schemas can coexist. The exported structs of this package
// are the specs of the newest schema.
package record

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Kinds of record.
const (
	KindWorkspace = "workspace"
	KindKey       = "key"
	KindZone      = "zone"
	KindRollout   = "rollout"
	KindRoute     = "route"
)

// Record is a record as submitted.
type Record struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Schema is the schema version of Spec.
	Schema int `json:"schema"`
	// Revision is the configuration revision that introduced this content.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	// Withdrawn records have no spec.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Workspace is a customer of the service.
type Workspace struct {
	// Weight determines the workspace's share of scarce capacity. It is positive.
	Weight float64 `json:"weight"`
	// Deadline is the longest time that its requests may wait for a backend
	// server, in milliseconds.
	Deadline int `json:"deadline,omitempty"`
}

// Key authenticates requests of a workspace.
type Key struct {
	Workspace string `json:"workspace"`
	// Hash is the SHA-256 of the key's text in hex. The text is never stored.
	Hash string `json:"hash"`
}

// Zone is an availability zone.
type Zone struct {
	// State is "in" or "out". A zone that is out gets no new requests.
	State string `json:"state"`
	// MinServers and MaxServers bound the ordered backend servers, by pool.
	MinServers map[string]int `json:"least,omitempty"`
	MaxServers map[string]int `json:"most,omitempty"`
	// Price is the cost of a steady backend server per hour.
	Price float64 `json:"price,omitempty"`
	// SpotShare is the fraction of the ordered servers that may be spot
	// (reclaimable) ones, 0 to 1.
	SpotShare float64 `json:"cheap,omitempty"`
}

// Rollout configures the steps of one trainer.
type Rollout struct {
	Workspace string `json:"workspace"`
	// Pool is the pool of the engines that generate the samples.
	Pool string `json:"pool"`
	// MaxVersionLag is the greatest allowed distance between the trainer's newest
	// weight version and the oldest one that produced tokens of a sample.
	MaxVersionLag uint64 `json:"age"`
	// Scorer is the pool of the scoring service; empty means no scoring.
	Scorer string `json:"scorer,omitempty"`
	// MaxTokens is the longest sample in tokens.
	MaxTokens int `json:"tokens"`
}

// Route maps a path prefix to a pool of plain services.
type Route struct {
	Prefix string `json:"prefix"`
	Pool   string `json:"pool"`
	// Public routes require no key.
	Public bool `json:"open,omitempty"`
	// Idempotent lists the methods whose requests may be retried.
	Idempotent []string `json:"idempotent,omitempty"`
	// Timeout bounds the time of a request, in milliseconds.
	Timeout int `json:"timeout,omitempty"`
}

// DefaultDeadlineMS applies to workspaces without a deadline and routes without a
// timeout.
const DefaultDeadlineMS = 30_000

// namePattern restricts names to characters that are safe in paths and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// converter converts a spec from one schema version to the next.
type converter func(json.RawMessage) (any, error)

type kind struct {
	// converters[i] converts schema i+1 to schema i+2.
	converters []converter
	check      func(json.RawMessage) error
}

func (k kind) newestSchema() int { return len(k.converters) + 1 }

var kinds = map[string]kind{
	KindWorkspace: {converters: []converter{convertWorkspaceV1}, check: checkWorkspace},
	KindKey:       {check: checkKey},
	KindZone:      {converters: []converter{convertZoneV1}, check: checkZone},
	KindRollout:   {check: checkRollout},
	KindRoute:     {check: checkRoute},
}

// Kinds returns the kinds of record in alphabetical order.
func Kinds() []string {
	return []string{KindKey, KindRollout, KindRoute, KindWorkspace, KindZone}
}

// NewestSchema returns the newest schema version of a kind, or zero if unknown.
func NewestSchema(name string) int {
	k, ok := kinds[name]
	if !ok {
		return 0
	}
	return k.newestSchema()
}

// Check validates a submitted record, without regard to other records. The error
// is a *strictjson.FieldError or a *strictjson.SyntaxError.
func Check(r Record) error {
	if err := strictjson.OneOf("kind", r.Kind, Kinds()...); err != nil {
		return err
	}
	if !namePattern.MatchString(r.Name) {
		return &strictjson.FieldError{Field: "name", Problem: "must be 1 to 63 lower-case letters, digits or hyphens"}
	}
	if r.Withdrawn {
		return nil
	}
	spec, err := Convert(r, NewestSchema(r.Kind))
	if err != nil {
		return err
	}
	return kinds[r.Kind].check(spec)
}

// Convert returns the record's spec in the given schema version, which must not be
// older than the submitted one.
func Convert(r Record, schema int) (json.RawMessage, error) {
	k := kinds[r.Kind]
	if r.Schema < 1 || r.Schema > k.newestSchema() {
		return nil, &strictjson.FieldError{Field: "schema", Problem: fmt.Sprintf("is %d", r.Schema), Allowed: schemaVersions(k.newestSchema())}
	}
	if schema < r.Schema || schema > k.newestSchema() {
		return nil, &strictjson.FieldError{Field: "schema", Problem: fmt.Sprintf("can not be %d for a record of schema %d", schema, r.Schema)}
	}
	spec := r.Spec
	for v := r.Schema; v < schema; v++ {
		next, err := k.converters[v-1](spec)
		if err != nil {
			return nil, err
		}
		if spec, err = json.Marshal(next); err != nil {
			return nil, err
		}
	}
	return spec, nil
}

func schemaVersions(newest int) []string {
	var all []string
	for v := 1; v <= newest; v++ {
		all = append(all, strconv.Itoa(v))
	}
	return all
}

// Decode returns the record's spec in the newest schema.
func Decode[T any](r Record) (T, error) {
	var spec T
	raw, err := Convert(r, NewestSchema(r.Kind))
	if err != nil {
		return spec, err
	}
	err = strictjson.Decode(raw, &spec)
	return spec, err
}

// workspaceV1 is schema 1 of Workspace.
type workspaceV1 struct {
	Share int `json:"share"`
}

func convertWorkspaceV1(raw json.RawMessage) (any, error) {
	var old workspaceV1
	if err := strictjson.Decode(raw, &old); err != nil {
		return nil, err
	}
	return Workspace{Weight: float64(old.Share)}, nil
}

// zoneV1 is schema 1 of Zone.
type zoneV1 struct {
	Out bool `json:"out"`
}

func convertZoneV1(raw json.RawMessage) (any, error) {
	var old zoneV1
	if err := strictjson.Decode(raw, &old); err != nil {
		return nil, err
	}
	if old.Out {
		return Zone{State: "out"}, nil
	}
	return Zone{State: "in"}, nil
}

func checkWorkspace(raw json.RawMessage) error {
	var w Workspace
	if err := strictjson.Decode(raw, &w); err != nil {
		return err
	}
	return strictjson.First(
		strictjson.Require("weight", w.Weight > 0 && w.Weight <= 1000, "must be above 0 and at most 1000"),
		strictjson.Require("deadline", w.Deadline >= 0 && w.Deadline <= 3_600_000, "must be 0 to 3600000 milliseconds"),
	)
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkKey(raw json.RawMessage) error {
	var k Key
	if err := strictjson.Decode(raw, &k); err != nil {
		return err
	}
	return strictjson.First(
		strictjson.Require("workspace", namePattern.MatchString(k.Workspace), "must name a workspace"),
		strictjson.Require("hash", hashPattern.MatchString(k.Hash), "must be 64 lower-case hex digits"),
	)
}

func checkZone(raw json.RawMessage) error {
	var z Zone
	if err := strictjson.Decode(raw, &z); err != nil {
		return err
	}
	for pool, minServers := range z.MinServers {
		if maxServers, ok := z.MaxServers[pool]; minServers < 0 || (ok && maxServers < minServers) {
			return &strictjson.FieldError{Field: "least." + pool, Problem: "must be 0 or more and at most \"most\""}
		}
	}
	return strictjson.First(
		strictjson.OneOf("state", z.State, "in", "out"),
		strictjson.Require("price", z.Price >= 0, "must not be negative"),
		strictjson.Require("cheap", z.SpotShare >= 0 && z.SpotShare <= 1, "must be 0 to 1"),
	)
}

func checkRollout(raw json.RawMessage) error {
	var r Rollout
	if err := strictjson.Decode(raw, &r); err != nil {
		return err
	}
	return strictjson.First(
		strictjson.Require("workspace", namePattern.MatchString(r.Workspace), "must name a workspace"),
		strictjson.Require("pool", namePattern.MatchString(r.Pool), "must name a pool"),
		strictjson.Require("tokens", r.MaxTokens > 0 && r.MaxTokens <= 1_000_000, "must be 1 to 1000000"),
	)
}

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func checkRoute(raw json.RawMessage) error {
	var r Route
	if err := strictjson.Decode(raw, &r); err != nil {
		return err
	}
	for _, m := range r.Idempotent {
		if !slices.Contains(methods, m) {
			return &strictjson.FieldError{Field: "idempotent", Problem: fmt.Sprintf("has the value %q", m), Allowed: methods}
		}
	}
	return strictjson.First(
		strictjson.Require("prefix", len(r.Prefix) > 1 && r.Prefix[0] == '/' && r.Prefix[len(r.Prefix)-1] == '/', "must start and end with \"/\""),
		strictjson.Require("prefix", len(r.Prefix) < 4 || r.Prefix[:4] != "/v1/", "must not lie under \"/v1/\""),
		strictjson.Require("pool", namePattern.MatchString(r.Pool), "must name a pool"),
		strictjson.Require("timeout", r.Timeout >= 0 && r.Timeout <= 3_600_000, "must be 0 to 3600000 milliseconds"),
	)
}
