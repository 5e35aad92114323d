package resultcode

import "testing"

// Guards against a number or name that is used twice, which would make a
// caller act on the wrong code.
func TestCodesAreUnique(t *testing.T) {
	codes := make(map[Code]bool)
	names := make(map[string]bool)
	for _, info := range All() {
		if codes[info.Code] || names[info.Name] {
			t.Errorf("code %d %q is used twice", info.Code, info.Name)
		}
		codes[info.Code] = true
		names[info.Name] = true
		if info.Status < 400 || info.Run == 0 || info.Retry == 0 || info.Text == "" {
			t.Errorf("code %d %q is not described in full", info.Code, info.Name)
		}
	}
}
