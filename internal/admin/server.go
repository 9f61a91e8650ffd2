package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
)

// maxDocumentBytes is the largest value of the key-value service.
const maxDocumentBytes = 1 << 20

// server holds what the handlers share.
type server struct {
	backend   Backend
	operators []Operator
	logger    *zap.Logger
}

// handler is a request of an authenticated operator.
type handler func(w http.ResponseWriter, r *http.Request, operator Operator)

// Register adds the API to a router.
func Register(router *mux.Router, backend Backend, operators []Operator, logger *zap.Logger) {
	s := &server{backend: backend, operators: operators, logger: logger}
	router.UseEncodedPath() // names of teams and upstreams may contain slashes
	router.HandleFunc(PathDocuments, s.wrap(s.listDocuments)).Methods(http.MethodGet)
	router.HandleFunc(PathDocuments+"/{team}", s.wrap(s.team(s.getDocument))).Methods(http.MethodGet)
	router.HandleFunc(PathDocuments+"/{team}", s.wrap(s.team(s.putDocument))).Methods(http.MethodPut)
	router.HandleFunc(PathStatus, s.wrap(s.status)).Methods(http.MethodGet)
	router.HandleFunc(PathUpstreams, s.wrap(s.upstreams)).Methods(http.MethodGet)
	router.HandleFunc(PathUpstreams+"/{name}/{order}", s.wrap(s.order)).Methods(http.MethodPost)
	router.HandleFunc(PathEvents, s.wrap(s.events)).Methods(http.MethodGet)
}

func (s *server) wrap(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := authenticate(s.operators, r)
		if !ok {
			s.fail(w, http.StatusUnauthorized, "send Authorization: Bearer with an operator's token")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		s.logger.Info("administration request", zap.String("operator", operator.Name),
			zap.String("method", r.Method), zap.String("path", r.URL.Path))
		next(w, r.WithContext(ctx), operator)
	}
}

// team lets only operators of the document's team through.
func (s *server) team(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, operator Operator) {
		if !operator.may(pathValue(r, "team")) {
			s.fail(w, http.StatusForbidden, "the document belongs to another team")
			return
		}
		next(w, r, operator)
	}
}

// pathValue returns a variable of the path in plain form, empty if it is malformed.
func pathValue(r *http.Request, name string) string {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return value
}

func (s *server) fail(w http.ResponseWriter, status int, message string) {
	s.write(w, status, ErrorReply{Error: message})
}

func (s *server) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.logger.Debug("answer not written", zap.Error(err))
	}
}

func (s *server) listDocuments(w http.ResponseWriter, _ *http.Request, operator Operator) {
	list := []DocumentInfo{}
	for _, info := range s.backend.Documents() {
		if operator.may(info.Team) {
			list = append(list, info)
		}
	}
	s.write(w, http.StatusOK, list)
}

func (s *server) getDocument(w http.ResponseWriter, r *http.Request, _ Operator) {
	text, revision, err := s.backend.Document(r.Context(), pathValue(r, "team"))
	if err != nil {
		s.fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatInt(revision, 10))
	if revision == 0 {
		s.fail(w, http.StatusNotFound, "the team has no document yet")
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
		s.fail(w, http.StatusBadRequest, "the parameter revision must be the revision that the change is based on, 0 for none")
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		s.fail(w, http.StatusRequestEntityTooLarge, "the document is larger than 1 MB")
		return
	}
	team := pathValue(r, "team")
	reply, err := s.backend.Apply(r.Context(), team, text, revision)
	if err != nil {
		s.fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.logger.Info("document applied", zap.String("operator", operator.Name), zap.String("team", team),
		zap.String("outcome", reply.Outcome), zap.Int64("revision", reply.Revision))
	s.write(w, applyStatus(reply.Outcome), reply)
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
	s.write(w, http.StatusOK, status)
}

func (s *server) upstreams(w http.ResponseWriter, _ *http.Request, operator Operator) {
	list := s.backend.Upstreams(operator.Team)
	if list == nil {
		list = []UpstreamStatus{}
	}
	s.write(w, http.StatusOK, list)
}

func (s *server) order(w http.ResponseWriter, r *http.Request, operator Operator) {
	order, err := decodeOrder(w, r, pathValue(r, "order"))
	if err != "" {
		s.fail(w, http.StatusBadRequest, err)
		return
	}
	reply, orderErr := s.backend.Order(r.Context(), operator.Team, pathValue(r, "name"), order)
	if errors.Is(orderErr, ErrNoUpstream) {
		s.fail(w, http.StatusNotFound, orderErr.Error())
		return
	}
	if orderErr != nil {
		s.fail(w, http.StatusServiceUnavailable, orderErr.Error())
		return
	}
	status := http.StatusOK
	if !reply.Accepted {
		status = http.StatusConflict
	}
	s.write(w, status, reply)
}

// decodeOrder returns the order, or what is wrong with it.
func decodeOrder(w http.ResponseWriter, r *http.Request, kind string) (*wirev1.OrderRequest, string) {
	switch kind {
	case "drain":
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_Drain{Drain: true}}, ""
	case "return":
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_ReturnToService{ReturnToService: true}}, ""
	case "engine":
		var body EngineOrder
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&body); err != nil {
			return nil, "the body is not an engine order: " + err.Error()
		}
		engineOrder := &wirev1.EngineOrder{
			LoadModel: body.LoadModel, Version: body.Version, LoadAdapter: body.LoadAdapter, ChangeRole: role.Parse(body.ChangeRole),
		}
		return &wirev1.OrderRequest{Kind: &wirev1.OrderRequest_Engine{Engine: engineOrder}}, ""
	default:
		return nil, "the order must be drain, return or engine"
	}
}

func (s *server) events(w http.ResponseWriter, r *http.Request, operator Operator) {
	if operator.Team != AllTeams && r.URL.Query().Get("request") == "" {
		s.fail(w, http.StatusForbidden, "an operator of one team may ask for the events of one request only")
		return
	}
	query := &wirev1.EventQuery{Request: r.URL.Query().Get("request"), Upstream: r.URL.Query().Get("upstream")}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		n, err := strconv.ParseUint(revision, 10, 64)
		if err != nil {
			s.fail(w, http.StatusBadRequest, "the parameter revision must be a number")
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
