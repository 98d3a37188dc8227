// DRAIN: servers are replaced one after the other, while another writer writes
// an entry, among those of the servers, whose bytes cannot be read.
#include <stdlib.h>
#include <string.h>

#include "world.h"

using namespace world;

int main(int argc, char** argv) {
  if (argc < 4)
    return 2;
  Settings settings{
      argv[1], argv[2],
      !(getenv("TROUBLE") && strcmp(getenv("TROUBLE"), "0") == 0)};
  OpenRecord(argv[3]);
  World world(settings);
  for (const char* zone : {"hall-1", "hall-2", "hall-3"})
    world.zones[zone] = "sverige-mitt";
  for (const char* zone :
       {"hall-1", "hall-1", "hall-1", "hall-2", "hall-2", "hall-3"})
    world.AddBalancer(zone);
  for (int i = 0; i < 19; ++i)
    world.AddServer("medlemsportal", i % 3 == 0   ? "hall-1"
                                     : i % 3 == 1 ? "hall-2"
                                                  : "hall-3");
  const Address route = world.AddRoute("medlemsportal", "idempotent");
  world.AddRoute("medlemsportal", "non_idempotent");
  for (int i = 0; i < 14; ++i)
    world.servers[static_cast<std::size_t>(i)]->Start(world.NewId());
  world.WriteManifest();
  world.StartBalancers();
  world.RunUntil(8000);
  if (!world.AreAllInRotation())
    return 2;
  const Ms end = 45000;
  int late = 0;
  world.on_flow_opened = [&](const FlowKey& key, Server& server) {
    const auto opening = world.openings.find(key);
    if (server.DrainedAt() < 0 || opening == world.openings.end() ||
        opening->second.sent_at < server.DrainedAt() + 3000 + 100)
      return;
    ++late;
    world.Broken(
        "DRAIN: server %s took an opening that %s sent %lld ms after the "
        "acknowledgement that the server drains; "
        "%s passed it on",
        server.id().c_str(), Text(key.caller).c_str(),
        (long long)(opening->second.sent_at - server.DrainedAt()),
        opening->second.balancer.c_str());
  };
  for (const char* zone : {"hall-1", "hall-2", "hall-3"})
    world.KeepFlows(20, {route, zone, 6, 100, 1500}, end);
  // Five steps: a new server starts, the old one of two steps before leaves,
  // the next old one drains. An old server stays for almost two steps.
  constexpr Ms kStep = 5000;
  for (std::size_t step = 0; step < 5; ++step) {
    const Ms at = 10000 + kStep * static_cast<Ms>(step);
    world.loop.At(
        at, [&world, step] { world.servers[14 + step]->Start(world.NewId()); });
    if (settings.has_trouble)
      world.loop.At(at + 120, [&world, step] {
        const std::string bytes = UnreadableBytes(static_cast<int>(step));
        Record(
            "another writer writes the entry agent, %zu bytes that cannot be "
            "read",
            bytes.size());
        world.store->Put("servers", "agent", bytes);
      });
    world.loop.At(at + 180, [&world, step] {
      world.servers[step]->Drain(2 * kStep - 120, [] {});
    });
  }
  world.RunUntil(end);
  Record(
      "%llu requests answered, %llu failed, %llu flows opened, %llu refused, "
      "%d openings taken too late; "
      "%d processes ended by themselves",
      (unsigned long long)world.answered, (unsigned long long)world.failed,
      (unsigned long long)world.opened, (unsigned long long)world.refused, late,
      world.unexpected_ends);
  world.Stop();
  if (world.answered < 1000)
    return 2;
  return world.broken > 0 ? 1 : 0;
}
