package scheduler

// Part is an entry's part of what an upstream bears from all entries, such as places or
// connections: of a share of the limit, divided by the entries that it counts, and one at
// least. The sum stays within the limit while each counts share of the others, and there are
// no more entries than the limit; with more it is one for each.
func Part(limit int, share float64, sharers int) int {
	return max(1, int(share*float64(limit)/float64(max(1, sharers))))
}
