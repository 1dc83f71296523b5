#include "Store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace knapweedloft::review3 {
namespace {

constexpr double IdleSeconds = 60;
constexpr double BodySeconds = 5;
constexpr std::size_t LengthBytes = 4;

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Text += static_cast<char>(Value >> Shift & 0xff);
  return Text;
}

std::string base64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Three = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Three =
          Three << 8 |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Count ? Digits[Three >> (18 - 6 * Index) & 63] : '=';
  }
  return Text;
}

/// \returns a value of the query; no name or value here needs decoding.
std::string query(const std::string &Path, const std::string &Name) {
  std::size_t At = Path.find("?" + Name + "=");
  if (At == std::string::npos)
    At = Path.find("&" + Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 2;
  return Path.substr(At, Path.find('&', At) - At);
}

std::uint64_t number(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace

Store::Store(const Endpoint &At) {
  m_Server =
      std::make_unique<Server>(At, [this](const Socket &Held) { serve(Held); });
}

Store::~Store() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopping = true;
  }
  m_Changed.notify_all();
  m_Server.reset();
}

void Store::put(const std::string &Name, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  add(m_Topics[Name],
      std::string(1, static_cast<char>(Key.size())) + Key + Value);
  m_Changed.notify_all();
}

void Store::add(Topic &To, std::string Content) {
  std::size_t KeyBytes = static_cast<unsigned char>(Content.front());
  std::string Key = Content.substr(1, KeyBytes);
  std::string Value = Content.substr(1 + KeyBytes);
  if (Value.empty())
    To.m_Newest.erase(Key);
  else
    To.m_Newest[Key] = {std::move(Value), To.m_Records.size()};
  To.m_Records.push_back(std::move(Content));
}

void Store::serve(const Socket &Held) {
  MessageReader Reader(Held);
  Head Request;
  while (Reader.readHead(Request, IdleSeconds) == ReadEnd::Data) {
    std::string Body;
    if (Reader.readBody(Request.m_BodyBytes, &Body, BodySeconds) !=
        ReadEnd::Data)
      return;
    Answer Reply = handle(Request, Body);
    if (!Held.send("HTTP/1.1 " + std::to_string(Reply.m_Status) +
                   " Status\r\nContent-Length: " +
                   std::to_string(Reply.m_Body.size()) + "\r\n\r\n" +
                   Reply.m_Body))
      return;
  }
}

Store::Answer Store::handle(const Head &Request, const std::string &Body) {
  std::string Path = Request.path();
  std::string Name = query(Path, "topic");
  if (Path.rfind("/v1/log-append", 0) == 0)
    return append(Name, Body);
  if (Path.rfind("/v1/log-newest", 0) == 0)
    return newest(Name);
  if (Path.rfind("/v1/log-read", 0) == 0)
    return read(Name, number(query(Path, "from")),
                static_cast<double>(number(query(Path, "waitMs"))) / 1000);
  return {404, ""};
}

Store::Answer Store::append(const std::string &Name, const std::string &Body) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Topic &To = m_Topics[Name];
  std::size_t First = To.m_Records.size();
  for (std::size_t At = 0; At + LengthBytes <= Body.size();) {
    std::size_t Bytes = 0;
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Bytes = Bytes << 8 | static_cast<unsigned char>(Body[At + Index]);
    add(To, Body.substr(At + LengthBytes, Bytes));
    At += LengthBytes + Bytes;
  }
  m_Changed.notify_all();
  return {200, "{\"offset\":" + std::to_string(First) +
                   ",\"end\":" + std::to_string(To.m_Records.size()) + "}"};
}

Store::Answer Store::read(const std::string &Name, std::uint64_t From,
                          double WaitS) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  Topic &Of = m_Topics[Name];
  m_Changed.wait_for(Lock, std::chrono::duration<double>(WaitS), [&] {
    return m_IsStopping || Of.m_Records.size() > From;
  });
  std::string Body = bigEndian(Of.m_Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t At = From; At < Of.m_Records.size(); ++At)
    Body += bigEndian(Of.m_Records[At].size(), 4) + Of.m_Records[At];
  return {200, Body};
}

Store::Answer Store::newest(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  const Topic &Of = m_Topics[Name];
  std::string Items;
  for (const auto &[Key, Known] : Of.m_Newest)
    Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
             "\",\"value\":\"" + base64(Known.m_Value) +
             "\",\"offset\":" + std::to_string(Known.m_Offset) + "}";
  return {200, "{\"items\":[" + Items + "],\"hasMore\":false,\"end\":" +
                   std::to_string(Of.m_Records.size()) + "}"};
}

} // namespace knapweedloft::review3
