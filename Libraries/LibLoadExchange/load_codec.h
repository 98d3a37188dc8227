// Encodes load reports and sums: a byte with the type and version of the
// message, then cereal's portable binary format.

#ifndef LIBLOADEXCHANGE_LOAD_CODEC_H_
#define LIBLOADEXCHANGE_LOAD_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibBase/outcome.h"
#include "LibLoadExchange/data_centre_load.h"
#include "LibLoadExchange/load_report.h"

namespace load_exchange {

using LoadSums = std::vector<DataCentreLoad>;
using LoadMessage = std::variant<LoadReport, LoadSums>;

// Omits the services with the least load and the servers with the fewest
// unanswered requests if there are too many. Takes kMaximumReportBytes at most.
std::string EncodeReport(LoadReport report);

// Takes `maximum_bytes` at most. Omits the smallest data centres, the services
// with the least load and the servers with the fewest unanswered requests if
// they do not fit.
std::string EncodeSums(LoadSums sums, std::size_t maximum_bytes);

// Errors: std::errc::bad_message if `bytes` is not one complete message of this
// version.
base::Outcome<LoadMessage> DecodeLoad(std::string_view bytes);

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_LOAD_CODEC_H_
