package sequencer

import "time"

// Mailbox passes items to one task. Set Sequencer before use.
type Mailbox[T any] struct {
	Sequencer *Sequencer

	items  []T
	waiter *task
}

// Put adds an item and resumes the task that waits for one.
func (m *Mailbox[T]) Put(item T) {
	m.items = append(m.items, item)
	t := m.waiter
	if t == nil {
		return
	}
	m.waiter = nil
	waitNumber := t.waitNumber
	m.Sequencer.In(0, func() { m.Sequencer.endWait(t, waitNumber) })
}

// Get returns the next item; false if none arrived within the limit.
func (m *Mailbox[T]) Get(limit time.Duration) (T, bool) {
	if len(m.items) == 0 {
		m.waiter = m.Sequencer.current
		m.Sequencer.suspend(limit)
		m.waiter = nil
	}
	var item T
	if len(m.items) == 0 {
		return item, false
	}
	item = m.items[0]
	m.items = m.items[1:]
	return item, true
}
