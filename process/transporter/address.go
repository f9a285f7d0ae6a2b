package transporter

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// CheckAddress returns an error unless the address is an IP number with a port.
func CheckAddress(a string) error {
	p, err := netip.ParseAddrPort(a)
	if err != nil {
		return eris.Errorf("%q is not an IP number with a port, such as 10.0.0.1:7000", a)
	}

	if p.Port() == 0 || p.Addr().IsUnspecified() {
		return eris.Errorf("%q must name one IP number and a port above 0, since others send to it", a)
	}

	return nil
}

// Bound returns where a process listens for what others send to an address: on the bind host if there is one.
func Bound(address, bindHost string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || bindHost == "" {
		return address
	}

	return net.JoinHostPort(bindHost, port)
}

// CheckHost returns an error unless the text is empty or an IP number.
func CheckHost(host string) error {
	if host == "" {
		return nil
	}

	if _, err := netip.ParseAddr(host); err != nil {
		return eris.Errorf("%q is not an IP number, such as 10.0.0.1", host)
	}

	return nil
}

// Addresses converts checked texts.
func Addresses(texts []string) []tiller.Address {
	out := make([]tiller.Address, 0, len(texts))
	for _, t := range texts {
		out = append(out, tiller.Address(t))
	}

	return out
}
