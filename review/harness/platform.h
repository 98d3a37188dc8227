// The platform around the balancers: their settings and processes, the
// readiness checks and the routers.

#ifndef REVIEW_HARNESS_PLATFORM_H_
#define REVIEW_HARNESS_PLATFORM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../../Libraries/LibFlow/flow_key.h"
#include "../../Tests/Soak/edge_child_process.h"
#include "loop.h"
#include "network.h"
#include "record.h"

namespace review {

class Platform {
 public:
  // One machine for each entry of `zones`. The first three machines are the
  // seeds. `program` is the balancer's program and `folder` takes its settings
  // and logs.
  Platform(Loop& loop,
           Record& record,
           const Network& network,
           std::vector<std::string> zones,
           std::string program,
           std::string folder);

  // Queries.
  const std::string& ZoneOf(std::uint32_t machine) const {
    return m_machines[machine].m_zone;
  }
  bool AreAllReady() const;
  // The router's choice for a requester in `zone`: a hash over the machines in
  // rotation.
  std::optional<base::Endpoint> Route(const flow::FlowKey& flow,
                                      const std::string& zone) const;
  // How often the machine's process ended by itself.
  int OwnEnds(std::uint32_t machine) const {
    return m_machines[machine].m_own_ends;
  }

  // Commands.
  // Stops a machine with SIGTERM, with SIGKILL after the grace, and starts it
  // again.
  void Restart(std::uint32_t machine);

 private:
  struct Machine {
    std::string m_zone;
    std::unique_ptr<soak::EdgeChildProcess> m_process;
    bool m_is_end_expected = false;
    // When the process starts again; nothing while it runs.
    std::optional<std::int64_t> m_start_at;
    int m_missed = 2;
    int m_own_ends = 0;
  };

  bool IsInRotation(const Machine& machine) const;
  std::string SettingsPath(std::uint32_t machine) const;
  void WriteSettings(std::uint32_t machine, bool is_first_start) const;
  void Start(std::uint32_t machine);
  void CheckProcesses();
  void CheckReadiness(std::uint32_t machine);

  Loop& m_loop;
  Record& m_record;
  Network m_network;
  std::string m_program;
  std::string m_folder;
  std::vector<Machine> m_machines;
};

}  // namespace review

#endif  // REVIEW_HARNESS_PLATFORM_H_
