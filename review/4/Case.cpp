// A planned stop of a daemon while clients pipeline on kept connections: a
// request that the daemon reads, and passes on, behind an answer that it has
// already marked as the last one of the connection.
#include "../standins/Standins.h"

#include <csignal>

namespace review {
namespace {

constexpr int Clients = 5;
constexpr int DeadlineMs = 5000;

struct Outcome {
  bool m_IsLost = false;
  bool m_IsRun = true;
};

/// Sends two reads, and one more 0.5 s later; reads answers until one says that
/// the connection closes, and closes it then, as clients do.
Outcome callPipelined(Site &Machines, Record &Log, int Client) {
  std::string Name = "client" + std::to_string(Client);
  Socket Caller =
      Socket::connectTo(Machines.daemon(0).place().at(Place::Callers));
  auto Send = [&](const std::string &Id, const std::string &Path) {
    Log.line(Name + " sends " + Id + " GET " + Path);
    return Caller.sendAll(
        requestText("GET", Path, Name + "." + Id, DeadlineMs));
  };
  // The connection is a kept one: it has carried a request before the stop.
  if (!Send("before", "/reads/before-20") || !Caller.readMessage(Millis(3000)))
    return {.m_IsRun = false};
  sleepFor(Millis(700)); // The stop begins meanwhile.
  if (!Send("slow", "/reads/slow-1500") || !Send("quick", "/reads/quick-50"))
    return {.m_IsRun = false};
  sleepFor(Millis(500));
  if (!Send("third", "/reads/third-1500"))
    return {.m_IsRun = false};
  int Answered = 0;
  bool IsClosed = false;
  while (Answered < 3 && !IsClosed) {
    auto Answer = Caller.readMessage(Millis(DeadlineMs));
    if (!Answer)
      break;
    ++Answered;
    IsClosed = Answer->header("Connection") == "close";
    Log.line(Name + " reads " + std::to_string(Answer->status()) + " to " +
             Answer->header("Attempt-Id") +
             (IsClosed ? ", which says Connection: close" : ""));
  }
  Caller.close();
  sleepFor(Millis(1500)); // For what the upstream does about it.
  std::vector<Upstream::Run> Runs = Machines.runsOf(Name + ".third");
  bool IsLost = !Runs.empty() && Answered < 3;
  Log.line(Name + ": the third request was " +
           (Runs.empty() ? "not passed on" : "passed on to an upstream") +
           " and " + (Answered == 3 ? "answered" : "not answered") +
           (IsLost ? ": LOST" : ""));
  return {.m_IsLost = IsLost};
}

int runCase(const std::string &Program, Record &Log) {
  Site Machines(Program, {{"reads", "idempotent", "archive"}},
                {"archive", "archive", "archive"}, 5, Log);
  if (!Machines.awaitServing())
    return NotRunStatus;
  std::vector<Outcome> Outcomes(Clients);
  std::vector<std::thread> Callers;
  Callers.reserve(Clients);
  for (int Client = 0; Client < Clients; ++Client)
    Callers.emplace_back([&, Client] {
      Outcomes[static_cast<std::size_t>(Client)] =
          callPipelined(Machines, Log, Client);
    });
  sleepFor(Millis(400));
  if (isTroubled()) {
    Log.line("SIGTERM to the daemon of sidecar-1");
    Machines.daemon(0).signal(SIGTERM);
  }
  for (std::thread &Caller : Callers)
    Caller.join();
  int Lost = 0;
  for (const Outcome &Each : Outcomes) {
    if (!Each.m_IsRun)
      return NotRunStatus;
    Lost += Each.m_IsLost ? 1 : 0;
  }
  Log.line(std::to_string(Lost) + " of " + std::to_string(Clients) +
           " third requests lost");
  return Lost > 0 ? BrokenStatus : HeldStatus;
}

} // namespace
} // namespace review

int main(int Count, char **Words) {
  return review::mainOf(Count, Words, review::runCase);
}
