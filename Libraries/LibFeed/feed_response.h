// The response to a FeedRequest. Sent as one datagram.

#ifndef LIBFEED_FEED_RESPONSE_H_
#define LIBFEED_FEED_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibFeed/reader_entry.h"
#include "LibFeed/store_status.h"

namespace feed {

struct FeedResponse {
  static constexpr std::size_t kMaximumReaders = 6;
  static constexpr std::size_t kMaximumLoadBytes = 500;

  std::uint64_t m_fleet = 0;
  // The number of the request.
  std::uint64_t m_number = 0;
  base::DataCentreId m_data_centre;
  // The responder reads the store for others.
  bool m_is_reader = false;
  // The responder's status when it sent the response, except that m_view_age is
  // the age of its view at the receipt of the request.
  StoreStatus m_status;
  // The responder knows too few readers in the requester's data centre and asks
  // the requester to read the store.
  bool m_should_read = false;
  // The readers that the responder knows, those of the requester's data centre
  // first; kMaximumReaders at most.
  std::vector<ReaderEntry> m_readers;
  // The encoded catalog::ViewDelta from the revisions of the request to those
  // of `m_status`. Empty if there is no change, or if the delta does not fit
  // into a datagram; the requester then fetches it by TCP.
  std::string m_delta;
  // The encoded load of the fleet as the responder knows it, kMaximumLoadBytes
  // at most. Empty if the balancers do not exchange their load.
  std::string m_load;
};

}  // namespace feed

#endif  // LIBFEED_FEED_RESPONSE_H_
