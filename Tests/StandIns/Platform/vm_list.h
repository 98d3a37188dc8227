// The list of VMs that the platform stand-in gives, as of an earlier time.

#ifndef STANDINS_VM_LIST_H_
#define STANDINS_VM_LIST_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace stand_ins {

struct Vm {
  std::string m_data_centre;
  // "live" or "leaving".
  std::string m_state;
  // Endpoints as "IP:PORT".
  std::string m_traffic;
  std::string m_peer;
  std::string m_admin;
};

class VmList {
 public:
  // Queries.
  // Lines "NAME DATA_CENTRE STATE TRAFFIC PEER ADMIN" of one data centre, or
  // of all if `data_centre` is empty, as they were at `time`.
  std::string Lines(std::string_view data_centre, base::TimePoint time) const;

  // Commands.
  void Set(const std::string& name, Vm vm, base::TimePoint now);
  void Remove(const std::string& name, base::TimePoint now);

 private:
  using Vms = std::map<std::string, Vm>;
  struct Entry {
    base::TimePoint m_time;
    Vms m_vms;
  };

  Vms Latest() const;
  void Push(Vms vms, base::TimePoint now);

  std::deque<Entry> m_history;
};

}  // namespace stand_ins

#endif  // STANDINS_VM_LIST_H_
