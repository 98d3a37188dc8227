// RECOVER: all processes are killed while the store has an entry of another
// writer, among those of the servers, whose bytes cannot be read.
#include <signal.h>
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
  for (int i = 0; i < 14; ++i)
    world.AddServer("medlemsportal", i < 5    ? "hall-1"
                                     : i < 10 ? "hall-2"
                                              : "hall-3");
  const Address route = world.AddRoute("medlemsportal", "idempotent");
  world.AddRoute("medlemsportal", "non_idempotent");
  for (auto& server : world.servers)
    server->Start(world.NewId());
  world.WriteManifest();
  world.StartBalancers();
  world.RunUntil(6000);
  if (!world.AreAllInRotation())
    return 2;
  const Ms entry_at = 8000, fault_at = 16000, down_ms = 900,
           back_at = fault_at + down_ms, end = back_at + 24000;
  for (const char* zone : {"hall-1", "hall-2", "hall-3"})
    world.KeepFlows(20, {route, zone, 6, 100, 1500}, end);
  if (settings.has_trouble)
    world.loop.At(entry_at, [&] {
      const std::string bytes = UnreadableBytes(1);
      Record(
          "another writer writes the entry agent, %zu bytes that cannot be "
          "read",
          bytes.size());
      world.store->Put("servers", "agent", bytes);
    });
  world.loop.At(fault_at, [&] {
    world.WriteManifest();
    if (!settings.has_trouble)
      return;
    for (auto& balancer : world.balancers)
      balancer->Kill();
  });
  for (auto& balancer : world.balancers)
    balancer->SetRestartPause(down_ms);
  world.RunUntil(end + 2000);
  const auto before = world.ServedBetween(entry_at, fault_at - 1500);
  const auto after = world.ServedBetween(back_at + 12000, end);
  Record(
      "before the final fault %d of %d requests served; sent later than 12 s "
      "after the machines were back, %d of %d",
      before.first, before.second, after.first, after.second);
  if (before.first * 4 < before.second || after.second == 0) {
    world.Stop();
    return 2;
  }
  if (after.first * 4 < after.second)
    world.Broken("RECOVER: less than a quarter is served");
  for (auto& balancer : world.balancers)
    Record("%s: %s", balancer->name().c_str(), balancer->Status().c_str());
  world.Stop();
  return world.broken > 0 ? 1 : 0;
}
