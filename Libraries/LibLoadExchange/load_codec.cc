#include "LibLoadExchange/load_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <system_error>
#include <utility>

#include "LibLoadExchange/limits.h"
#include "LibPeer/archive.h"
#include "LibPeer/content_codec.h"

namespace load_exchange {

namespace {

// The high bits are the type of the message, the low bits its version.
constexpr char kReportMagic = '\x11';
constexpr char kSumsMagic = '\x21';

// The bytes on the wire: magic, byte order of the archive and a count; and one
// data centre, service and server of LoadSums.
constexpr std::size_t kEnvelopeBytes = 3;
constexpr std::size_t kDataCentreBytes = 18;
constexpr std::size_t kServiceBytes = 12;
constexpr std::size_t kServerBytes = 10;
// The space that services leave to servers.
constexpr std::size_t kReservedServerBytes = 10 * kServerBytes;

constexpr double kTenths = 10;

template <typename Integer>
Integer Clamp(double value) {
  return static_cast<Integer>(
      std::clamp(value, 0.0, double{std::numeric_limits<Integer>::max()}));
}

// Both counts are scaled by the same factor if one is too large, so that their
// ratio remains.
template <typename Archive>
void SerializeEvidence(Archive& archive, ServerEvidence& evidence) {
  constexpr double kLargest =
      std::numeric_limits<std::uint16_t>::max() / kTenths;
  const double largest = std::max(evidence.m_unanswered, evidence.m_answered);
  const double scale = largest > kLargest ? kLargest / largest : 1;
  auto unanswered =
      Clamp<std::uint16_t>(std::round(evidence.m_unanswered * scale * kTenths));
  auto answered =
      Clamp<std::uint16_t>(std::round(evidence.m_answered * scale * kTenths));
  auto largest_unanswered = Clamp<std::uint16_t>(
      std::round(evidence.m_largest_unanswered * scale * kTenths));
  archive(evidence.m_token, unanswered, answered, largest_unanswered);
  evidence.m_unanswered = unanswered / kTenths;
  evidence.m_answered = answered / kTenths;
  evidence.m_largest_unanswered = largest_unanswered / kTenths;
}

// Sorts the elements by descending `rank`, and equal ones by `key`.
template <typename Element, typename Rank, typename Key>
void SortByRank(std::vector<Element>& elements, Rank rank, Key key) {
  std::ranges::sort(elements, [&](const Element& left, const Element& right) {
    return std::pair(-rank(left), key(left)) <
           std::pair(-rank(right), key(right));
  });
}

double LoadOf(const ServiceLoad& service) {
  return double{static_cast<double>(service.m_requests_in_progress)} +
         service.m_openings_per_second;
}

void SortByLoad(std::vector<ServiceLoad>& services) {
  SortByRank(services, LoadOf, [](const auto& s) { return s.m_service; });
}

void SortByUnanswered(std::vector<ServerEvidence>& servers) {
  SortByRank(
      servers, [](const auto& s) { return s.m_unanswered; },
      [](const auto& s) { return std::pair(-s.m_answered, s.m_token); });
}

template <typename Element>
void Truncate(std::vector<Element>& elements, std::size_t maximum) {
  elements.resize(std::min(elements.size(), maximum));
}

}  // namespace

template <typename Archive>
void serialize(Archive& archive, ServerEvidence& evidence) {
  SerializeEvidence(archive, evidence);
}

template <typename Archive>
void serialize(Archive& archive, ServiceLoad& service) {
  archive(service.m_service, service.m_requests_in_progress,
          service.m_openings_per_second);
}

template <typename Archive>
void serialize(Archive& archive, DataCentreLoad& load) {
  using std::chrono::milliseconds;
  std::uint32_t reader = load.m_reader.value();
  auto balancers = Clamp<std::uint16_t>(load.m_balancers);
  auto age_ms = Clamp<std::uint16_t>(static_cast<double>(
      std::chrono::duration_cast<milliseconds>(load.m_age).count()));
  archive(load.m_data_centre, reader, load.m_sequence, balancers, age_ms);
  load.m_reader = base::Ipv4Address(reader);
  load.m_balancers = balancers;
  load.m_age = milliseconds(age_ms);
  archive(
      peer::MakeBounded<std::uint8_t, kMaximumServices>(load.m_services),
      peer::MakeBounded<std::uint8_t, kMaximumSummedServers>(load.m_servers));
}

namespace {

template <typename Archive>
void Serialize(Archive& archive, LoadReport& report) {
  archive(report.m_sequence, report.m_data_centre);
  archive(peer::MakeBounded<std::uint8_t, kMaximumServices>(report.m_services),
          peer::MakeBounded<std::uint8_t, kMaximumReportedServers>(
              report.m_servers));
}

template <typename Archive>
void Serialize(Archive& archive, LoadSums& sums) {
  archive(peer::MakeBounded<std::uint8_t, kMaximumDataCentres>(sums));
}

template <typename Message>
std::string Encode(char magic, Message message) {
  // The lists were truncated to their maximum sizes.
  return peer::EncodeContent(std::string_view(&magic, 1), std::move(message),
                             [](auto& archive, Message& content) {
                               Serialize(archive, content);
                             })
      .value();
}

template <typename Message>
base::Outcome<LoadMessage> Decode(std::string_view bytes) {
  TRY(message,
      peer::DecodeContent<Message>(bytes, [](auto& archive, Message& content) {
        Serialize(archive, content);
      }));
  return LoadMessage(std::move(message));
}

// Keeps the elements of greatest rank of all data centres, `maximum` at most.
template <typename Element, typename Rank>
std::size_t KeepGreatest(LoadSums& sums,
                         std::vector<Element> DataCentreLoad::*list,
                         std::size_t maximum,
                         Rank rank) {
  std::vector<double> ranks;
  for (const DataCentreLoad& load : sums) {
    for (const Element& element : load.*list)
      ranks.push_back(rank(element));
  }
  if (ranks.size() <= maximum)
    return ranks.size();
  std::ranges::sort(ranks, std::greater());
  const double threshold = maximum == 0
                               ? std::numeric_limits<double>::infinity()
                               : ranks[maximum - 1];
  std::size_t kept = 0;
  for (DataCentreLoad& load : sums)
    std::erase_if(load.*list, [&](const Element& element) {
      if (rank(element) < threshold || kept == maximum)
        return true;
      ++kept;
      return false;
    });
  return kept;
}

}  // namespace

std::string EncodeReport(LoadReport report) {
  SortByLoad(report.m_services);
  Truncate(report.m_services, kMaximumServices);
  SortByUnanswered(report.m_servers);
  Truncate(report.m_servers, kMaximumReportedServers);
  return Encode(kReportMagic, report);
}

std::string EncodeSums(LoadSums sums, std::size_t maximum_bytes) {
  if (sums.empty() || maximum_bytes < kEnvelopeBytes + kDataCentreBytes)
    return {};
  SortByRank(
      sums, [](const auto& load) { return double{1.0} * load.m_balancers; },
      [](const auto& load) { return load.m_data_centre; });
  Truncate(sums, std::min(kMaximumDataCentres,
                          (maximum_bytes - kEnvelopeBytes) / kDataCentreBytes));
  std::size_t servers = 0;
  for (DataCentreLoad& load : sums) {
    SortByLoad(load.m_services);
    Truncate(load.m_services, kMaximumServices);
    SortByUnanswered(load.m_servers);
    Truncate(load.m_servers, kMaximumSummedServers);
    servers += load.m_servers.size();
  }
  std::size_t space =
      maximum_bytes - kEnvelopeBytes - sums.size() * kDataCentreBytes;
  const std::size_t reserved =
      std::min({space, servers * kServerBytes, kReservedServerBytes});
  space -=
      kServiceBytes * KeepGreatest(sums, &DataCentreLoad::m_services,
                                   (space - reserved) / kServiceBytes, LoadOf);
  KeepGreatest(
      sums, &DataCentreLoad::m_servers, space / kServerBytes,
      [](const ServerEvidence& server) { return server.m_unanswered; });
  return Encode(kSumsMagic, sums);
}

base::Outcome<LoadMessage> DecodeLoad(std::string_view bytes) {
  if (bytes.size() > kMaximumSumsBytes || bytes.empty())
    return std::make_error_code(std::errc::bad_message);
  if (bytes.front() == kReportMagic)
    return Decode<LoadReport>(bytes.substr(1));
  if (bytes.front() == kSumsMagic)
    return Decode<LoadSums>(bytes.substr(1));
  return std::make_error_code(std::errc::bad_message);
}

}  // namespace load_exchange
