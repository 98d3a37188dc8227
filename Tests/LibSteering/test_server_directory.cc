#include <doctest/doctest.h>

#include "LibSteering/server_directory.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

TEST_CASE("a server is found by each of its tokens") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1"), At(0));
  const ServerTokens tokens = TokensOf(ServerName("i-1"));

  CHECK(directory.FindByToken(tokens[0]) ==
        directory.FindByName(ServerName("i-1")));
  CHECK(directory.FindByToken(tokens[1]) ==
        directory.FindByName(ServerName("i-1")));
  CHECK(directory.FindByToken(FlowToken(12345)) == nullptr);
}

TEST_CASE("an older record never replaces a newer one") {
  ServerDirectory directory;
  ServerRecord draining = MakeServer("i-1", 9);
  draining.m_state = ServerState::kDraining;
  directory.Apply(draining, At(0));

  CHECK(directory.Apply(MakeServer("i-1", 8), At(1)) == DirectoryChange::kNone);
  CHECK_FALSE(directory.FindByName(ServerName("i-1"))->AcceptsOpenings());
}

TEST_CASE("a record with a new incarnation shows that the server restarted") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  ServerRecord again = MakeServer("i-1", 2);
  again.m_incarnation = 5;

  CHECK(directory.Apply(again, At(1)) == DirectoryChange::kRestarted);
}

TEST_CASE("a server that is gone keeps its token while its flows may last") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1"), At(0));
  const FlowToken token = TokensOf(ServerName("i-1"))[0];

  CHECK(directory.Remove(ServerName("i-1"), At(0)) == DirectoryChange::kGone);
  CHECK(directory.ServersOf("portal").empty());
  directory.PurgeGoneServers(At(59'000));
  CHECK(directory.FindByToken(token) != nullptr);
  directory.PurgeGoneServers(At(61'000));
  CHECK(directory.FindByToken(token) == nullptr);
}

TEST_CASE(
    "a server that registers again after its record expired is listed again") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  directory.Remove(ServerName("i-1"), At(1));

  CHECK(directory.Apply(MakeServer("i-1", 2), At(2)) ==
        DirectoryChange::kAdded);
  CHECK(directory.ServersOf("portal").size() == 1);
}

TEST_CASE("a server that changes its service is listed under the new one") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  ServerRecord moved = MakeServer("i-1", 2);
  moved.m_service = "archive";
  directory.Apply(moved, At(1));

  CHECK(directory.ServersOf("portal").empty());
  CHECK(directory.ServersOf("archive").size() == 1);
}

TEST_CASE(
    "a record from before a restore of the store does not undo a server's last "
    "one") {
  ServerDirectory directory;
  ServerRecord draining = MakeServer("i-1", 20);
  draining.m_incarnation = 5;
  draining.m_sequence = 8;
  draining.m_state = ServerState::kDraining;
  directory.Apply(draining, At(0));
  ServerRecord copy = draining;
  copy.m_sequence = 3;
  copy.m_state = ServerState::kReady;
  copy.m_revision = {base::StoreEra(1), 9};

  CHECK(directory.Apply(copy, At(1)) == DirectoryChange::kNone);
  CHECK_FALSE(directory.FindByName(ServerName("i-1"))->AcceptsOpenings());

  directory.Remove(ServerName("i-1"), At(2));
  CHECK(directory.Apply(copy, At(3)) == DirectoryChange::kNone);
  CHECK(directory.ServersOf("portal").empty());
}

TEST_CASE("another writer's great sequence does not hide a server's records") {
  ServerDirectory directory;
  ServerRecord record = MakeServer("i-1", 20);
  record.m_incarnation = 5;
  record.m_sequence = 8;
  directory.Apply(record, At(0));
  ServerRecord foreign = record;
  foreign.m_sequence = 1'000'000;
  foreign.m_revision = base::StoreRevision(21);
  directory.Apply(foreign, At(1));
  record.m_sequence = 9;
  record.m_state = ServerState::kDraining;
  record.m_revision = base::StoreRevision(22);

  CHECK(directory.Apply(record, At(2)) == DirectoryChange::kDraining);

  foreign.m_revision = base::StoreRevision(23);
  directory.Apply(foreign, At(3));
  // The copy's record, and the one that the server writes after the restore.
  record.m_revision = {base::StoreEra(1), 9};
  directory.Apply(record, At(4));
  record.m_sequence = 10;
  record.m_revision = {base::StoreEra(1), 30};
  CHECK(directory.Apply(record, At(5)) == DirectoryChange::kDraining);
}

TEST_CASE(
    "a server's earlier incarnation in a restored store does not end its "
    "draining") {
  ServerDirectory directory;
  ServerRecord draining = MakeServer("i-1", 20);
  draining.m_incarnation = 9000;
  draining.m_state = ServerState::kDraining;
  directory.Apply(draining, At(0));
  ServerRecord copy = MakeServer("i-1", 7);
  copy.m_incarnation = 5000;
  copy.m_sequence = 40;
  copy.m_revision = {base::StoreEra(1), 7};

  CHECK(directory.Apply(copy, At(1)) == DirectoryChange::kNone);
  CHECK_FALSE(directory.FindByName(ServerName("i-1"))->AcceptsOpenings());

  // A server whose clock was set back registers after the restore.
  copy.m_revision = {base::StoreEra(1), 12};
  CHECK(directory.Apply(copy, At(2)) == DirectoryChange::kRestarted);
}

TEST_CASE("a server whose record was lost registers again with any sequence") {
  ServerDirectory directory;
  ServerRecord record = MakeServer("i-1", 20);
  record.m_incarnation = 5;
  record.m_sequence = 8;
  directory.Apply(record, At(0));
  directory.Remove(ServerName("i-1"), At(1));
  record.m_revision = {base::StoreEra(1), 9};

  CHECK(directory.Apply(record, At(2)) == DirectoryChange::kAdded);

  directory.Remove(ServerName("i-1"), At(3));
  record.m_incarnation = 6;
  record.m_sequence = 1;
  record.m_revision = {base::StoreEra(1), 10};
  CHECK(directory.Apply(record, At(4)) == DirectoryChange::kAdded);
}

TEST_CASE(
    "the sequences of servers that don't say when they started have no "
    "order") {
  ServerDirectory directory;
  ServerRecord record = MakeServer("i-1", 20);
  record.m_sequence = 8;
  directory.Apply(record, At(0));
  record.m_sequence = 1;
  record.m_state = ServerState::kDraining;
  record.m_revision = base::StoreRevision(21);

  CHECK(directory.Apply(record, At(1)) == DirectoryChange::kDraining);
}

}  // namespace steering
