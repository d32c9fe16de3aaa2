package ibisrollout_test

import "time"

type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

type queue []scheduledCall

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
