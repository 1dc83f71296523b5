// Small stand-ins for the cases of the review: the platform's store, an
// upstream, a client, and the daemons as processes of their own. One thread a
// connection; everything on loopback addresses.
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include "model/Endpoint.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using knapweedloft::model::Endpoint;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// \returns seconds since the start of the program.
double now();
void sleepFor(Millis Time);

/// Writes record.txt: one line an event, with the time of the event.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
};

/// One HTTP/1.1 message as read from a socket.
struct Message {
  std::string m_Start; ///< Request or status line.
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;

  /// \returns the value of a header field, or an empty string.
  [[nodiscard]] std::string header(std::string_view Name) const;
  /// \returns word \p Index of the first line.
  [[nodiscard]] std::string word(std::size_t Index) const;
  [[nodiscard]] int status() const;
};

/// A connected or listening TCP socket.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Fd) : m_Fd(Fd) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  ~Socket();

  static Socket connectTo(const Endpoint &To);
  static Socket listenAt(const Endpoint &Own);

  [[nodiscard]] bool isOpen() const { return m_Fd >= 0; }
  [[nodiscard]] int fd() const { return m_Fd; }
  [[nodiscard]] Socket acceptOne() const;
  [[nodiscard]] bool sendAll(std::string_view Text) const;
  /// Reads one message. \returns nothing if the connection ends or, with
  /// \p Wait, brings nothing for so long.
  std::optional<Message> readMessage(Millis Wait = Millis(0));
  /// Whether the peer ended the connection at the last read.
  [[nodiscard]] bool hasEnded() const { return m_HasEnded; }
  void shutDown() const;
  void close();

private:
  bool fill();
  int m_Fd = -1;
  std::string m_Unread;
  bool m_HasEnded = false;
};

/// Accepts connections and talks on each in a thread of its own until stop().
class Server {
public:
  using Talk = std::function<void(Socket &)>;
  Server(const Endpoint &Own, Talk OnConnection);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

private:
  Socket m_Listener;
  Talk m_OnConnection;
  std::mutex m_Mutex;
  std::vector<int> m_Open;
  std::vector<std::thread> m_Threads;
  std::thread m_Acceptor;
};

std::string responseText(int Status, const std::string &Headers,
                         const std::string &Body);

/// The platform's store: a log with topics of one partition.
class Store {
public:
  explicit Store(const Endpoint &Own);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;
  /// Writes a record of a keyed topic as the operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Topic {
    std::vector<std::string> m_Records; ///< Raw, without their lengths.
    std::map<std::string, std::uint64_t> m_Newest;
  };

  void talk(Socket &Peer);
  std::string respond(const Message &Request);
  void append(Topic &To, const std::string &Content);
  std::string newest(Topic &From, const std::string &After);

  std::mutex m_Mutex;
  std::condition_variable m_Appended;
  std::map<std::string, Topic> m_Topics;
  bool m_IsStopping = false;
  Server m_Server;
};

/// Addresses of one machine.
struct Place {
  std::string m_Name;
  std::string m_Address;
  std::string m_Service;
  std::string m_Zone = "zone-a";
  std::string m_StoreAddress;
  bool m_IsFirstStart = true;
  double m_GraceS = 6;
  int m_MemoryMb = 260;

  static constexpr std::uint16_t Callers = 7001;
  static constexpr std::uint16_t Links = 7002;
  static constexpr std::uint16_t Ready = 7003;
  static constexpr std::uint16_t Control = 7004;
  static constexpr std::uint16_t Metrics = 7005;
  static constexpr std::uint16_t Target = 7006;
  static constexpr std::uint16_t StorePort = 7007;

  [[nodiscard]] Endpoint at(std::uint16_t Port) const {
    return {m_Address, Port};
  }
  /// \returns the settings file as the platform fills in
  /// deploy/settings.toml.
  [[nodiscard]] std::string settings() const;
};

/// \returns machine \p Index of a site on addresses that belong to this
/// process.
Place placeOf(int Index, const std::string &Service);

/// An upstream that reports to the daemon beside it and works on a request for
/// as many milliseconds as the path says: /route/NAME-MS.
class Upstream {
public:
  struct Run {
    std::string m_AttemptId;
    std::string m_Method;
    std::string m_Path;
    std::size_t m_BodyBytes = 0;
    double m_Began = 0;
    double m_Answered = 0; ///< 0: not answered.
  };

  /// \p Id: made of the machine's name if it is empty.
  Upstream(Place Beside, Record &Log, std::string Id = {});
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;
  /// Beats that are sent from now on arrive so much later.
  void delayBeats(Millis Late) {
    m_BeatsLateMs = static_cast<int>(Late.count());
  }
  /// Sends no more beats, says that it is gone, and serves on. \returns when
  /// that was acknowledged; 0: it was not.
  double leave();
  /// \returns what it has begun to work on.
  [[nodiscard]] std::vector<Run> runs();

private:
  void talk(Socket &Peer);
  /// Runs and answers a request. \returns whether the connection goes on.
  bool work(const Socket &Peer, const Message &Request);
  void beat();
  [[nodiscard]] bool report(std::uint64_t Sequence);
  [[nodiscard]] bool tellControl(const std::string &Method,
                                 const std::string &Body);

  Place m_Place;
  Record &m_Record;
  std::string m_Id;
  std::int64_t m_Born;
  std::mutex m_Mutex;
  std::vector<Run> m_Runs;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_IsLeaving{false};
  std::atomic<int> m_BeatsLateMs{0};
  std::uint64_t m_Sequence = 0;
  std::vector<std::thread> m_LateBeats;
  Server m_Server;
  std::thread m_Beats;
};

/// A daemon, started with the command of the deploy file.
class Daemon {
public:
  Daemon(Place At, std::string Program, std::string Folder);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  void writeSettings() const;
  void start();
  void signal(int Number) const;
  /// \returns the exit status if it has ended.
  [[nodiscard]] std::optional<int> ended();
  /// Waits until it answers the readiness question with 200.
  [[nodiscard]] bool awaitReady(Millis Longest) const;
  /// \returns the megabytes of memory that it holds.
  [[nodiscard]] double memoryMb() const;
  [[nodiscard]] Place &place() { return m_Place; }
  [[nodiscard]] pid_t pid() const { return m_Pid; }

private:
  Place m_Place;
  std::string m_Program;
  std::string m_Folder;
  pid_t m_Pid = -1;
};

struct Route {
  std::string m_Name; ///< Its path prefix is "/NAME/".
  std::string m_Kind;
  std::string m_Service;
};

/// \returns a configuration as the operator writes it, with one tenant.
std::string configText(const std::vector<Route> &Routes, double TimeoutS);

/// \returns a request of that tenant.
std::string requestText(const std::string &Method, const std::string &Path,
                        const std::string &AttemptId, int DeadlineMs,
                        const std::string &MoreHeaders = {},
                        std::string_view Body = {});

/// A folder of this process for settings and logs, removed at the end.
class Folder {
public:
  Folder();
  ~Folder();
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;
  [[nodiscard]] const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

/// The store and some machines, each with its upstream.
class Site {
public:
  /// \p Services: of the upstreams, one a machine.
  Site(const std::string &Program, const std::vector<Route> &Routes,
       const std::vector<std::string> &Services, double TimeoutS, Record &Log);
  /// \returns whether every daemon is ready and serves.
  [[nodiscard]] bool awaitServing();
  [[nodiscard]] Daemon &daemon(std::size_t Index) { return *m_Daemons[Index]; }
  [[nodiscard]] std::size_t machines() const { return m_Daemons.size(); }
  /// \returns what upstreams began of one attempt.
  [[nodiscard]] std::vector<Upstream::Run> runsOf(const std::string &AttemptId);
  [[nodiscard]] Upstream &upstream(std::size_t Index) {
    return *m_Upstreams[Index];
  }
  /// The upstream of a machine crashes.
  void endUpstream(std::size_t Index);
  Upstream &startUpstream(std::size_t Index, const std::string &Service,
                          const std::string &Id, Record &Log);

private:
  std::vector<Route> m_Routes;
  Folder m_Folder;
  Store m_Store;
  std::vector<std::unique_ptr<Upstream>> m_Upstreams;
  std::vector<std::unique_ptr<Daemon>> m_Daemons;
};

/// \returns whether the disruption is wanted: the variable TROUBLE is not 0.
bool isTroubled();

constexpr int HeldStatus = 0;
constexpr int BrokenStatus = 1;
constexpr int NotRunStatus = 2;

/// Runs a case with the words PROGRAM RECORD. \returns the exit status.
int mainOf(
    int Count, char **Words,
    const std::function<int(const std::string &Program, Record &Log)> &Case);

} // namespace review

#endif // REVIEW_STANDINS_H
