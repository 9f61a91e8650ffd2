package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// confirmTimeout limits the call that confirms a complete import.
const confirmTimeout = 2 * time.Second

// hold responds with the description of the export and holds the export until the client closes the connection or the
// export is removed.
func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	hold, err := s.core.Hold(r.Context(), mux.Vars(r)["handle"])
	if err != nil {
		writeError(w, err)
		return
	}
	defer hold.Release(false)
	writeJSON(w, &hold.Export)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	select {
	case <-hold.Lost:
	case <-r.Context().Done():
	}
}

// imported handles the confirmation that an import is complete; it frees the export.
func (s *Server) imported(w http.ResponseWriter, r *http.Request) {
	s.core.confirmImport(mux.Vars(r)["handle"])
	writeResult(w, nil)
}

func (c *Core) confirmImport(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.exports[handle]; ok {
		c.removeExport(e, exportImported)
	}
}

// HTTPResolver returns a function for Config.Resolve that reaches engines over HTTP. Their addresses are either
// "host:port" or a URL.
func HTTPResolver(client *http.Client) func(address string) Remote {
	return func(address string) Remote {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		return &httpRemote{base: strings.TrimSuffix(address, "/"), client: client}
	}
}

type httpRemote struct {
	base   string
	client *http.Client
}

// Hold implements Remote. The hold lasts until Release is called, parent ends or the exporting engine closes the
// connection.
func (h *httpRemote) Hold(parent context.Context, handle string) (*Hold, error) {
	ctx, cancel := context.WithCancel(parent)
	path := h.base + "/kv_exports/" + url.PathEscape(handle)
	response, err := h.post(ctx, path+"/hold")
	if err != nil {
		cancel()
		return nil, err
	}
	hold := &Hold{}
	if err := json.NewDecoder(response.Body).Decode(&hold.Export); err != nil {
		cancel()
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "decode export description")
	}
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}()
	hold.Lost = lost
	hold.Release = func(imported bool) {
		if imported {
			h.confirm(parent, path+"/imported")
		}
		cancel()
	}
	return hold, nil
}

// confirm tells the exporting engine that the import is complete. It ignores errors: without the confirmation, the
// exporting engine evicts the export at the end of its lifetime.
func (h *httpRemote) confirm(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	if response, err := h.post(ctx, address); err == nil {
		_ = response.Body.Close()
	}
}

func (h *httpRemote) post(ctx context.Context, address string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call exporting engine")
	}
	if response.StatusCode == http.StatusGone {
		_ = response.Body.Close()
		return nil, errors.Wrapf(engine.ErrEvicted, "%s", address)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("%s: %s", address, response.Status)
	}
	return response, nil
}
