// Turns TCP packets into the wire-independent events of LibFlow. Another wire
// needs another classifier and nothing else.

#ifndef LIBBALANCER_PACKET_CLASSIFIER_H_
#define LIBBALANCER_PACKET_CLASSIFIER_H_

#include "LibBase/ipv4.h"
#include "LibFlow/flow_packet.h"

namespace wire {
class PacketView;
}  // namespace wire

namespace balancer {

// A packet towards a service.
flow::CallerPacket ClassifyCallerPacket(const wire::PacketView& packet,
                                        flow::RelayContext relay);

// A packet from a service, sent by the backend server at `server`. The three
// kinds of reset are told apart by RFC 9293 sections 3.10.7.1 and 3.5.2: with
// ACK and sequence number 0 it refuses an opening, without ACK it answers a
// segment of no connection, and else it aborts a connection.
flow::ServerPacket ClassifyServerPacket(const wire::PacketView& packet,
                                        base::Ipv4Address server,
                                        flow::RelayContext relay);

}  // namespace balancer

#endif  // LIBBALANCER_PACKET_CLASSIFIER_H_
