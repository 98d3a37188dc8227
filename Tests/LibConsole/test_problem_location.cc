#include <doctest/doctest.h>

#include "LibConfiguration/example_document.h"
#include "LibConsole/draft.h"
#include "LibConsole/problem_location.h"

TEST_CASE(
    "a problem's location is described by names, or by number without one") {
  const auto root = console::StartDraft({base::ConfigurationVersion(1),
                                         configuration::MakeDocument()})
                        .m_root;
  const auto location = [&root](std::string_view path) {
    return console::DescribeProblemLocation(root, path);
  };

  CHECK(location("services[0].address") == "service licence, address");
  CHECK(location("services[0].backend_servers[1].slots") ==
        "service licence, backend server tap-2, slots");
  CHECK(location("services[1].limits.retry_budget_percent") ==
        "service dossier, limits, retry_budget_percent");
  CHECK(location("services[7]") == "service number 8");
  CHECK(location("services[0].backend_servers[9].name") ==
        "service licence, backend server number 10, name");
  CHECK(location("services[") == "services[");
  CHECK(location("services[0]x.name") == "services[0]x.name");
  CHECK(location("") == "");
}
