// Test fixture: a LoadView with numbered servers and simulated time.

#ifndef LIBPLACEMENT_LOAD_VIEW_FIXTURE_H_
#define LIBPLACEMENT_LOAD_VIEW_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "LibBase/hash.h"
#include "LibBase/random.h"
#include "LibPlacement/load_view.h"

namespace placement {

// Returns the id of server `number`.
inline base::BackendServerId MakeServerId(std::uint64_t number) {
  return base::BackendServerId(base::MixBits(number + 1));
}

struct LoadViewFixture {
  static constexpr std::uint32_t kSlots = 3;

  explicit LoadViewFixture(std::uint64_t servers, LoadSettings settings = {})
      : m_view(settings) {
    for (std::uint64_t number = 0; number < servers; ++number) {
      m_order.push_back(MakeServerId(number));
      Apply(ServerAdded{MakeServerId(number), kSlots, 0, ServerStart::kWarm});
    }
  }

  void Apply(const LoadEvent& event) { m_view.Apply(event, m_now); }

  void AdvanceTime(base::Duration time) {
    m_now += time;
    m_view.Advance(m_now, m_random);
  }

  void ReportLoad(std::uint64_t number,
                  std::uint32_t busy,
                  base::Duration age = std::chrono::milliseconds(100)) {
    Apply(LoadReported{MakeServerId(number), busy, 0, kSlots, busy, 0, age});
  }

  void RefuseOpening(std::uint64_t number) {
    Apply(OpeningSent{MakeServerId(number)});
    Apply(OpeningRefused{MakeServerId(number)});
  }

  const ServerStatus& Status(std::uint64_t number) const {
    return *m_view.Find(MakeServerId(number));
  }

  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random{1};
  LoadView m_view;
  std::vector<base::BackendServerId> m_order;
};

}  // namespace placement

#endif  // LIBPLACEMENT_LOAD_VIEW_FIXTURE_H_
