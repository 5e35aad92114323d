package account

import (
	"cmp"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

func compareAccounts(a, b *statev1.AccountRecord) int {
	return cmp.Compare(a.GetCustomer(), b.GetCustomer())
}

func compareLeases(a, b *statev1.LeaseRecord) int {
	return cmp.Or(
		cmp.Compare(a.GetSession().GetVm(), b.GetSession().GetVm()),
		cmp.Compare(a.GetSession().GetIncarnation(), b.GetSession().GetIncarnation()),
	)
}
