package inventory

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// ErrCompactList: an encoded list of upstreams cannot be decoded.
const ErrCompactList = errors.ConstError("invalid compact list")

// EncodeCompact encodes a whole list of upstreams for entry VMs. Names that many upstreams share are
// encoded once.
func EncodeCompact(upstreams []Upstream) ([]byte, error) {
	message := &apipb.CompactList{}
	services, locations := map[string]uint32{}, map[string]uint32{}
	for _, u := range upstreams {
		service, known := services[u.Service]
		if !known {
			service = uint32(len(message.Services))
			services[u.Service] = service
			message.Services = append(message.Services, u.Service)
		}
		location, known := locations[u.FailureDomain]
		if !known {
			location = uint32(len(message.Locations))
			locations[u.FailureDomain] = location
			message.Locations = append(message.Locations, &apipb.Location{Region: u.Region, FailureDomain: u.FailureDomain})
		}
		address, err := u.Address.MarshalBinary()
		if err != nil {
			return nil, errors.Annotatef(err, "address of upstream %s", u.ID)
		}
		message.Upstreams = append(message.Upstreams, &apipb.CompactUpstream{
			Id: u.ID, Address: address, Service: service, Location: location, Leaving: u.State == Leaving,
			Slots: uint32(u.Slots), ColdMs: uint32(u.Cold.Milliseconds()),
		})
	}
	raw, err := proto.Marshal(message)
	return raw, errors.Annotate(err, "encode the list of upstreams")
}

// DecodeCompact returns the upstreams of a list that EncodeCompact encoded.
func DecodeCompact(raw []byte) ([]Upstream, error) {
	var message apipb.CompactList
	if err := proto.Unmarshal(raw, &message); err != nil {
		return nil, errors.Annotate(ErrCompactList, err.Error())
	}
	list := make([]Upstream, 0, len(message.Upstreams))
	for _, entry := range message.Upstreams {
		if int(entry.Service) >= len(message.Services) || int(entry.Location) >= len(message.Locations) {
			return nil, errors.Annotatef(ErrCompactList, "upstream %s has an unknown service or location", entry.Id)
		}
		location := message.Locations[entry.Location]
		u := Upstream{
			ID: entry.Id, Service: message.Services[entry.Service], Region: location.Region, FailureDomain: location.FailureDomain,
			State: Live, Slots: int(entry.Slots), Cold: time.Duration(entry.ColdMs) * time.Millisecond,
		}
		if entry.Leaving {
			u.State = Leaving
		}
		if err := u.Address.UnmarshalBinary(entry.Address); err != nil {
			return nil, errors.Annotatef(ErrCompactList, "address of upstream %s: %v", entry.Id, err)
		}
		list = append(list, u)
	}
	return list, nil
}
