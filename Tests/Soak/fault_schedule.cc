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

constexpr std::uint64_t kMinimumFaults = 3;
constexpr std::uint64_t kFaultCountRange = 8;
constexpr std::uint64_t kMinimumLengthMs = 500;
constexpr std::uint64_t kLengthRangeMs = 4500;
// A restore is drawn after the other faults, so that a seed keeps them.
constexpr std::size_t kOtherKinds =
    static_cast<std::size_t>(FaultKind::kRestoreStore);
constexpr std::uint64_t kRestoreOneIn = 3;
// The time that a restarted balancer needs until it serves.
constexpr base::Duration kRestartTime = milliseconds(500);

void InjectStorePathFault(const Fault& fault,
                          const std::string& rule,
                          SoakHarness& harness) {
  harness.DisturbEdge(fault.m_target, fault.m_length);
  harness.fleet().InjectStorePathFault(fault.m_target, rule, fault.m_length);
}

void TerminateEdge(std::uint32_t edge,
                   int signal,
                   base::Duration restart_after,
                   SoakHarness& harness) {
  harness.DisturbEdge(edge, restart_after + kRestartTime);
  harness.fleet().Signal(edge, signal, restart_after);
}

}  // namespace

std::vector<Fault> GenerateFaults(std::uint64_t seed,
                                  base::Duration length,
                                  std::uint32_t edges,
                                  std::uint32_t servers) {
  base::Random random(seed);
  const auto length_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(length).count());
  std::vector<Fault> faults(kMinimumFaults + random.Below(kFaultCountRange));
  for (Fault& fault : faults) {
    fault.m_kind = kFaultKindNames[random.Below(kOtherKinds)].m_value;
    fault.m_at = milliseconds(random.Below(length_ms));
    fault.m_length =
        milliseconds(kMinimumLengthMs + random.Below(kLengthRangeMs));
    const bool is_server_fault = fault.m_kind == FaultKind::kDrainServer ||
                                 fault.m_kind == FaultKind::kCrashServer ||
                                 fault.m_kind == FaultKind::kRestartServer ||
                                 fault.m_kind == FaultKind::kSlowServer;
    fault.m_target = static_cast<std::uint32_t>(
        random.Below(is_server_fault ? servers : edges));
  }
  if (random.Below(kRestoreOneIn) == 0)
    faults.push_back(
        {FaultKind::kRestoreStore, milliseconds(random.Below(length_ms)),
         milliseconds(kMinimumLengthMs + random.Below(kLengthRangeMs)), 0});
  std::sort(faults.begin(), faults.end(),
            [](const Fault& a, const Fault& b) { return a.m_at < b.m_at; });
  return faults;
}

std::string ToString(const Fault& fault) {
  const auto in_ms = [](base::Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  };
  return fmt::format("{} ms: {} of {} for {} ms", in_ms(fault.m_at),
                     NameOf(kFaultKindNames, fault.m_kind), fault.m_target,
                     in_ms(fault.m_length));
}

void Inject(const Fault& fault, SoakHarness& harness) {
  const base::Duration length = fault.m_length;
  switch (fault.m_kind) {
    case FaultKind::kKillEdge:
      return TerminateEdge(fault.m_target, SIGKILL, length / 2, harness);
    case FaultKind::kStopEdge:
      return TerminateEdge(fault.m_target, SIGTERM, milliseconds(6000),
                           harness);
    case FaultKind::kPauseEdge:
      harness.DisturbEdge(fault.m_target, length);
      return harness.fleet().Pause(fault.m_target, length);
    case FaultKind::kKillAllEdges:
      for (std::uint32_t edge = 0; edge < harness.Edges(); ++edge)
        TerminateEdge(edge, SIGKILL, length / 4, harness);
      return;
    case FaultKind::kStoreSilent:
      return harness.FailStore(StoreFault::kSilent, length, false);
    case FaultKind::kStoreBusy:
      return harness.FailStore(StoreFault::kBusy, length, false);
    case FaultKind::kStoreOverRate:
      return harness.FailStore(StoreFault::kOverRate, length, false);
    case FaultKind::kStoreLapse:
      return harness.FailStore(StoreFault::kSilent, length + milliseconds(3600),
                               true);
    case FaultKind::kStoreCompact:
      return harness.CompactStore();
    case FaultKind::kCutStorePath:
      return InjectStorePathFault(fault, "cut both", harness);
    case FaultKind::kCutStoreAnswers:
      return InjectStorePathFault(fault, "cut backward", harness);
    case FaultKind::kFreezeStorePath:
      return InjectStorePathFault(fault, "freeze", harness);
    case FaultKind::kResetStorePath:
      return InjectStorePathFault(fault, "drop", harness);
    case FaultKind::kDrainServer:
      return harness.DrainServer(fault.m_target);
    case FaultKind::kCrashServer:
      return harness.CrashServer(fault.m_target,
                                 SoakHarness::AfterCrash::kOtherService);
    case FaultKind::kRestartServer:
      return harness.CrashServer(fault.m_target,
                                 SoakHarness::AfterCrash::kSameName);
    case FaultKind::kAddRoute:
      return harness.AddRoute();
    case FaultKind::kDropRoute:
      return harness.DropRoute();
    case FaultKind::kHangUp:
      return harness.fleet().Signal(fault.m_target, SIGHUP, {});
    case FaultKind::kChangeSettings:
      return harness.fleet().ChangeSettings(fault.m_target, 2900);
    case FaultKind::kForeignEntry:
      return harness.PutForeignEntry();
    case FaultKind::kGarbage:
      return harness.SendGarbage(fault.m_target);
    case FaultKind::kSlowServer:
      return harness.SlowServer(fault.m_target, length);
    case FaultKind::kRestoreStore:
      return harness.RestoreStore(length);
  }
}

}  // namespace soak
