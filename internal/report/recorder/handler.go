package recorder

import (
	"net/http"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/web/decoder"
)

// Path is the path of the call that returns the series.
const Path = "/v1/burn"

// Handler returns a handler that answers GET /v1/burn with the series and passes
// requests for other paths to next. instance is the instance name in the series.
func (r *Recorder) Handler(instance string, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(Path, func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			decoder.WriteError(w, &answerer.RefusalError{
				Code: answerer.CodeBadMethod, Field: "method", Outcome: answerer.NotRun,
				Reason: "want GET, got " + req.Method,
			})
			return
		}
		s := r.Series()
		s.Instance = instance
		decoder.Write(w, http.StatusOK, s)
	})
	mux.Handle("/", next)
	return mux
}
