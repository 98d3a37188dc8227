#include "status_view.h"

#include <fmt/format.h>

#include "LibObservability/log_format.h"

namespace service {

namespace {

using observability::QuoteJson;

std::string PeersJson(const std::vector<StatusView::Peer>& peers) {
  std::string json = "[";
  for (const StatusView::Peer& peer : peers) {
    if (json.size() > 1)
      json += ',';
    json += fmt::format(R"({{"name":{},"state":{}}})", QuoteJson(peer.m_name),
                        QuoteJson(peer.m_state));
  }
  return json + "]";
}

}  // namespace

std::string ToJson(const StatusView& status) {
  return fmt::format(
      R"({{"name":{},"data_centre":{},"id":"{:016x}","phase":{},"ready":{},)"
      R"("version":{},"submission":{},"traffic":{},"peer":{},"peers":{}}})",
      QuoteJson(status.m_name), QuoteJson(status.m_data_centre.value()),
      status.m_id.value(), QuoteJson(status.m_phase), status.m_is_ready,
      status.m_version.value(), QuoteJson(status.m_submission),
      QuoteJson(ToString(status.m_traffic)), QuoteJson(ToString(status.m_peer)),
      PeersJson(status.m_peers));
}

}  // namespace service
