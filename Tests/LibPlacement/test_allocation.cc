// Guards against memory allocations per flow. Replaces operator new for the
// whole test program to count its allocations.

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <new>

#include "LibPlacement/load_view_fixture.h"
#include "LibPlacement/placement_policy.h"

namespace {

std::atomic<std::size_t> allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size > 0 ? size : 1);
  if (memory == nullptr)
    throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

using namespace std::chrono_literals;
using namespace placement;

TEST_CASE(
    "choosing a server and applying a flow's events allocates no memory") {
  LoadViewFixture fixture(15);
  PlacementPolicy policies[] = {FirstHash{}, RoundRobin{}, LeastReportedLoad{},
                                BoundedWalk{},
                                BoundedWalk{BoundedWalk::kAllCandidates, 0.0}};

  const std::size_t before = allocations;
  for (PlacementPolicy& policy : policies) {
    for (int flow = 0; flow < 100; ++flow) {
      const auto chosen =
          Choose(policy, fixture.m_order, fixture.m_view, fixture.m_random);
      fixture.Apply(OpeningSent{*chosen});
      fixture.Apply(OpeningAccepted{*chosen});
      fixture.Apply(AnswerStarted{*chosen, 10ms});
      fixture.Apply(FlowEnded{*chosen});
    }
  }

  CHECK(allocations == before);
}
