#include "LibPlatform/vm_record.h"

#include <sstream>
#include <utility>

namespace platform {

namespace {

std::optional<VmRecord> ParseVmRecord(const std::string& line) {
  std::istringstream words(line);
  std::string name;
  std::string data_centre;
  std::string state_name;
  std::string traffic_text;
  std::string peer_text;
  std::string admin_text;
  words >> name >> data_centre >> state_name >> traffic_text >> peer_text >>
      admin_text;
  const auto state = base::ValueOf(kVmStateNames, std::string_view(state_name));
  const auto traffic = base::ParseEndpoint(traffic_text);
  const auto peer = base::ParseEndpoint(peer_text);
  const auto admin = base::ParseEndpoint(admin_text);
  if (!state || !traffic || !peer || !admin)
    return std::nullopt;
  return VmRecord{std::move(name), base::DataCentreId(std::move(data_centre)),
                  *state,          *traffic,
                  *peer,           *admin};
}

}  // namespace

std::optional<std::vector<VmRecord>> ParseVmRecords(std::string_view text) {
  std::vector<VmRecord> records;
  std::istringstream lines{std::string(text)};
  std::string line;
  while (std::getline(lines, line)) {
    auto record = ParseVmRecord(line);
    if (!record)
      return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace platform
