// The deployment of one user: its services and, for each data centre, its
// balancers and servers.

#ifndef UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_
#define UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace local_deployment {

struct UserProfile {
  std::string m_name;
  std::vector<std::string> m_data_centres;
  // The number of the first data centre. The loopback addresses contain it.
  int m_first_number = 1;
  // The service of short requests, declarations and feeds.
  std::string m_portal;
  // The service of large answers.
  std::string m_archive;
  // Numbers for each data centre.
  int m_balancers = 3;
  int m_portal_servers = 4;
  int m_archive_servers = 2;
  // The slots of each server: the requests that the server runs at once.
  int m_slots = 3;
  std::uint64_t m_seed = 1;
};

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_USER_PROFILE_H_
