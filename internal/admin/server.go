package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
)

// maxBodyBytes limits the body of a request to the maximum size of a value in the key-value service. Documents have the
// lower limit document.MaxBytes, which the backend checks.
const maxBodyBytes = 1 << 20

const bodyTimedOut = "the body did not arrive in time; nothing was changed"

// server holds the dependencies of the handlers.
type server struct {
	backend   Backend
	operators []Operator
	logger    *zap.Logger
}

// handler handles a request of an authenticated operator.
type handler func(w http.ResponseWriter, r *http.Request, operator Operator)

// Register adds the routes of the API to a router.
func Register(router *mux.Router, backend Backend, operators []Operator, logger *zap.Logger) {
	s := &server{backend: backend, operators: operators, logger: logger}
	router.UseEncodedPath() // names of teams and upstreams may contain slashes
	router.HandleFunc(PathDocuments, s.authenticated(s.listDocuments)).Methods(http.MethodGet)
	router.HandleFunc(PathDocuments+"/{team}", s.authenticated(s.requireTeam(s.getDocument))).Methods(http.MethodGet)
	router.HandleFunc(PathDocuments+"/{team}", s.authenticated(s.requireTeam(s.putDocument))).Methods(http.MethodPut)
	router.HandleFunc(PathStatus, s.authenticated(s.status)).Methods(http.MethodGet)
	router.HandleFunc(PathUpstreams, s.authenticated(s.upstreams)).Methods(http.MethodGet)
	router.HandleFunc(PathUpstreams+"/{name}/{order}", s.authenticated(s.order)).Methods(http.MethodPost)
	router.HandleFunc(PathEvents, s.authenticated(s.events)).Methods(http.MethodGet)
}

// authenticated rejects requests without the token of an operator. It logs all others and cancels them
// after requestTimeout.
func (s *server) authenticated(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := authenticate(s.operators, r)
		if !ok {
			s.writeError(w, http.StatusUnauthorized, "send the header Authorization: Bearer with an operator's token")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		s.logger.Info("administration request", zap.String("operator", operator.Name),
			zap.String("method", r.Method), zap.String("path", r.URL.Path))
		next(w, r.WithContext(ctx), operator)
	}
}

// requireTeam rejects operators without access to the document of the team in the path.
func (s *server) requireTeam(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, operator Operator) {
		if !operator.canAccess(pathValue(r, "team")) {
			s.writeError(w, http.StatusForbidden, "the document belongs to another team")
			return
		}
		next(w, r, operator)
	}
}

// pathValue returns a variable of the path with its percent-encoding decoded, or "" if the encoding is malformed.
func pathValue(r *http.Request, name string) string {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return value
}

func (s *server) writeError(w http.ResponseWriter, status int, message string) {
	s.writeJSON(w, status, ErrorReply{Error: message})
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.logger.Debug("response not written", zap.Error(err))
	}
}

func (s *server) listDocuments(w http.ResponseWriter, _ *http.Request, operator Operator) {
	list := []DocumentInfo{}
	for _, info := range s.backend.Documents() {
		if operator.canAccess(info.Team) {
			list = append(list, info)
		}
	}
	s.writeJSON(w, http.StatusOK, list)
}

func (s *server) getDocument(w http.ResponseWriter, r *http.Request, _ Operator) {
	text, revision, err := s.backend.Document(r.Context(), pathValue(r, "team"))
	if err != nil {
		s.writeError(w, http.StatusServiceUnavailable, "the document could not be read: "+err.Error())
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatInt(revision, 10))
	if revision == 0 {
		s.writeError(w, http.StatusNotFound, "the team has no document yet")
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write(text); err != nil {
		s.logger.Debug("document not written", zap.Error(err))
	}
}

func (s *server) putDocument(w http.ResponseWriter, r *http.Request, operator Operator) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil || revision < 0 {
		s.writeError(w, http.StatusBadRequest, "the parameter revision must be the revision that the change is based on, or 0 for a new document")
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.writeError(w, http.StatusRequestTimeout, bodyTimedOut)
		return
	}
	if err != nil {
		s.writeError(w, http.StatusRequestEntityTooLarge, "the document is larger than 1 MB")
		return
	}
	team := pathValue(r, "team")
	reply, err := s.backend.Apply(r.Context(), team, text, revision)
	if err != nil {
		s.writeError(w, http.StatusServiceUnavailable, "nothing was changed: "+err.Error())
		return
	}
	s.logger.Info("apply request processed", zap.String("operator", operator.Name), zap.String("team", team),
		zap.String("outcome", reply.Outcome), zap.Int64("revision", reply.Revision))
	s.writeJSON(w, applyStatus(reply.Outcome), reply)
}

func applyStatus(outcome string) int {
	switch outcome {
	case OutcomeAccepted:
		return http.StatusOK
	case OutcomeRejected:
		return http.StatusUnprocessableEntity
	case OutcomeLostRace:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

func (s *server) status(w http.ResponseWriter, _ *http.Request, operator Operator) {
	status := s.backend.Status()
	if operator.Team != AllTeams {
		status.WorstServed, status.LeastGranted = nil, nil
	}
	s.writeJSON(w, http.StatusOK, status)
}

func (s *server) upstreams(w http.ResponseWriter, _ *http.Request, operator Operator) {
	list := s.backend.Upstreams(operator.Team)
	if list == nil {
		list = []UpstreamStatus{}
	}
	s.writeJSON(w, http.StatusOK, list)
}

func (s *server) order(w http.ResponseWriter, r *http.Request, operator Operator) {
	order, status, problem := decodeOrder(w, r, pathValue(r, "order"))
	if problem != "" {
		s.writeError(w, status, problem)
		return
	}
	reply, err := s.backend.Order(r.Context(), operator.Team, pathValue(r, "name"), order)
	if errors.Is(err, ErrNoUpstream) {
		s.writeError(w, http.StatusNotFound, err.Error())
		return
	}
	if err != nil {
		s.writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	status = http.StatusOK
	if !reply.Accepted {
		status = http.StatusConflict
	}
	s.writeJSON(w, status, reply)
}

// decodeOrder returns the order, or a status and a description of what is wrong with it.
func decodeOrder(w http.ResponseWriter, r *http.Request, kind string) (order *wirev1.OrderRequest, status int, problem string) {
	switch kind {
	case "drain":
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_Drain{Drain: true}}, 0, ""
	case "return":
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_ReturnToService{ReturnToService: true}}, 0, ""
	case "engine":
		var body EngineOrder
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, http.StatusRequestTimeout, bodyTimedOut
		}
		if err != nil {
			return nil, http.StatusBadRequest, "the body is not a valid engine order: " + err.Error()
		}
		engineOrder := &wirev1.EngineOrder{
			LoadModel: body.LoadModel, Version: body.Version, LoadAdapter: body.LoadAdapter, ChangeRole: role.Parse(body.ChangeRole),
		}
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_Engine{Engine: engineOrder}}, 0, ""
	default:
		return nil, http.StatusBadRequest, "the order must be drain, return or engine"
	}
}

func (s *server) events(w http.ResponseWriter, r *http.Request, operator Operator) {
	if operator.Team != AllTeams && r.URL.Query().Get("request") == "" {
		s.writeError(w, http.StatusForbidden, "an operator of a single team must name a request to see its events")
		return
	}
	query := &wirev1.EventQuery{Request: r.URL.Query().Get("request"), Upstream: r.URL.Query().Get("upstream")}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		n, err := strconv.ParseUint(revision, 10, 64)
		if err != nil {
			s.writeError(w, http.StatusBadRequest, "the parameter revision must be a number")
			return
		}
		query.ConfigRevision = n
	}
	list := s.backend.CollectEvents(r.Context(), query)
	var err error
	if r.URL.Query().Get("format") == "html" {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		err = events.WriteHTML(w, list)
	} else {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = events.WriteText(w, list)
	}
	if err != nil {
		s.logger.Debug("events not written", zap.Error(err))
	}
}
