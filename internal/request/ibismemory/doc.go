// Package ibismemory decides which of a process's clients may hold connections and bytes, so that all of them together stay within its
// memory and its descriptors.
//
// A Budget counts what is held, by part: a part has a reserve that no other part uses, and a cap. What does not fit is refused
// before it is read. RankVictims names the connections to close so that it fits: those that hold the most for the longest and
// transfer the least. HeadCost bounds what the head of a request will take once it is parsed, from its bytes as they are read.
package ibismemory
