package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// relaySilently starts a relay to an address and returns its own. The relay reads, and so acknowledges, nothing of a connection beyond a small buffer
// until the silence is over.
func relaySilently(t *testing.T, to string, silence time.Duration) string {
	t.Helper()

	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error

		err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
		if err != nil {
			return err
		}

		return failed
	}}

	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				defer from.Close()

				time.Sleep(silence)

				target, err := net.Dial("tcp", to)
				if err != nil {
					return
				}

				defer target.Close()

				go func() { _, _ = io.Copy(target, from) }()

				_, _ = io.Copy(from, target)
			}()
		}
	}()

	return l.Addr().String()
}

// TestAnswerAfterASilenceOfTheVM guards against a call that cannot be sent again and is given up although the VM that runs it is only silent for a
// while.
func TestAnswerAfterASilenceOfTheVM(t *testing.T) {
	const (
		ackTimeout = 100 * time.Millisecond
		silence    = 2 * time.Second
	)

	nodes := newNodes(t, nil, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	})
	n := nodes[0]
	n.forward.NodeExchanger = exchanger.New(exchanger.Options{AckTimeout: ackTimeout})

	location := tiller.NewLocation(centre, "board", n.name)
	entry := &wire.NodeEntry{
		Name: string(nodes[1].name), DataCentre: string(centre), Service: "board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 32,
		CallAddress: relaySilently(t, strings.TrimPrefix(nodes[1].server.URL, "http://"), silence),
	}
	n.table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, []byte("hash")), document(t), location, []*wire.NodeEntry{entry}))

	a := send(t, n, http.MethodPut, "/calls/1", "", strings.Repeat("a", 4096))
	require.Equal(t, http.StatusOK, a.status, a.reason)
	require.Equal(t, "answer", a.body)
	require.Equal(t, 1, runs(nodes))
}
