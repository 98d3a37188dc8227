// Creates servers, routes and callers' packets for the tests of LibSteering.

#ifndef TESTS_LIBSTEERING_STEERING_FIXTURE_H_
#define TESTS_LIBSTEERING_STEERING_FIXTURE_H_

#include <cstdint>
#include <string>

#include "LibBase/time.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/manifest.h"
#include "LibSteering/server_record.h"
#include "LibSteering/steering.h"

namespace steering {

inline constexpr std::uint16_t kFeedPort = 443;
inline constexpr std::uint16_t kDeclarationPort = 444;
inline constexpr std::uint16_t kUploadPort = 445;

// The time `milliseconds` after a fixed start.
base::TimePoint At(int milliseconds);

// A server of the service "portal" in the data centre "here".
ServerRecord MakeServer(const std::string& name, std::uint64_t revision = 1);

// A manifest with routes from kFeedPort (idempotent), kDeclarationPort
// (non-idempotent) and kUploadPort (upload) to "portal".
Manifest MakeManifest(std::uint64_t version);

CallerPacket MakeOpening(std::uint16_t caller_port,
                         std::uint16_t service_port = kFeedPort);
// A packet of an established flow, with an acknowledgement.
CallerPacket MakeData(std::uint16_t caller_port,
                      FlowToken token,
                      std::uint32_t sequence,
                      std::uint32_t acknowledgement,
                      std::uint16_t payload_bytes,
                      std::uint16_t service_port = kFeedPort);

// A Steering in the data centre "here" with MakeManifest(1) in force and known
// to be current.
class SteeringWithRoutes : public Steering {
 public:
  SteeringWithRoutes();
};

// The server that a decision forwards to; null if it does not forward.
const KnownServer* ServerOf(const Decision& decision);
// The token that a decision writes into the packet. The decision must forward.
FlowToken TokenOf(const Decision& decision);
bool IsReset(const Decision& decision);
bool IsDrop(const Decision& decision);

// Reports failed probes of the server at `at_ms` until the server counts as
// unreachable.
void FailProbes(Steering& steering, const std::string& name, int at_ms);

}  // namespace steering

#endif  // TESTS_LIBSTEERING_STEERING_FIXTURE_H_
