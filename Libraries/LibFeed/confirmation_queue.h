// Requests of peers that need the view to be newer than it is known to be. They
// wait for a short time until the store has confirmed the view of this reader.

#ifndef LIBFEED_CONFIRMATION_QUEUE_H_
#define LIBFEED_CONFIRMATION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "LibBase/time.h"
#include "LibFeed/received_request.h"

namespace feed {

struct StoreStatus;

class ConfirmationQueue {
 public:
  // Less than the response timeout of the requester. A packet that the
  // requester holds back meanwhile waits for 150 ms.
  static constexpr base::Duration kMaximumWait = std::chrono::milliseconds(80);
  static constexpr std::size_t kMaximumRequests = 512;

  // Queries.
  std::size_t size() const { return m_requests.size(); }
  // Whether a confirmation by the store could satisfy `request` in time. `own`
  // is the status of this reader.
  bool ShouldWait(const ReceivedRequest& request,
                  const StoreStatus& own,
                  base::TimePoint now) const;
  // The time up to which the view has to contain all changes to satisfy all
  // requests; nothing without a request.
  std::optional<base::TimePoint> NeededAsOf() const;
  // When PopDue has to be called next, unless the view is confirmed before;
  // nothing without a request.
  std::optional<base::TimePoint> NextDeadline() const;

  // Commands.
  // Adds a request for which ShouldWait holds.
  void Add(ReceivedRequest request);
  // Removes and returns the requests that are to be answered now.
  std::vector<ReceivedRequest> PopDue(const StoreStatus& own,
                                      base::TimePoint now);

 private:
  // In the order of receipt.
  std::vector<ReceivedRequest> m_requests;
};

}  // namespace feed

#endif  // LIBFEED_CONFIRMATION_QUEUE_H_
