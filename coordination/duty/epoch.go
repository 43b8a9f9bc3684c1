package duty

import (
	"fmt"

	"bilberrytiller.example/tiller/coordination/membership"
)

// Epoch names one term of a duty: the incarnation that holds it, and the view
// that gave it the duty. Each message to a holder carries the epoch that its
// sender knows.
type Epoch struct {
	Incarnation string `cbor:"inc"`
	View        uint64 `cbor:"v"`
}

// Grant is a duty as one view gives it.
type Grant struct {
	Holder membership.Member
	Epoch  Epoch
}

// Assign returns who holds the named duty in a region, with the epoch, and
// false if no member is usable.
func Assign(view *membership.View, name, region string) (Grant, bool) {
	holder, ok := Holder(view, name, region)
	if !ok {
		return Grant{}, false
	}
	return Grant{Holder: holder, Epoch: Epoch{Incarnation: holder.Incarnation, View: view.Digest()}}, true
}

// EpochError says that a message names another term of a duty than the one
// its receiver holds.
type EpochError struct {
	Duty string
	Got  Epoch
	Want Epoch
}

func (e *EpochError) Error() string {
	return fmt.Sprintf("duty %s is held by incarnation %s, message is for %s", e.Duty, e.Want.Incarnation, e.Got.Incarnation)
}

// Check returns an *EpochError unless a message with the epoch got may be
// acted on by the view's own daemon: the daemon holds the duty, and the
// message is for this life of it. Views that agree on the holder may differ in
// other members, so that the digests of views need not be equal.
func Check(view *membership.View, name, region string, got Epoch) error {
	grant, ok := Assign(view, name, region)
	if ok && grant.Holder.ID == view.Self.ID && got.Incarnation == view.Self.Incarnation {
		return nil
	}
	return &EpochError{Duty: name, Got: got, Want: grant.Epoch}
}
