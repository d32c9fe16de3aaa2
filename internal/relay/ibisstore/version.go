package ibisstore

// eraShift is the number of low bits of a version that hold the store's own number.
const eraShift = 40

// MaxNumber is the greatest number of a version that the store gives out within an era.
const MaxNumber = 1<<eraShift - 1

// NewVersion returns the version of a row that was read in an era of the store. An era ends when the store comes back from an
// older copy of its data, after which it gives out numbers again; versions of a later era are greater than all earlier ones.
func NewVersion(era, number uint64) uint64 { return era<<eraShift + number }

// EraOf returns the era in which a row with the version was read.
func EraOf(version uint64) uint64 { return version >> eraShift }

// NumberOf returns the store's own number of a version.
func NumberOf(version uint64) uint64 { return version & MaxNumber }
