package catalog

import "testing"

// FuzzApply applies two commands of a log and saves the result. No command may end the member that applies
// it, and what a member saves it must read again.
func FuzzApply(f *testing.F) {
	all := goldenCommands()
	for i, c := range all {
		f.Add(c.Encode(), all[(i+1)%len(all)].Encode())
	}
	f.Add([]byte(`{"close":{"number":18446744073709551615}}`), []byte(`{"sent":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		c := New()
		for i, data := range [][]byte{a, b, a} {
			if changed, err := c.Apply(uint64(i+1), data); err != nil && changed {
				t.Error("a command that cannot be decoded has changed the catalog")
			}
		}
		if _, err := Restore(c.Save()); err != nil {
			t.Errorf("saved as %s: %v", c.Save(), err)
		}
		c.Since(0)
		c.Since(1)
	})
}
