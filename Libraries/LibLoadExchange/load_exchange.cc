#include "LibLoadExchange/load_exchange.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibLoadExchange/limits.h"
#include "LibLoadExchange/load_codec.h"

namespace load_exchange {

std::string LoadExchange::MakeRequestLoad(const LoadReport& own,
                                          bool is_reader,
                                          base::TimePoint now) {
  if (!is_reader)
    return EncodeReport(own);
  UpdateOwnSums(own, now);
  LoadSums sums = m_fleet.Sums(now);
  std::erase_if(sums, [this](const DataCentreLoad& load) {
    return load.m_reader != m_self;
  });
  return EncodeSums(std::move(sums), kMaximumReportBytes);
}

std::string LoadExchange::MakeResponseLoad(const LoadReport& own,
                                           bool is_reader,
                                           base::TimePoint now) {
  if (is_reader)
    UpdateOwnSums(own, now);
  return EncodeSums(m_fleet.Sums(now), kMaximumSumsBytes);
}

LoadResult LoadExchange::AcceptRequestLoad(base::Ipv4Address source,
                                           std::string_view bytes,
                                           bool is_reader,
                                           base::TimePoint now) {
  auto message = DecodeLoad(bytes);
  if (!message)
    return LoadResult::kMalformed;
  if (const auto* sums = std::get_if<LoadSums>(&message.value())) {
    const bool is_own =
        std::ranges::all_of(*sums, [source](const DataCentreLoad& load) {
          return load.m_reader == source;
        });
    return is_own ? RecordSums(*sums, now) : LoadResult::kRefused;
  }
  if (!is_reader)
    return LoadResult::kNotCounted;
  m_aggregator.RemoveExpired(now);
  switch (m_aggregator.Accept(
      source, std::move(std::get<LoadReport>(message.value())), now)) {
    case ReportResult::kAccepted:
      return LoadResult::kAccepted;
    case ReportResult::kOutdated:
      return LoadResult::kOutdated;
    case ReportResult::kOtherDataCentre:
      return LoadResult::kNotCounted;
    case ReportResult::kTooMany:
      break;
  }
  return LoadResult::kRefused;
}

LoadResult LoadExchange::AcceptResponseLoad(std::string_view bytes,
                                            base::TimePoint now) {
  const auto message = DecodeLoad(bytes);
  if (!message)
    return LoadResult::kMalformed;
  const auto* sums = std::get_if<LoadSums>(&message.value());
  return sums == nullptr ? LoadResult::kMalformed : RecordSums(*sums, now);
}

LoadResult LoadExchange::RecordSums(const LoadSums& sums, base::TimePoint now) {
  bool is_used = false;
  for (const DataCentreLoad& load : sums) {
    // What comes back of this balancer's own sums is no news.
    if (load.m_reader != m_self)
      is_used = m_fleet.Record(load, now) || is_used;
  }
  return is_used ? LoadResult::kAccepted : LoadResult::kOutdated;
}

void LoadExchange::UpdateOwnSums(const LoadReport& own, base::TimePoint now) {
  if (m_own_sums_at && now - *m_own_sums_at < kSumInterval)
    return;
  m_own_sums_at = now;
  m_aggregator.RemoveExpired(now);
  m_aggregator.Accept(m_self, own, now);
  DataCentreLoad load = m_aggregator.Sum(now);
  // Readers do not poll each other, so none has a report of another.
  for (const base::Ipv4Address reader :
       m_fleet.ReadersOf(own.m_data_centre, now))
    load.m_balancers += m_aggregator.Counts(reader, now) ? 0 : 1;
  load.m_reader = m_self;
  load.m_sequence = static_cast<std::uint32_t>(own.m_sequence);
  m_fleet.Record(std::move(load), now);
}

}  // namespace load_exchange
