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
#include "LibObservability/combined_burn.h"
#include "LibPeer/burn_request.h"
#include "LibPeer/message.h"
#include "burn_gathering.h"

namespace service {

// Used on the thread that runs the io_context, which it must outlive.
class BurnCollector {
 public:
  struct Sources {
    // The name of the own data centre.
    std::string m_data_centre;
    // What this balancer counts.
    std::function<observability::CombinedBurn()> m_own;
    // The other balancers of the data centre, each a part of its own.
    std::function<std::vector<BurnPart>()> m_members;
    // Gives the other data centres, at once or within kListDeadline.
    using PartsAnswer = std::function<void(std::vector<BurnPart>)>;
    std::function<void(PartsAnswer)> m_data_centres;
    std::function<peer::Message(const peer::BurnRequest&)> m_make_request;
  };
  using Answer = std::function<void(const observability::CombinedBurn&)>;

  BurnCollector(asio::io_context& context, Sources sources)
      : m_context(context), m_sources(std::move(sources)) {}

  // Each calls `answer` once, within kListDeadline + kDeadline; a sum is
  // given again for kLifetime after it was made.
  void CollectDataCentre(const Answer& answer);
  void CollectAll(const Answer& answer);

  static constexpr base::Duration kListDeadline =
      std::chrono::milliseconds(300);
  static constexpr base::Duration kDeadline = std::chrono::milliseconds(1000);
  // Leaves another data centre time to answer for its members.
  static constexpr base::Duration kMemberDeadline =
      std::chrono::milliseconds(600);
  static constexpr base::Duration kLifetime = std::chrono::seconds(1);

 private:
  // One kind of sum: who waits for it, and the last one.
  struct Sum {
    std::vector<Answer> m_waiting;
    std::optional<observability::CombinedBurn> m_last;
    base::TimePoint m_made_at;
  };

  // Whether the caller has to start making the sum that `answer` waits for.
  static bool Join(Sum& sum, const Answer& answer);
  static void Finish(Sum& sum, observability::CombinedBurn result);
  // The parts of the sum over all data centres.
  struct AllHalves {
    std::vector<BurnPart> m_parts;
    std::optional<observability::CombinedBurn> m_own;
    std::optional<BurnParts> m_answers;
  };
  void AskDataCentres(const std::shared_ptr<AllHalves>& halves);
  // Ends the sum once both of its halves are there.
  void FinishAllIfWhole(const AllHalves& halves);

  asio::io_context& m_context;
  Sources m_sources;
  Sum m_data_centre;
  Sum m_all;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_COLLECTOR_H_
