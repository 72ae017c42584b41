package gate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
)

// newUploadFixture returns a fixture with two workspaces and bodies of up to limit bytes.
func newUploadFixture(t *testing.T, limit int64) *fixture {
	t.Helper()
	f := newFixture(t, testRoutes(once), succeed("whole"))
	table, err := route.New(route.Config{
		Version: 2, Routes: testRoutes(once), Services: []route.Service{{Name: "letters", MaxConnections: 100}},
		Workspaces: []route.Workspace{{Name: "shop", Keys: []string{"k"}}, {Name: "works", Keys: []string{"w"}}},
		Limits:     route.Limits{BodyBytes: limit},
	})
	require.NoError(t, err)
	f.table.Confirm(table, route.Edition{Version: 2}, 0)
	return f
}

// bodyMemoryInUse returns the memory that bodies of all workspaces hold.
func bodyMemoryInUse(f *fixture) int64 {
	all, _ := f.gate.bodyMemory.Used("")
	return all
}

// upload is a request whose body is sent in two halves.
type upload struct {
	conn net.Conn
	rest string
}

// beginUpload sends the head of a request and the first half of its body of size bytes.
func beginUpload(t *testing.T, f *fixture, key string, size int, chunked bool) *upload {
	t.Helper()
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	half := strings.Repeat("x", size/2)
	head := "POST /p/ HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nTimeout-Ms: 30000\r\nKey: " + key + "\r\n"
	if chunked {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
		write(conn, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk)
		return &upload{conn, chunk + "0\r\n\r\n"}
	}
	write(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(half), half))
	return &upload{conn, half}
}

// end sends the rest of the body and returns the status of the response.
func (u *upload) end(t *testing.T) int {
	t.Helper()
	write(u.conn, u.rest) // fails if the request was refused
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	require.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// Uploads that overlap must not exceed the memory for bodies together: it is reserved
// before they are read. Small bodies and other workspaces are served meanwhile.
func TestOverlappingUploadsStayWithinBodyMemory(t *testing.T) {
	const uploads, size = 40, 100_000 // together four times the memory of 1 MiB
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			f := newUploadFixture(t, 2*size)
			var begun []*upload
			for range uploads {
				begun = append(begun, beginUpload(t, f, "k", size, chunked))
			}
			require.Eventually(t, func() bool { return bodyMemoryInUse(f) > 0 && f.gate.InFlight() < uploads }, patientTimeout, time.Millisecond, "some are refused at once")
			require.LessOrEqual(t, bodyMemoryInUse(f), int64(maxWorkspaceBodyFraction*(1<<20)))
			require.Equal(t, http.StatusOK, f.send("/p/", strings.Repeat("s", freeBodyBytes/2), patient...).status, "a small body of the same workspace")
			require.Equal(t, http.StatusOK, beginUpload(t, f, "w", size, chunked).end(t), "a large body of another workspace")
			counts := make(map[int]int)
			var mu sync.Mutex
			var ends sync.WaitGroup
			for _, u := range begun {
				ends.Go(func() {
					status := u.end(t)
					mu.Lock()
					counts[status]++
					mu.Unlock()
				})
			}
			ends.Wait()
			require.Positive(t, counts[http.StatusOK])
			require.Equal(t, uploads, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], "%v", counts)
			require.Eventually(t, func() bool { return bodyMemoryInUse(f) == 0 }, patientTimeout, time.Millisecond)
			require.Len(t, f.receivedRequests(), counts[http.StatusOK]+2, "what was refused was not sent")
		})
	}
}

func TestAbortedUploadReturnsItsMemory(t *testing.T) {
	f := newUploadFixture(t, 200_000)
	u := beginUpload(t, f, "k", 100_000, false)
	require.Eventually(t, func() bool { return bodyMemoryInUse(f) == 100_000-freeBodyBytes }, patientTimeout, time.Millisecond)
	u.conn.Close()
	require.Eventually(t, func() bool { return bodyMemoryInUse(f) == 0 }, patientTimeout, time.Millisecond)
}
