#include "LibPlacement/placement_preset.h"

namespace placement {

PlacementSettings MakePlacementSettings(PlacementPreset preset) {
  BoundedWalk walk;
  switch (preset) {
    case PlacementPreset::kFewExceptions:
      walk.m_candidates = 3;
      walk.m_margin = BoundedWalk::kNoMargin;
      break;
    case PlacementPreset::kEvenLoad:
      walk.m_candidates = BoundedWalk::kAllCandidates;
      walk.m_margin = 0.0;
      break;
  }
  return PlacementSettings{LoadSettings{}, walk};
}

}  // namespace placement
