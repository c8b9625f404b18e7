package dialer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	"cornelwood.example/internal/contract/exchanger"
)

// searchBody is the body of POST /search.
type searchBody struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Version uint64 `json:"version"`
	Terms   string `json:"terms"`
	Limit   int    `json:"limit"`
}

// runBody is the body of POST /run.
type runBody struct {
	Request string          `json:"request"`
	Service string          `json:"service"`
	Action  json.RawMessage `json:"action"`
}

// processID and attemptCount make the IDs of attempts unique.
var (
	processID    = strconv.FormatUint(rand.Uint64(), 36)
	attemptCount atomic.Uint64
)

// encode returns the body of the request for a task, and the ID of the attempt for a search.
func encode(t *exchanger.Task) (body []byte, attempt string, err error) {
	if t.AtMostOnce() {
		body, err = json.Marshal(&runBody{Request: t.Request, Service: t.Service, Action: t.Action})
		return body, "", wrapEncode(err)
	}
	attempt = processID + "-" + strconv.FormatUint(attemptCount.Add(1), 36)
	body, err = json.Marshal(&searchBody{
		Request: t.Request,
		Attempt: attempt,
		Service: t.Service,
		Shard:   t.Shard,
		Version: t.Version,
		Terms:   t.Terms,
		Limit:   t.Limit,
	})
	return body, attempt, wrapEncode(err)
}

func wrapEncode(err error) error {
	if err != nil {
		return fmt.Errorf("task body: %w", err)
	}
	return nil
}
