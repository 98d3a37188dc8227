// The Internet checksum (RFC 1071).

#ifndef LIBWIRE_INTERNET_CHECKSUM_H_
#define LIBWIRE_INTERNET_CHECKSUM_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace wire {

// The ones' complement of the ones' complement sum of the bytes, started from
// `initial_sum`. The result is zero for a header with a correct checksum.
constexpr std::uint16_t InternetChecksum(std::span<const std::uint8_t> bytes,
                                         std::uint32_t initial_sum = 0) {
  std::uint32_t sum = initial_sum;
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
    sum += (std::uint32_t{bytes[i]} << 8) | bytes[i + 1];
  if (bytes.size() % 2 != 0)
    sum += std::uint32_t{bytes.back()} << 8;
  while ((sum >> 16) != 0)
    sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

}  // namespace wire

#endif  // LIBWIRE_INTERNET_CHECKSUM_H_
