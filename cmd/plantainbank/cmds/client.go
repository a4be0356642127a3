package cmds

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/connection/response"
)

// clientTimeout is the timeout of one call to an entry host.
const clientTimeout = 75 * time.Second

// client calls the operator API of an entry host.
type client struct {
	url, token, ca string
}

func newClient() *client {
	return &client{url: envOrDefault("PLANTAINBANK_OPERATOR", "http://127.0.0.1:8081"),
		token: envOrDefault("PLANTAINBANK_TOKEN", ""), ca: envOrDefault("PLANTAINBANK_CA", "")}
}

// options returns the flags of every command that calls an entry host, followed by more.
func (c *client) options(more ...option) []option {
	return append([]option{
		{name: "operator", help: "Operators' address of an entry host (PLANTAINBANK_OPERATOR).", text: &c.url},
		{name: "token", help: "File with the operators' token (PLANTAINBANK_TOKEN).", text: &c.token},
		{name: "ca", help: "Certificate authority of the entry hosts, in PEM (PLANTAINBANK_CA).", text: &c.ca},
	}, more...)
}

func (c *client) httpClient() (*http.Client, error) {
	if c.ca == "" {
		return &http.Client{Timeout: clientTimeout}, nil
	}
	pem, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, &UsageError{Problem: "--ca: " + err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &UsageError{Problem: "--ca: the file contains no certificate"}
	}
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Timeout: clientTimeout, Transport: tr}, nil
}

// do sends a request and decodes the response into out.
func (c *client) do(method, path string, query url.Values, body, out any) error {
	if c.token == "" {
		return &UsageError{Problem: "--token or PLANTAINBANK_TOKEN must name the file with the operators' token"}
	}
	token, err := os.ReadFile(c.token)
	if err != nil {
		return &UsageError{Problem: "--token: " + err.Error()}
	}
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, strings.TrimSuffix(c.url, "/")+path+"?"+query.Encode(), payload)
	if err != nil {
		return &UsageError{Problem: "--operator: " + err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	h, err := c.httpClient()
	if err != nil {
		return err
	}
	res, err := h.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(data, out)
	}
	return decodeRefusal(res.StatusCode, data)
}

// decodeRefusal converts an error response to an error.
func decodeRefusal(status int, data []byte) error {
	var r operator.Refused
	if json.Unmarshal(data, &r) != nil || r.Error == nil {
		return fmt.Errorf("the entry host responded with status %d", status)
	}
	if r.Error.Code == response.CodeOutcomeUnknown {
		return &UnknownError{}
	}
	problem := r.Error.Message
	if r.Current != nil {
		current, err := json.Marshal(r.Current)
		if err == nil {
			problem += "; current record: " + string(current)
		}
	}
	return &RefusedError{Problem: problem}
}

// newRequestNumber returns a random request number.
func newRequestNumber() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a change and prints its revision. If the response is lost, it returns an
// UnknownError.
func (c *client) submit(env *env, change operator.Change) error {
	if change.Request == "" {
		change.Request = newRequestNumber()
	}
	var a operator.Accepted
	err := c.do(http.MethodPost, "/operator/records", nil, change, &a)
	if err != nil {
		return withRequestNumber(err, change.Request)
	}
	fmt.Fprintf(env.out, "%s %s: revision %d\n", change.Kind, change.Name, a.Revision)
	return nil
}

// withRequestNumber returns refusals and usage errors unchanged. For any other error the
// outcome is unknown, and it returns an UnknownError with the request number.
func withRequestNumber(err error, request string) error {
	switch err.(type) {
	case *RefusedError, *UsageError:
		return err
	}
	return &UnknownError{Request: request}
}

// printJSON prints a value as indented JSON.
func printJSON(env *env, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(env.out, string(data))
	return nil
}
