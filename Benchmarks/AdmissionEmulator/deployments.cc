#include "AdmissionEmulator/deployment.h"

namespace admission_emulator {

double Deployment::UsedSlots() const {
  double used = 0;
  for (const RequestClass& kind : m_classes)
    used +=
        kind.m_rate_per_second * kind.m_work_seconds * (1 + 6 * m_slow_share);
  return used;
}

Deployment DeploymentA() {
  Deployment deployment;
  deployment.m_classes = {
      {"non_idempotent", 1, 2, 325, 0.020, 0.4, 2.5},
      {"idempotent", 2, 1, 1138, 0.015, 0.4, 2.5},
  };
  deployment.m_data_centres = 3;
  deployment.m_balancers = 67;
  deployment.m_servers = 120;
  deployment.m_remote_latency_seconds = 0.003;
  return deployment;
}

Deployment DeploymentB() {
  Deployment deployment;
  deployment.m_classes = {
      {"non_idempotent", 1, 2, 330, 0.033, 0.5, 3.0},
      {"idempotent", 2, 1, 1156, 0.026, 0.4, 2.5},
  };
  deployment.m_data_centres = 4;
  deployment.m_balancers = 95;
  deployment.m_servers = 120;
  deployment.m_slow_share = 0.03;
  deployment.m_remote_latency_seconds = 0.0009;
  deployment.m_requests_per_flow = 10;
  return deployment;
}

}  // namespace admission_emulator
