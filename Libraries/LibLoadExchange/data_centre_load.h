// The sums of the load reports of the balancers of one data centre.

#ifndef LIBLOADEXCHANGE_DATA_CENTRE_LOAD_H_
#define LIBLOADEXCHANGE_DATA_CENTRE_LOAD_H_

#include <cstdint>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibLoadExchange/load_report.h"

namespace load_exchange {

struct DataCentreLoad {
  // The key of the data centre.
  std::uint32_t m_data_centre = 0;
  // The reader that computed the sums.
  base::Ipv4Address m_reader;
  // Increases with each computation of the reader; compared in serial number
  // arithmetic (RFC 1982).
  std::uint32_t m_sequence = 0;
  // The number of reports, that of the reader included.
  std::uint32_t m_balancers = 0;
  // The time since the sums were computed.
  base::Duration m_age{};
  std::vector<ServiceLoad> m_services;
  std::vector<ServerEvidence> m_servers;
};

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_DATA_CENTRE_LOAD_H_
