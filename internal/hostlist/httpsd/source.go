// Package httpsd reads the host list in the Prometheus HTTP service-discovery format.
package httpsd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/hostlist"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
)

// Labels of a target group.
const (
	LabelName       = "__meta_fulmardoor_name"
	LabelDataCentre = "__meta_fulmardoor_data_centre"
	LabelRole       = "__meta_fulmardoor_role"
	LabelState      = "__meta_fulmardoor_state"
)

// maxListBytes bounds the memory that a list may take; 13,000 hosts take about 3 MB.
const maxListBytes = 64 << 20

type source struct {
	url    string
	client *http.Client
}

type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// New returns a source that reads the list from url. A nil client means http.DefaultClient. The caller's context limits
// the time of a read.
func New(url string, client *http.Client) hostlist.Source {
	return &source{url: url, client: readlimit.Client(client)}
}

// Hosts implements hostlist.Source. A host without a state is live. Any other state than live counts as leaving, so that
// a host with an unknown state gets no new work. A malformed entry
// makes the list incomplete.
func (s *source) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	groups, err := s.fetch(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "host list %s", s.url)
	}
	var hosts []hostlist.Host
	var odd error
	for _, text := range groups {
		var group targetGroup
		if err := json.Unmarshal(text, &group); err != nil {
			odd = errors.New("a group of targets cannot be decoded")
			continue
		}
		for _, target := range group.Targets {
			if err := fleet.CheckAddress(target); err != nil {
				odd = errors.Wrap(err, "target")
				continue
			}
			hosts = append(hosts, newHost(target, group.Labels))
		}
	}
	if odd != nil {
		return hosts, errors.Wrapf(errors.Join(hostlist.ErrIncomplete, odd), "host list %s", s.url)
	}
	return hosts, nil
}

func (s *source) fetch(ctx context.Context) ([]json.RawMessage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Accept", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("unexpected status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if len(body) > maxListBytes {
		return nil, errors.Errorf("list is larger than %d bytes", maxListBytes)
	}
	var groups []json.RawMessage
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return groups, nil
}

func newHost(target string, labels map[string]string) hostlist.Host {
	return hostlist.Host{
		Address:    target,
		Name:       labels[LabelName],
		DataCentre: labels[LabelDataCentre],
		Role:       labels[LabelRole],
		State:      parseState(labels[LabelState]),
	}
}

func parseState(label string) hostlist.State {
	if label == "" || label == string(hostlist.Live) {
		return hostlist.Live
	}
	return hostlist.Leaving
}
