#include "LibBase/hash.h"

namespace base {

std::uint64_t HashString(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return MixBits(hash);
}

ServiceId MakeServiceId(std::string_view service_name) {
  return ServiceId(HashString(service_name));
}

BackendServerId MakeBackendServerId(std::string_view service_name,
                                    std::string_view server_name,
                                    std::uint64_t incarnation) {
  const std::uint64_t names =
      CombineHashes(HashString(service_name), HashString(server_name));
  return BackendServerId(CombineHashes(names, incarnation));
}

}  // namespace base
