package ibisscenario

import (
	"net"
	"testing"
)

// strange is a connection that is asked for its other end only where a lookup of its source is called for.
type strange struct {
	net.Conn
	asked bool
}

func (s *strange) RemoteAddr() net.Addr {
	s.asked = true
	return nil
}

func TestPassesLooksForTheSourceOnlyWhileARegionIsCutOff(t *testing.T) {
	w := &world{apart: make(map[string]bool)}
	conn := &strange{}
	if !w.passes(conn, "uusimaa") || conn.asked {
		t.Error("the source was looked up though all regions are together")
	}
	w.apart["pirkanmaa"] = true
	if !w.passes(conn, "uusimaa") || !conn.asked {
		t.Error("the source was not looked up though a region is cut off")
	}
	w.apart["pirkanmaa"] = false
	conn.asked = false
	if !w.passes(conn, "uusimaa") || conn.asked {
		t.Error("the source was looked up though the region is back")
	}
}
