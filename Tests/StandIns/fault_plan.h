// Which faults a proxy injects at the moment, and the draw of them.

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
  double m_reorder = 0;      // probability of kReorderDelay on top
  std::chrono::milliseconds m_delay{};
  std::chrono::milliseconds m_jitter{};  // uniform, added to the delay
  bool m_cut = false;      // UDP: everything is lost; TCP: nothing moves
  bool m_frozen = false;   // everything waits
  bool m_dropped = false;  // TCP: connections are reset, also new ones
};

class FaultPlan {
 public:
  // A delay that lets the following datagrams overtake.
  static constexpr auto kReorderDelay = std::chrono::milliseconds(20);

  FaultPlan(ProxyProtocol protocol, std::uint64_t seed)
      : m_protocol(protocol), m_random(seed) {}

  // Queries.
  const FaultRules& RulesOf(Direction direction) const {
    return m_rules.at(static_cast<std::size_t>(direction));
  }

  // Whether connections are reset; they have no direction.
  bool DropsConnections() const {
    return RulesOf(Direction::kForward).m_dropped ||
           RulesOf(Direction::kBackward).m_dropped;
  }

  // Commands.
  // The delays of the copies of a datagram that are to be delivered: none, one
  // or two.
  std::vector<base::Duration> DrawCopies(Direction direction);
  // The delay of a piece of a byte stream.
  base::Duration DrawDelay(Direction direction);
  // Adds the commands that change the rules; `on_change` runs after each.
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
