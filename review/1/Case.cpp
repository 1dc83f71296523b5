// An upstream ends, and its address goes to an upstream of another service.
#include "../standins/Standins.h"

#include <csignal>

namespace review {
namespace {

constexpr int Clients = 9;
constexpr int DeadlineMs = 3000;
/// The pages allow it from reuseAfterS = 2 s on.
constexpr Millis ReuseAfter{2500};
constexpr Millis Pause{20};
constexpr Millis Length{6000};
constexpr const char *OrderPath = "/orders/order-40";

/// Sends one order after the other on a machine until \p IsOver. \returns their
/// number.
int sendOrders(Site &Machines, Record &Log, std::size_t Machine, int Client,
               const std::atomic<bool> &IsOver) {
  const Place &At = Machines.daemon(Machine).place();
  int Sent = 0;
  while (!IsOver) {
    Socket Caller = Socket::connectTo(At.at(Place::Callers));
    std::string Id =
        "order" + std::to_string(Client) + "." + std::to_string(++Sent);
    bool IsSent = Caller.sendAll(
        requestText("POST", OrderPath, Id, DeadlineMs, {}, "paid"));
    auto Answer = Caller.readMessage(Millis(DeadlineMs));
    Log.line("client on " + At.m_Name +
             (IsSent ? " sent " : " couldn't send ") + Id + " POST " +
             OrderPath + ", got " +
             (Answer ? std::to_string(Answer->status()) : "no answer"));
    sleepFor(Pause);
  }
  return Sent;
}

int runCase(const std::string &Program, Record &Log) {
  Site Machines(Program,
                {{"orders", "non_idempotent", "orders"},
                 {"reads", "idempotent", "archive"}},
                {"orders", "orders", "archive"}, 5, Log);
  if (!Machines.awaitServing())
    return NotRunStatus;
  std::atomic<bool> IsOver{false};
  std::atomic<int> Sent{0};
  std::vector<std::thread> Callers;
  Callers.reserve(Clients);
  for (int Client = 0; Client < Clients; ++Client)
    Callers.emplace_back([&, Client] {
      Sent += sendOrders(Machines, Log,
                         static_cast<std::size_t>(Client) % Machines.machines(),
                         Client, IsOver);
    });
  sleepFor(Millis(1000));
  Log.line("the upstream of orders on sidecar-1 ends");
  Machines.endUpstream(0);
  sleepFor(ReuseAfter);
  std::string Next = isTroubled() ? "archive" : "orders";
  Log.line("an upstream of " + Next + " starts at its address");
  // The platform fills in the settings file again and says so.
  Machines.daemon(0).place().m_Service = Next;
  Machines.daemon(0).writeSettings();
  Machines.daemon(0).signal(SIGHUP);
  Upstream &Other = Machines.startUpstream(0, Next, "i-next", Log);
  sleepFor(Length);
  IsOver = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  int Foreign = 0;
  for (const Upstream::Run &Run : Other.runs())
    Foreign += isTroubled() && Run.m_Path == OrderPath ? 1 : 0;
  Log.line(std::to_string(Sent) + " orders sent, " + std::to_string(Foreign) +
           " of them run by the upstream of archive");
  return Foreign > 0 ? BrokenStatus : HeldStatus;
}

} // namespace
} // namespace review

int main(int Count, char **Words) {
  return review::mainOf(Count, Words, review::runCase);
}
