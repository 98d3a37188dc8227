// Generates the faults of a seed and injects them into a soak.

#ifndef TESTS_SOAK_FAULT_SCHEDULE_H_
#define TESTS_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"

namespace soak {

class SoakHarness;

enum class FaultKind {
  kKillEdge,
  kStopEdge,
  kPauseEdge,
  kKillAllEdges,
  kStoreSilent,
  kStoreBusy,
  kStoreOverRate,
  kStoreLapse,
  kStoreCompact,
  kCutStorePath,
  kCutStoreAnswers,
  kFreezeStorePath,
  kResetStorePath,
  kDrainServer,
  kCrashServer,
  kRestartServer,
  kAddRoute,
  kDropRoute,
  kHangUp,
  kChangeSettings,
  kForeignEntry,
  kGarbage,
  kSlowServer,
  // Series of faults, and faults of many balancers.
  kKillSeries,
  kRollingStop,
  kSignalSeries,
  kHerdKill,
  kPauseMany,
  kCutManyStorePaths,
  kSettingsWave,
  kRouteSeries,
  kCompactSeries,
  kCutReaders,
  kPauseReaders,
  kRestoreStore,
  kEvacuate,
  kReturnRoute,
  kChangeTimeout,
  // A route returns while readers lose the store, right after a change, and the
  // rotation changes.
  kReturnRouteAtCut,
};

inline constexpr base::EnumTable<FaultKind, 39> kFaultKindNames{{
    {FaultKind::kKillEdge, "kill_edge"},
    {FaultKind::kStopEdge, "stop_edge"},
    {FaultKind::kPauseEdge, "pause_edge"},
    {FaultKind::kKillAllEdges, "kill_all_edges"},
    {FaultKind::kStoreSilent, "store_silent"},
    {FaultKind::kStoreBusy, "store_busy"},
    {FaultKind::kStoreOverRate, "store_over_rate"},
    {FaultKind::kStoreLapse, "store_lapse"},
    {FaultKind::kStoreCompact, "store_compact"},
    {FaultKind::kCutStorePath, "cut_store_path"},
    {FaultKind::kCutStoreAnswers, "cut_store_answers"},
    {FaultKind::kFreezeStorePath, "freeze_store_path"},
    {FaultKind::kResetStorePath, "reset_store_path"},
    {FaultKind::kDrainServer, "drain_server"},
    {FaultKind::kCrashServer, "crash_server"},
    {FaultKind::kRestartServer, "restart_server"},
    {FaultKind::kAddRoute, "add_route"},
    {FaultKind::kDropRoute, "drop_route"},
    {FaultKind::kHangUp, "hang_up"},
    {FaultKind::kChangeSettings, "change_settings"},
    {FaultKind::kForeignEntry, "foreign_entry"},
    {FaultKind::kGarbage, "garbage"},
    {FaultKind::kSlowServer, "slow_server"},
    {FaultKind::kKillSeries, "kill_series"},
    {FaultKind::kRollingStop, "rolling_stop"},
    {FaultKind::kSignalSeries, "signal_series"},
    {FaultKind::kHerdKill, "herd_kill"},
    {FaultKind::kPauseMany, "pause_many"},
    {FaultKind::kCutManyStorePaths, "cut_many_store_paths"},
    {FaultKind::kSettingsWave, "settings_wave"},
    {FaultKind::kRouteSeries, "route_series"},
    {FaultKind::kCompactSeries, "compact_series"},
    {FaultKind::kCutReaders, "cut_readers"},
    {FaultKind::kPauseReaders, "pause_readers"},
    {FaultKind::kRestoreStore, "restore_store"},
    {FaultKind::kEvacuate, "evacuate"},
    {FaultKind::kReturnRoute, "return_route"},
    {FaultKind::kChangeTimeout, "change_timeout"},
    {FaultKind::kReturnRouteAtCut, "return_route_at_cut"},
}};

struct Fault {
  FaultKind m_kind = FaultKind::kGarbage;
  base::Duration m_at{};
  base::Duration m_length{};
  // The index of a balancer, of a backend server or of a data centre.
  std::uint32_t m_target = 0;
};

// Returns several faults, ordered by start time. They start within `length` and
// may overlap.
std::vector<Fault> GenerateFaults(std::uint64_t seed,
                                  base::Duration length,
                                  std::uint32_t edges,
                                  std::uint32_t servers);

// As GenerateFaults, with series and faults of many balancers among them, and
// more changes of routes. With an odd seed the store responds all the time.
std::vector<Fault> GenerateSeries(std::uint64_t seed,
                                  base::Duration length,
                                  std::uint32_t edges,
                                  std::uint32_t servers);

std::string ToString(const Fault& fault);

void Inject(const Fault& fault, SoakHarness& harness);

}  // namespace soak

#endif  // TESTS_SOAK_FAULT_SCHEDULE_H_
