// A kept connection on which requests follow each other without a gap.
#include "../standins-2/Case2.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace review2;

namespace {

constexpr int Clients = 4;
constexpr int Requests = 160;
/// A request each 50 ms, of which three or four are under way at a time.
constexpr double Interval = 0.05;
constexpr double WorkS = 0.15;
/// The rule allows this many.
constexpr int AllowedLost = 3;

/// What one client saw.
struct Seen {
  int m_Whole = 0;    ///< Requests that were sent to their last byte.
  int m_Answered = 0; ///< Of these.
  int m_Lost = 0;     ///< Ran at the upstream, and no answer came.
  int m_OtherStatus = 0;
};

class PipelineCase {
public:
  explicit PipelineCase(const std::vector<std::string> &Words)
      : m_Site(Words) {}

  int run() {
    m_Site.configure({{"entries", "/entries/", "idempotent", 5, "archive"}});
    const Place &At =
        m_Site.addMachine("archive", 36, [this](Conn &Peer, const Head &Asked) {
          return serve(Peer, Asked);
        });
    if (!m_Site.start())
      return CouldNotRun;
    std::vector<Seen> All(Clients);
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int Index = 0; Index < Clients; ++Index)
      Threads.emplace_back([&, Index] { All[Index] = client(At, Index); });
    for (std::thread &One : Threads)
      One.join();
    Seen Sum;
    for (const Seen &One : All) {
      Sum.m_Whole += One.m_Whole;
      Sum.m_Answered += One.m_Answered;
      Sum.m_Lost += One.m_Lost;
      Sum.m_OtherStatus += One.m_OtherStatus;
    }
    m_Site.record().line(
        "sent " + std::to_string(Sum.m_Whole) + ", answered " +
        std::to_string(Sum.m_Answered) + " (not 200: " +
        std::to_string(Sum.m_OtherStatus) + "), run and closed without an " +
        "answer " + std::to_string(Sum.m_Lost) + ", allowed " +
        std::to_string(AllowedLost) + "; the daemon ended by itself " +
        std::to_string(m_Site.platform().endsOf(At.m_Name)) + " times");
    if (Sum.m_Answered == 0)
      return CouldNotRun;
    return Sum.m_Lost > AllowedLost ? Broken : Held;
  }

private:
  bool serve(Conn &Peer, const Head &Asked) {
    if (!Peer.readBody(Asked.length()))
      return false;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Ran.insert(Asked.field("Attempt-Id"));
    }
    pauseFor(WorkS);
    return Peer.send(Upstream::answerHead(Asked, 2) + "ok");
  }

  static std::string request(int Client, int Number) {
    return CaseSite::head("GET", "/entries/" + std::to_string(Number),
                          idOf(Client, Number), 4) +
           "\r\n";
  }

  static std::string idOf(int Client, int Number) {
    return "c" + std::to_string(Client) + "-" + std::to_string(Number);
  }

  /// Sends the requests one after the other. With the disruption the pieces
  /// that the client writes end in the middle of a request, as TCP cuts a
  /// stream; each request is whole 50 ms after its first byte.
  int sendAll(Conn &Peer, int Client) {
    std::string Rest;
    for (int Number = 1; Number <= Requests; ++Number) {
      std::string Next = request(Client, Number);
      std::size_t Cut = m_Site.hasTrouble() ? Next.size() / 2 : Next.size();
      if (!Peer.send(Rest + Next.substr(0, Cut)))
        return std::max(0, Number - 2);
      Rest = Next.substr(Cut);
      pauseFor(Interval);
    }
    return Peer.send(Rest) ? Requests : Requests - 1;
  }

  Seen client(const Place &At, int Client) {
    Seen Result;
    Conn Peer = Conn::connectTo({At.m_Ip, At.m_Callers}, 4);
    // The connection is a kept one: it has carried a request before.
    if (!Peer.send(request(Client, 0)))
      return Result;
    auto First = Peer.readHead();
    if (!First || !Peer.readBody(First->length()))
      return Result;
    std::set<int> Answered;
    std::thread Reader([&] {
      int Number = 1;
      for (; Number <= Requests; ++Number) {
        auto Answer = Peer.readHead();
        if (!Answer || !Peer.readBody(Answer->length()))
          break;
        Result.m_OtherStatus += Answer->status() == 200 ? 0 : 1;
        Answered.insert(Number);
      }
      m_Site.record().line("client " + std::to_string(Client) + ": " +
                           std::to_string(Answered.size()) + " answers" +
                           (Number <= Requests ? ", then closed" : ""));
    });
    Result.m_Whole = sendAll(Peer, Client);
    Reader.join();
    Result.m_Answered = static_cast<int>(Answered.size());
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (int Number = 1; Number <= Result.m_Whole; ++Number) {
      if (Answered.contains(Number) || !m_Ran.contains(idOf(Client, Number)))
        continue;
      ++Result.m_Lost;
      m_Site.record().line("lost: " + idOf(Client, Number) +
                           " ran, its connection was closed without an answer");
    }
    return Result;
  }

  CaseSite m_Site;
  std::mutex m_Mutex;
  std::set<std::string> m_Ran;
};

} // namespace

int main(int Count, char **Words) {
  if (Count < 6)
    return CouldNotRun;
  return PipelineCase({Words + 1, Words + Count}).run();
}
