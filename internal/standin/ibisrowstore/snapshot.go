package ibisrowstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// snapshot is a store as a file holds it; the history is not kept, so feeds from before a restart get "history lost".
type snapshot struct {
	Version uint64            `json:"version"`
	Rows    []row             `json:"rows"`
	Objects map[string][]byte `json:"objects"`
}

// Save writes the rows and objects to a file, in place of what it held; it fails where the file can't be written.
func (s *Store) Save(file string) error {
	body, err := json.Marshal(s.snapshot())
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	part, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() { _ = os.Remove(part.Name()) }()
	if _, err := part.Write(body); err != nil {
		_ = part.Close()
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := part.Close(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return os.Rename(part.Name(), file)
}

// Load returns a store with the rows and objects of a snapshot file; it fails where the file is missing or malformed.
func Load(file string) (*Store, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var saved snapshot
	if err := json.Unmarshal(body, &saved); err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", file, err)
	}
	s := New()
	s.version, s.forgotten = saved.Version, saved.Version
	for _, r := range saved.Rows {
		s.rows[r.rowKey] = r
	}
	maps.Copy(s.objects, saved.Objects)
	return s, nil
}

func (s *Store) snapshot() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{
		Version: s.version,
		Rows:    slices.SortedFunc(maps.Values(s.rows), func(a, b row) int { return strings.Compare(a.Key, b.Key) }),
		Objects: maps.Clone(s.objects),
	}
}
