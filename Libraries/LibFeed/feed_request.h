// A balancer's request for the changes of the view since the revisions that it
// knows. Sent as one datagram.

#ifndef LIBFEED_FEED_REQUEST_H_
#define LIBFEED_FEED_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibCatalog/revision.h"

namespace feed {

struct FeedRequest {
  static constexpr std::size_t kMaximumLoadBytes = 300;

  // Identifies the fleet. Requests of another fleet are ignored.
  std::uint64_t m_fleet = 0;
  // Repeated in the response.
  std::uint64_t m_number = 0;
  base::DataCentreId m_data_centre;
  // The sender reads the store for others, and its calls succeed.
  bool m_is_reader = false;
  bool m_is_current = false;
  catalog::Revision m_servers;
  catalog::Revision m_manifest;
  // Zero if the sender does not need the evacuations or does not know them yet.
  catalog::Revision m_evacuations;
  // The manifest in force.
  base::ConfigurationVersion m_manifest_version;
  // The sender needs a view that contains all changes made earlier than this
  // before the request; unset if it takes any view. In whole milliseconds.
  std::optional<base::Duration> m_needed_view_age;
  // The encoded load report of the sender, kMaximumLoadBytes at most. Empty if
  // the balancers do not exchange their load.
  std::string m_load;
};

}  // namespace feed

#endif  // LIBFEED_FEED_REQUEST_H_
