package cmds

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// secretBytes is the number of random bytes in a key.
const secretBytes = 24

func keyNewCommand() command {
	c := newClient()
	var workspace, name, file, request string
	return command{
		path: "key new",
		help: "Create a key for a workspace.",
		detail: "Generates the secret locally and writes it to a file that only its owner can read; the service receives its hash only. " +
			"If the file exists, its key is submitted again, so that a retry after a lost response does not create a second key.",
		args: []argument{{"workspace", "The workspace.", &workspace}, {"name", "The key's name.", &name}},
		options: c.options(
			option{name: "file", help: "File for the key's text; default <name>.key.", text: &file},
			option{name: "request", help: "Request number for retries; a repeated number returns the first answer.", text: &request}),
		run: func(env *env) error { return newKey(env, c, workspace, name, file, request) },
	}
}

func newKey(env *env, c *client, workspace, name, file, request string) error {
	if file == "" {
		file = name + ".key"
	}
	text, err := keyText(name, file)
	if err != nil {
		return err
	}
	spec, err := json.Marshal(record.Key{Workspace: workspace, Hash: view.HashKey(text)})
	if err != nil {
		return err
	}
	r := record.Record{Kind: record.KindKey, Name: name, Schema: record.NewestSchema(record.KindKey), Spec: spec}
	if err := record.Check(r); err != nil {
		return err
	}
	if current, err := findRecord(c, r.Kind, r.Name, 0); err == nil {
		return confirmSameKey(env, current, view.HashKey(text))
	}
	return c.submit(env, operator.Change{Request: request, Kind: r.Kind, Name: name, Schema: r.Schema, Spec: spec})
}

// confirmSameKey succeeds if the existing key has the hash that was to be submitted.
func confirmSameKey(env *env, current record.Record, hash string) error {
	k, err := record.Decode[record.Key](current)
	if err != nil {
		return err
	}
	if k.Hash != hash {
		return &RefusedError{Problem: fmt.Sprintf("key %q exists with a different secret; withdraw it first", current.Name)}
	}
	fmt.Fprintf(env.out, "key %s: revision %d\n", current.Name, current.Revision)
	return nil
}

// keyText reads the key from a file, or generates one and writes it there.
func keyText(name, file string) (string, error) {
	if data, err := os.ReadFile(file); err == nil {
		return string(data), nil
	}
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", err
	}
	text := view.KeyPrefix + name + "_" + hex.EncodeToString(secret[:])
	return text, os.WriteFile(file, []byte(text), 0o600)
}

func keyWithdrawCommand() command {
	c := newClient()
	var name, request string
	return command{
		path:    "key withdraw",
		help:    "Withdraw a key: it stops working within seconds, also on open connections.",
		args:    []argument{{"name", "The key's name.", &name}},
		options: c.options(option{name: "request", help: "Request number for retries; a repeated number returns the first answer.", text: &request}),
		run:     func(env *env) error { return withdraw(env, c, record.KindKey, name, request, -1) },
	}
}
