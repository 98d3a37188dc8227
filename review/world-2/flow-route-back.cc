// FLOW: a manifest drops a route by mistake and the next one, a third of a
// second later, has it again, while balancers are stopped and started in turn.
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
  world.AddRoute("medlemsportal", "idempotent");
  const Address route = world.AddRoute("medlemsportal", "non_idempotent");
  for (auto& server : world.servers)
    server->Start(world.NewId());
  world.WriteManifest();
  world.StartBalancers();
  world.RunUntil(6000);
  if (!world.AreAllInRotation())
    return 2;
  constexpr Ms kEnd = 100000;
  Ms dropped_at = -1, added_at = 0;
  world.on_reset_of_open_flow = [&](const CallerFlow& flow, const Packet&,
                                    Server* owner) {
    // Only flows that opened after the route was there again, with no later
    // drop.
    if (owner != nullptr && flow.m_opened_at >= added_at &&
        added_at > dropped_at)
      world.Broken(
          "FLOW: %s to %s is open at %s, opened %lld ms after the "
          "acknowledgement of the manifest with the "
          "route, and the system reset it",
          Text(flow.key().caller).c_str(), Text(flow.key().route).c_str(),
          owner->id().c_str(), (long long)(flow.m_opened_at - added_at));
  };
  world.KeepFlows(120, {route, "hall-1", 4, 100, 1500}, kEnd);
  if (settings.has_trouble) {
    auto change = std::make_shared<std::function<void()>>();
    *change = [&, change] {
      if (Now() > kEnd - 6000)
        return;
      world.DropRoute(route);
      dropped_at = Now();
      world.loop.After(330, [&] {
        world.PutRoute(route, "medlemsportal", "non_idempotent");
        added_at = Now();
      });
      world.loop.After(1300, *change);
    };
    world.loop.After(2000, *change);
    auto turn = std::make_shared<std::size_t>(0);
    auto roll = std::make_shared<std::function<void()>>();
    *roll = [&world, turn, roll] {
      if (Now() > kEnd - 6000)
        return;
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
