// A daemon is stopped and started again beside its upstream, which then leaves;
// a beat that the upstream sent before it left arrives afterwards.
#include "../standins/Standins.h"

#include <csignal>

namespace review {
namespace {

constexpr int Clients = 6;
constexpr int DeadlineMs = 3000;
constexpr Millis Pause{100};
constexpr double DrainS = 2;
constexpr Millis BeatLate{4000};
constexpr Millis ServesOn{8000};
constexpr const char *Path = "/orders/order-5";

void sendOn(Site &Machines, Record &Log, int Client,
            const std::atomic<bool> &IsOver) {
  // Clients of the two machines that are in touch all the while.
  const Place &At =
      Machines.daemon(1 + static_cast<std::size_t>(Client) % 2).place();
  for (int Sent = 0; !IsOver; ++Sent) {
    Socket Caller = Socket::connectTo(At.at(Place::Callers));
    std::string Id =
        "order" + std::to_string(Client) + "." + std::to_string(Sent);
    bool IsSent =
        Caller.sendAll(requestText("POST", Path, Id, DeadlineMs, {}, "paid"));
    auto Answer = Caller.readMessage(Millis(DeadlineMs));
    Log.line("client on " + At.m_Name +
             (IsSent ? " sent " : " couldn't send ") + Id + ", got " +
             (Answer ? std::to_string(Answer->status()) : "no answer"));
    sleepFor(Pause);
  }
}

/// Stops the daemon of sidecar-1 as the platform does, and starts it again. The
/// beats of its upstream come late from then on.
bool restart(Daemon &Stopped, Upstream &Beside, Record &Log) {
  Log.line("SIGTERM to the daemon of sidecar-1; its upstream runs on");
  Stopped.signal(SIGTERM);
  auto Grace = Clock::now() + Millis(6000);
  while (!Stopped.ended()) {
    if (Clock::now() > Grace)
      Stopped.signal(SIGKILL);
    sleepFor(Millis(5));
  }
  Beside.delayBeats(BeatLate);
  Log.line("the daemon of sidecar-1 has ended; it is started again");
  Stopped.start();
  return Stopped.awaitReady(Millis(5000));
}

int runCase(const std::string &Program, Record &Log) {
  Site Machines(Program, {{"orders", "non_idempotent", "orders"}},
                {"orders", "orders", "orders"}, 5, Log);
  if (!Machines.awaitServing())
    return NotRunStatus;
  Upstream &Leaving = Machines.upstream(0);
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Callers;
  Callers.reserve(Clients);
  for (int Client = 0; Client < Clients; ++Client)
    Callers.emplace_back(
        [&, Client] { sendOn(Machines, Log, Client, IsOver); });
  sleepFor(Millis(500));
  bool IsReady = true;
  if (isTroubled())
    IsReady = restart(Machines.daemon(0), Leaving, Log);
  sleepFor(Millis(1600)); // A beat has been sent since.
  double Acknowledged = Leaving.leave();
  sleepFor(ServesOn);
  IsOver = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  if (!IsReady || Acknowledged == 0)
    return NotRunStatus;
  int Late = 0;
  for (const Upstream::Run &Run : Leaving.runs())
    Late += Run.m_Began > Acknowledged + DrainS ? 1 : 0;
  Log.line(std::to_string(Late) + " orders reached the upstream more than " +
           std::to_string(DrainS) + " s after its leaving was acknowledged");
  return Late > 0 ? BrokenStatus : HeldStatus;
}

} // namespace
} // namespace review

int main(int Count, char **Words) {
  return review::mainOf(Count, Words, review::runCase);
}
