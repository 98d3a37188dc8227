// The settings of one balancer's part in the feed.

#ifndef LIBFEED_FEED_SETTINGS_H_
#define LIBFEED_FEED_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace feed {

struct FeedSettings {
  base::Ipv4Address m_self;
  base::DataCentreId m_data_centre;
  // The same on all balancers of a fleet.
  std::uint64_t m_fleet = 0;
  // Balancers through which the others find each other. Any of them may be
  // down.
  std::vector<base::Ipv4Address> m_seeds;
  // The readers contact this balancer, so it knows whether a data centre has
  // too few of them.
  bool m_is_seed = false;
  // A balancer to which no reader has responded for this long reads the store
  // itself.
  base::Duration m_fed_for = std::chrono::milliseconds(2000);
  // If readers respond but the store does not respond to them, the balancers
  // read the store themselves at different times within this time, so that they
  // do not all call it together.
  base::Duration m_outage_spread = std::chrono::milliseconds(2000);
  base::Duration m_poll_interval = std::chrono::milliseconds(650);
  // Several round trips between data centres.
  base::Duration m_response_timeout = std::chrono::milliseconds(200);
  // How long a balancer without a view waits for the view of a reader before it
  // reads the store.
  base::Duration m_start_patience{};
  // The part of the balancer's link that large transfers to peers may use.
  double m_transfer_bytes_per_second = 1'000'000;
  // A balancer polls two readers in turn, so that the death of one costs no
  // time. With one reader in each of several data centres, the second one is
  // elsewhere.
  std::size_t m_readers_per_data_centre = 2;

  friend bool operator==(const FeedSettings&, const FeedSettings&) = default;
};

}  // namespace feed

#endif  // LIBFEED_FEED_SETTINGS_H_
