package fleet

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxEvacuations bounds the data centres whose last change is kept.
	maxEvacuations = 64
	// MaxDataCentreName is the length of the longest name of a data centre, in bytes.
	MaxDataCentreName = 128
)

// evacuations is the last change of each data centre, ordered by name. The list and its
// records are never modified.
type evacuations struct {
	version uint64
	records []*statev1.EvacuationRecord
}

// set applies an order. One for the present state changes nothing.
func (v *evacuations) set(now uint64, author string, o *statev1.SetEvacuation) *statev1.Result {
	name := o.GetDataCentre()
	if err := checkNameLength(name); err != nil {
		return refuse(err.Code, "%s", err.Message)
	}
	at, known := slices.BinarySearchFunc(v.records, name, func(r *statev1.EvacuationRecord, name string) int {
		return strings.Compare(r.GetDataCentre(), name)
	})
	if evacuated := known && v.records[at].GetEvacuated(); evacuated == o.GetEvacuated() {
		return &statev1.Result{EvacuationsVersion: v.version}
	}
	record := &statev1.EvacuationRecord{DataCentre: name, Evacuated: o.GetEvacuated(), Author: author, ChangedMs: now}
	next := slices.Clone(v.records)
	if known {
		next[at] = record
	} else {
		next = slices.Insert(next, at, record)
	}
	if len(next) > maxEvacuations {
		oldest := oldestEnded(next)
		if oldest < 0 {
			return refuse(resultcode.BadRequest, "%d data centres are evacuated, which is the limit", maxEvacuations)
		}
		next = slices.Delete(next, oldest, oldest+1)
	}
	v.version++
	v.records = next
	return &statev1.Result{EvacuationsVersion: v.version}
}

// CheckDataCentre refuses names that an operator could not read in a list. An order is
// checked before it is proposed. The state machine itself checks only the length: what is
// printable depends on the version of Unicode, and all control VMs must agree.
func CheckDataCentre(name string) error {
	if err := checkNameLength(name); err != nil {
		return err
	}
	if !utf8.ValidString(name) {
		return resultcode.New(resultcode.BadRequest, "the name of the data centre is not valid UTF-8")
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return resultcode.New(resultcode.BadRequest, "the name of the data centre has the character %U, which is not printable", r)
		}
	}
	return nil
}

func checkNameLength(name string) *resultcode.Error {
	if name == "" || len(name) > MaxDataCentreName {
		return resultcode.New(resultcode.BadRequest, "the name of a data centre has 1 to %d bytes, not %d", MaxDataCentreName, len(name))
	}
	return nil
}

// oldestEnded returns the index of the evacuation that ended first, or -1.
func oldestEnded(records []*statev1.EvacuationRecord) int {
	oldest := -1
	for i, r := range records {
		if !r.GetEvacuated() && (oldest < 0 || r.GetChangedMs() < records[oldest].GetChangedMs()) {
			oldest = i
		}
	}
	return oldest
}

func (v *evacuations) save() *statev1.EvacuationTable {
	if v.version == 0 {
		return nil
	}
	return &statev1.EvacuationTable{Version: v.version, Records: v.records}
}

func (v *evacuations) load(t *statev1.EvacuationTable) {
	*v = evacuations{version: t.GetVersion(), records: t.GetRecords()}
}

// Evacuations returns the last change of the evacuation of each data centre, ordered by
// name, and the version of the list. The caller must not modify the result.
func (m *Machine) Evacuations() (version uint64, records []*statev1.EvacuationRecord) {
	return m.evacuations.version, m.evacuations.records
}

// EvacuationsVersion returns the version of the evacuations, which grows with each change.
func (m *Machine) EvacuationsVersion() uint64 { return m.evacuations.version }
