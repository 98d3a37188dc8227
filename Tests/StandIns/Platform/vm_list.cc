#include "StandIns/Platform/vm_list.h"

#include <utility>

#include "StandIns/Platform/object_store.h"

namespace stand_ins {

std::string VmList::Lines(std::string_view data_centre,
                          base::TimePoint time) const {
  auto entry = m_history.rbegin();
  while (entry != m_history.rend() && entry->m_time > time)
    ++entry;
  if (entry == m_history.rend())
    return {};
  std::string lines;
  for (const auto& [name, vm] : entry->m_vms) {
    if (!data_centre.empty() && vm.m_data_centre != data_centre)
      continue;
    lines += name + " " + vm.m_data_centre + " " + vm.m_state + " " +
             vm.m_traffic + " " + vm.m_peer + " " + vm.m_admin + "\n";
  }
  return lines;
}

void VmList::Set(const std::string& name, Vm vm, base::TimePoint now) {
  Vms vms = Latest();
  vms[name] = std::move(vm);
  Push(std::move(vms), now);
}

void VmList::Remove(const std::string& name, base::TimePoint now) {
  Vms vms = Latest();
  vms.erase(name);
  Push(std::move(vms), now);
}

VmList::Vms VmList::Latest() const {
  return m_history.empty() ? Vms{} : m_history.back().m_vms;
}

void VmList::Push(Vms vms, base::TimePoint now) {
  m_history.push_back({now, std::move(vms)});
  while (m_history.size() > 1 &&
         m_history[1].m_time <= now - ObjectStore::kHistory)
    m_history.pop_front();
}

}  // namespace stand_ins
