// Effect: the owner sends the message as one datagram to a peer endpoint.

#ifndef LIBMEMBERSHIP_SEND_MESSAGE_H_
#define LIBMEMBERSHIP_SEND_MESSAGE_H_

#include "LibBase/ipv4.h"
#include "LibPeer/message.h"

namespace membership {

struct SendMessage {
  base::Endpoint m_to;
  peer::Message m_message;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_SEND_MESSAGE_H_
