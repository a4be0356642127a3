package cmds

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// pollWait is the maximum time that one call waits for a revision to be in force.
const pollWait = 10 * time.Second

func recordPutCommand() command {
	c := newClient()
	var file, request string
	replaces := -1
	return command{
		path: "record put",
		help: "Submit the records of a file.",
		detail: "The file contains one record, a list of records, or the output of \"record list --json\", in JSON with comments. Without --replaces each record " +
			"replaces its current revision. --request and --replaces need a file with one record.",
		args: []argument{{"file", "The file with the records.", &file}},
		options: c.options(
			option{name: "request", help: "Request number for retries; a repeated number returns the first answer.", text: &request},
			option{name: "replaces", help: "Revision that the record replaces; 0 if the record must not exist yet.", number: &replaces}),
		run: func(env *env) error { return putRecords(env, c, file, request, replaces) },
	}
}

func putRecords(env *env, c *client, file, request string, replaces int) error {
	records, err := readRecords(file)
	if err != nil {
		return err
	}
	if len(records) != 1 && (request != "" || replaces >= 0) {
		return &UsageError{Problem: "--request and --replaces need a file with one record"}
	}
	for _, r := range records {
		change := operator.Change{Request: request, Kind: r.Kind, Name: r.Name, Schema: r.Schema, Spec: r.Spec}
		if change.Replaces, err = replacedRevision(c, r.Kind, r.Name, replaces); err != nil {
			return err
		}
		if err := c.submit(env, change); err != nil {
			return fmt.Errorf("%s %s: %w", r.Kind, r.Name, err)
		}
	}
	return nil
}

// readRecords reads a file and checks every record, so that an invalid file is rejected
// before anything is submitted.
func readRecords(file string) ([]record.Record, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	records, err := decodeRecords(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for i, r := range records {
		if err := record.Check(r); err != nil {
			return nil, fmt.Errorf("%s: record %d (%s %s): %w", file, i+1, r.Kind, r.Name, err)
		}
	}
	return records, nil
}

// decodeRecords decodes a list, the output of "record list --json", or one record.
func decodeRecords(data []byte) ([]record.Record, error) {
	var list []record.Record
	if strictjson.DecodeCommented(data, &list) == nil {
		return list, nil
	}
	var printed operator.Records
	if strictjson.DecodeCommented(data, &printed) == nil && printed.Records != nil {
		return sortByDependency(printed.Records), nil
	}
	var one record.Record
	if err := strictjson.DecodeCommented(data, &one); err != nil {
		return nil, err
	}
	return []record.Record{one}, nil
}

// sortByDependency sorts records so that each comes after the records that it references.
func sortByDependency(records []record.Record) []record.Record {
	slices.SortStableFunc(records, func(a, b record.Record) int {
		return dependencyRank(a.Kind) - dependencyRank(b.Kind)
	})
	return records
}

func dependencyRank(kind string) int {
	if kind == record.KindWorkspace || kind == record.KindZone {
		return 0
	}
	return 1
}

// replacedRevision returns the revision that a change replaces: given, or the current one
// if given is negative, or 0 if there is no such record.
func replacedRevision(c *client, kind, name string, given int) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	r, err := findRecord(c, kind, name, 0)
	var missing *missingRecordError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return r.Revision, err
}

// missingRecordError reports a record that does not exist.
type missingRecordError struct{ kind, name string }

func (e *missingRecordError) Error() string {
	return fmt.Sprintf("no %s %q exists", e.kind, e.name)
}

func listRecords(c *client, kind, name string, schema int) (operator.Records, error) {
	q := url.Values{"kind": {kind}, "name": {name}}
	if schema > 0 {
		q.Set("schema", strconv.Itoa(schema))
	}
	var out operator.Records
	err := c.do(http.MethodGet, "/operator/records", q, nil, &out)
	return out, err
}

func findRecord(c *client, kind, name string, schema int) (record.Record, error) {
	all, err := listRecords(c, kind, name, schema)
	if err != nil {
		return record.Record{}, err
	}
	if len(all.Records) == 0 {
		return record.Record{}, &missingRecordError{kind, name}
	}
	return all.Records[0], nil
}

func recordGetCommand() command {
	c := newClient()
	var kind, name string
	var schema int
	return command{
		path:    "record get",
		help:    "Print one record.",
		detail:  "Prints the record in the schema version in which it was submitted, or in the one given by --schema.",
		args:    []argument{{"kind", "The kind of record.", &kind}, {"name", "The record's name.", &name}},
		options: c.options(option{name: "schema", help: "Schema version to convert to.", number: &schema}),
		run: func(env *env) error {
			r, err := findRecord(c, kind, name, schema)
			if err != nil {
				return err
			}
			return printJSON(env, r)
		},
	}
}

func recordListCommand() command {
	c := newClient()
	var kind string
	var asJSON bool
	return command{
		path: "record list",
		help: "List the current records.",
		options: c.options(
			option{name: "kind", help: "List records of this kind only.", text: &kind},
			option{name: "json", help: "Print JSON.", on: &asJSON}),
		run: func(env *env) error {
			all, err := listRecords(c, kind, "", 0)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(env, all)
			}
			for _, r := range all.Records {
				fmt.Fprintf(env.out, "%-10s %-24s schema %d  revision %d\n", r.Kind, r.Name, r.Schema, r.Revision)
			}
			return nil
		},
	}
}

func recordWithdrawCommand() command {
	c := newClient()
	var kind, name, request string
	replaces := -1
	return command{
		path:   "record withdraw",
		help:   "Withdraw one record.",
		detail: "Withdrawing a workspace also withdraws its keys, rollout configurations and steps.",
		args:   []argument{{"kind", "The kind of record.", &kind}, {"name", "The record's name.", &name}},
		options: c.options(
			option{name: "request", help: "Request number for retries; a repeated number returns the first answer.", text: &request},
			option{name: "replaces", help: "Revision to withdraw; default the current one.", number: &replaces}),
		run: func(env *env) error { return withdraw(env, c, kind, name, request, replaces) },
	}
}

func withdraw(env *env, c *client, kind, name, request string, replaces int) error {
	revision, err := replacedRevision(c, kind, name, replaces)
	if err != nil {
		return err
	}
	return c.submit(env, operator.Change{Request: request, Kind: kind, Name: name, Replaces: revision, Withdraw: true})
}

func recordWaitCommand() command {
	c := newClient()
	var revision string
	wait := 30
	return command{
		path:    "record wait",
		help:    "Wait until a revision is in force on every entry host.",
		detail:  "A host that cannot confirm the revision refuses work once its lease has expired, and is then no longer waited for.",
		args:    []argument{{"revision", "The revision to wait for.", &revision}},
		options: c.options(option{name: "seconds", help: "Maximum wait in seconds.", number: &wait}),
		run:     func(env *env) error { return waitInForce(env, c, revision, time.Duration(wait)*time.Second) },
	}
}

func waitInForce(env *env, c *client, revision string, wait time.Duration) error {
	if _, err := strconv.ParseUint(revision, 10, 64); err != nil {
		return &UsageError{Problem: "the revision must be a whole number"}
	}
	for deadline := time.Now().Add(wait); ; {
		left := min(pollWait, time.Until(deadline))
		q := url.Values{"revision": {revision}, "wait": {strconv.FormatInt(max(0, left.Milliseconds()), 10)}}
		var a operator.InForce
		if err := c.do(http.MethodGet, "/operator/inforce", q, nil, &a); err != nil {
			return err
		}
		if a.InForce {
			fmt.Fprintf(env.out, "revision %s is in force\n", revision)
			return nil
		}
		if time.Until(deadline) <= 0 {
			return fmt.Errorf("revision %s is not in force yet, waiting for %v", revision, a.Waiting)
		}
	}
}
