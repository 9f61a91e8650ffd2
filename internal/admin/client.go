package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// Client calls the API of an entry process.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the API at a base URL that authenticates with an operator's token.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// do sends a request and returns the response and its whole body.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "call the administration API")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read response")
	}
	return response, content, nil
}

// get sends a GET request and decodes the response into out.
func (c *Client) get(ctx context.Context, path string, out any) error {
	response, body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// responseError returns the error of a failed request.
func responseError(response *http.Response, body []byte) error {
	var reply ErrorReply
	if json.Unmarshal(body, &reply) == nil && reply.Error != "" {
		return errors.Errorf("%s: %s", response.Status, reply.Error)
	}
	return errors.Errorf("%s", response.Status)
}

// Document returns the text and revision of a team's document, or revision 0 if there is none.
func (c *Client) Document(ctx context.Context, team string) ([]byte, int64, error) {
	response, body, err := c.do(ctx, http.MethodGet, PathDocuments+"/"+url.PathEscape(team), nil)
	if err != nil {
		return nil, 0, err
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, 0, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, responseError(response, body)
	}
	revision, err := strconv.ParseInt(response.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return nil, 0, errors.Wrap(err, "parse revision header")
	}
	return body, revision, nil
}

// Documents lists the documents in force.
func (c *Client) Documents(ctx context.Context) ([]DocumentInfo, error) {
	var list []DocumentInfo
	return list, c.get(ctx, PathDocuments, &list)
}

// Apply sends a new version that is based on the given revision. If no response arrives, the version may have been written
// nevertheless, so Apply returns OutcomeUnknown and no error.
func (c *Client) Apply(ctx context.Context, team string, text []byte, revision int64) (ApplyReply, error) {
	path := PathDocuments + "/" + url.PathEscape(team) + "?revision=" + strconv.FormatInt(revision, 10)
	response, body, err := c.do(ctx, http.MethodPut, path, text)
	if err != nil {
		return ApplyReply{Outcome: OutcomeUnknown, Detail: err.Error()}, nil
	}
	var reply ApplyReply
	if json.Unmarshal(body, &reply) != nil || reply.Outcome == "" {
		return ApplyReply{}, responseError(response, body)
	}
	return reply, nil
}

// Status returns the live state of the entry process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.get(ctx, PathStatus, &status)
}

// Upstreams returns the live state of the upstreams that the operator has access to.
func (c *Client) Upstreams(ctx context.Context) ([]UpstreamStatus, error) {
	var list []UpstreamStatus
	return list, c.get(ctx, PathUpstreams, &list)
}

// Order sends an order of the kind drain, return or engine to an upstream.
func (c *Client) Order(ctx context.Context, upstream, kind string, order *EngineOrder) (OrderReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderReply{}, errors.Wrap(err, "encode order")
	}
	response, content, err := c.do(ctx, http.MethodPost, PathUpstreams+"/"+url.PathEscape(upstream)+"/"+kind, body)
	if err != nil {
		return OrderReply{}, err
	}
	var reply OrderReply
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict {
		if err := json.Unmarshal(content, &reply); err != nil {
			return reply, errors.Wrap(err, "decode response")
		}
		return reply, nil
	}
	return reply, responseError(response, content)
}

// Events returns the merged timeline as text or HTML.
func (c *Client) Events(ctx context.Context, query url.Values) ([]byte, error) {
	response, body, err := c.do(ctx, http.MethodGet, PathEvents+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response, body)
	}
	return body, nil
}
