#include "fault_schedule.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <chrono>

#include "LibBase/random.h"
#include "soak_harness.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kLeastFaults = 3;
constexpr std::uint64_t kMoreFaults = 8;
constexpr std::uint64_t kShortestMs = 500;
constexpr std::uint64_t kLongerMs = 4500;
// What a restarted process takes to be up.
constexpr base::Duration kStartTime = milliseconds(500);

void HarmStorePath(const Fault& fault,
                   const std::string& rule,
                   SoakHarness& world) {
  world.DisturbEdge(fault.m_place, fault.m_length);
  world.fleet().HarmStorePath(fault.m_place, rule, fault.m_length);
}

void EndEdge(std::uint32_t edge,
             int signal,
             base::Duration restart_after,
             SoakHarness& world) {
  world.DisturbEdge(edge, restart_after + kStartTime);
  world.fleet().Signal(edge, signal, restart_after);
}

}  // namespace

std::vector<Fault> DrawFaults(std::uint64_t seed,
                              base::Duration length,
                              std::uint32_t edges,
                              std::uint32_t servers) {
  base::Random random(seed);
  const auto length_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(length).count());
  std::vector<Fault> faults(kLeastFaults + random.Below(kMoreFaults));
  for (Fault& fault : faults) {
    fault.m_kind =
        kFaultKindNames[random.Below(kFaultKindNames.size())].m_value;
    fault.m_at = milliseconds(random.Below(length_ms));
    fault.m_length = milliseconds(kShortestMs + random.Below(kLongerMs));
    const bool is_of_server = fault.m_kind == FaultKind::kDrainServer ||
                              fault.m_kind == FaultKind::kCrashServer ||
                              fault.m_kind == FaultKind::kRestartServer ||
                              fault.m_kind == FaultKind::kSlowServer;
    fault.m_place = static_cast<std::uint32_t>(
        random.Below(is_of_server ? servers : edges));
  }
  std::sort(faults.begin(), faults.end(),
            [](const Fault& a, const Fault& b) { return a.m_at < b.m_at; });
  return faults;
}

std::string ToString(const Fault& fault) {
  const auto in_ms = [](base::Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  };
  return fmt::format("{} ms: {} of {} for {} ms", in_ms(fault.m_at),
                     NameOf(kFaultKindNames, fault.m_kind), fault.m_place,
                     in_ms(fault.m_length));
}

void Inject(const Fault& fault, SoakHarness& world) {
  const base::Duration length = fault.m_length;
  switch (fault.m_kind) {
    case FaultKind::kKillEdge:
      return EndEdge(fault.m_place, SIGKILL, length / 2, world);
    case FaultKind::kStopEdge:
      return EndEdge(fault.m_place, SIGTERM, milliseconds(6000), world);
    case FaultKind::kPauseEdge:
      world.DisturbEdge(fault.m_place, length);
      return world.fleet().Pause(fault.m_place, length);
    case FaultKind::kKillAllEdges:
      for (std::uint32_t edge = 0; edge < world.Edges(); ++edge)
        EndEdge(edge, SIGKILL, length / 4, world);
      return;
    case FaultKind::kStoreSilent:
      return world.FailStore(StoreFault::kSilent, length, false);
    case FaultKind::kStoreBusy:
      return world.FailStore(StoreFault::kBusy, length, false);
    case FaultKind::kStoreOverRate:
      return world.FailStore(StoreFault::kOverRate, length, false);
    case FaultKind::kStoreLapse:
      return world.FailStore(StoreFault::kSilent, length + milliseconds(3600),
                             true);
    case FaultKind::kStoreCompact:
      return world.CompactStore();
    case FaultKind::kCutStorePath:
      return HarmStorePath(fault, "cut both", world);
    case FaultKind::kCutStoreAnswers:
      return HarmStorePath(fault, "cut backward", world);
    case FaultKind::kFreezeStorePath:
      return HarmStorePath(fault, "freeze", world);
    case FaultKind::kResetStorePath:
      return HarmStorePath(fault, "drop", world);
    case FaultKind::kDrainServer:
      return world.DrainServer(fault.m_place);
    case FaultKind::kCrashServer:
      return world.CrashServer(fault.m_place,
                               SoakHarness::Return::kOtherService);
    case FaultKind::kRestartServer:
      return world.CrashServer(fault.m_place, SoakHarness::Return::kSameName);
    case FaultKind::kAddRoute:
      return world.AddRoute();
    case FaultKind::kDropRoute:
      return world.DropRoute();
    case FaultKind::kHangUp:
      return world.fleet().Signal(fault.m_place, SIGHUP, {});
    case FaultKind::kChangeSettings:
      return world.fleet().ChangeSettings(fault.m_place, 2900);
    case FaultKind::kForeignEntry:
      return world.PutForeignEntry();
    case FaultKind::kGarbage:
      return world.SendGarbage(fault.m_place);
    case FaultKind::kSlowServer:
      return world.SlowServer(fault.m_place, length);
  }
}

}  // namespace soak
