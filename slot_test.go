package ibisridge_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// TestSlotOfMatchesNamingPackage checks that package ibisname and the slot map compute the same slot for a key;
// otherwise the map would look for a hot key in the wrong slot.
func TestSlotOfMatchesNamingPackage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		slots := uint32(1) << rapid.IntRange(0, 18).Draw(t, "bits")
		if a, b := ibisname.SlotOf(key, slots), ibisridge.SlotOf(key, slots); a != b {
			t.Fatalf("key %q of %[4]d slots: ibisname.SlotOf = %[2]d, ibisridge.SlotOf = %[3]d", key, a, b, slots)
		}
	})
}
