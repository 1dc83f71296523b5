#ifndef KNAPWEEDLOFT_REVIEW_STANDINS_2_SITE2_H
#define KNAPWEEDLOFT_REVIEW_STANDINS_2_SITE2_H

#include "Net2.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review2 {

/// Writes lines with their time to record.txt.
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

/// Accepts connections and serves each on a thread of its own.
class Listener {
public:
  Listener(const knapweedloft::model::Endpoint &At,
           std::function<void(Conn &)> Serve, int Backlog = 1024);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  int m_Fd;
  std::function<void(Conn &)> m_Serve;
  std::atomic<bool> m_IsEnding{false};
  std::atomic<int> m_Running{0};
  std::thread m_Thread;
};

/// The platform's store: keyed topics of one partition.
class Store {
public:
  explicit Store(const knapweedloft::model::Endpoint &At);
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Topic {
    std::vector<std::string> m_Records; ///< Content, without the length.
    std::map<std::string, std::uint64_t> m_Newest;
  };
  void serve(Conn &Peer);
  std::string answerTo(const Head &Asked, const std::string &Body);
  void add(Topic &To, const std::string &Content);
  std::string read(Topic &From, std::uint64_t First, int WaitMs);
  std::string newest(Topic &From, const std::string &After);

  std::mutex m_Mutex;
  std::condition_variable m_Appended;
  std::map<std::string, Topic> m_Topics;
  std::unique_ptr<Listener> m_Listener;
};

/// Where one machine's programs listen.
struct Place {
  std::string m_Name;
  std::string m_Service;
  std::string m_Ip;
  std::uint16_t m_Callers = 18548;
  std::uint16_t m_Links = 18543;
  std::uint16_t m_Ready = 18546;
  std::uint16_t m_Control = 18540;
  std::uint16_t m_Target = 18547;
  int m_MemoryMb = 260;
  int m_Descriptors = 4100;
  double m_GraceS = 6;
};

/// An upstream: reports to the daemon beside it and serves its requests.
class Upstream {
public:
  /// Serves a request whose body was not read yet. \returns whether the
  /// connection goes on.
  using Serve = std::function<bool(Conn &, const Head &)>;
  Upstream(Place At, std::string Instance, int Slots, Serve OnRequest);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;
  /// \returns the head of an answer to \p Asked with a body of \p Bytes.
  static std::string answerHead(const Head &Asked, std::size_t Bytes);

private:
  void beat();
  Place m_At;
  std::string m_Instance;
  int m_Slots;
  std::int64_t m_Born;
  std::atomic<bool> m_IsEnding{false};
  std::unique_ptr<Listener> m_Listener;
  std::thread m_Beats;
};

/// Runs the daemons by the command of the deploy file.
class Platform {
public:
  Platform(std::string Program, std::string Template, std::string Folder,
           std::string StoreAddress, Record &Log);
  ~Platform();
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  void start(const Place &At, bool IsFirst);
  void signal(const std::string &Name, int Number);
  /// Writes the settings file of a running process anew.
  void changeGrace(const std::string &Name, double GraceS);
  /// Kills a process that holds more than its memory, as the platform does,
  /// and starts what ended again after a short delay.
  void guard();
  [[nodiscard]] int endsOf(const std::string &Name) const;
  /// \returns the largest resident size seen, in MB.
  [[nodiscard]] int peakOf(const std::string &Name) const;
  [[nodiscard]] bool isReady(const Place &At) const;
  bool awaitReady(const Place &At, double TimeoutS) const;

private:
  struct Process {
    Place m_At;
    pid_t m_Pid = 0;
    int m_Ends = 0;
    int m_PeakMb = 0;
    double m_RestartAt = 0;
  };
  /// \returns the path of the settings file.
  std::string writeSettings(const Place &At, bool IsFirst);
  void spawn(Process &One, bool IsFirst);
  std::string m_Program;
  std::string m_Template;
  std::string m_Folder;
  std::string m_StoreAddress;
  Record &m_Log;
  mutable std::mutex m_Mutex;
  std::map<std::string, Process> m_Processes;
  std::atomic<bool> m_IsEnding{false};
  std::thread m_Guard;
};

/// \returns a loopback network "127.A.B." that is likely free.
std::string freeNetwork();
/// \returns the content of \p Path.
std::string contentOf(const std::string &Path);

} // namespace review2

#endif // KNAPWEEDLOFT_REVIEW_STANDINS_2_SITE2_H
