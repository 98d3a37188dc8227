#include "LibPlacement/placement_preset.h"

namespace placement {

namespace {

// Lets a server with three slots queue one request.
constexpr double kFewExceptionsBoundFactor = 4.0 / 3.0;

}  // namespace

PlacementSettings MakePlacementSettings(PlacementPreset preset) {
  LoadSettings load;
  BoundedWalk walk;
  switch (preset) {
    case PlacementPreset::kFewExceptions:
      walk.m_candidates = 3;
      load.m_bound_factor = kFewExceptionsBoundFactor;
      break;
    case PlacementPreset::kEvenLoad:
      walk.m_candidates = BoundedWalk::kAllCandidates;
      break;
  }
  return PlacementSettings{load, walk};
}

}  // namespace placement
