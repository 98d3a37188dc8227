// CONFIG: while the store is down, the machines that read it for the others and
// the seeds are lost. The machines that are left learn of nothing for seconds
// after the store is back.
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
  const Address kept = world.AddRoute("medlemsportal", "idempotent");
  const Address dropped = world.AddRoute("medlemsportal", "idempotent");
  for (auto& server : world.servers)
    server->Start(world.NewId());
  world.WriteManifest();
  world.StartBalancers();
  world.RunUntil(10000);
  if (!world.AreAllInRotation())
    return 2;
  const Ms down_at = 14000, back_at = down_at + 4500,
           changed_at = back_at + 500, in_touch_at = back_at + 4000;
  const Ms late_from = std::max(in_touch_at, changed_at + 3000) + 50;
  const Ms end = back_at + 16000;
  Ms last_late = 0;
  world.on_flow_opened = [&](const FlowKey& key, Server& server) {
    const auto opening = world.openings.find(key);
    if (key.route != dropped || opening == world.openings.end() ||
        opening->second.sent_at < late_from || Now() < late_from)
      return;
    last_late = Now();
    world.Broken(
        "CONFIG: %s sent an opening %lld ms after the acknowledgement of the "
        "manifest without its route and "
        "%lld ms after the store was back; %s passed it on, and server %s took "
        "it",
        Text(key.caller).c_str(),
        (long long)(opening->second.sent_at - changed_at),
        (long long)(opening->second.sent_at - back_at),
        opening->second.balancer.c_str(), server.id().c_str());
  };
  for (const char* zone : {"hall-1", "hall-2", "hall-3"}) {
    world.KeepFlows(10, {kept, zone, 10, 100, 1500}, end);
    world.KeepFlows(4, {dropped, zone, 1, 100, 1500}, end);
  }
  std::string left;
  world.loop.At(down_at - 500, [&] {
    std::set<std::string> seen;
    for (auto& balancer : world.balancers) {
      const bool is_seed = seen.insert(balancer->zone()).second;
      const bool is_reader =
          balancer->Status().find("\"reader\":true") != std::string::npos;
      Record("%s: seed %d, reader %d", balancer->name().c_str(), is_seed,
             is_reader);
      if (!settings.has_trouble || (!is_seed && !is_reader)) {
        left += " " + balancer->name();
        continue;
      }
      world.loop.At(down_at + 1000, [&balancer] { balancer->Lose(); });
    }
    Record("not lost:%s", left.c_str());
  });
  if (settings.has_trouble) {
    world.loop.At(down_at, [&] {
      Record("the store is down: it answers with 503");
      world.store->SetFault(
          [](const HttpRequest&, const HttpServer::Reply& reply) {
            reply(503, "", "{}");
            return true;
          });
      world.store->CutWatches();
    });
    world.loop.At(back_at, [&] {
      Record("the store is back");
      world.store->SetFault({});
    });
  }
  world.loop.At(changed_at, [&] { world.DropRoute(dropped); });
  world.RunUntil(end);
  Record(
      "%llu requests answered, %llu failed, %llu flows opened, %llu refused; "
      "%d processes ended by themselves; "
      "last late opening %lld ms after the store was back",
      (unsigned long long)world.answered, (unsigned long long)world.failed,
      (unsigned long long)world.opened, (unsigned long long)world.refused,
      world.unexpected_ends,
      last_late == 0 ? 0LL : (long long)(last_late - back_at));
  world.Stop();
  if (world.answered < 500)
    return 2;
  return world.broken > 0 ? 1 : 0;
}
