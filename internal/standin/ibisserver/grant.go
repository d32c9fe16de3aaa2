package ibisserver

import (
	"fmt"
	"net/http"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

// checkGrant refuses a request whose grant is missing, has ended, or is older than one seen for its slot.
func (s *Server) checkGrant(header http.Header) error {
	if !s.config.ChecksGrants {
		return nil
	}
	grant, ok, err := ibisbackend.ParseGrant(header)
	if err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("%s is missing", ibisbackend.HeaderSlot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.Timer.Now().Before(grant.Until) {
		return fmt.Errorf("grant for slot %s ended at %s", grant.Slot, grant.Until)
	}
	if newest := s.tokens[grant.Slot]; grant.Token < newest {
		return fmt.Errorf("token %d of slot %s is older than %d", grant.Token, grant.Slot, newest)
	}
	s.tokens[grant.Slot] = grant.Token
	return nil
}
