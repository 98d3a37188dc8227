// Sums the burn report over the balancers of all data centres when somebody
// asks for it. Each other data centre is asked once, by any one of its
// balancers, which sums over its own data centre.

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

// Used on the thread that runs the io_context, which it must outlive.
class BurnCollector {
 public:
  struct Sources {
    // The name of the own data centre.
    std::string m_data_centre;
    // What this balancer counts.
    std::function<observability::CombinedBurnReport()> m_own_report;
    // The other balancers of the data centre, each a part of its own.
    std::function<std::vector<BurnTarget>()> m_list_members;
    // Gives the other data centres, at once or within kListTimeout.
    using TargetsCallback = std::function<void(std::vector<BurnTarget>)>;
    std::function<void(TargetsCallback)> m_list_data_centres;
    std::function<peer::Message(const peer::BurnRequest&)> m_make_request;
  };
  using Callback =
      std::function<void(const observability::CombinedBurnReport&)>;

  BurnCollector(asio::io_context& context, Sources sources)
      : m_context(context), m_sources(std::move(sources)) {}

  // Each calls `answer` once, within kListTimeout + kDataCentreTimeout; a sum
  // is given again for kCacheLifetime after it was made.
  void CollectDataCentre(const Callback& callback);
  void CollectTotal(const Callback& callback);

  static constexpr base::Duration kListTimeout = std::chrono::milliseconds(300);
  static constexpr base::Duration kDataCentreTimeout =
      std::chrono::milliseconds(1000);
  // Leaves another data centre time to answer for its members.
  static constexpr base::Duration kMemberTimeout =
      std::chrono::milliseconds(600);
  static constexpr base::Duration kCacheLifetime = std::chrono::seconds(1);

 private:
  // One kind of sum: who waits for it, and the last one.
  struct PendingSum {
    std::vector<Callback> m_waiting;
    std::optional<observability::CombinedBurnReport> m_last;
    base::TimePoint m_made_at;
  };

  // Whether the caller has to start making the sum that `answer` waits for.
  static bool AddWaiting(PendingSum& sum, const Callback& callback);
  static void Finish(PendingSum& sum, observability::CombinedBurnReport result);
  // The parts of the sum over all data centres.
  struct TotalSumInputs {
    std::vector<BurnTarget> m_targets;
    std::optional<observability::CombinedBurnReport> m_own_report;
    std::optional<BurnResponses> m_responses;
  };
  void RequestDataCentres(const std::shared_ptr<TotalSumInputs>& inputs);
  // Ends the sum once both of its halves are there.
  void FinishTotalIfComplete(const TotalSumInputs& inputs);

  asio::io_context& m_context;
  Sources m_sources;
  PendingSum m_data_centre;
  PendingSum m_total;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_COLLECTOR_H_
