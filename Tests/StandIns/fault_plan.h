// The faults that a proxy currently injects, and their random draws.

#ifndef STANDINS_FAULT_PLAN_H_
#define STANDINS_FAULT_PLAN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "StandIns/line_commands.h"

namespace stand_ins {

enum class Direction {
  kForward,   // towards the target
  kBackward,  // towards the source
};

inline constexpr base::EnumTable<Direction, 2> kDirectionNames{{
    {Direction::kForward, "forward"},
    {Direction::kBackward, "backward"},
}};

enum class ProxyProtocol { kUdp, kTcp };

inline constexpr base::EnumTable<ProxyProtocol, 2> kProxyProtocolNames{{
    {ProxyProtocol::kUdp, "udp"},
    {ProxyProtocol::kTcp, "tcp"},
}};

struct FaultRules {
  double m_loss = 0;         // probability
  double m_duplication = 0;  // probability
  double m_reorder = 0;      // probability of an extra kReorderDelay
  std::chrono::milliseconds m_delay{};
  std::chrono::milliseconds m_jitter{};  // uniform, added to the delay
  bool m_cut = false;      // UDP: drops every datagram; TCP: stops all bytes
  bool m_frozen = false;   // all datagrams and bytes wait
  bool m_dropped = false;  // TCP: resets open and new connections
};

class FaultPlan {
 public:
  // Long enough that later datagrams arrive first.
  static constexpr auto kReorderDelay = std::chrono::milliseconds(20);

  FaultPlan(ProxyProtocol protocol, std::uint64_t seed)
      : m_protocol(protocol), m_random(seed) {}

  // Queries.
  const FaultRules& RulesOf(Direction direction) const {
    return m_rules.at(static_cast<std::size_t>(direction));
  }

  // Whether connections are reset. A reset applies to both directions.
  bool DropsConnections() const {
    return RulesOf(Direction::kForward).m_dropped ||
           RulesOf(Direction::kBackward).m_dropped;
  }

  // Commands.
  // Draws how many copies of a datagram are delivered (0, 1 or 2) and returns
  // the delay of each.
  std::vector<base::Duration> DrawCopies(Direction direction);
  // Draws the delay of a chunk of a byte stream.
  base::Duration DrawDelay(Direction direction);
  // Adds the commands that change the rules; `on_change` runs after each
  // change.
  void AddCommands(LineCommands* commands, std::function<void()> on_change);

 private:
  using Words = LineCommands::Words;
  using Change = std::function<void(FaultRules* rules)>;

  void AddProbability(LineCommands* commands,
                      const std::string& name,
                      double FaultRules::*member);
  void AddChange(LineCommands* commands,
                 const std::string& name,
                 const Change& change);
  CommandResult Cut(Words words);
  CommandResult Drop(const Words& words);
  CommandResult Delay(Words words);
  CommandResult Apply(const Words& rest, const Change& change);

  ProxyProtocol m_protocol;
  base::Random m_random;
  std::array<FaultRules, kDirectionNames.size()> m_rules;
  std::function<void()> m_on_change;
};

}  // namespace stand_ins

#endif  // STANDINS_FAULT_PLAN_H_
