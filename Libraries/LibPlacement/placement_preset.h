// Placement settings for the two documented kinds of deployment.
// docs/PLACEMENT.md has measurements of both.

#ifndef LIBPLACEMENT_PLACEMENT_PRESET_H_
#define LIBPLACEMENT_PLACEMENT_PRESET_H_

#include "LibBase/enum_table.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/placement_policy.h"

namespace placement {

enum class PlacementPreset {
  // Few exceptions (flows off their first hash choice, which balancers store):
  // three candidates, whose bounds allow a short queue. For a service where a
  // broken flow is far worse than a wait, such as the licence portal.
  kFewExceptions,
  // Even load on servers with few slots: all servers are candidates, and their
  // bounds allow no queue. For small servers that are easily overloaded, such
  // as the logbook service.
  kEvenLoad,
};

inline constexpr base::EnumTable<PlacementPreset, 2> kPlacementPresetNames{{
    {PlacementPreset::kFewExceptions, "few-exceptions"},
    {PlacementPreset::kEvenLoad, "even-load"},
}};

struct PlacementSettings {
  LoadSettings m_load;
  PlacementPolicy m_policy;
};

PlacementSettings MakePlacementSettings(PlacementPreset preset);

}  // namespace placement

#endif  // LIBPLACEMENT_PLACEMENT_PRESET_H_
