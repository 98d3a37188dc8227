// What the deployment of one user consists of, data centre by data centre.

#ifndef UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_
#define UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace local_deployment {

struct UserProfile {
  std::string m_name;
  std::vector<std::string> m_data_centres;
  // Number of the first data centre in the loopback addresses.
  int m_first_number = 1;
  // The service of short requests and feeds, and the one of large answers.
  std::string m_portal;
  std::string m_archive;
  int m_balancers = 3;
  int m_portal_servers = 4;
  int m_archive_servers = 2;
  int m_slots = 3;
  std::uint64_t m_seed = 1;
};

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_
