package fleet

import (
	"net/netip"

	"github.com/go-faster/errors"
)

// CheckAddress returns an error unless text is the address of one process: IP:PORT.
func CheckAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return errors.Errorf("address %.100q is not IP:PORT", text)
	}
	if ip := address.Addr(); !ip.IsGlobalUnicast() && !ip.IsLoopback() && !ip.IsLinkLocalUnicast() {
		return errors.Errorf("address %.100q is not that of one host", text)
	}
	return nil
}
