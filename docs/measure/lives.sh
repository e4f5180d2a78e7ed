#!/bin/sh
# Lives of invocations a second in the store alone, 64 at once: an earlier version of the store beside the present one, turn
# by turn in one run. The earlier one is f200270, the last with three transactions of bbolt a life.
#
#   docs/measure/lives.sh [TURNS]
set -eu
cd "$(git rev-parse --show-toplevel)"
turns=${1:-3}
tmp=$(mktemp -d)
trap 'git worktree remove --force "$tmp/before" >/dev/null 2>&1 || true; rm -rf "$tmp"' EXIT
git worktree add --detach "$tmp/before" f200270 >/dev/null 2>&1
cat >"$tmp/before/internal/ticket/lives_test.go" <<'GO'
package ticket_test

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"kitefall/internal/ticket"
)

func BenchmarkLives(b *testing.B) {
	s, err := ticket.OpenStore(filepath.Join(b.TempDir(), "tickets.db"), 1<<30, time.Hour, time.Now().Add(time.Second))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	lives := make(chan int, b.N)
	for i := range b.N {
		lives <- i
	}
	close(lives)
	var work sync.WaitGroup
	b.ResetTimer()
	for range 64 {
		work.Go(func() {
			for i := range lives {
				id := fmt.Sprintf("%026d", i*7919%1000003)
				o := ticket.Order{Tenant: "a", Key: id, Fingerprint: []byte{1}, Name: "book", Body: []byte("slot"), Deadline: time.Now()}
				_, _, err := s.Create(id, o, 1, time.Now())
				if err == nil {
					err = s.MarkMayRun(id)
				}
				if err == nil {
					_, err = s.Finish(id, func(t *ticket.Ticket) { t.End, t.Ended = ticket.Served, time.Now() })
				}
				if err != nil {
					b.Error(err)
				}
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lives/s")
}
GO
(cd "$tmp/before" && go test -c -o "$tmp/before.test" ./internal/ticket)
go test -c -o "$tmp/now.test" ./internal/invocation/store
cd "$tmp"
for turn in $(seq "$turns"); do
	printf 'turn %s, before: ' "$turn"
	./before.test -test.run '^$' -test.bench Lives -test.benchtime 3000x | grep -o '[0-9.]* lives/s'
	printf 'turn %s, now:    ' "$turn"
	./now.test -test.run '^$' -test.bench Lifecycles -test.benchtime 60000x | grep -o '[0-9.]* lives/s'
done
