// Allocates the source ports of a caller.

#ifndef STANDINS_SOURCE_PORTS_H_
#define STANDINS_SOURCE_PORTS_H_

#include <cstdint>
#include <deque>
#include <optional>

namespace stand_ins {

// Which free port is allocated next.
enum class PortReuse {
  kLongestFree,   // the port that has been free longest
  kShortestFree,  // the port that was freed last
};

class SourcePorts {
 public:
  SourcePorts(std::uint16_t low, std::uint16_t high, PortReuse reuse)
      : m_reuse(reuse) {
    for (std::uint32_t port = low; port <= high; ++port)
      m_free.push_back(static_cast<std::uint16_t>(port));
  }

  // Allocates a free port; nullopt if no port is free.
  std::optional<std::uint16_t> Acquire() {
    if (m_free.empty())
      return std::nullopt;
    const std::uint16_t port = m_free.front();
    m_free.pop_front();
    return port;
  }

  void Release(std::uint16_t port) {
    if (m_reuse == PortReuse::kShortestFree)
      m_free.push_front(port);
    else
      m_free.push_back(port);
  }

 private:
  PortReuse m_reuse;
  std::deque<std::uint16_t> m_free;
};

}  // namespace stand_ins

#endif  // STANDINS_SOURCE_PORTS_H_
