// Two machines lose their path to the store. A third one, which the two feed,
// resets flows on a route that is back, although the flows' server lives.
// Usage: case-11 PROGRAM FOLDER RECORD TROUBLE

#include <cstdio>
#include <cstdlib>

#include "../world-3/world.h"

namespace {

using namespace world;

constexpr Address kLive{(198U << 24) | (18U << 16) | 1, 443};
constexpr Address kToggled{(198U << 24) | (18U << 16) | 1, 8443};

// Longer than the 200 ms after which a caller repeats a request.
constexpr Millis kWork{250};

std::string Route(const std::string& name, Address address) {
  return R"({"name":")" + name + R"(","host":")" + IpText(address.m_ip) +
         R"(","prefix":"/)" + std::to_string(address.m_port) +
         R"(/","backend":"portal","route_type":"non_idempotent",)" +
         R"("timeout_ms":2000,"target_latency_ms":300,"attempts":1,)" +
         R"("priority":1})";
}

std::string Manifest(int version, bool has_toggled) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         Route("live", kLive) +
         (has_toggled ? "," + Route("report", kToggled) : "") +
         R"(],"services":[{"name":"portal","health_path":"/health",)" +
         R"("idempotent":false,"max_conns":2000}],)" +
         R"("limits":{"idle_timeout_ms":12000}})";
}

void Sleep(int ms) {
  std::this_thread::sleep_for(Millis(ms));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5)
    return 2;
  const std::string program = argv[1];
  const std::string folder = argv[2];
  const bool has_trouble = std::string(argv[4]) != "0";
  const std::uint8_t octet = FreeOctet();
  if (octet == 0)
    return 2;
  Record record(argv[3]);
  record.Write(has_trouble ? "with the disruption" : "without the disruption");
  Store store(record);
  Fleet fleet(record, store, program, folder, octet, {});
  fleet.SetZones({"hall-1", "hall-2", "hall-3"});
  // Six machines in one zone and two in each of the others. Another one is
  // added later.
  for (const std::uint8_t last : {11, 12, 13, 14, 16, 17})
    fleet.Add("hall-1", Ip(octet, 1, last));
  for (const std::uint8_t last : {11, 12})
    fleet.Add("hall-2", Ip(octet, 2, last));
  for (const std::uint8_t last : {11, 12})
    fleet.Add("hall-3", Ip(octet, 3, last));
  const std::size_t added = fleet.Add("hall-1", Ip(octet, 1, 15));
  fleet.SetSeeds({0, 1, 6});

  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 6; ++i) {
    char id[20];
    std::snprintf(id, sizeof id, "5f3a%08x", 0x1000 + i * 77);
    servers.push_back(std::make_unique<Server>(
        record, id, "portal", "hall-" + std::to_string(i % 3 + 1),
        Address{Ip(octet, 100, static_cast<std::uint8_t>(i + 1)), 8367},
        kWork));
    store.Put("servers", id, servers.back()->Spec("ready"));
  }
  store.Put("config", "main", Manifest(3, true));
  for (std::size_t i = 0; i < added; ++i)
    fleet.Start(i);
  const auto router_start = Clock::now() + Millis(300);
  fleet.StartRouter(router_start);
  Callers callers(record, fleet, "hall-1", {Ip(octet, 200, 1), 8172});

  // The readers settle; then a version drops the route.
  Sleep(6000);
  if (!fleet.AllReady())
    return 2;
  store.Put("config", "main", Manifest(7, false));
  Sleep(5000);
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < added; ++i)
    if (fleet.Status(i).find(R"("reader":true)") != std::string::npos) {
      readers.push_back(i);
      record.Write("reads the store: " + fleet.node(i).m_name);
    }
  // The machines that are cut: the reader of hall-1 and one other.
  std::vector<std::size_t> cut;
  for (const std::size_t reader : readers)
    if (cut.size() < 2)
      cut.push_back(reader);
  if (cut.size() < 2 || fleet.node(cut[0]).m_zone != "hall-1")
    return 2;

  // The router's polls have a fixed phase; the machine that is added joins the
  // rotation 700 ms after the cut.
  const auto poll =
      router_start +
      Millis(500) * ((Clock::now() - router_start) / Millis(500)) +
      Millis(2000);
  const auto cut_at = poll - Millis(700);
  // A server is added and a version changes a time-out.
  std::this_thread::sleep_until(cut_at - Millis(60));
  servers.push_back(
      std::make_unique<Server>(record, "5f3a0000beef", "portal", "hall-2",
                               Address{Ip(octet, 100, 50), 8367}, kWork));
  store.Put("servers", servers.back()->id(), servers.back()->Spec("ready"));
  store.Put("config", "main", Manifest(9, false));
  std::this_thread::sleep_until(cut_at);
  if (has_trouble)
    for (const std::size_t node : cut) {
      record.Write("cuts " + fleet.node(node).m_name + " from the store");
      store.SetCut(node, true);
    }
  store.Put("config", "main", Manifest(11, true));
  std::this_thread::sleep_until(cut_at + Millis(150));
  // Callers use the route that is back.
  for (int i = 0; i < 130; ++i) {
    if (i == 30)
      fleet.Start(added);
    callers.Open({kToggled, 12, Millis(120), Millis(2000)});
    Sleep(4);
  }
  std::this_thread::sleep_until(cut_at + Millis(5500));
  for (const std::size_t node : cut)
    store.SetCut(node, false);
  Sleep(500);

  std::set<std::uint32_t> cut_ips;
  for (const std::size_t node : cut)
    cut_ips.insert(fleet.node(node).m_ip);
  int open = 0;
  int broken = 0;
  int lost = 0;
  for (const auto& [port, result] : callers.Results()) {
    open += result.m_is_open ? 1 : 0;
    if (!result.m_reset_by)
      continue;
    // Machines that were cut, and the one that was just started, are not in
    // touch.
    const bool is_in_touch = !cut_ips.contains(*result.m_reset_by) &&
                             *result.m_reset_by != fleet.node(added).m_ip;
    record.Write("port " + std::to_string(port) + ": reset by " +
                 IpText(*result.m_reset_by) +
                 (is_in_touch ? ", which is in touch" : ", not in touch") +
                 "; answers before: " + std::to_string(result.m_answers) +
                 (result.m_unanswered_request.empty()
                      ? ""
                      : "; never answered: " + result.m_unanswered_request));
    broken += is_in_touch ? 1 : 0;
    const std::string& request = result.m_unanswered_request;
    bool has_run = false;
    for (const auto& server : servers)
      has_run = has_run || server->HasRun(request);
    lost += is_in_touch && has_run ? 1 : 0;
  }
  record.Write("flows opened: " + std::to_string(open) +
               ", reset by a machine in touch: " + std::to_string(broken) +
               ", of these with a request that ran and is never answered: " +
               std::to_string(lost));
  std::printf(
      "flows opened: %d, reset by a machine in touch: %d, of these with a "
      "request that ran and is never answered: %d\n",
      open, broken, lost);
  fleet.StopAll();
  if (open == 0)
    return 2;
  return broken > 0 ? 1 : 0;
}
