package claim

import "cmp"

func compareSessions(a, b Session) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}
