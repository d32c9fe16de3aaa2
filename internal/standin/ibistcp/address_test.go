package ibistcp_test

import (
	"testing"

	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

// TestFreeAddressIsNotRepeated guards against a node of a test that ends at once, as two of its listeners have one address.
func TestFreeAddressIsNotRepeated(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address, err := ibistcp.FreeAddress("127.0.0.1")
		if err != nil || seen[address] {
			t.Fatalf("%q after %d others: %v", address, len(seen), err)
		}
		seen[address] = true
	}
}
