// Sums the burn reports of the balancers of all data centres on request. From
// each other data centre, the collector requests one sum, which any balancer
// there calculates over its data centre.

#ifndef SERVICES_COLTSFOOTDALE_BURN_COLLECTOR_H_
#define SERVICES_COLTSFOOTDALE_BURN_COLLECTOR_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "LibBase/time.h"
#include "LibObservability/combined_burn_report.h"
#include "LibPeer/burn_request.h"
#include "LibPeer/message.h"
#include "burn_requests.h"

namespace service {

// Used on the thread that runs the io_context. Must exist as long as the
// io_context runs, because pending handlers refer to the collector.
class BurnCollector {
 public:
  struct Sources {
    // The name of this balancer's data centre.
    std::string m_data_centre;
    // Returns the report of this balancer alone.
    std::function<observability::CombinedBurnReport()> m_own_report;
    // Returns the other balancers of this data centre, one target for each.
    std::function<std::vector<BurnTarget>()> m_list_members;
    // Passes the other data centres, one target for each, to the callback: at
    // once or within kListTimeout.
    using TargetsCallback = std::function<void(std::vector<BurnTarget>)>;
    std::function<void(TargetsCallback)> m_list_data_centres;
    // Returns the message for the request, with this balancer as its sender.
    std::function<peer::Message(const peer::BurnRequest&)> m_make_request;
  };
  using Callback =
      std::function<void(const observability::CombinedBurnReport&)>;

  BurnCollector(asio::io_context& context, Sources sources)
      : m_context(context), m_sources(std::move(sources)) {}

  // Sums the reports of this data centre's balancers. Calls `callback` once,
  // within kMemberTimeout. The sum is reused for kCacheLifetime after its
  // calculation.
  void CollectDataCentre(const Callback& callback);
  // Sums the reports of all data centres. Calls `callback` once, within
  // kListTimeout + kDataCentreTimeout. The sum is reused like that of
  // CollectDataCentre.
  void CollectTotal(const Callback& callback);

  // The time limit for listing the balancers of the other data centres.
  static constexpr base::Duration kListTimeout = std::chrono::milliseconds(300);
  // The time limit for the responses of the other data centres.
  static constexpr base::Duration kDataCentreTimeout =
      std::chrono::milliseconds(1000);
  // The time limit for the responses of this data centre's balancers. Shorter
  // than kDataCentreTimeout: the balancer that sums over its data centre has to
  // reply to the balancer that requested the sum.
  static constexpr base::Duration kMemberTimeout =
      std::chrono::milliseconds(600);
  static constexpr base::Duration kCacheLifetime = std::chrono::seconds(1);

 private:
  // The callbacks that wait for a sum, and the last result.
  struct PendingSum {
    std::vector<Callback> m_waiting;
    std::optional<observability::CombinedBurnReport> m_last;
    base::TimePoint m_calculated_at;
  };

  // Calls `callback` if the last sum is recent; otherwise adds the callback to
  // those that wait. Returns whether the caller has to start the requests.
  static bool AddWaiting(PendingSum& sum, const Callback& callback);
  // Stores the result and calls the callbacks that wait.
  static void Finish(PendingSum& sum, observability::CombinedBurnReport result);
  // The reports of which the sum over all data centres consists.
  struct TotalSumInputs {
    std::vector<BurnTarget> m_targets;
    std::optional<observability::CombinedBurnReport> m_own_report;
    std::optional<BurnResponses> m_responses;
  };
  void RequestDataCentres(const std::shared_ptr<TotalSumInputs>& inputs);
  // Finishes the sum if both the own data centre's report and the responses of
  // the other data centres are present.
  void FinishTotalIfComplete(const TotalSumInputs& inputs);

  asio::io_context& m_context;
  Sources m_sources;
  PendingSum m_data_centre;
  PendingSum m_total;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_COLLECTOR_H_
