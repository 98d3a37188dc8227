// A balancer that reads the store for the others, as peers tell each other.

#ifndef LIBFEED_READER_ENTRY_H_
#define LIBFEED_READER_ENTRY_H_

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace feed {

struct ReaderEntry {
  base::Ipv4Address m_address;
  base::DataCentreId m_data_centre;
  // Whether the reader's calls to the store succeed.
  bool m_is_current = false;
  // The time since the reader itself was last heard of.
  base::Duration m_age{};
};

}  // namespace feed

#endif  // LIBFEED_READER_ENTRY_H_
