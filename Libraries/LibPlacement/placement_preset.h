// The documented settings for the two kinds of deployment; docs/PLACEMENT.md
// has the figures.

#ifndef LIBPLACEMENT_PLACEMENT_PRESET_H_
#define LIBPLACEMENT_PLACEMENT_PRESET_H_

#include "LibBase/enum_table.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/placement_policy.h"

namespace placement {

enum class PlacementPreset {
  // Few flows off their first hash choice, and so few stored exceptions: three
  // candidates, each with room for a short queue. For a service where a broken
  // flow is far worse than a wait, such as the licence portal.
  kFewExceptions,
  // Even load on servers with few slots: all candidates, none with room for a
  // queue. For small servers that are easily overloaded, such as the logbook
  // service.
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
