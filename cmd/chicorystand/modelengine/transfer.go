package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// maxParallelTasks bounds the tasks that run at the same time.
const maxParallelTasks = 16

// exportKV answers GET /v1/kv/{id}?attempt=N&from=F&positions=P.
func (e *Engine) exportKV(x *serve.Exchange) {
	wanted, ok := reference(x, pathKV)
	if !ok {
		return
	}
	from, errFrom := number(x, "from", 0)
	positions, errPositions := number(x, "positions", int(^uint(0)>>1))
	if errFrom != nil || errPositions != nil {
		x.Fail(http.StatusBadRequest, "from and positions must be numbers")
		return
	}
	state := e.states[stateKey{stream: wanted.Stream, from: from}]
	if state == nil || state.start.Attempt != wanted.Attempt {
		x.Fail(http.StatusNotFound, "stream %s attempt %d from layer %d is not held", wanted.Stream, wanted.Attempt, from)
		return
	}
	export := state.export(positions)
	if export == nil {
		x.Fail(http.StatusNotFound, "stream %s does not hold the KV after %d positions", wanted.Stream, positions)
		return
	}
	export.Padding = strings.Repeat(".", export.Positions*state.layers()*e.settings.KVBytes)
	x.Reply(http.StatusOK, export)
}

func number(x *serve.Exchange, name string, absent int) (int, error) {
	text := x.Query(name)
	if text == "" {
		return absent, nil
	}
	return strconv.Atoi(text)
}

// startImport starts to fetch a stage's KV from another engine. If that fails, the stage starts from a cached prefix or
// from the first position.
func (e *Engine) startImport(state *stageState) {
	maxImported := state.givenTokens() - 1
	path := fmt.Sprintf("%s%s?attempt=%d&from=%d&positions=%d",
		pathKV, url.PathEscape(string(state.key.stream)), state.hop.ImportAttempt, state.hop.From, maxImported)
	e.startTask(func(ctx context.Context) {
		export := &engine.KVExport{}
		body, err := e.client.Get(ctx, state.hop.ImportFrom, path, importTimeout)
		if err == nil {
			err = json.Unmarshal(body, export)
		}
		e.do(func() { e.imported(state, export, err == nil) })
	})
}

func (e *Engine) imported(state *stageState, export *engine.KVExport, ok bool) {
	state.importing = false
	if !state.active {
		return
	}
	maxReused := state.givenTokens() - 1
	if !ok || !state.adoptExport(export, maxReused) {
		e.cache.adopt(state, maxReused)
	}
	state.record.Imported = state.heldPositions()
	e.requestInputs(state)
}

// startTask queues a blocking task, which Serve runs. If the queue is full, it drops the task and logs the queue's
// size. A state whose import is dropped runs nothing until its stream ends.
func (e *Engine) startTask(task func(context.Context)) {
	select {
	case e.tasks <- task:
	default:
		e.log.Log(event.StandinTaskDropped, "tasks", maxTasks)
	}
}

// runTasks runs blocking tasks, a bounded number at once.
func runTasks(ctx context.Context, tasks <-chan func(context.Context)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelTasks)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case task := <-tasks:
			group.Go(func() error {
				task(ctx)
				return nil
			})
		}
	}
}
