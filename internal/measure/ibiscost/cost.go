package ibiscost

import (
	"runtime"
	"syscall"
	"time"
)

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Grown returns how many bytes of live objects f adds.
func Grown(f func()) int {
	before := heap()
	f()
	return int(heap()) - int(before)
}

// Processor returns the processor time that f takes, in this whole process, garbage collection included.
func Processor(f func()) time.Duration {
	before := used()
	f()
	return used() - before
}

func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
