package ibisplacement

import (
	"cmp"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// ringPoints is the number of points of a member on the ring.
const ringPoints = 100

// Baseline returns the owner of each slot as an index into the hashes of the members.
type Baseline func(hashes []uint64, slots uint32) []int32

// Rendezvous gives each slot to the member with the greatest hash of both, without a bound on load.
func Rendezvous(hashes []uint64, slots uint32) []int32 {
	owners := make([]int32, slots)
	var group errgroup.Group
	parts := uint32(runtime.NumCPU())
	for part := range parts {
		group.Go(func() error {
			for slot := part; slot < slots; slot += parts {
				owners[slot] = highest(hashes, uint64(slot))
			}
			return nil
		})
	}
	_ = group.Wait()
	return owners
}

func highest(hashes []uint64, slot uint64) int32 {
	best, bestScore := 0, uint64(0)
	for i, h := range hashes {
		if score := ibisslot.MixHashes(h, slot); score > bestScore {
			best, bestScore = i, score
		}
	}
	return int32(best)
}

type point struct {
	at    uint64
	owner int32
}

// Ring gives each slot to the next of the members' points on a ring.
func Ring(hashes []uint64, slots uint32) []int32 {
	points := make([]point, 0, len(hashes)*ringPoints)
	for i, h := range hashes {
		for v := range uint64(ringPoints) {
			points = append(points, point{
				at:    ibisslot.MixHashes(h, v),
				owner: int32(i),
			})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	owners := make([]int32, slots)
	for slot := range owners {
		at := ibisslot.MixHashes(uint64(slot), 0)
		i, _ := slices.BinarySearchFunc(points, at, func(p point, at uint64) int { return cmp.Compare(p.at, at) })
		owners[slot] = points[i%len(points)].owner
	}
	return owners
}

// Measure returns the imbalance on all members, and the slots that move when the last of them joins, or is lost.
func (f Baseline) Measure(slots uint32, all []ibisplace.Candidate) Result {
	hashes := make([]uint64, len(all))
	for i, c := range all {
		hashes[i] = ibisslot.MemberHash(c.Member)
	}
	before, after := f(hashes[:len(all)-1], slots), f(hashes, slots)
	loads, moved := make([]int, len(all)), 0
	for slot := range after {
		loads[after[slot]]++
		if before[slot] != after[slot] {
			moved++
		}
	}
	fair := float64(slots) / float64(len(all))
	imbalance := float64(slices.Max(loads)) / fair
	return Result{
		Initial:    imbalance,
		Worst:      imbalance,
		JoinChurn:  float64(moved) / fair,
		LeaveChurn: float64(moved) / fair,
	}
}
