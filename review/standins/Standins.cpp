#include "Standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr std::size_t ReadBytes = 64 << 10;
constexpr Millis BeatInterval{1500};
constexpr int Slots = 36;
const Clock::time_point Began = Clock::now();

sockaddr_in addressOf(const Endpoint &Of) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Of.m_Port);
  if (::inet_pton(AF_INET, Of.m_Address.c_str(), &At.sin_addr) != 1)
    throw std::runtime_error("not an address: " + Of.m_Address);
  return At;
}

void setNoDelay(int Fd) {
  int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
}

bool isSame(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::size_t numberOf(std::string_view Text) {
  std::size_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string queryValue(const std::string &Path, const std::string &Name) {
  std::size_t At = Path.find(Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 1;
  return Path.substr(At, Path.find('&', At) - At);
}

std::string base64(std::string_view Text) {
  constexpr std::string_view Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned SixBits = 63;
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t Next = 0; Next < 3; ++Next)
      Bits = Bits << 8 | (At + Next < Text.size()
                              ? static_cast<unsigned char>(Text[At + Next])
                              : 0U);
    for (int Index = 0; Index < 4; ++Index)
      Result += At + static_cast<std::size_t>(Index) <= Text.size()
                    ? Letters[Bits >> (18 - 6 * Index) & SixBits]
                    : '=';
  }
  return Result;
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Text += static_cast<char>(Value >> (8 * Index) & 0xff);
  return Text;
}

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts)
    Text += Part;
  return Text;
}

std::string quoted(const Endpoint &Of) {
  return "\"" + Of.m_Address + ":" + std::to_string(Of.m_Port) + "\"";
}

} // namespace

double now() {
  return std::chrono::duration<double>(Clock::now() - Began).count();
}

void sleepFor(Millis Time) { std::this_thread::sleep_for(Time); }

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")) {
  if (m_File == nullptr)
    throw std::runtime_error("cannot write " + Path);
}

Record::~Record() { std::fclose(m_File); }

void Record::line(const std::string &Text) {
  std::lock_guard Lock(m_Mutex);
  std::fprintf(m_File, "%8.3f %s\n", now(), Text.c_str());
  std::fflush(m_File);
}

std::string Message::header(std::string_view Name) const {
  for (const auto &[Known, Value] : m_Headers)
    if (isSame(Known, Name))
      return Value;
  return {};
}

std::string Message::word(std::size_t Index) const {
  std::istringstream Words(m_Start);
  std::string Word;
  for (std::size_t Count = 0; Count <= Index; ++Count)
    if (!(Words >> Word))
      return {};
  return Word;
}

int Message::status() const { return static_cast<int>(numberOf(word(1))); }

Socket::Socket(Socket &&Other) noexcept
    : m_Fd(std::exchange(Other.m_Fd, -1)), m_Unread(std::move(Other.m_Unread)),
      m_HasEnded(Other.m_HasEnded) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  close();
  m_Fd = std::exchange(Other.m_Fd, -1);
  m_Unread = std::move(Other.m_Unread);
  m_HasEnded = Other.m_HasEnded;
  return *this;
}

Socket::~Socket() { close(); }

Socket Socket::connectTo(const Endpoint &To) {
  Socket Made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in At = addressOf(To);
  if (::connect(Made.fd(), reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0)
    return {};
  setNoDelay(Made.fd());
  return Made;
}

Socket Socket::listenAt(const Endpoint &Own) {
  constexpr int Backlog = 512;
  Socket Made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int One = 1;
  ::setsockopt(Made.fd(), SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = addressOf(Own);
  if (::bind(Made.fd(), reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(Made.fd(), Backlog) != 0)
    throw std::runtime_error("cannot listen on " + Own.m_Address);
  return Made;
}

Socket Socket::acceptOne() const {
  Socket Made(::accept4(m_Fd, nullptr, nullptr, SOCK_CLOEXEC));
  if (Made.isOpen())
    setNoDelay(Made.fd());
  return Made;
}

bool Socket::sendAll(std::string_view Text) const {
  while (!Text.empty()) {
    ssize_t Sent = ::send(m_Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool Socket::fill() {
  std::string Room(ReadBytes, '\0');
  ssize_t Bytes = ::recv(m_Fd, Room.data(), Room.size(), 0);
  if (Bytes < 0 && errno == EINTR)
    return true;
  if (Bytes <= 0) {
    m_HasEnded = true;
    return false;
  }
  m_Unread.append(Room, 0, static_cast<std::size_t>(Bytes));
  return true;
}

std::optional<Message> Socket::readMessage(Millis Wait) {
  auto Until = Clock::now() + Wait;
  auto More = [&] {
    if (Wait.count() > 0) {
      auto Left =
          std::chrono::duration_cast<Millis>(Until - Clock::now()).count();
      pollfd Poll{.fd = m_Fd, .events = POLLIN, .revents = 0};
      if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left)) <= 0)
        return false;
    }
    return fill();
  };
  std::size_t End = 0;
  while ((End = m_Unread.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return std::nullopt;
  Message Read;
  std::istringstream Lines(m_Unread.substr(0, End));
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Read.m_Start.empty())
      Read.m_Start = Line;
    else if (Colon != std::string::npos)
      Read.m_Headers.emplace_back(
          Line.substr(0, Colon),
          Line.substr(
              std::min(Line.find_first_not_of(' ', Colon + 1), Line.size())));
  }
  std::size_t BodyBytes = numberOf(Read.header("Content-Length"));
  while (m_Unread.size() < End + 4 + BodyBytes)
    if (!More())
      return std::nullopt;
  Read.m_Body = m_Unread.substr(End + 4, BodyBytes);
  m_Unread.erase(0, End + 4 + BodyBytes);
  return Read;
}

void Socket::shutDown() const { ::shutdown(m_Fd, SHUT_RDWR); }

void Socket::close() {
  if (m_Fd >= 0)
    ::close(std::exchange(m_Fd, -1));
}

Server::Server(const Endpoint &Own, Talk OnConnection)
    : m_Listener(Socket::listenAt(Own)),
      m_OnConnection(std::move(OnConnection)), m_Acceptor([this] {
        while (true) {
          auto Peer = std::make_shared<Socket>(m_Listener.acceptOne());
          if (!Peer->isOpen())
            return;
          std::lock_guard Lock(m_Mutex);
          m_Open.push_back(Peer->fd());
          m_Threads.emplace_back([this, Peer] {
            m_OnConnection(*Peer);
            std::lock_guard Ended(m_Mutex);
            std::erase(m_Open, Peer->fd());
            Peer->close();
          });
        }
      }) {}

Server::~Server() {
  m_Listener.shutDown();
  m_Acceptor.join();
  {
    std::lock_guard Lock(m_Mutex);
    for (int Fd : m_Open)
      ::shutdown(Fd, SHUT_RDWR);
  }
  for (std::thread &Each : m_Threads)
    Each.join();
}

std::string responseText(int Status, const std::string &Headers,
                         const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

Store::Store(const Endpoint &Own)
    : m_Server(Own, [this](Socket &Peer) { talk(Peer); }) {}

Store::~Store() {
  std::lock_guard Lock(m_Mutex);
  m_IsStopping = true;
  m_Appended.notify_all();
}

void Store::append(Topic &To, const std::string &Content) {
  std::size_t KeyBytes = static_cast<unsigned char>(Content.at(0));
  std::string Key = Content.substr(1, KeyBytes);
  if (Content.size() > 1 + KeyBytes)
    To.m_Newest[Key] = To.m_Records.size();
  else
    To.m_Newest.erase(Key);
  To.m_Records.push_back(Content);
  m_Appended.notify_all();
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard Lock(m_Mutex);
  append(m_Topics[Topic], static_cast<char>(Key.size()) + Key + Value);
}

std::string Store::newest(Topic &From, const std::string &After) {
  std::string Items;
  for (const auto &[Key, Offset] : From.m_Newest) {
    if (Key <= After)
      continue;
    const std::string &Content = From.m_Records[Offset];
    Items += (Items.empty() ? "" : ",");
    Items += R"({"key":")" + Key + R"(","value":")" +
             base64(std::string_view(Content).substr(1 + Key.size())) +
             R"(","offset":)" + std::to_string(Offset) + "}";
  }
  return R"({"items":[)" + Items + R"(],"hasMore":false,"end":)" +
         std::to_string(From.m_Records.size()) + "}";
}

std::string Store::respond(const Message &Request) {
  std::string Path = Request.word(1);
  std::unique_lock Lock(m_Mutex);
  Topic &Of = m_Topics[queryValue(Path, "topic")];
  if (Path.starts_with("/v1/log-newest"))
    return responseText(200, "Content-Type: application/json\r\n",
                        newest(Of, queryValue(Path, "after")));
  if (Path.starts_with("/v1/log-append")) {
    std::string_view Rest = Request.m_Body;
    std::size_t First = Of.m_Records.size();
    while (Rest.size() > 4) {
      std::size_t Size = 0;
      for (int Index = 0; Index < 4; ++Index)
        Size = Size << 8 | static_cast<unsigned char>(Rest[Index]);
      append(Of, std::string(Rest.substr(4, Size)));
      Rest.remove_prefix(std::min(Rest.size(), 4 + Size));
    }
    return responseText(200, "Content-Type: application/json\r\n",
                        R"({"offset":)" + std::to_string(First) + R"(,"end":)" +
                            std::to_string(Of.m_Records.size()) + "}");
  }
  if (!Path.starts_with("/v1/log-read"))
    return responseText(404, "", "");
  std::size_t From = numberOf(queryValue(Path, "from"));
  m_Appended.wait_for(Lock, Millis(numberOf(queryValue(Path, "waitMs"))), [&] {
    return m_IsStopping || Of.m_Records.size() > From;
  });
  std::string Body = bigEndian(Of.m_Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t At = From; At < Of.m_Records.size(); ++At)
    Body += bigEndian(Of.m_Records[At].size(), 4) + Of.m_Records[At];
  return responseText(200, "", Body);
}

void Store::talk(Socket &Peer) {
  while (auto Request = Peer.readMessage())
    if (!Peer.sendAll(respond(*Request)))
      return;
}

std::string Place::settings() const {
  std::ostringstream Text;
  Text << "[daemon]\nname = \"" << m_Name << "\"\ndata_center = \"" << m_Zone
       << "\"\nregion = \"region-a\"\nfirst_start = "
       << (m_IsFirstStart ? "true" : "false") << "\n\n[target]\nservice = \""
       << m_Service << "\"\naddress = " << quoted(at(Target))
       << "\n\n[listen]\ncallers = " << quoted(at(Callers))
       << "\nlinks = " << quoted(at(Links)) << "\nready = " << quoted(at(Ready))
       << "\ncontrol = " << quoted(at(Control))
       << "\nmetrics = " << quoted(at(Metrics))
       << "\n\n[store]\naddress = " << quoted({m_StoreAddress, StorePort})
       << "\n\n[limits]\nmemory_mb = " << m_MemoryMb
       << "\ndescriptors = 4100\n\n[stop]\ngrace_s = " << m_GraceS
       << "\n\n[repeats]\nratio = 0.2\n\n[placement]\nleave = \"fixed\"\n"
          "wait_ms_per_mb = 1000\n";
  return Text.str();
}

Place placeOf(int Index, const std::string &Service) {
  constexpr int FirstNet = 60;
  constexpr int Nets = 150;
  constexpr int Hosts = 250;
  int Pid = ::getpid();
  std::string Net = "127." + std::to_string(FirstNet + Pid / Hosts % Nets) +
                    "." + std::to_string(Pid % Hosts + 1) + ".";
  Place Made;
  Made.m_Name = "sidecar-" + std::to_string(Index);
  Made.m_Address = Net + std::to_string(Index);
  Made.m_Service = Service;
  Made.m_StoreAddress = Net + "250";
  return Made;
}

Upstream::Upstream(Place Beside, Record &Log, std::string Id)
    : m_Place(std::move(Beside)), m_Record(Log),
      m_Id(Id.empty() ? "i-" + m_Place.m_Name : std::move(Id)),
      m_Born(std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Server(m_Place.at(Place::Target), [this](Socket &Peer) { talk(Peer); }),
      m_Beats([this] { beat(); }) {}

Upstream::~Upstream() {
  m_IsStopping = true;
  m_Beats.join();
  for (std::thread &Each : m_LateBeats)
    Each.join();
}

std::vector<Upstream::Run> Upstream::runs() {
  std::lock_guard Lock(m_Mutex);
  return m_Runs;
}

bool Upstream::report(std::uint64_t Sequence) {
  std::ostringstream Body;
  Body << R"({"address":)" << quoted(m_Place.at(Place::Target)) << R"(,"born":)"
       << m_Born << R"(,"info":{"service":")" << m_Place.m_Service
       << R"(","version":"v1","zone":")" << m_Place.m_Zone << R"(","slots":)"
       << Slots << R"(},"status":{"state":"ready","sequence":)" << Sequence
       << R"(,"coldRemainingS":0}})";
  return tellControl("PUT", Body.str());
}

bool Upstream::tellControl(const std::string &Method, const std::string &Body) {
  std::ostringstream Text;
  Text << Method << " /v1/instances/" << m_Id
       << " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
          "Connection: close\r\nContent-Length: "
       << Body.size() << "\r\n\r\n"
       << Body;
  Socket Control = Socket::connectTo(m_Place.at(Place::Control));
  if (!Control.isOpen() || !Control.sendAll(Text.str()))
    return false;
  auto Answer = Control.readMessage(Millis(1000));
  return Answer && Answer->status() / 100 == 2;
}

void Upstream::beat() {
  auto Next = Clock::now();
  while (!m_IsStopping) {
    if (m_IsLeaving || Clock::now() < Next) {
      sleepFor(Millis(10));
      continue;
    }
    std::uint64_t Sequence = ++m_Sequence;
    Next = Clock::now() + BeatInterval;
    Millis Late(m_BeatsLateMs);
    if (Late.count() == 0) {
      if (!report(Sequence))
        Next = Clock::now() + Millis(100);
      continue;
    }
    m_Record.line(join({"upstream ", m_Id, " sends beat ",
                        std::to_string(Sequence), ", which comes late"}));
    m_LateBeats.emplace_back([this, Sequence, Late] {
      sleepFor(Late);
      bool IsTaken = !m_IsStopping && report(Sequence);
      m_Record.line(
          join({"beat ", std::to_string(Sequence), " of ", m_Id,
                " arrives, ready; acknowledged: ", IsTaken ? "yes" : "no"}));
    });
  }
}

double Upstream::leave() {
  m_IsLeaving = true;
  m_Record.line(join({"upstream ", m_Id, " leaves: DELETE"}));
  if (!tellControl("DELETE", ""))
    return 0;
  double Acknowledged = now();
  m_Record.line(join({"the leaving of ", m_Id, " is acknowledged"}));
  return Acknowledged;
}

void Upstream::talk(Socket &Peer) {
  while (auto Request = Peer.readMessage()) {
    std::string Expected = Request->header("Expected-Instance");
    std::string Instance = join({"Instance-Id: ", m_Id, "\r\n"});
    bool IsOther = !Expected.empty() && Expected != m_Id;
    bool GoesOn = false;
    int HealthStatus = m_IsLeaving ? 503 : 200;
    if (IsOther || Request->word(1) == "/health")
      GoesOn = Peer.sendAll(
          responseText(IsOther ? 421 : HealthStatus, Instance, ""));
    else
      GoesOn = work(Peer, *Request);
    if (!GoesOn)
      return;
  }
}

bool Upstream::work(const Socket &Peer, const Message &Request) {
  std::string AttemptId = Request.header("Attempt-Id");
  std::string Path = Request.word(1);
  std::size_t Index = 0;
  {
    std::lock_guard Lock(m_Mutex);
    Index = m_Runs.size();
    m_Runs.push_back({.m_AttemptId = AttemptId,
                      .m_Method = Request.word(0),
                      .m_Path = Path,
                      .m_BodyBytes = Request.m_Body.size(),
                      .m_Began = now()});
  }
  std::string Self = join({"upstream ", m_Id, " of ", m_Place.m_Service});
  m_Record.line(join({Self, " runs ", AttemptId, " ", Request.word(0), " ",
                      Path, " body ", std::to_string(Request.m_Body.size())}));
  std::size_t LengthAt = std::min(Path.rfind('-') + 1, Path.size());
  auto Until =
      Clock::now() + Millis(numberOf(std::string_view(Path).substr(LengthAt)));
  while (!m_IsStopping && Clock::now() < Until) {
    // Most upstreams drop a request when its connection closes.
    pollfd Poll{.fd = Peer.fd(), .events = POLLRDHUP, .revents = 0};
    if (::poll(&Poll, 1, 5) > 0) {
      m_Record.line(
          join({Self, " drops ", AttemptId, ": its connection closed"}));
      return false;
    }
  }
  if (m_IsStopping)
    return false;
  bool IsSent = Peer.sendAll(responseText(
      200,
      join({"Attempt-Id: ", AttemptId, "\r\nResponse-Signature: sig.",
            AttemptId, "\r\nServer-Load: 1,0,", std::to_string(Slots),
            "\r\nKeep-Alive: timeout=10\r\n"}),
      join({"the answer to ", AttemptId})));
  m_Record.line(join({Self, " answered ", AttemptId}));
  std::lock_guard Lock(m_Mutex);
  m_Runs[Index].m_Answered = now();
  return IsSent;
}

Daemon::Daemon(Place At, std::string Program, std::string Folder)
    : m_Place(std::move(At)), m_Program(std::move(Program)),
      m_Folder(std::move(Folder)) {}

Daemon::~Daemon() {
  if (m_Pid > 0) {
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
  }
}

void Daemon::writeSettings() const {
  std::string Path = m_Folder + "/" + m_Place.m_Name + ".toml";
  std::ofstream(Path + ".new") << m_Place.settings();
  std::filesystem::rename(Path + ".new", Path);
}

void Daemon::start() {
  writeSettings();
  std::string Settings = m_Folder + "/" + m_Place.m_Name + ".toml";
  std::string LogPath = m_Folder + "/" + m_Place.m_Name + ".log";
  std::string Variable = "KNAPWEEDLOFT_SETTINGS=" + Settings;
  std::string Command = "node";
  std::vector<char *> Arguments{m_Program.data(), Command.data(), nullptr};
  std::vector<char *> Environment{Variable.data(), nullptr};
  std::FILE *Output = std::fopen(LogPath.c_str(), "ae");
  m_Pid = ::fork();
  if (m_Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(::fileno(Output), STDOUT_FILENO);
    ::dup2(::fileno(Output), STDERR_FILENO);
    ::execve(m_Program.c_str(), Arguments.data(), Environment.data());
    ::_exit(127);
  }
  std::fclose(Output);
  m_Place.m_IsFirstStart = false;
}

void Daemon::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

std::optional<int> Daemon::ended() {
  int Status = 0;
  if (m_Pid <= 0 || ::waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return std::nullopt;
  m_Pid = -1;
  return Status;
}

bool Daemon::awaitReady(Millis Longest) const {
  auto Until = Clock::now() + Longest;
  while (Clock::now() < Until) {
    Socket Probe = Socket::connectTo(m_Place.at(Place::Ready));
    if (Probe.isOpen() &&
        Probe.sendAll("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n"
                      "Connection: close\r\n\r\n")) {
      auto Answer = Probe.readMessage(Millis(1000));
      if (Answer && Answer->status() == 200)
        return true;
    }
    sleepFor(Millis(50));
  }
  return false;
}

double Daemon::memoryMb() const {
  std::ifstream File("/proc/" + std::to_string(m_Pid) + "/statm");
  std::size_t Whole = 0;
  std::size_t Resident = 0;
  File >> Whole >> Resident;
  constexpr double Megabyte = 1 << 20;
  return static_cast<double>(Resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / Megabyte;
}

std::string configText(const std::vector<Route> &Routes, double TimeoutS) {
  std::ostringstream Rows;
  std::set<std::string> Services;
  for (const Route &Each : Routes) {
    Rows << (Services.empty() ? "" : ",") << R"(["r-)" << Each.m_Name
         << R"(","site.example","/)" << Each.m_Name << R"(/",")" << Each.m_Kind
         << R"(",)" << TimeoutS << "," << TimeoutS << R"(,1,2,false,")"
         << Each.m_Service << R"("])";
    Services.insert(Each.m_Service);
  }
  std::ostringstream Text;
  Text << R"({"version":"r1","routes":{"columns":["name","host","pathPrefix",)"
          R"("kind","timeoutS","targetLatencyS","priority","maxAttempts",)"
          R"("public","service"],"rows":[)"
       << Rows.str()
       << R"(]},"services":{"columns":["name","healthPath","maxConnections",)"
          R"("coldStartS","coldPerS"],"rows":[)";
  const char *Comma = "";
  for (const std::string &Service : Services) {
    Text << Comma << R"([")" << Service << R"(","/health",316,3.0,50.0])";
    Comma = ",";
  }
  Text << R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
          R"("headerTimeoutS":3,"idleTimeoutS":15},"tenants":{"columns":)"
          R"(["name","apiKeys"],"rows":[["tenant-a",["key-of-tenant-a"]]]}})";
  return Text.str();
}

std::string requestText(const std::string &Method, const std::string &Path,
                        const std::string &AttemptId, int DeadlineMs,
                        const std::string &MoreHeaders, std::string_view Body) {
  std::string Text =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + AttemptId +
      "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\nAuthorization: Token key-of-tenant-a\r\n" + MoreHeaders;
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n";
  Text += Body;
  return Text;
}

Site::Site(const std::string &Program, const std::vector<Route> &Routes,
           const std::vector<std::string> &Services, double TimeoutS,
           Record &Log)
    : m_Routes(Routes),
      m_Store({placeOf(1, "").m_StoreAddress, Place::StorePort}) {
  m_Store.put("keyed.op", "config", configText(Routes, TimeoutS));
  int Index = 0;
  for (const std::string &Service : Services) {
    Place At = placeOf(++Index, Service);
    m_Daemons.push_back(std::make_unique<Daemon>(At, Program, m_Folder.path()));
    m_Daemons.back()->start();
    m_Upstreams.push_back(std::make_unique<Upstream>(At, Log));
  }
}

bool Site::awaitServing() {
  constexpr Millis Longest{15000};
  bool IsServing = true;
  for (auto &Each : m_Daemons)
    IsServing = IsServing && Each->awaitReady(Longest);
  auto Until = Clock::now() + Longest;
  for (std::size_t Index = 0; IsServing && Index < m_Daemons.size(); ++Index) {
    std::size_t Served = 0;
    std::size_t Wanted = 4 * m_Routes.size();
    while (Served < Wanted && Clock::now() < Until) {
      Socket Caller =
          Socket::connectTo(m_Daemons[Index]->place().at(Place::Callers));
      std::string Id = "warm-up-" + std::to_string(Index);
      const Route &Next = m_Routes[Served % m_Routes.size()];
      bool IsServed =
          Caller.isOpen() && Caller.sendAll(requestText(
                                 Next.m_Kind == "idempotent" ? "GET" : "POST",
                                 "/" + Next.m_Name + "/warm-up-1", Id, 2000));
      auto Answer = IsServed ? Caller.readMessage(Millis(3000)) : std::nullopt;
      Served = Answer && Answer->status() == 200 ? Served + 1 : 0;
      sleepFor(Millis(50));
    }
    IsServing = Served == Wanted;
  }
  return IsServing;
}

void Site::endUpstream(std::size_t Index) { m_Upstreams[Index].reset(); }

Upstream &Site::startUpstream(std::size_t Index, const std::string &Service,
                              const std::string &Id, Record &Log) {
  Place At = m_Daemons[Index]->place();
  At.m_Service = Service;
  m_Upstreams[Index] = std::make_unique<Upstream>(At, Log, Id);
  return *m_Upstreams[Index];
}

std::vector<Upstream::Run> Site::runsOf(const std::string &AttemptId) {
  std::vector<Upstream::Run> Found;
  for (auto &Each : m_Upstreams)
    for (const Upstream::Run &Run :
         Each ? Each->runs() : std::vector<Upstream::Run>())
      if (Run.m_AttemptId == AttemptId)
        Found.push_back(Run);
  return Found;
}

Folder::Folder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("cannot make a temporary folder");
  m_Path = Template;
}

Folder::~Folder() {
  std::error_code Ignored;
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(m_Path, Ignored);
}

int mainOf(int Count, char **Words,
           const std::function<int(const std::string &, Record &)> &Case) {
  if (Count != 3)
    return NotRunStatus;
  try {
    Record Log(Words[2]);
    Log.line(isTroubled() ? "with the disruption" : "without the disruption");
    int Status = Case(Words[1], Log);
    Log.line(Status == BrokenStatus ? "the rule was broken"
             : Status == HeldStatus ? "the rule held"
                                    : "the case could not run");
    return Status;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return NotRunStatus;
  }
}

bool isTroubled() {
  const char *Wanted = std::getenv("TROUBLE");
  return Wanted == nullptr || std::string_view(Wanted) != "0";
}

} // namespace review
