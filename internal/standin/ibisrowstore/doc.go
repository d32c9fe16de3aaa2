// Package ibisrowstore stands in for the platform's metadata store in tests, in the fault soak and at a desk: atomic
// transactions over rows with versions, reads of partitions, a feed of changes, raw objects, over HTTP and JSON.
//
// It can be slow, down in several ways, lose answers, apply writes late, turn calls away above its rates, and forget its
// history. Nothing is kept beyond the process.
package ibisrowstore
