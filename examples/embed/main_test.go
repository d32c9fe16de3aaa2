package main

func Example_main() {
	main()
	// Output:
	// 0.0 s  five members join
	// 0.3 s  tampere-a commits the page of print-floor
	// 0.3 s    helsinki-a owns slots [10 11 12]
	// 0.3 s    espoo-b    owns slots [3 4 5]
	// 0.3 s    tampere-a  owns slots [6 7 8 9]
	// 0.3 s    nokia-b    owns slots [0 1 2]
	// 0.3 s    oulu-a     owns slots [13 14 15]
	// 0.3 s  tampere-a owns mat:4711 under token 1 and is paused
	// 2.6 s  the lease of tampere-a has expired, and mat:4711 has no owner
	// 3.2 s  nokia-b declares tampere-a dead
	// 3.2 s  espoo-b commits the page of print-floor
	// 3.2 s  oulu-a owns mat:4711 now, under token 2
	// 3.2 s  tampere-a resumes; its view of the pages names it as the owner of mat:4711: true
	// 3.2 s  tampere-a may run an order for mat:4711: false
	// 3.3 s  tampere-a detects that its lease has lapsed
	// 3.3 s  tampere-a must rejoin under a greater incarnation
	// 3.3 s    helsinki-a owns slots [8 10 11 12]
	// 3.3 s    espoo-b    owns slots [3 4 5 7]
	// 3.3 s    tampere-a  owns slots []
	// 3.3 s    nokia-b    owns slots [0 1 2 6]
	// 3.3 s    oulu-a     owns slots [9 13 14 15]
	// 3.3 s  greatest number of members that could run one slot at the same time: 1
}
