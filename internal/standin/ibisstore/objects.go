package ibisstore

import (
	"bytes"
	"context"
	"slices"
	"strings"
)

// Put stores an object; it fails with ErrUnavailable under a fault, and may then have taken effect.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	lost, err := s.begin(ctx, true)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.objects[name] = bytes.Clone(body)
	s.mu.Unlock()
	if lost {
		return errLost
	}
	return nil
}

// Get returns an object and whether it stands; it fails with ErrUnavailable under a fault.
func (s *Store) Get(ctx context.Context, name string) ([]byte, bool, error) {
	if _, err := s.begin(ctx, false); err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	return bytes.Clone(body), ok, nil
}

// List returns the names that start with the prefix, in order; it fails with ErrUnavailable under a fault.
func (s *Store) List(ctx context.Context, prefix string) ([]string, error) {
	if _, err := s.begin(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
