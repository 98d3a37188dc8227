#include <doctest/doctest.h>

#include "LibPlacement/load_view_fixture.h"
#include "LibPlacement/placement_preset.h"

using namespace placement;

namespace {

// Returns the choice of `preset` when the first server runs as many requests as
// it has slots and the others run none.
std::optional<base::BackendServerId> ChooseWithFirstBusy(
    PlacementPreset preset) {
  PlacementSettings settings = MakePlacementSettings(preset);
  LoadViewFixture fixture(3, settings.m_load);
  fixture.ReportLoad(0, LoadViewFixture::kSlots);
  return Choose(settings.m_policy, fixture.m_order, fixture.m_view,
                fixture.m_random);
}

}  // namespace

TEST_CASE(
    "the few-exceptions preset accepts a short queue at the first hash choice, "
    "the even-load preset does not") {
  CHECK(ChooseWithFirstBusy(PlacementPreset::kFewExceptions) ==
        MakeServerId(0));
  CHECK(ChooseWithFirstBusy(PlacementPreset::kEvenLoad) == MakeServerId(1));
}

TEST_CASE("placement presets are found by their names") {
  for (const auto& entry : kPlacementPresetNames)
    CHECK(base::ValueOf(kPlacementPresetNames, entry.m_name) == entry.m_value);
}
