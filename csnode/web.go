package csnode

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/internal/base/cshttp"
)

const (
	headerLimit   = 16 << 10 // bytes
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxConnections bounds the connections of callers, targets and operators.
	maxConnections = 1024
	closeTimeout   = 2 * time.Second
	// idleLinger is how long a node that stops keeps idle connections: a caller that was told to return after 1 s may still have one.
	idleLinger = time.Second
	// operatorTimeout bounds the calls of operators and task calls. It is shorter than the 5 s that csclient waits for a
	// response, so that a node without a quorum says `not run` before its caller gives up with an unknown outcome.
	operatorTimeout = 4 * time.Second
	// maxAnnouncement is the largest body of an announcement in bytes.
	maxAnnouncement = 1 << 20
)

// webServer is the HTTP interface of a node.
type webServer struct {
	n        *Node
	listener net.Listener
	server   *cshttp.Server
}

func (n *Node) listen() (*webServer, error) {
	listener := n.options.HTTP
	if listener == nil {
		l, err := net.Listen("tcp", n.settings.Listen) //nolint:noctx // bound for the life of the process
		if err != nil {
			return nil, trace.Wrap(err, "HTTP address")
		}
		listener = l
	}
	w := &webServer{n: n, listener: newLimitedListener(listener, maxConnections)}
	w.server = cshttp.New(&http.Server{
		Handler:           w.closeWhileDraining(w.routes()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		ErrorLog:          zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}, n.clock)
	return w, nil
}

func (w *webServer) serve() {
	w.n.work.Go(func() {
		if err := w.server.Serve(w.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			w.n.log.Error("HTTP server ended", zap.Error(err))
		}
	})
}

func (w *webServer) address() string { return w.listener.Addr().String() }

func (w *webServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := w.server.Shutdown(ctx, idleLinger); err != nil {
		w.n.log.Warn("requests cut", zap.Error(err))
	}
}

func (w *webServer) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(csapi.IssueKeys, w.issueKeys)
	mux.HandleFunc(csapi.SendRequest, w.sendRequest)
	mux.HandleFunc(csapi.SubmitTask, w.submitTask)
	mux.HandleFunc(csapi.ReadTask, w.readTask)
	mux.HandleFunc(csapi.CancelTask, w.cancelTask)
	mux.HandleFunc("POST /v1/targets", w.announce)
	mux.HandleFunc(csapi.SubmitRevision, w.operator(w.submitRevision))
	mux.HandleFunc(csapi.ReadRevision, w.operator(w.readRevision))
	mux.HandleFunc(csapi.ReadStatus, w.operator(w.readStatus))
	mux.HandleFunc(csapi.ReadDump, w.operator(w.readDump))
	mux.HandleFunc(csapi.StartDrain, w.operator(w.startDrain))
	mux.HandleFunc(csapi.ReadWaves, w.operator(w.readWaves))
	mux.HandleFunc(csapi.PauseWave, w.operator(w.pauseWave))
	mux.HandleFunc(csapi.ResumeWave, w.operator(w.resumeWave))
	metrics := promhttp.HandlerFor(w.n.metrics.registry, promhttp.HandlerOpts{})
	mux.HandleFunc(csapi.ReadMetrics, w.operator(func(rw http.ResponseWriter, r *http.Request, _ string) {
		metrics.ServeHTTP(rw, r)
	}))
	return mux
}

// closeWhileDraining makes callers give up their kept-alive connections before the node stops.
func (w *webServer) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.n.draining.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, r)
	})
}

type operatorHandler func(rw http.ResponseWriter, r *http.Request, operator string)

// operator admits only requests with the bearer token of an operator.
func (w *webServer) operator(next operatorHandler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		name, ok := w.authenticate(r.Header.Get(csapi.AuthorizationHeader))
		if !ok {
			w.n.metrics.unauthorized.Inc()
			rw.Header().Set("WWW-Authenticate", "Bearer")
			problem(rw, r, http.StatusUnauthorized, csapi.Unauthorized, "the bearer token of an operator is required")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		next(rw, r.WithContext(ctx), name)
	}
}

// authenticate compares with every token, so that its duration does not tell which one matched.
func (w *webServer) authenticate(header string) (string, bool) {
	token, ok := strings.CutPrefix(header, csapi.BearerPrefix)
	name, found := "", 0
	for _, t := range w.n.settings.Tokens {
		if subtle.ConstantTimeCompare([]byte(t.Token), []byte(token)) == 1 {
			name, found = t.Operator, 1
		}
	}
	return name, ok && found == 1
}

func readBody(rw http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
		problem(rw, r, http.StatusRequestEntityTooLarge, csapi.BodyTooLarge, "the body is larger than the limit")
		return nil, false
	case err != nil:
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
		problem(rw, r, http.StatusBadRequest, csapi.BadBody, "the body could not be read")
		return nil, false
	}
	return body, true
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set(csapi.TypeHeader, csapi.JSONType)
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

func problem(rw http.ResponseWriter, r *http.Request, status int, kind, detail string) {
	p := csapi.NewProblem(status, kind, detail)
	p.Instance = r.URL.Path
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set(csapi.TypeHeader, csapi.ProblemType)
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}
