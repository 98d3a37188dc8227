// Simulates flows that pass several detectors of silent flows: each packet
// passes a random balancer, as behind a fabric that sprays packets.

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

// The conditions on the network path of one flow. The sender is the server,
// which repeats its payload as TCP does until the caller acknowledges the
// payload.
struct PathConditions {
  // Share of packets lost in each direction of the path, half before and half
  // after the balancer.
  double m_loss = 0;
  bool m_is_silent = false;
  // Acknowledgements announce that the receiver accepts no more data.
  bool m_is_window_closed = false;
  // The sender doubles its timeout up to this limit.
  base::Duration m_greatest_timeout = std::chrono::milliseconds(1600);
};

class SilenceSimulation {
 public:
  SilenceSimulation(std::size_t balancers,
                    std::uint64_t seed,
                    const flow::SilenceSettings& settings = {});

  // Queries.
  base::TimePoint now() const { return m_now; }
  // How often each flow was reported silent, by its number.
  const std::map<std::uint32_t, int>& silent() const { return m_silent; }
  // When the last flow was reported silent.
  base::TimePoint last_silent() const { return m_last_silent; }
  // The largest number of bytes that one balancer has sent.
  double MaximumBytesSent() const;

  // Commands.
  void AddFlow(std::uint32_t number, const PathConditions& path);
  // A paused balancer neither advances nor gets messages or packets.
  void SetPaused(std::size_t balancer, bool is_paused);
  // Sets the share of messages between balancers that are lost.
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
  // Returns the detector of a random balancer, or null if the packet is lost on
  // the way or the balancer is paused.
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
