package linker_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/linker"
)

// waitLimit bounds waits for an event that must happen, so that a missing one fails the test.
const waitLimit = 20 * time.Second

type workerFunc func(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result))

func (f workerFunc) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	f(ctx, t, deliver)
}

// echo returns a hit with the terms of the task.
func echo(_ context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	deliver(exchanger.Result{Version: t.Version, Hits: []answerer.Hit{{ID: t.Terms, Shard: t.Shard}}})
}

// hold never delivers a result.
func hold(context.Context, exchanger.Task, func(exchanger.Result)) {}

type daemon struct {
	*linker.Linker
	addr netip.AddrPort
	stop func()
	reg  *prometheus.Registry
}

func start(t testing.TB, cfg linker.Config, w linker.Worker, prepare ...func(*linker.Linker)) *daemon {
	t.Helper()
	var lc net.ListenConfig
	lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{addr: lis.Addr().(*net.TCPAddr).AddrPort(), reg: prometheus.NewRegistry()}
	cfg.Self = d.addr
	var cleanup func()
	d.Linker, cleanup = linker.New(cfg, w, hclog.NewNullLogger(), d.reg)
	for _, fn := range prepare {
		fn(d.Linker)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Server(lis).Serve(ctx)
	}()
	var stopped atomic.Bool
	d.stop = func() {
		if stopped.Swap(true) {
			return
		}
		cancel()
		<-done
		cleanup()
	}
	t.Cleanup(d.stop)
	return d
}

func task(id uint64, terms string) exchanger.Task {
	return exchanger.Task{ID: id, Request: "q", Service: "s", Upstream: "u", Version: 7, Terms: terms, Remaining: time.Minute}
}

func onceTask(id uint64) exchanger.Task {
	t := task(id, "")
	t.Action = []byte(`{}`)
	return t
}

// send starts an Exchange and returns the channel of its results.
func send(ctx context.Context, from *daemon, to netip.AddrPort, tasks ...exchanger.Task) <-chan exchanger.Result {
	ch := make(chan exchanger.Result, 2*len(tasks))
	from.Exchange(ctx, to, tasks, func(r exchanger.Result) { ch <- r })
	return ch
}

func receive(t testing.TB, ch <-chan exchanger.Result) exchanger.Result {
	t.Helper()
	select {
	case r := <-ch:
		return r
	case <-time.After(waitLimit):
		t.Fatal("no result")
		return exchanger.Result{}
	}
}

func assertResult(t *testing.T, ch <-chan exchanger.Result, want exchanger.Result) {
	t.Helper()
	got := receive(t, ch)
	got.Reason = ""
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func assertUnreachable(t *testing.T, err error, sent, refused bool) {
	t.Helper()
	var ue *linker.UnreachableError
	if !errors.As(err, &ue) {
		t.Fatalf("error is %v, want an UnreachableError", err)
	}
	if diff := cmp.Diff([]bool{sent, refused}, []bool{ue.Sent, ue.Refused}); diff != "" {
		t.Errorf("sent, refused (-want +got):\n%s", diff)
	}
}

func TestExchange(t *testing.T) {
	t.Run("each task gets its own result", func(t *testing.T) {
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(echo))
		ch := send(t.Context(), a, b.addr, task(5, "five"))
		other := send(t.Context(), a, b.addr, task(5, "other five"))
		assertResult(t, ch, exchanger.Result{ID: 5, Version: 7, Hits: []answerer.Hit{{ID: "five"}}})
		assertResult(t, other, exchanger.Result{ID: 5, Version: 7, Hits: []answerer.Hit{{ID: "other five"}}})
	})
	t.Run("a refused connection is unreachable", func(t *testing.T) {
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(hold))
		b.stop()
		assertResult(t, send(t.Context(), a, b.addr, task(1, "")), exchanger.Result{ID: 1, Status: exchanger.Unreachable})
	})
	t.Run("tasks sent to a peer that ends fail", func(t *testing.T) {
		got := make(chan struct{})
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(func(context.Context, exchanger.Task, func(exchanger.Result)) { close(got) }))
		ch := send(t.Context(), a, b.addr, onceTask(1))
		<-got
		b.stop()
		assertResult(t, ch, exchanger.Result{ID: 1, Status: exchanger.Failed, Sent: true})
	})
	t.Run("cancelling delivers DeadlineExceeded and cancels the context of the worker", func(t *testing.T) {
		got := make(chan context.Context, 2)
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(func(ctx context.Context, _ exchanger.Task, _ func(exchanger.Result)) { got <- ctx }))
		ctx, cancel := context.WithCancel(t.Context())
		ch := send(ctx, a, b.addr, task(1, ""))
		ran := <-got
		once := send(ctx, a, b.addr, onceTask(2))
		<-got
		cancel()
		assertResult(t, ch, exchanger.Result{ID: 1, Status: exchanger.DeadlineExceeded, Sent: true})
		assertResult(t, once, exchanger.Result{ID: 2, Status: exchanger.Failed, Sent: true})
		<-ran.Done()
	})
	t.Run("only the result that is too large fails", func(t *testing.T) {
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(func(_ context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
			deliver(exchanger.Result{Hits: make([]answerer.Hit, t.Limit)})
		}))
		big := task(1, "")
		big.Limit = 100_000
		assertResult(t, send(t.Context(), a, b.addr, big), exchanger.Result{ID: 1, Status: exchanger.Failed, Sent: true})
		assertResult(t, send(t.Context(), a, b.addr, task(2, "")), exchanger.Result{ID: 2})
	})
	t.Run("a link with too many tasks sheds", func(t *testing.T) {
		a := start(t, linker.Config{MaxTasks: 1}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(hold))
		send(t.Context(), a, b.addr, task(1, ""))
		assertResult(t, send(t.Context(), a, b.addr, task(2, "")), exchanger.Result{ID: 2, Status: exchanger.Shed})
	})
}

func TestSilence(t *testing.T) {
	t.Run("a link to a silent peer is closed and dialled again", func(t *testing.T) {
		var cut atomic.Bool
		a := start(t, linker.Config{}, workerFunc(hold))
		b := start(t, linker.Config{Block: func(netip.AddrPort) bool { return cut.Load() }}, workerFunc(echo))
		assertResult(t, send(t.Context(), a, b.addr, task(1, "x")), exchanger.Result{ID: 1, Version: 7, Hits: []answerer.Hit{{ID: "x"}}})
		cut.Store(true)
		assertResult(t, send(t.Context(), a, b.addr, onceTask(2)), exchanger.Result{ID: 2, Status: exchanger.Failed, Sent: true})
		cut.Store(false)
		assertResult(t, send(t.Context(), a, b.addr, task(3, "y")), exchanger.Result{ID: 3, Version: 7, Hits: []answerer.Hit{{ID: "y"}}})
	})
	t.Run("a peer behind a partition is unreachable", func(t *testing.T) {
		a := start(t, linker.Config{Block: func(netip.AddrPort) bool { return true }}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(echo))
		assertResult(t, send(t.Context(), a, b.addr, task(1, "")), exchanger.Result{ID: 1, Status: exchanger.Unreachable})
	})
	t.Run("a slow worker does not count as a silent peer", func(t *testing.T) {
		a := start(t, linker.Config{HeartbeatInterval: 5 * time.Millisecond, SilenceTimeout: 100 * time.Millisecond}, workerFunc(hold))
		b := start(t, linker.Config{}, workerFunc(func(_ context.Context, _ exchanger.Task, deliver func(exchanger.Result)) {
			time.AfterFunc(300*time.Millisecond, func() { deliver(exchanger.Result{}) })
		}))
		assertResult(t, send(t.Context(), a, b.addr, task(1, "")), exchanger.Result{ID: 1})
	})
}

type body struct {
	Text string `json:"text"`
}

// Check returns an error for an empty text.
func (b *body) Check() error {
	if b.Text == "" {
		return errors.New("text is empty")
	}
	return nil
}

// exclaim is a handler that returns the text with an exclamation mark.
func exclaim(_ context.Context, _ netip.AddrPort, data []byte) (any, error) {
	var in body
	if err := linker.Decode(data, &in); err != nil {
		return nil, err
	}
	if in.Text == "taken" {
		return nil, &linker.RemoteError{Code: "conflict", Reason: "taken"}
	}
	return &body{Text: in.Text + "!"}, nil
}

func TestCall(t *testing.T) {
	a := start(t, linker.Config{}, workerFunc(hold))
	b := start(t, linker.Config{}, workerFunc(hold), func(l *linker.Linker) {
		l.Handle("Group", exclaim)
		l.Handle("Mute", func(ctx context.Context, _ netip.AddrPort, _ []byte) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	cases := []struct {
		name, call, text string
		want             string
		code             string
	}{
		{name: "an answer", call: "Group", text: "hi", want: "hi!"},
		{name: "an error with a code", call: "Group", text: "taken", code: "conflict"},
		{name: "a body that fails its check", call: "Group", code: linker.CodeInvalid},
		{name: "an unknown call", call: "Nothing", text: "hi", code: linker.CodeUnknownCall},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out body
			err := a.Call(t.Context(), b.addr, c.call, body{Text: c.text}, &out)
			var re *linker.RemoteError
			errors.As(err, &re)
			code := ""
			if re != nil {
				code = re.Code
			}
			if diff := cmp.Diff([]string{c.want, c.code}, []string{out.Text, code}); diff != "" {
				t.Errorf("text, code (-want +got):\n%s\nerror: %v", diff, err)
			}
		})
	}
	t.Run("no answer in time", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		assertUnreachable(t, a.Call(ctx, b.addr, "Mute", body{Text: "x"}, nil), true, false)
	})
	t.Run("a partition", func(t *testing.T) {
		a.SetBlock(func(p netip.AddrPort) bool { return p == b.addr })
		defer a.SetBlock(func(netip.AddrPort) bool { return false })
		assertUnreachable(t, a.Call(t.Context(), b.addr, "Group", body{Text: "x"}, nil), false, false)
	})
	t.Run("no process listens", func(t *testing.T) {
		b.stop()
		err := a.Call(t.Context(), b.addr, "Group", body{Text: "x"}, nil)
		assertUnreachable(t, err, false, true)
	})
}
