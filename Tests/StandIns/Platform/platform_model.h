// What the platform stand-in answers to each call, apart from HTTP: objects,
// watches, rates, VM list and the faults that the tests inject.

#ifndef STANDINS_PLATFORM_MODEL_H_
#define STANDINS_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "StandIns/Platform/object_store.h"
#include "StandIns/Platform/rate_window.h"
#include "StandIns/Platform/vm_list.h"

namespace stand_ins {

enum class Outage { kOff, kRefuse, kSilent };

inline constexpr base::EnumTable<Outage, 3> kOutageNames{{
    {Outage::kOff, "off"},
    {Outage::kRefuse, "refuse"},
    {Outage::kSilent, "silent"},
}};

using Parameters = std::map<std::string, std::string>;

struct PlatformRequest {
  std::string m_method;
  std::string m_path;
  Parameters m_query;
  std::optional<std::uint64_t> m_if_version;
  std::string m_body;
};

// An answer with an HTTP status; the version goes into X-Version.
struct PlatformAnswer {
  std::uint16_t m_status = 0;
  std::optional<std::uint64_t> m_version;
  std::string m_body;
};

// The call waits for a version greater than m_version.
struct WaitingWatch {
  std::string m_key;
  std::uint64_t m_version = 0;
  base::TimePoint m_deadline;
};

// The call is held without an answer until the outage ends.
struct SilentCall {};

// The call took effect; the connection closes without an answer.
struct LostAnswer {};

using PlatformReaction =
    std::variant<PlatformAnswer, WaitingWatch, SilentCall, LostAnswer>;

struct PlatformRates {
  std::size_t m_writes_per_second = 400;
  std::size_t m_reads_per_second = 2000;
};

class PlatformModel {
 public:
  explicit PlatformModel(PlatformRates rates);

  // Queries.
  Outage outage() const { return m_outage; }
  base::Duration slowness() const { return m_slowness; }
  // The answer to a waiting watch if it is due.
  std::optional<PlatformAnswer> PollWatch(const WaitingWatch& watch,
                                          base::TimePoint now) const;
  // The counts of all calls so far as a JSON object.
  std::string Counts() const;

  // Commands.
  // Reacts to a call of the platform's API. `waiting` watches are open.
  PlatformReaction Handle(const PlatformRequest& request,
                          std::size_t waiting,
                          base::TimePoint now);
  // Carries out a command of the tests: outage, slow, lose-answers, lag, vm or
  // counts.
  PlatformAnswer Control(const std::string& command,
                         const Parameters& parameters,
                         base::TimePoint now);

 private:
  base::TimePoint VisibleTime(base::TimePoint now) const;
  PlatformReaction Read(const std::string& key,
                        const PlatformRequest& request,
                        base::TimePoint now);
  PlatformReaction Write(const std::string& key,
                         const PlatformRequest& request,
                         base::TimePoint now);
  PlatformAnswer List(const std::string& prefix, base::TimePoint now) const;
  PlatformAnswer ListVms(const std::string& data_centre,
                         base::TimePoint now) const;
  PlatformAnswer SetVm(const Parameters& parameters, base::TimePoint now);

  ObjectStore m_objects;
  VmList m_vms;
  RateWindow m_writes;
  RateWindow m_reads;
  Outage m_outage = Outage::kOff;
  base::Duration m_slowness{};
  base::Duration m_lag{};
  std::uint64_t m_answers_to_lose = 0;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace stand_ins

#endif  // STANDINS_PLATFORM_MODEL_H_
