#include "StandIns/fault_plan.h"

#include <charconv>
#include <utility>

namespace stand_ins {

namespace {

constexpr double kLongestDelayMs = 600'000;

// Removes the first word and parses it as a number in [0, maximum]. Returns
// nullopt if there is no word or the number is invalid.
std::optional<double> PopNumber(LineCommands::Words* words, double maximum) {
  if (words->empty())
    return std::nullopt;
  const std::string word = words->front();
  words->erase(words->begin());
  double value = 0;
  const char* end = word.data() + word.size();
  const auto [rest, error] = std::from_chars(word.data(), end, value);
  const bool is_number = error == std::errc() && rest == end;
  if (!is_number || !(value >= 0 && value <= maximum))
    return std::nullopt;
  return value;
}

std::chrono::milliseconds Milliseconds(double count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

}  // namespace

std::vector<base::Duration> FaultPlan::DrawCopies(Direction direction) {
  const FaultRules& rules = RulesOf(direction);
  const bool lost = m_random.Unit() < rules.m_loss;
  const bool duplicated = m_random.Unit() < rules.m_duplication;
  std::vector<base::Duration> copies;
  if (rules.m_cut || lost)
    return copies;
  copies.push_back(DrawDelay(direction));
  if (m_random.Unit() < rules.m_reorder)
    copies.front() += kReorderDelay;
  if (duplicated)
    copies.push_back(DrawDelay(direction));
  return copies;
}

base::Duration FaultPlan::DrawDelay(Direction direction) {
  const FaultRules& rules = RulesOf(direction);
  const std::chrono::duration<double, std::milli> jitter =
      rules.m_jitter * m_random.Unit();
  return rules.m_delay + std::chrono::duration_cast<base::Duration>(jitter);
}

void FaultPlan::AddCommands(LineCommands* commands,
                            std::function<void()> on_change) {
  m_on_change = std::move(on_change);
  AddProbability(commands, "loss", &FaultRules::m_loss);
  AddProbability(commands, "duplicate", &FaultRules::m_duplication);
  AddProbability(commands, "reorder", &FaultRules::m_reorder);
  commands->Add("delay", [this](const Words& words) { return Delay(words); });
  commands->Add("cut", [this](const Words& words) { return Cut(words); });
  commands->Add("drop", [this](const Words& words) { return Drop(words); });
  AddChange(commands, "freeze",
            [](FaultRules* rules) { rules->m_frozen = true; });
  AddChange(commands, "thaw",
            [](FaultRules* rules) { rules->m_frozen = false; });
  AddChange(commands, "heal", [](FaultRules* rules) { *rules = FaultRules{}; });
}

void FaultPlan::AddProbability(LineCommands* commands,
                               const std::string& name,
                               double FaultRules::*member) {
  commands->Add(name, [this, member](Words words) -> CommandResult {
    if (m_protocol == ProxyProtocol::kTcp)
      return CommandFailed{"this fault exists only for UDP"};
    const auto probability = PopNumber(&words, 1);
    if (!probability)
      return CommandFailed{"expected a probability between 0 and 1"};
    return Apply(words,
                 [&](FaultRules* rules) { rules->*member = *probability; });
  });
}

void FaultPlan::AddChange(LineCommands* commands,
                          const std::string& name,
                          const Change& change) {
  commands->Add(name, [this, change](const Words& words) {
    return Apply(words, change);
  });
}

CommandResult FaultPlan::Delay(Words words) {
  const auto delay = PopNumber(&words, kLongestDelayMs);
  const auto jitter = PopNumber(&words, kLongestDelayMs);
  if (!delay || !jitter)
    return CommandFailed{"expected MS JITTER_MS"};
  return Apply(words, [&](FaultRules* rules) {
    rules->m_delay = Milliseconds(*delay);
    rules->m_jitter = Milliseconds(*jitter);
  });
}

CommandResult FaultPlan::Cut(Words words) {
  if (words.size() != 1)
    return CommandFailed{"expected forward, backward or both"};
  if (words[0] == "both")
    words.clear();
  return Apply(words, [](FaultRules* rules) { rules->m_cut = true; });
}

CommandResult FaultPlan::Drop(const Words& words) {
  if (m_protocol == ProxyProtocol::kUdp)
    return CommandFailed{"this fault exists only for TCP"};
  if (!words.empty())
    return CommandFailed{"too many words"};
  return Apply(words, [](FaultRules* rules) { rules->m_dropped = true; });
}

CommandResult FaultPlan::Apply(const Words& rest, const Change& change) {
  if (rest.size() > 1)
    return CommandFailed{"too many words"};
  std::optional<Direction> only;
  if (!rest.empty()) {
    only = base::ValueOf(kDirectionNames, rest[0]);
    if (!only)
      return CommandFailed{"expected forward or backward"};
  }
  for (const auto& entry : kDirectionNames) {
    if (!only || *only == entry.m_value)
      change(&m_rules.at(static_cast<std::size_t>(entry.m_value)));
  }
  m_on_change();
  return CommandDone{};
}

}  // namespace stand_ins
