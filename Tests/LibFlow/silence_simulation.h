// Several detectors of silent flows and the flows that pass them: each packet
// goes by a random balancer, as behind a fabric that sprays.

#ifndef TESTS_LIBFLOW_SILENCE_SIMULATION_H_
#define TESTS_LIBFLOW_SILENCE_SIMULATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/random.h"
#include "LibFlow/silence_detector.h"

namespace testing {

// What the network does to the packets of one flow. The sender is the server,
// which repeats its payload as TCP does until it is acknowledged.
struct PathConditions {
  // Of each direction of the path, half before and half after the balancer.
  double m_loss = 0;
  bool m_is_silent = false;
  // Acknowledgements say that the receiver takes nothing more.
  bool m_is_window_closed = false;
  // The sender doubles its timeout up to here.
  base::Duration m_greatest_timeout = std::chrono::milliseconds(1600);
};

class SilenceSimulation {
 public:
  SilenceSimulation(std::size_t balancers,
                    std::uint64_t seed,
                    const flow::SilenceSettings& settings = {});

  // Queries.
  base::TimePoint now() const { return m_now; }
  // How often each flow was judged silent, by its number.
  const std::map<std::uint32_t, int>& silent() const { return m_silent; }
  // When the last one was.
  base::TimePoint last_silent() const { return m_last_silent; }
  // The most bytes that one balancer has sent.
  double MaximumBytesSent() const;

  // Commands.
  void AddFlow(std::uint32_t number, const PathConditions& path);
  // A balancer neither advances nor gets messages or packets.
  void SetPaused(std::size_t balancer, bool is_paused);
  // The share of messages between balancers that are lost.
  void SetMessageLoss(double share) { m_message_loss = share; }
  void Run(base::Duration duration);

 private:
  struct Flow {
    std::uint32_t m_number = 0;
    PathConditions m_path;
    std::uint32_t m_position = 1000;
    base::TimePoint m_next_send;
    base::Duration m_timeout{};
  };

  void Step();
  void Send(Flow& flow);
  void Acknowledge(Flow& flow);
  // A balancer that the packet reaches, if it is not lost on the way.
  flow::SilenceDetector* SendThroughFabric(const PathConditions& path);
  flow::StreamPacket MakePacket(const Flow& flow, flow::StreamEnd sender) const;
  void Advance(std::size_t balancer);
  void Deliver(std::size_t from, const flow::SilenceActions& actions);
  bool IsLost(double share) { return m_random.Unit() < share; }

  base::Random m_random;
  base::TimePoint m_now;
  std::vector<flow::SilenceDetector> m_detectors;
  std::vector<bool> m_paused;
  std::vector<double> m_bytes;
  std::vector<Flow> m_flows;
  std::map<std::uint32_t, int> m_silent;
  base::TimePoint m_last_silent;
  double m_message_loss = 0;
};

}  // namespace testing

#endif  // TESTS_LIBFLOW_SILENCE_SIMULATION_H_
