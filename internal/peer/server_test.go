package peer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener returns its errors from Accept, one after the other.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// TestServeOutlastsLackOfDescriptors guards against a controller that ends because another one
// connects while no file descriptor is left.
func TestServeOutlastsLackOfDescriptors(t *testing.T) {
	lack := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	listener := &failingListener{errs: []error{lack, lack, net.ErrClosed, lack}}
	if err := Serve(listener, nil); !errors.Is(err, net.ErrClosed) || len(listener.errs) != 1 {
		t.Errorf("Serve returned %v with %d errors left, want that the listener is closed", err, len(listener.errs))
	}
}
