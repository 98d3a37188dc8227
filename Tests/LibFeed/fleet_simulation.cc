#include "LibFeed/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFirstAddress = 10U << 24;
constexpr base::Duration kCallTime = milliseconds(10);
constexpr base::Duration kUnreachableAfter = milliseconds(700);
// From the end of a call's wait.
constexpr base::Duration kCallTimeout = milliseconds(1000);
constexpr base::Duration kBurstWindow = milliseconds(100);

}  // namespace

catalog::WatcherPolicy MakeReaderPolicy() {
  catalog::WatcherPolicy policy;
  policy.m_pause_between_watches = seconds(1);
  policy.m_watch_wait = milliseconds(3800);
  return policy;
}

catalog::WatcherPolicy MakeFallbackPolicy() {
  catalog::WatcherPolicy policy = MakeReaderPolicy();
  policy.m_initial_back_off = seconds(4);
  policy.m_maximum_back_off = seconds(8);
  return policy;
}

FleetSimulation::FleetSimulation(const FleetOptions& options)
    : m_options(options), m_random(options.m_seed) {
  m_balancers.resize(options.m_balancers);
  Change();
  for (std::size_t index = 0; index < m_balancers.size(); ++index)
    Start(index, true);
}

std::size_t FleetSimulation::Readers(std::size_t data_centre) const {
  std::size_t readers = 0;
  for (std::size_t index = data_centre; index < m_balancers.size();
       index += m_options.m_data_centres)
    readers += IsReader(index) ? 1 : 0;
  return readers;
}

bool FleetSimulation::IsReader(std::size_t index) const {
  return m_balancers[index].m_is_up && m_balancers[index].m_member->IsReader();
}

std::size_t FleetSimulation::WithoutView() const {
  return static_cast<std::size_t>(std::count_if(
      m_balancers.begin(), m_balancers.end(), [](const Balancer& balancer) {
        return balancer.m_is_up && balancer.m_view.m_state == 0;
      }));
}

void FleetSimulation::Run(base::Duration length,
                          base::Duration change_interval) {
  const base::TimePoint end = m_now + length;
  base::TimePoint next_change = m_now + change_interval;
  while (m_now < end) {
    if (change_interval != base::Duration::zero() && m_now >= next_change) {
      Change();
      next_change += change_interval;
    }
    Step();
  }
}

void FleetSimulation::ResetCounts() {
  m_calls = 0;
  m_burst = 0;
  m_largest_burst = 0;
  m_longest_delay = {};
  m_longest_confirmation = {};
}

std::size_t FleetSimulation::Unconfirmed() const {
  return static_cast<std::size_t>(std::count_if(
      m_balancers.begin(), m_balancers.end(), [](const Balancer& balancer) {
        return balancer.m_is_up && balancer.m_needed_as_of;
      }));
}

void FleetSimulation::RequireCurrentView(std::size_t index) {
  m_balancers[index].m_needed_as_of = m_now;
}

void FleetSimulation::Change() {
  m_revision = {m_revision.era(), m_revision.number() + 1};
  m_states.push_back({m_history.back(), m_now});
  m_history.push_back(m_states.size() - 1);
}

void FleetSimulation::Restore(std::size_t changes) {
  // The state of the first revision is never lost.
  const std::size_t kept = std::max<std::size_t>(
      2, m_history.size() - std::min(changes, m_history.size()));
  m_history.resize(kept);
  m_revision = {base::StoreEra(m_revision.era().value() + 1), kept - 1};
  // The return from the copy is a change too, which no event reports.
  m_states.push_back({m_history.back(), m_now});
  m_history.back() = m_states.size() - 1;
  m_history_from = std::min(m_history_from, m_revision.number());
  m_store_disturbed_at = m_now;
}

void FleetSimulation::Kill(std::size_t index) {
  Balancer& balancer = m_balancers[index];
  balancer.m_is_up = false;
  balancer.m_call.reset();
}

void FleetSimulation::Start(std::size_t index, bool is_first_start) {
  FeedSettings settings = m_options.m_feed;
  settings.m_seeds.clear();
  settings.m_self = AddressOf(index);
  settings.m_data_centre =
      base::DataCentreId("hall-" + std::to_string(DataCentreOf(index)));
  for (std::size_t seed = 0; seed < m_options.m_seeds; ++seed) {
    if (seed != index)
      settings.m_seeds.push_back(AddressOf(seed));
  }
  settings.m_readers_per_data_centre = m_options.m_readers_per_data_centre;
  settings.m_is_seed = index < m_options.m_seeds;
  settings.m_start_patience =
      is_first_start ? milliseconds(1500) : milliseconds(0);
  Balancer& balancer = m_balancers[index];
  balancer.m_member =
      std::make_unique<FeedMember>(settings, m_random.Next(), m_now);
  balancer.m_watcher = std::make_unique<catalog::CollectionWatcher>(
      m_options.m_reader_policy, base::Random(m_random.Next()), m_now);
  balancer.m_call.reset();
  balancer.m_frozen_until.reset();
  balancer.m_view = {};
  balancer.m_waiting_requests = {};
  balancer.m_fed_current_as_of.reset();
  balancer.m_needed_as_of.reset();
  balancer.m_is_up = true;
  balancer.m_disturbed_at = m_now;
}

void FleetSimulation::Freeze(std::size_t index, base::Duration length) {
  m_balancers[index].m_frozen_until = m_now + length;
}

void FleetSimulation::CutFromStore(std::size_t index, bool is_cut) {
  m_balancers[index].m_is_cut_from_store = is_cut;
  m_balancers[index].m_disturbed_at = m_now;
}

void FleetSimulation::SilenceStore(std::size_t index, bool is_silent) {
  m_balancers[index].m_is_store_silent = is_silent;
  m_balancers[index].m_disturbed_at = m_now;
}

void FleetSimulation::CutFromPeers(std::size_t index, bool is_cut) {
  m_balancers[index].m_is_cut_from_peers = is_cut;
  m_balancers[index].m_disturbed_at = m_now;
}

base::Ipv4Address FleetSimulation::AddressOf(std::size_t index) {
  return base::Ipv4Address(kFirstAddress + static_cast<std::uint32_t>(index));
}

std::size_t FleetSimulation::IndexOf(base::Ipv4Address address) {
  return address.value() - kFirstAddress;
}

std::size_t FleetSimulation::DataCentreOf(std::size_t index) const {
  return index % m_options.m_data_centres;
}

bool FleetSimulation::CanRun(const Balancer& balancer) const {
  return balancer.m_is_up && !balancer.m_frozen_until;
}

StoreStatus FleetSimulation::StatusOf(const Balancer& balancer) const {
  StoreStatus status;
  const bool reads =
      !m_options.m_has_feed || balancer.m_member->ShouldReadStore(m_now);
  status.m_is_current = reads && balancer.m_watcher->IsCurrent(m_now);
  status.m_servers = balancer.m_view.m_revision;
  status.m_manifest = balancer.m_view.m_revision;
  if (const auto current_as_of = balancer.m_watcher->CurrentAsOf())
    status.m_view_age = m_now - *current_as_of;
  return status;
}

void FleetSimulation::Step() {
  m_now += kStep;
  if (m_now - m_burst_started_at >= kBurstWindow) {
    m_burst = 0;
    m_burst_started_at = m_now;
  }
  std::vector<Packet> due;
  for (Packet& packet : m_packets) {
    if (packet.m_at <= m_now)
      due.push_back(std::move(packet));
  }
  std::erase_if(m_packets,
                [this](const Packet& packet) { return packet.m_at <= m_now; });
  for (const Packet& packet : due) {
    Balancer& receiver = m_balancers[packet.m_to];
    if (CanRun(receiver) && !receiver.m_is_cut_from_peers &&
        !m_balancers[packet.m_from].m_is_cut_from_peers)
      packet.m_deliver(receiver);
  }
  for (std::size_t index = 0; index < m_balancers.size(); ++index)
    StepBalancer(index);
  RecordDelays();
  CheckClaims();
  RequestNeededViews();
}

void FleetSimulation::StepBalancer(std::size_t index) {
  Balancer& balancer = m_balancers[index];
  if (!balancer.m_is_up)
    return;
  if (balancer.m_frozen_until) {
    balancer.m_disturbed_at = m_now;
    if (*balancer.m_frozen_until > m_now)
      return;
    balancer.m_frozen_until.reset();
    balancer.m_member->OnPaused(m_now);
    if (balancer.m_call) {
      balancer.m_call.reset();
      balancer.m_watcher->HandleResult(catalog::CallFailure::kConnectionLost,
                                       m_now);
    }
    balancer.m_watcher->Expedite(m_now);
  }
  if (balancer.m_is_cut_from_store || balancer.m_is_store_silent ||
      balancer.m_is_cut_from_peers)
    balancer.m_disturbed_at = m_now;
  CallStore(balancer);
  for (const ReceivedRequest& request :
       balancer.m_waiting_requests.PopDue(StatusOf(balancer), m_now))
    Answer(index, request);
  if (m_options.m_has_feed)
    SendPolls(index);
}

void FleetSimulation::CallStore(Balancer& balancer) {
  if (balancer.m_call) {
    const auto result = ResultOf(balancer, *balancer.m_call);
    if (!result)
      return;
    const StoreCall call = *std::exchange(balancer.m_call, std::nullopt);
    const auto outcome = balancer.m_watcher->HandleResult(*result, m_now);
    if (outcome.m_update == catalog::CollectionUpdate::kChanged)
      ApplyEvents(balancer, std::get<catalog::WatchCall>(call.m_call).m_since);
    if (outcome.m_update == catalog::CollectionUpdate::kListComplete) {
      SetView(balancer, m_revision, m_history.back());
      balancer.m_view.m_listed = m_revision;
    }
  }
  const bool should_read =
      !m_options.m_has_feed || balancer.m_member->ShouldReadStore(m_now);
  if (!should_read)
    return;
  const bool is_fallback = m_options.m_has_feed &&
                           balancer.m_view.m_state != 0 &&
                           !balancer.m_member->IsReader();
  balancer.m_watcher->SetPolicy(is_fallback ? m_options.m_fallback_policy
                                            : m_options.m_reader_policy);
  if (const auto call = balancer.m_watcher->StartDueCall(m_now)) {
    balancer.m_call = StoreCall{*call, m_now};
    CountCall();
  }
}

// Nothing while the call is open.
std::optional<catalog::CallResult> FleetSimulation::ResultOf(
    const Balancer& balancer,
    const StoreCall& call) const {
  const base::Duration open = m_now - call.m_sent_at;
  const bool is_unreachable =
      m_store_fault == StoreFault::kUnreachable || balancer.m_is_cut_from_store;
  if (is_unreachable)
    return open < kUnreachableAfter ? std::nullopt
                                    : std::optional<catalog::CallResult>(
                                          catalog::CallFailure::kUnreachable);
  const auto* watch = std::get_if<catalog::WatchCall>(&call.m_call);
  if (m_store_fault == StoreFault::kRefusing && open >= kCallTime)
    return catalog::CallFailure::kUnavailable;
  if (m_store_fault == StoreFault::kSilent || balancer.m_is_store_silent) {
    const base::Duration wait =
        watch == nullptr ? base::Duration::zero() : watch->m_wait;
    return open < wait + kCallTimeout ? std::nullopt
                                      : std::optional<catalog::CallResult>(
                                            catalog::CallFailure::kTimedOut);
  }
  if (open < kCallTime)
    return std::nullopt;
  if (watch == nullptr)
    return catalog::PageResponse{m_revision};
  const std::uint64_t since = watch->m_since.number();
  if (since < m_history_from || since > m_revision.number())
    return catalog::CallFailure::kHistoryGone;
  if (since < m_revision.number() || open >= watch->m_wait)
    return catalog::ChangesResponse{m_revision};
  return std::nullopt;
}

void FleetSimulation::ApplyEvents(Balancer& balancer, catalog::Revision since) {
  const StateId known = balancer.m_view.m_state;
  const bool follows = IsFollowedBy(m_history.at(since.number()), known) &&
                       IsFollowedBy(known, m_history.back());
  if (!follows)
    ++m_gaps;
  SetView(balancer, m_revision, follows ? m_history.back() : known);
}

void FleetSimulation::ApplyChanges(Balancer& balancer,
                                   const View& reader,
                                   bool is_whole_view) {
  if (!balancer.m_watcher->AdoptRevision(reader.m_revision))
    return;
  const StateId known = balancer.m_view.m_state;
  const bool follows = is_whole_view || IsFollowedBy(known, reader.m_state);
  if (!follows)
    ++m_gaps;
  SetView(balancer, reader.m_revision, follows ? reader.m_state : known);
  if (is_whole_view)
    balancer.m_view.m_listed = reader.m_revision;
}

void FleetSimulation::SetView(Balancer& balancer,
                              catalog::Revision revision,
                              StateId state) {
  if (revision < balancer.m_view.m_revision)
    ++m_steps_back;
  balancer.m_view.m_revision = revision;
  balancer.m_view.m_state = state;
}

bool FleetSimulation::IsFollowedBy(StateId state, StateId later) const {
  // A state has a greater id than those that led to it.
  while (later > state)
    later = m_states[later].m_former;
  return later == state;
}

void FleetSimulation::SendPolls(std::size_t index) {
  Balancer& balancer = m_balancers[index];
  const StoreStatus status = StatusOf(balancer);
  if (m_now < balancer.m_member->NextAdvanceAt(status))
    return;
  for (const FeedPoll& poll : balancer.m_member->Advance(status, m_now)) {
    const std::size_t peer = IndexOf(poll.m_peer);
    Send(index, peer, [this, index, peer, poll](Balancer&) {
      HandleRequest(index, peer, poll.m_request);
    });
  }
}

void FleetSimulation::Send(std::size_t from,
                           std::size_t to,
                           std::function<void(Balancer& receiver)> deliver) {
  const bool is_cut =
      m_cut_data_centre && (DataCentreOf(from) == *m_cut_data_centre) !=
                               (DataCentreOf(to) == *m_cut_data_centre);
  if (is_cut || m_random.Unit() < m_options.m_loss)
    return;
  m_packets.push_back({m_now + kStep, from, to, std::move(deliver)});
}

void FleetSimulation::HandleRequest(std::size_t from,
                                    std::size_t to,
                                    const FeedRequest& request) {
  Balancer& balancer = m_balancers[to];
  const ReceivedRequest received{{AddressOf(from), 0}, request, m_now};
  if (!balancer.m_member->IsReader() ||
      !balancer.m_waiting_requests.ShouldWait(received, StatusOf(balancer),
                                              m_now)) {
    Answer(to, received);
    return;
  }
  balancer.m_waiting_requests.Add(received);
  RequestConfirmation(balancer, *balancer.m_waiting_requests.NeededAsOf());
}

void FleetSimulation::RequestConfirmation(Balancer& balancer,
                                          base::TimePoint needed_as_of) {
  if (!balancer.m_watcher->RequestConfirmation(needed_as_of, m_now))
    return;
  balancer.m_call.reset();
  balancer.m_watcher->HandleCancellation();
}

void FleetSimulation::Answer(std::size_t index,
                             const ReceivedRequest& received) {
  const std::size_t from = IndexOf(received.m_source.m_address);
  const std::size_t to = index;
  const FeedRequest& request = received.m_request;
  Balancer& balancer = m_balancers[to];
  const StoreStatus status = StatusOf(balancer);
  auto response =
      balancer.m_member->HandleRequest(AddressOf(from), request, status, m_now);
  if (!response)
    return;
  response->m_status.m_view_age =
      received.AgeAtReceipt(status.m_view_age, m_now);
  if (status.m_is_current && request.m_servers != catalog::Revision() &&
      request.m_servers < status.m_servers)
    response->m_delta = "changes";
  const bool is_whole_view = request.m_servers < balancer.m_view.m_listed;
  Send(to, from,
       [this, from, to, is_whole_view, response = *response,
        view = balancer.m_view](Balancer&) {
         HandleResponse(to, from, response, view, is_whole_view);
       });
}

void FleetSimulation::HandleResponse(std::size_t from,
                                     std::size_t to,
                                     const FeedResponse& response,
                                     const View& responder,
                                     bool is_whole_view) {
  Balancer& balancer = m_balancers[to];
  const ResponseVerdict verdict = balancer.m_member->HandleResponse(
      AddressOf(from), response, StatusOf(balancer), m_now);
  if (verdict == ResponseVerdict::kFetchChanges ||
      verdict == ResponseVerdict::kHasChanges) {
    ApplyChanges(balancer, responder, is_whole_view);
    balancer.m_member->OnChangesApplied(m_now);
  }
  const bool is_fed = verdict == ResponseVerdict::kNothingNew ||
                      verdict == ResponseVerdict::kFetchChanges ||
                      verdict == ResponseVerdict::kHasChanges;
  if (is_fed && response.m_status.m_view_age)
    balancer.m_fed_current_as_of =
        std::max(balancer.m_fed_current_as_of,
                 std::optional(balancer.m_member->LastAnsweredPollAt() -
                               *response.m_status.m_view_age));
}

void FleetSimulation::CheckClaims() {
  for (Balancer& balancer : m_balancers) {
    const auto current_as_of = CurrentAsOf(balancer);
    if (!CanRun(balancer) || !current_as_of)
      continue;
    const bool lacks_change =
        balancer.m_view.m_state != m_history.back() &&
        FirstUnknownChange(balancer.m_view) < *current_as_of;
    m_false_claims += lacks_change ? 1 : 0;
    if (balancer.m_needed_as_of && *balancer.m_needed_as_of <= *current_as_of) {
      m_longest_confirmation =
          std::max(m_longest_confirmation, m_now - *balancer.m_needed_as_of);
      balancer.m_needed_as_of.reset();
    }
  }
}

void FleetSimulation::RequestNeededViews() {
  for (Balancer& balancer : m_balancers) {
    if (!CanRun(balancer) || !balancer.m_needed_as_of)
      continue;
    if (balancer.m_member->IsReader())
      RequestConfirmation(balancer, *balancer.m_needed_as_of);
    balancer.m_member->RequestPoll(balancer.m_needed_as_of, m_now);
  }
}

// A change is overdue at every undisturbed balancer that does not know it. A
// disturbance before the change stretches its time.
void FleetSimulation::RecordDelays() {
  if (m_store_fault != StoreFault::kNone)
    m_store_disturbed_at = m_now;
  for (const Balancer& balancer : m_balancers) {
    if (!CanRun(balancer) || balancer.m_view.m_state == m_history.back() ||
        m_now - balancer.m_disturbed_at < m_options.m_settling_time ||
        m_now - m_store_disturbed_at < m_options.m_settling_time)
      continue;
    m_longest_delay =
        std::max(m_longest_delay, m_now - FirstUnknownChange(balancer.m_view));
  }
}

base::TimePoint FleetSimulation::FirstUnknownChange(const View& view) const {
  StateId unknown = m_history.back();
  while (!IsFollowedBy(m_states[unknown].m_former, view.m_state))
    unknown = m_states[unknown].m_former;
  return m_states[unknown].m_began_at;
}

void FleetSimulation::CountCall() {
  ++m_calls;
  ++m_burst;
  m_largest_burst = std::max(m_largest_burst, m_burst);
}

}  // namespace feed
