package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

// relaysPerDomain is the number of relays of a failure domain.
const relaysPerDomain = 2

// Rank sorts vms by the rendezvous hash of key and VM ID, highest score first.
// All processes with the same VM list get the same order.
func Rank(key string, vms []target.VM) []target.VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b target.VM) int {
		if c := cmp.Compare(score(key, b.ID), score(key, a.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
}

// score returns the rendezvous hash of id under key.
func score(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// RelayOrder returns the live routers that may relay for domain in rendezvous
// order. Candidates are the routers of the domain; if it has none, those of its
// region; if the region has none either, those of all other regions.
func (s *Snapshot) RelayOrder(domain, region string) []target.VM {
	var inDomain, inRegion, remote []target.VM
	for _, vm := range s.VMs {
		if vm.Role != target.RoleRouter || s.State(vm) != target.StateLive {
			continue
		}
		switch {
		case vm.Domain == domain:
			inDomain = append(inDomain, vm)
		case vm.Region == region:
			inRegion = append(inRegion, vm)
		default:
			remote = append(remote, vm)
		}
	}
	for _, routers := range [][]target.VM{inDomain, inRegion} {
		if len(routers) > 0 {
			return Rank(domain, routers)
		}
	}
	return Rank(domain, remote)
}

// Relays returns the relays of domain: the first relaysPerDomain of RelayOrder.
func (s *Snapshot) Relays(domain, region string) []target.VM {
	order := s.RelayOrder(domain, region)
	return order[:min(len(order), relaysPerDomain)]
}

// Domains returns the region of each failure domain that has a VM, by domain.
func (s *Snapshot) Domains() map[string]string {
	domains := make(map[string]string)
	for _, vm := range s.VMs {
		domains[vm.Domain] = vm.Region
	}
	return domains
}
