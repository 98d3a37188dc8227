#include "StandIns/Platform/platform_model.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace stand_ins {

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::size_t kMaximumBodyBytes = 1024UL * 1024UL;
constexpr std::uint64_t kDefaultWatchMilliseconds = 30'000;
constexpr std::uint64_t kMaximumMilliseconds = 60'000;

std::string Text(const Parameters& parameters, const std::string& name) {
  const auto found = parameters.find(name);
  return found == parameters.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> Number(const Parameters& parameters,
                                    const std::string& name) {
  const std::string text = Text(parameters, name);
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || rest != end)
    return std::nullopt;
  return value;
}

std::optional<base::Duration> Milliseconds(const Parameters& parameters,
                                           const std::string& name) {
  const auto number = Number(parameters, name);
  if (!number || *number > kMaximumMilliseconds)
    return std::nullopt;
  return std::chrono::milliseconds(*number);
}

PlatformAnswer AnswerOf(const ObjectState& state) {
  if (!state.Exists())
    return {404, 0, "absent\n"};
  return {200, state.m_version, *state.m_body};
}

PlatformAnswer AnswerOf(const ObjectUpdate& update) {
  const bool done = update.m_result == ObjectUpdate::Result::kDone;
  return {static_cast<std::uint16_t>(done ? 200 : 409), update.m_version, ""};
}

PlatformAnswer BadRequest(const std::string& reason) {
  return {400, std::nullopt, reason + "\n"};
}

}  // namespace

PlatformModel::PlatformModel(PlatformRates rates)
    : m_writes(rates.m_writes_per_second), m_reads(rates.m_reads_per_second) {}

base::TimePoint PlatformModel::VisibleTime(base::TimePoint now) const {
  return now - m_lag;
}

std::optional<PlatformAnswer> PlatformModel::PollWatch(
    const WaitingWatch& watch,
    base::TimePoint now) const {
  if (m_outage == Outage::kSilent)
    return std::nullopt;
  if (m_outage == Outage::kRefuse)
    return PlatformAnswer{503, std::nullopt, "outage\n"};
  const ObjectState state = m_objects.Read(watch.m_key, VisibleTime(now));
  if (state.m_version > watch.m_version)
    return AnswerOf(state);
  if (now >= watch.m_deadline)
    return PlatformAnswer{204, watch.m_version, ""};
  return std::nullopt;
}

std::string PlatformModel::Counts() const {
  std::string text = "{";
  for (const auto& [name, count] : m_counts) {
    if (text.size() > 1)
      text += ",";
    text += "\"" + name + "\":" + std::to_string(count);
  }
  return text + "}";
}

PlatformReaction PlatformModel::Handle(const PlatformRequest& request,
                                       std::size_t waiting,
                                       base::TimePoint now) {
  ++m_counts["calls"];
  if (m_outage == Outage::kSilent) {
    ++m_counts["silent"];
    return SilentCall{};
  }
  if (m_outage == Outage::kRefuse) {
    ++m_counts["refused"];
    return PlatformAnswer{503, std::nullopt, "outage\n"};
  }
  const bool is_write = request.m_method != "GET";
  ++m_counts[is_write ? "writes" : "reads"];
  const bool allowed =
      is_write ? m_writes.Take(now, 0) : m_reads.Take(now, waiting);
  if (!allowed) {
    ++m_counts["rate_limited"];
    return PlatformAnswer{429, std::nullopt, "rate limit\n"};
  }
  if (request.m_path == "/vms" && !is_write)
    return ListVms(Text(request.m_query, "data_centre"), now);
  if (request.m_path == "/objects" && !is_write)
    return List(Text(request.m_query, "prefix"), now);
  if (!request.m_path.starts_with(kObjectsPath))
    return PlatformAnswer{404, std::nullopt, "no such path\n"};
  const std::string key = request.m_path.substr(kObjectsPath.size());
  if (key.empty())
    return BadRequest("no key");
  return is_write ? Write(key, request, now) : Read(key, request, now);
}

PlatformReaction PlatformModel::Read(const std::string& key,
                                     const PlatformRequest& request,
                                     base::TimePoint now) {
  if (!request.m_query.contains("watch"))
    return AnswerOf(m_objects.Read(key, VisibleTime(now)));
  ++m_counts["watches"];
  const auto version = Number(request.m_query, "watch");
  const std::uint64_t milliseconds = std::min(
      Number(request.m_query, "timeout_ms").value_or(kDefaultWatchMilliseconds),
      kMaximumMilliseconds);
  if (!version)
    return BadRequest("watch needs a version");
  const WaitingWatch watch{key, *version,
                           now + std::chrono::milliseconds(milliseconds)};
  if (const auto answer = PollWatch(watch, now))
    return *answer;
  return watch;
}

PlatformReaction PlatformModel::Write(const std::string& key,
                                      const PlatformRequest& request,
                                      base::TimePoint now) {
  const bool is_put = request.m_method == "PUT";
  if (!is_put && request.m_method != "DELETE")
    return PlatformAnswer{405, std::nullopt, "no such method\n"};
  if (!request.m_if_version)
    return BadRequest("If-Version is missing");
  if (request.m_body.size() > kMaximumBodyBytes)
    return PlatformAnswer{413, std::nullopt, "over 1 MB\n"};
  const ObjectUpdate update =
      is_put ? m_objects.Put(key, *request.m_if_version, request.m_body, now)
             : m_objects.Delete(key, *request.m_if_version, now);
  const bool done = update.m_result == ObjectUpdate::Result::kDone;
  ++m_counts[done ? "writes_done" : "conflicts"];
  if (m_answers_to_lose > 0) {
    --m_answers_to_lose;
    ++m_counts["answers_lost"];
    return LostAnswer{};
  }
  return AnswerOf(update);
}

PlatformAnswer PlatformModel::List(const std::string& prefix,
                                   base::TimePoint now) const {
  std::string lines;
  for (const auto& object : m_objects.List(prefix, VisibleTime(now)))
    lines += object.m_key + " " + std::to_string(object.m_version) + "\n";
  return {200, std::nullopt, std::move(lines)};
}

PlatformAnswer PlatformModel::ListVms(const std::string& data_centre,
                                      base::TimePoint now) const {
  return {200, std::nullopt, m_vms.Lines(data_centre, VisibleTime(now))};
}

PlatformAnswer PlatformModel::Control(const std::string& command,
                                      const Parameters& parameters,
                                      base::TimePoint now) {
  if (command == "counts")
    return {200, std::nullopt, Counts() + "\n"};
  if (command == "vm")
    return SetVm(parameters, now);
  if (command == "outage") {
    const auto outage = base::ValueOf(kOutageNames, Text(parameters, "mode"));
    if (!outage)
      return BadRequest("mode is refuse, silent or off");
    m_outage = *outage;
    return {200, std::nullopt, ""};
  }
  if (command == "lose-answers") {
    const auto count = Number(parameters, "count");
    if (!count)
      return BadRequest("count is missing");
    m_answers_to_lose = *count;
    return {200, std::nullopt, ""};
  }
  if (command != "slow" && command != "lag")
    return {404, std::nullopt, "no such command\n"};
  const auto duration = Milliseconds(parameters, "ms");
  if (!duration)
    return BadRequest("ms is missing or too large");
  (command == "slow" ? m_slowness : m_lag) = *duration;
  return {200, std::nullopt, ""};
}

PlatformAnswer PlatformModel::SetVm(const Parameters& parameters,
                                    base::TimePoint now) {
  const std::string name = Text(parameters, "name");
  Vm vm{Text(parameters, "data_centre"), Text(parameters, "state"),
        Text(parameters, "traffic"), Text(parameters, "peer"),
        Text(parameters, "admin")};
  if (name.empty())
    return BadRequest("name is missing");
  if (vm.m_state == "gone") {
    m_vms.Remove(name, now);
    return {200, std::nullopt, ""};
  }
  const bool is_complete = !vm.m_data_centre.empty() && !vm.m_traffic.empty() &&
                           !vm.m_peer.empty() && !vm.m_admin.empty();
  if (!is_complete || (vm.m_state != "live" && vm.m_state != "leaving"))
    return BadRequest("data_centre, state, traffic, peer, admin are needed");
  m_vms.Set(name, std::move(vm), now);
  return {200, std::nullopt, ""};
}

}  // namespace stand_ins
