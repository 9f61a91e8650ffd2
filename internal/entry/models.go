package entry

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	req := e.newRequest(w, r)
	defer req.close()
	if err := e.conf.Admit(); err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	snapshot := e.conf.Current()
	if _, err := identify(snapshot, r, false); err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range snapshot.Models() {
		list.Data = append(list.Data, modelItem{ID: model.GetName(), Object: "model", OwnedBy: "fulmardoor"})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		e.logger.Debug("failed to write the model list", zap.Error(err))
	}
}
