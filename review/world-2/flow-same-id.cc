// FLOW: servers are replaced one after the other and start again under their
// ids, while balancers are stopped and started in turn.
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
  const Address route = world.AddRoute("medlemsportal", "non_idempotent");
  for (const char* zone : {"hall-1", "hall-1", "hall-2", "hall-3"})
    world.AddServer("aktarkiv", zone);
  const Address other = world.AddRoute("aktarkiv", "non_idempotent");
  for (auto& server : world.servers)
    server->Start(world.NewId());
  world.WriteManifest();
  world.StartBalancers();
  world.RunUntil(6000);
  if (!world.AreAllInRotation())
    return 2;
  constexpr Ms kEnd = 100000;
  world.on_reset_of_open_flow = [&](const CallerFlow& flow, const Packet&,
                                    Server* owner) {
    if (owner != nullptr)
      world.Broken(
          "FLOW: %s to %s is open at %s, which is up, and the system reset it",
          Text(flow.key().caller).c_str(), Text(flow.key().route).c_str(),
          owner->id().c_str());
  };
  world.KeepFlows(100, {route, "hall-1", 4, 100, 1500}, kEnd);
  world.KeepFlows(40, {other, "hall-1", 4, 100, 1500}, kEnd);
  if (settings.has_trouble) {
    // One after the other, all servers of each service.
    const auto replace_all = [&world](std::size_t first, std::size_t count,
                                      Ms gap) {
      auto next = std::make_shared<std::size_t>(0);
      auto replace = std::make_shared<std::function<void()>>();
      *replace = [&world, next, replace, first, count, gap] {
        if (Now() > kEnd - 6000)
          return;
        Server* server = world.servers[first + (*next)++ % count].get();
        if (server->IsUp() && server->DrainedAt() < 0) {
          const std::string id = server->id();
          server->Drain(3300, [&world, server, id] {
            world.loop.After(400, [server, id] { server->Start(id); });
          });
        }
        world.loop.After(gap, *replace);
      };
      world.loop.After(2000, *replace);
    };
    replace_all(0, 14, 830);
    replace_all(14, 4, 1400);
    auto turn = std::make_shared<std::size_t>(0);
    auto roll = std::make_shared<std::function<void()>>();
    *roll = [&world, turn, roll] {
      if (Now() > kEnd - 6000)
        return;
      // One at a time: the next when all are back in the rotation.
      if (world.AreAllInRotation())
        world.balancers[(*turn)++ % 3]->Roll(300);
      world.loop.After(500, *roll);
    };
    world.loop.After(4000, *roll);
  }
  world.RunUntil(kEnd + 2000);
  Record(
      "%llu requests answered, %llu failed, %llu flows opened, %llu refused; "
      "%d processes ended by themselves",
      (unsigned long long)world.answered, (unsigned long long)world.failed,
      (unsigned long long)world.opened, (unsigned long long)world.refused,
      world.unexpected_ends);
  world.Stop();
  if (world.answered < 1000)
    return 2;
  return world.broken > 0 ? 1 : 0;
}
