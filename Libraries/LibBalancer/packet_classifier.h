// Converts TCP packets to the wire-independent packets of LibFlow. Another wire
// format needs only another classifier.

#ifndef LIBBALANCER_PACKET_CLASSIFIER_H_
#define LIBBALANCER_PACKET_CLASSIFIER_H_

#include "LibBase/ipv4.h"
#include "LibFlow/flow_packet.h"

namespace wire {
class PacketView;
}  // namespace wire

namespace balancer {

// Classifies a packet to a service.
flow::CallerPacket ClassifyCallerPacket(const wire::PacketView& packet,
                                        flow::RelayContext relay);

// Classifies a packet from a service, sent by the backend server at `server`.
// RFC 9293 sections 3.10.7.1 and 3.5.2 distinguish three kinds of reset: a
// reset with ACK and sequence number 0 refuses an opening, a reset without ACK
// answers a segment of no connection, and any other reset aborts a connection.
flow::ServerPacket ClassifyServerPacket(const wire::PacketView& packet,
                                        base::Ipv4Address server,
                                        flow::RelayContext relay);

}  // namespace balancer

#endif  // LIBBALANCER_PACKET_CLASSIFIER_H_
