package scheduler

// EntryQuota is an entry's part of what an upstream can take from all entries, such as slots or connections: a
// share of the limit divided by the entries that it counts, and at least one. The sum stays within the limit
// while each entry counts at least that share of the others and there are no more entries than the limit; with
// more entries it is one for each.
func EntryQuota(limit int, share float64, sharers int) int {
	return max(1, int(share*float64(limit)/float64(max(1, sharers))))
}
