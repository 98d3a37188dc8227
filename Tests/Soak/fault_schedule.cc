#include "fault_schedule.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

#include "LibBase/random.h"
#include "soak_harness.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMinimumFaults = 3;
constexpr std::uint64_t kFaultCountRange = 8;
// The first kinds of the table; the seeds of regressions.txt draw from these.
constexpr std::size_t kSingleFaultKinds = 23;
// The kinds before kEvacuate; the seed of edge_soak_grown draws from these.
constexpr std::size_t kSeriesFaultKinds = 35;
constexpr std::uint64_t kMinimumSeriesFaults = 12;
constexpr std::uint64_t kSeriesFaultCountRange = 12;
constexpr std::uint64_t kRouteChanges = 12;
constexpr std::uint64_t kMinimumLengthMs = 500;
constexpr std::uint64_t kLengthRangeMs = 4500;
constexpr std::uint64_t kMinimumReturnMs = 50;
constexpr std::uint64_t kReturnRangeMs = 1450;
constexpr std::uint64_t kRestoreOneIn = 3;
constexpr std::uint64_t kEvacuateOneIn = 2;
// Longer than the bound on evacuations.
constexpr std::uint64_t kMinimumEvacuationMs = 6500;
constexpr std::uint64_t kEvacuationRangeMs = 2500;
// A multiple of the numbers of data centres of the deployments.
constexpr std::uint64_t kEvacuationTargets = 6;
// The time that a restarted balancer needs until it serves.
constexpr base::Duration kRestartTime = milliseconds(500);
// The users' grace_s, after which a process that was told to stop is killed.
constexpr base::Duration kStopGrace = milliseconds(6000);
constexpr base::Duration kShortRestartDelay = milliseconds(20);
// Longer than the bound for changes.
constexpr base::Duration kAdditionalCutTime = milliseconds(4500);
constexpr double kHerdShare = 0.6;
constexpr double kPausedShare = 0.3;
constexpr double kCutShare = 0.33;
constexpr double kRollingShare = 0.4;

void SortByStart(std::vector<Fault>& faults) {
  std::sort(faults.begin(), faults.end(),
            [](const Fault& a, const Fault& b) { return a.m_at < b.m_at; });
}

base::Duration DrawTime(base::Random& random, base::Duration length) {
  return milliseconds(random.Below(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(length).count())));
}

bool IsStoreFault(FaultKind kind) {
  return kind == FaultKind::kStoreSilent || kind == FaultKind::kStoreBusy ||
         kind == FaultKind::kStoreOverRate || kind == FaultKind::kStoreLapse;
}

// How many faults are drawn, and from how many entries of kFaultKindNames.
struct DrawLimits {
  std::uint64_t m_minimum_count = 0;
  std::uint64_t m_count_range = 0;
  std::size_t m_kinds = 0;
};

std::vector<Fault> Generate(std::uint64_t seed,
                            base::Duration length,
                            std::uint32_t edges,
                            std::uint32_t servers,
                            const DrawLimits& limits) {
  base::Random random(seed);
  std::vector<Fault> faults(limits.m_minimum_count +
                            random.Below(limits.m_count_range));
  for (Fault& fault : faults) {
    fault.m_kind = kFaultKindNames[random.Below(limits.m_kinds)].m_value;
    fault.m_at = DrawTime(random, length);
    fault.m_length =
        milliseconds(kMinimumLengthMs + random.Below(kLengthRangeMs));
    const bool is_server_fault = fault.m_kind == FaultKind::kDrainServer ||
                                 fault.m_kind == FaultKind::kCrashServer ||
                                 fault.m_kind == FaultKind::kRestartServer ||
                                 fault.m_kind == FaultKind::kSlowServer;
    fault.m_target = static_cast<std::uint32_t>(
        random.Below(is_server_fault ? servers : edges));
  }
  SortByStart(faults);
  return faults;
}

// Adds an evacuation to every other seed. Drawn after the other faults, so that
// a seed keeps them, and in the first half, so that it has ended when the last
// requests are counted.
void AddEvacuation(std::uint64_t seed,
                   base::Duration length,
                   std::vector<Fault>& faults) {
  base::Random random(seed + 2);
  if (random.Below(kEvacuateOneIn) != 0)
    return;
  faults.push_back(
      {FaultKind::kEvacuate, DrawTime(random, length / 2),
       milliseconds(kMinimumEvacuationMs + random.Below(kEvacuationRangeMs)),
       static_cast<std::uint32_t>(random.Below(kEvacuationTargets))});
}

// Adds routes that return. Drawn after the other faults, so that a seed keeps
// them.
void AddReturningRoutes(std::uint64_t seed,
                        base::Duration length,
                        std::uint32_t edges,
                        std::vector<Fault>& faults) {
  base::Random random(seed + 3);
  for (const FaultKind kind :
       {FaultKind::kReturnRouteAtCut, FaultKind::kReturnRoute,
        FaultKind::kReturnRoute, FaultKind::kChangeTimeout,
        FaultKind::kChangeTimeout, FaultKind::kChangeTimeout})
    faults.push_back(
        {kind, DrawTime(random, length),
         milliseconds(kMinimumReturnMs + random.Below(kReturnRangeMs)),
         static_cast<std::uint32_t>(random.Below(edges))});
}

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

// Calls `action` `count` times, evenly spaced within `length` from now on.
void Repeat(SoakHarness& harness,
            int count,
            base::Duration length,
            const std::function<void(int)>& action) {
  const base::TimePoint now = stand_ins::EventLoop::Now();
  for (int i = 0; i < count; ++i)
    harness.loop().Timers().SubscribeOnce(
        now + length * i / count, [action, i](base::TimePoint) { action(i); });
}

// The same balancers for the same fault: a share of them, from a shuffled list.
std::vector<std::uint32_t> DrawEdges(const Fault& fault,
                                     std::uint32_t edges,
                                     double share) {
  base::Random random((std::uint64_t{fault.m_target} << 32) +
                      static_cast<std::uint64_t>(fault.m_at.count()));
  std::vector<std::uint32_t> drawn(edges);
  std::iota(drawn.begin(), drawn.end(), 0);
  for (std::size_t i = drawn.size(); i > 1; --i)
    std::swap(drawn[i - 1], drawn[random.Below(i)]);
  drawn.resize(static_cast<std::size_t>(std::ceil(edges * share)));
  return drawn;
}

// Stops a balancer; the next process starts as soon as the former one has
// exited.
void StopAndRestart(std::uint32_t edge, SoakHarness& harness) {
  harness.DisturbEdge(edge, kStopGrace);
  harness.fleet().Stop(edge, kStopGrace);
}

void KillInSeries(const Fault& fault, SoakHarness& harness) {
  constexpr int kKills = 5;
  Repeat(harness, kKills, fault.m_length, [fault, &harness](int) {
    TerminateEdge(fault.m_target, SIGKILL, kShortRestartDelay, harness);
  });
}

void StopInTurn(const Fault& fault, SoakHarness& harness) {
  const auto stopped = DrawEdges(fault, harness.Edges(), kRollingShare);
  Repeat(harness, static_cast<int>(stopped.size()), fault.m_length,
         [stopped, &harness](int i) {
           StopAndRestart(stopped[static_cast<std::size_t>(i)], harness);
         });
}

// Hang-ups all the time while a balancer runs, shuts down, exits and starts.
void SignalInSeries(const Fault& fault, SoakHarness& harness) {
  constexpr int kHangUps = 400;
  StopAndRestart(fault.m_target, harness);
  Repeat(harness, kHangUps, 2 * kStopGrace, [fault, &harness](int) {
    harness.fleet().Signal(fault.m_target, SIGHUP, {});
  });
}

// Changes a bound, the link and the seeds of many balancers; one half of them
// get a hang-up at once, the others read the settings when they start again.
void ChangeManySettings(const Fault& fault, SoakHarness& harness) {
  const auto changed = DrawEdges(fault, harness.Edges(), kHerdShare);
  for (std::size_t i = 0; i < changed.size(); ++i) {
    harness.fleet().ChangeSettings(
        changed[i], {.m_drain_bound_ms = 2500 + 20 * static_cast<int>(i % 20),
                     .m_first_seed = fault.m_target});
    if (i % 2 == 0)
      harness.fleet().Signal(changed[i], SIGHUP, {});
  }
}

void ChangeRoutesInSeries(const Fault& fault, SoakHarness& harness) {
  constexpr int kChanges = 12;
  Repeat(harness, kChanges, fault.m_length, [&harness](int i) {
    i % 2 == 0 ? harness.AddRoute() : harness.DropRoute();
  });
}

// The store becomes silent to the balancers that read it, or resets their
// connections; it responds to the others.
void CutReaders(const Fault& fault, SoakHarness& harness) {
  const std::string rule = fault.m_target % 2 == 0 ? "cut both" : "drop";
  const base::Duration length = fault.m_length + kAdditionalCutTime;
  for (const auto edge : harness.fleet().Readers()) {
    harness.DisturbEdge(edge, length);
    harness.fleet().InjectStorePathFault(edge, rule, length);
  }
}

// The route is unknown to all balancers when it returns, and its first flows
// move to other balancers. One reader keeps the store, so that there are such
// flows.
void ReturnRouteAtCut(const Fault& fault, SoakHarness& harness) {
  constexpr base::Duration kAbsence = milliseconds(4000);
  constexpr base::Duration kChangeBeforeCut = milliseconds(60);
  constexpr base::Duration kRotationChange = milliseconds(700);
  const base::TimePoint cut_at = stand_ins::EventLoop::Now() + kAbsence;
  auto& timers = harness.loop().Timers();
  harness.ReturnRoute(kAbsence);
  timers.SubscribeOnce(cut_at - kChangeBeforeCut, [&harness](base::TimePoint) {
    harness.ChangeTimeout();
  });
  timers.SubscribeOnce(cut_at, [fault, &harness](base::TimePoint) {
    const auto readers = harness.fleet().Readers();
    const base::Duration length = fault.m_length + kAdditionalCutTime;
    for (std::size_t i = 0; i + 1 < readers.size(); ++i) {
      harness.DisturbEdge(readers[i], length);
      harness.fleet().InjectStorePathFault(readers[i], "cut both", length);
    }
  });
  timers.SubscribeOnce(cut_at + kRotationChange,
                       [fault, &harness](base::TimePoint) {
                         StopAndRestart(fault.m_target, harness);
                       });
}

void CompactInSeries(const Fault& fault, SoakHarness& harness) {
  constexpr int kCompactions = 6;
  Repeat(harness, kCompactions, fault.m_length,
         [&harness](int) { harness.CompactStore(); });
}

}  // namespace

std::vector<Fault> GenerateFaults(std::uint64_t seed,
                                  base::Duration length,
                                  std::uint32_t edges,
                                  std::uint32_t servers) {
  std::vector<Fault> faults =
      Generate(seed, length, edges, servers,
               {kMinimumFaults, kFaultCountRange, kSingleFaultKinds});
  // Drawn after the other faults, so that a seed keeps them.
  base::Random random(seed + 1);
  if (random.Below(kRestoreOneIn) == 0)
    faults.push_back(
        {FaultKind::kRestoreStore, DrawTime(random, length),
         milliseconds(kMinimumLengthMs + random.Below(kLengthRangeMs))});
  AddEvacuation(seed, length, faults);
  SortByStart(faults);
  return faults;
}

std::vector<Fault> GenerateSeries(std::uint64_t seed,
                                  base::Duration length,
                                  std::uint32_t edges,
                                  std::uint32_t servers) {
  std::vector<Fault> faults = Generate(
      seed, length, edges, servers,
      {kMinimumSeriesFaults, kSeriesFaultCountRange, kSeriesFaultKinds});
  const bool has_store_faults = seed % 2 == 0;
  if (!has_store_faults)
    std::erase_if(
        faults, [](const Fault& fault) { return IsStoreFault(fault.m_kind); });
  base::Random random(seed + 1);
  for (std::uint64_t i = 0; i < kRouteChanges; ++i)
    faults.push_back({i % 2 == 0 ? FaultKind::kAddRoute : FaultKind::kDropRoute,
                      DrawTime(random, length)});
  AddReturningRoutes(seed, length, edges, faults);
  AddEvacuation(seed, length, faults);
  SortByStart(faults);
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
      return harness.fleet().ChangeSettings(
          fault.m_target, {.m_drain_bound_ms = 2900, .m_first_seed = 0});
    case FaultKind::kForeignEntry:
      return harness.PutForeignEntry();
    case FaultKind::kGarbage:
      return harness.SendGarbage(fault.m_target);
    case FaultKind::kSlowServer:
      return harness.SlowServer(fault.m_target, length);
    case FaultKind::kKillSeries:
      return KillInSeries(fault, harness);
    case FaultKind::kRollingStop:
      return StopInTurn(fault, harness);
    case FaultKind::kSignalSeries:
      return SignalInSeries(fault, harness);
    case FaultKind::kHerdKill:
      for (const auto edge : DrawEdges(fault, harness.Edges(), kHerdShare))
        TerminateEdge(edge, SIGKILL, length / 2, harness);
      return;
    case FaultKind::kPauseMany:
      for (const auto edge : DrawEdges(fault, harness.Edges(), kPausedShare)) {
        harness.DisturbEdge(edge, length);
        harness.fleet().Pause(edge, length);
      }
      return;
    case FaultKind::kCutManyStorePaths:
      for (const auto edge : DrawEdges(fault, harness.Edges(), kCutShare)) {
        harness.DisturbEdge(edge, length);
        harness.fleet().InjectStorePathFault(edge, "cut both", length);
      }
      return;
    case FaultKind::kSettingsWave:
      return ChangeManySettings(fault, harness);
    case FaultKind::kRouteSeries:
      return ChangeRoutesInSeries(fault, harness);
    case FaultKind::kCompactSeries:
      return CompactInSeries(fault, harness);
    case FaultKind::kCutReaders:
      return CutReaders(fault, harness);
    case FaultKind::kPauseReaders:
      for (const auto edge : harness.fleet().Readers()) {
        harness.DisturbEdge(edge, length);
        harness.fleet().Pause(edge, length);
      }
      return;
    case FaultKind::kRestoreStore:
      return harness.RestoreStore(length);
    case FaultKind::kEvacuate:
      return harness.Evacuate(fault.m_target, length);
    case FaultKind::kReturnRoute:
      return harness.ReturnRoute(length);
    case FaultKind::kChangeTimeout:
      return harness.ChangeTimeout();
    case FaultKind::kReturnRouteAtCut:
      return ReturnRouteAtCut(fault, harness);
  }
}

}  // namespace soak
