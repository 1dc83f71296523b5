#include "Site2.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review2 {
namespace {

constexpr double BeatInterval = 0.5;
constexpr double RestartDelay = 0.5;
constexpr double GuardInterval = 0.01;

std::string textOf(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", Value);
  return Text;
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Text += static_cast<char>(Value >> Shift & 0xff);
  return Text;
}

std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Group <<= 8;
      if (At + Index < Bytes.size())
        Group |= static_cast<unsigned char>(Bytes[At + Index]);
    }
    for (std::size_t Index = 0; Index < 4; ++Index) {
      bool IsPadding = At + Index > Bytes.size();
      Text += IsPadding ? '=' : Digits[Group >> (18 - 6 * Index) & 0x3f];
    }
  }
  return Text;
}

std::string unescape(const std::string &Text) {
  std::string Plain;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Plain += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Plain += Text[At];
    }
  }
  return Plain;
}

std::string queryOf(const std::string &Path, const std::string &Name) {
  std::size_t At = Path.find('?');
  while (At != std::string::npos) {
    std::size_t End = Path.find('&', At + 1);
    std::string Part =
        Path.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Part.rfind(Name + "=", 0) == 0)
      return unescape(Part.substr(Name.size() + 1));
    At = End;
  }
  return {};
}

std::string httpAnswer(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void replaceAll(std::string &Text, const std::string &What,
                const std::string &By) {
  for (std::size_t At = Text.find(What); At != std::string::npos;
       At = Text.find(What, At + By.size()))
    Text.replace(At, What.size(), By);
}

/// The most resident memory that a process has had, in KB; 0: unknown.
int mostResidentKb(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.rfind("VmHWM:", 0) == 0)
      return std::atoi(Line.c_str() + 6);
  return 0;
}

} // namespace

std::string contentOf(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string freeNetwork() {
  for (int Try = 0; Try < 50; ++Try) {
    int Number = static_cast<int>(::getpid()) + 37 * Try;
    std::string Network = "127." + std::to_string(20 + Number / 250 % 200) +
                          "." + std::to_string(1 + Number % 250) + ".";
    int Probe = listenAt({Network + "1", 18548});
    if (Probe < 0)
      continue;
    ::close(Probe);
    return Network;
  }
  return {};
}

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")) {}

Record::~Record() {
  if (m_File)
    std::fclose(m_File);
}

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!m_File)
    return;
  std::fprintf(m_File, "%8.3f %s\n", now(), Text.c_str());
  std::fflush(m_File);
}

Listener::Listener(const knapweedloft::model::Endpoint &At,
                   std::function<void(Conn &)> Serve, int Backlog)
    : m_Fd(listenAt(At, Backlog)), m_Serve(std::move(Serve)) {
  m_Thread = std::thread([this] {
    while (!m_IsEnding) {
      pollfd Poll{.fd = m_Fd, .events = POLLIN, .revents = 0};
      if (::poll(&Poll, 1, 100) != 1)
        continue;
      int Fd = ::accept4(m_Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      ++m_Running;
      std::thread([this, Fd] {
        Conn Peer(Fd);
        m_Serve(Peer);
        Peer.close();
        --m_Running;
      }).detach();
    }
  });
}

Listener::~Listener() {
  m_IsEnding = true;
  m_Thread.join();
  ::close(m_Fd);
  for (int Count = 0; Count < 100 && m_Running > 0; ++Count)
    pauseFor(0.05);
}

Store::Store(const knapweedloft::model::Endpoint &At) {
  m_Listener =
      std::make_unique<Listener>(At, [this](Conn &Peer) { serve(Peer); });
}

void Store::add(Topic &To, const std::string &Content) {
  auto KeySize = static_cast<std::size_t>(
      static_cast<unsigned char>(Content.empty() ? 0 : Content.front()));
  std::string Key = Content.substr(1, KeySize);
  if (Content.size() <= 1 + KeySize)
    To.m_Newest.erase(Key);
  else
    To.m_Newest[Key] = To.m_Records.size();
  To.m_Records.push_back(Content);
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  add(m_Topics[Topic], bigEndian(Key.size(), 1) + Key + Value);
  m_Appended.notify_all();
}

void Store::serve(Conn &Peer) {
  Peer.setTimeout(40);
  while (auto Asked = Peer.readHead()) {
    std::string Body;
    if (!Peer.readBody(Asked->length(), &Body))
      return;
    if (!Peer.send(answerTo(*Asked, Body)))
      return;
  }
}

std::string Store::answerTo(const Head &Asked, const std::string &Body) {
  std::string Path = Asked.path();
  std::string Name = queryOf(Path, "topic");
  if (Path.rfind("/v1/log-append", 0) == 0) {
    bool IsForbidden = Name == "keyed.op" || Name == "keyed.servers";
    if (IsForbidden || Body.size() < 4)
      return httpAnswer(IsForbidden ? 403 : 400, "");
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Topic &To = m_Topics[Name];
    std::uint64_t First = To.m_Records.size();
    add(To, Body.substr(4));
    m_Appended.notify_all();
    return httpAnswer(200, "{\"offset\":" + std::to_string(First) +
                               ",\"end\":" + std::to_string(First + 1) + "}");
  }
  if (Path.rfind("/v1/log-read", 0) == 0) {
    std::uint64_t First =
        std::strtoull(queryOf(Path, "from").c_str(), nullptr, 10);
    return read(m_Topics[Name], First,
                std::atoi(queryOf(Path, "waitMs").c_str()));
  }
  if (Path.rfind("/v1/log-newest", 0) == 0)
    return newest(m_Topics[Name], queryOf(Path, "after"));
  return httpAnswer(404, "");
}

std::string Store::read(Topic &From, std::uint64_t First, int WaitMs) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_Appended.wait_for(Lock, std::chrono::milliseconds(WaitMs),
                      [&] { return From.m_Records.size() > First; });
  std::string Body = bigEndian(From.m_Records.size(), 8) + bigEndian(0, 8);
  for (std::uint64_t Index = First; Index < From.m_Records.size(); ++Index)
    Body += bigEndian(From.m_Records[Index].size(), 4) + From.m_Records[Index];
  return httpAnswer(200, Body);
}

std::string Store::newest(Topic &From, const std::string &After) {
  constexpr std::size_t MaxItems = 500;
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string Items;
  std::size_t Count = 0;
  auto Next = From.m_Newest.upper_bound(After);
  for (; Next != From.m_Newest.end() && Count < MaxItems; ++Next, ++Count) {
    std::string Value =
        From.m_Records[Next->second].substr(1 + Next->first.size());
    Items += (Count > 0 ? "," : "") + std::string("{\"key\":\"") + Next->first +
             "\",\"value\":\"" + base64(Value) +
             "\",\"offset\":" + std::to_string(Next->second) + "}";
  }
  return httpAnswer(
      200, "{\"items\":[" + Items + "],\"hasMore\":" +
               (Next != From.m_Newest.end() ? "true" : "false") +
               ",\"end\":" + std::to_string(From.m_Records.size()) + "}");
}

Upstream::Upstream(Place At, std::string Instance, int Slots, Serve OnRequest)
    : m_At(std::move(At)), m_Instance(std::move(Instance)), m_Slots(Slots),
      m_Born(unixMs()) {
  m_Listener = std::make_unique<Listener>(
      knapweedloft::model::Endpoint{m_At.m_Ip, m_At.m_Target},
      [this, OnRequest = std::move(OnRequest)](Conn &Peer) {
        Peer.setTimeout(30);
        while (auto Asked = Peer.readHead()) {
          std::string Expected = Asked->field("Expected-Instance");
          bool IsHealth = Asked->path() == "/health";
          if (IsHealth || (!Expected.empty() && Expected != m_Instance)) {
            if (!Peer.readBody(Asked->length()) ||
                !Peer.send(
                    "HTTP/1.1 " +
                    std::string(IsHealth ? "200 OK" : "421 Misdirected") +
                    "\r\nInstance-Id: " + m_Instance +
                    "\r\nContent-Length: 0\r\n\r\n"))
              return;
            continue;
          }
          if (!OnRequest(Peer, *Asked))
            return;
        }
      });
  m_Beats = std::thread([this] { beat(); });
}

Upstream::~Upstream() {
  m_IsEnding = true;
  m_Beats.join();
}

void Upstream::beat() {
  for (int Sequence = 1; !m_IsEnding; ++Sequence) {
    std::string Body =
        "{\"address\":\"" + m_At.m_Ip + ":" + std::to_string(m_At.m_Target) +
        "\",\"born\":" + std::to_string(m_Born) + ",\"info\":{\"service\":\"" +
        m_At.m_Service + R"(","version":"v1","zone":"a","slots":)" +
        std::to_string(m_Slots) + R"(},"status":{"state":"ready","sequence":)" +
        std::to_string(Sequence) + ",\"coldRemainingS\":0}}";
    Conn Control = Conn::connectTo({m_At.m_Ip, m_At.m_Control}, 1);
    if (Control.isOpen() &&
        Control.send("PUT /v1/instances/" + m_Instance +
                     " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"
                     "\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body))
      (void)Control.readHead();
    for (double End = now() + BeatInterval; !m_IsEnding && now() < End;)
      pauseFor(0.05);
  }
}

std::string Upstream::answerHead(const Head &Asked, std::size_t Bytes) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + Asked.field("Attempt-Id") +
         "\r\nResponse-Signature: s-" + Asked.field("Attempt-Id") +
         "\r\nContent-Length: " + std::to_string(Bytes) + "\r\n\r\n";
}

Platform::Platform(std::string Program, std::string Template,
                   std::string Folder, std::string StoreAddress, Record &Log)
    : m_Program(std::move(Program)), m_Template(std::move(Template)),
      m_Folder(std::move(Folder)), m_StoreAddress(std::move(StoreAddress)),
      m_Log(Log) {
  m_Guard = std::thread([this] {
    while (!m_IsEnding) {
      guard();
      pauseFor(GuardInterval);
    }
  });
}

Platform::~Platform() {
  m_IsEnding = true;
  m_Guard.join();
  for (auto &[Name, One] : m_Processes)
    if (One.m_Pid > 0) {
      ::kill(One.m_Pid, SIGKILL);
      ::waitpid(One.m_Pid, nullptr, 0);
    }
}

std::string Platform::writeSettings(const Place &At, bool IsFirst) {
  std::string Text = m_Template;
  std::size_t Section = Text.find("{{#bounds.exposureShare}}");
  std::string SectionEnd = "{{/bounds.exposureShare}}";
  if (Section != std::string::npos)
    Text.erase(Section, Text.find(SectionEnd) + SectionEnd.size() - Section);
  auto Quoted = [](const std::string &Plain) { return "\"" + Plain + "\""; };
  auto Listen = [&](int Port) {
    return Quoted(At.m_Ip + ":" + std::to_string(Port));
  };
  replaceAll(Text, "{{nodeName|json}}", Quoted(At.m_Name));
  replaceAll(Text, "{{zone|json}}", Quoted("a"));
  replaceAll(Text, "{{region|json}}", Quoted("r"));
  replaceAll(Text, "{{bootstrap|json}}", IsFirst ? "true" : "false");
  replaceAll(Text, "{{service|json}}", Quoted(At.m_Service));
  replaceAll(Text, "{{appAddress|json}}", Listen(At.m_Target));
  replaceAll(Text, "{{listen.outbound|json}}", Listen(At.m_Callers));
  replaceAll(Text, "{{listen.inbound|json}}", Listen(At.m_Links));
  replaceAll(Text, "{{listen.ready|json}}", Listen(At.m_Ready));
  replaceAll(Text, "{{listen.control|json}}", Listen(At.m_Control));
  replaceAll(Text, "{{ip}}", At.m_Ip);
  replaceAll(Text, "{{platform.address|json}}", Quoted(m_StoreAddress));
  replaceAll(Text, "{{limits.memoryMb|json}}", std::to_string(At.m_MemoryMb));
  replaceAll(Text, "{{limits.fileDescriptors|json}}",
             std::to_string(At.m_Descriptors));
  replaceAll(Text, "{{bounds.graceS|json}}", textOf(At.m_GraceS));
  replaceAll(Text, "{{bounds.retryBudgetRatio|json}}", "0.2");
  std::string File = m_Folder + "/" + At.m_Name + ".toml";
  std::ofstream(File) << Text;
  return File;
}

void Platform::spawn(Process &One, bool IsFirst) {
  const Place &At = One.m_At;
  std::string File = writeSettings(At, IsFirst);
  std::string LogFile = m_Folder + "/" + At.m_Name + ".log";
  std::string Variable = "KNAPWEEDLOFT_SETTINGS=" + File;
  int Log =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_t Pid = ::fork();
  if (Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    char Node[] = "node";
    char *Words[] = {m_Program.data(), Node, nullptr};
    char *Variables[] = {Variable.data(), nullptr};
    ::execve(m_Program.c_str(), Words, Variables);
    ::_exit(127);
  }
  ::close(Log);
  One.m_Pid = Pid;
  m_Log.line("platform: started " + At.m_Name + " pid " + std::to_string(Pid));
}

void Platform::start(const Place &At, bool IsFirst) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Process &One = m_Processes[At.m_Name];
  One.m_At = At;
  spawn(One, IsFirst);
}

void Platform::signal(const std::string &Name, int Number) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Log.line("platform: signal " + std::to_string(Number) + " to " + Name);
  if (m_Processes[Name].m_Pid > 0)
    ::kill(m_Processes[Name].m_Pid, Number);
}

void Platform::changeGrace(const std::string &Name, double GraceS) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Process &One = m_Processes.at(Name);
  One.m_At.m_GraceS = GraceS;
  writeSettings(One.m_At, false);
  m_Log.line("platform: the settings of " + Name + " say grace_s " +
             textOf(GraceS));
}

void Platform::guard() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (auto &[Name, One] : m_Processes) {
    if (One.m_Pid <= 0) {
      if (One.m_RestartAt > 0 && now() >= One.m_RestartAt) {
        One.m_RestartAt = 0;
        spawn(One, false);
      }
      continue;
    }
    int Mb = mostResidentKb(One.m_Pid) / 1024;
    One.m_PeakMb = std::max(One.m_PeakMb, Mb);
    if (Mb > One.m_At.m_MemoryMb) {
      m_Log.line("platform: " + Name + " holds " + std::to_string(Mb) +
                 " MB, more than memoryMb " +
                 std::to_string(One.m_At.m_MemoryMb) + ": killed");
      ::kill(One.m_Pid, SIGKILL);
    }
    int Status = 0;
    if (::waitpid(One.m_Pid, &Status, Mb > One.m_At.m_MemoryMb ? 0 : WNOHANG) !=
        One.m_Pid)
      continue;
    ++One.m_Ends;
    m_Log.line("platform: " + Name + " has ended, " +
               (WIFSIGNALED(Status)
                    ? "signal " + std::to_string(WTERMSIG(Status))
                    : "code " + std::to_string(WEXITSTATUS(Status))));
    One.m_Pid = 0;
    One.m_RestartAt = now() + RestartDelay;
  }
}

int Platform::endsOf(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Processes.at(Name).m_Ends;
}

int Platform::peakOf(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Processes.at(Name).m_PeakMb;
}

bool Platform::isReady(const Place &At) const {
  Conn Ready = Conn::connectTo({At.m_Ip, At.m_Ready}, 1);
  if (!Ready.isOpen() ||
      !Ready.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  auto Answer = Ready.readHead();
  return Answer && Answer->status() == 200;
}

bool Platform::awaitReady(const Place &At, double TimeoutS) const {
  for (double End = now() + TimeoutS; now() < End; pauseFor(0.1))
    if (isReady(At))
      return true;
  return false;
}

} // namespace review2
