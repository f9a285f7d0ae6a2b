package transporter

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// CheckAddress returns an error unless the address is a specific IP address with a port above 0.
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

// ListenAddress returns the address to listen on for traffic sent to an address: the bind host with the same port, or the address itself if
// the bind host is empty.
func ListenAddress(address, bindHost string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || bindHost == "" {
		return address
	}

	return net.JoinHostPort(bindHost, port)
}

// CheckHost returns an error unless the host is empty or an IP address.
func CheckHost(host string) error {
	if host == "" {
		return nil
	}

	if _, err := netip.ParseAddr(host); err != nil {
		return eris.Errorf("%q is not an IP number, such as 10.0.0.1", host)
	}

	return nil
}

// Addresses converts strings that were checked before.
func Addresses(texts []string) []tiller.Address {
	out := make([]tiller.Address, 0, len(texts))
	for _, t := range texts {
		out = append(out, tiller.Address(t))
	}

	return out
}
