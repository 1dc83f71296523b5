#include "HttpCaller.h"

#include "platform/PlatformError.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <utility>

namespace knapweedloft::platform {
namespace {

/// Sets libcurl up once a process.
void initializeCurl() {
  static const CURLcode Result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Result != CURLE_OK)
    throw PlatformError(PlatformErrorKind::Unavailable,
                        "libcurl cannot be initialized");
}

std::string baseOf(const HttpLogOptions &Options) {
  std::array<std::uint8_t, sizeof(in6_addr)> Parsed{};
  const std::string &Address = Options.m_Address;
  if (inet_pton(AF_INET, Address.c_str(), Parsed.data()) == 1)
    return fmt::format("http://{}:{}", Address, Options.m_Port);
  if (inet_pton(AF_INET6, Address.c_str(), Parsed.data()) == 1)
    return fmt::format("http://[{}]:{}", Address, Options.m_Port);
  throw PlatformError(PlatformErrorKind::Unavailable,
                      "the log's address is not an IP number");
}

struct AnswerBuffer {
  std::string *m_Body;
  std::size_t m_MaxBytes;
};

std::size_t takeBytes(char *Data, std::size_t Size, std::size_t Count,
                      void *Context) {
  auto *Buffer = static_cast<AnswerBuffer *>(Context);
  const std::size_t Bytes = Size * Count;
  if (Buffer->m_Body->size() + Bytes > Buffer->m_MaxBytes)
    return 0;
  Buffer->m_Body->append(Data, Bytes);
  return Bytes;
}

/// Headers that a call adds to libcurl's own.
class ExtraHeaders {
public:
  ExtraHeaders() {
    add("Content-Type: application/octet-stream");
    add("Expect:"); // No round trip before the body.
  }
  ~ExtraHeaders() { curl_slist_free_all(m_List); }
  ExtraHeaders(const ExtraHeaders &) = delete;
  ExtraHeaders &operator=(const ExtraHeaders &) = delete;
  [[nodiscard]] curl_slist *list() const { return m_List; }

private:
  void add(const char *Line) { m_List = curl_slist_append(m_List, Line); }

  curl_slist *m_List = nullptr;
};

long millisecondsOf(absl::Duration Time) {
  return static_cast<long>(absl::ToInt64Milliseconds(Time));
}

void fillOutcome(CURL *Handle, CURLcode Result, HttpOutcome &Outcome) {
  long Status = 0;
  long RequestBytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  Outcome.m_MayHaveArrived = RequestBytes > 0;
  if (Result == CURLE_OK)
    Outcome.m_Status = static_cast<int>(Status);
  else
    Outcome.m_Error = curl_easy_strerror(Result);
}

} // namespace

HttpCaller::HttpCaller(HttpLogOptions Options)
    : m_Options(std::move(Options)), m_Base(baseOf(m_Options)) {
  initializeCurl();
}

HttpCaller::~HttpCaller() {
  for (void *Each : m_Idle)
    curl_easy_cleanup(static_cast<CURL *>(Each));
}

HttpOutcome HttpCaller::call(const std::string &Path,
                             std::optional<std::string_view> Body,
                             absl::Duration Timeout) {
  CURL *Handle = static_cast<CURL *>(takeHandle());
  HttpOutcome Outcome;
  AnswerBuffer Buffer{&Outcome.m_Body, m_Options.m_MaxAnswerBytes};
  const ExtraHeaders Headers;
  const std::string Url = m_Base + Path;
  curl_easy_reset(Handle);
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, millisecondsOf(Timeout));
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   millisecondsOf(m_Options.m_ConnectTimeout));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, takeBytes);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Buffer);
  if (Body) {
    // libcurl sends a request again by itself where a reused connection breaks
    // before the answer; an append might then take effect twice unseen.
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers.list());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Body->size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body->data());
  }
  fillOutcome(Handle, curl_easy_perform(Handle), Outcome);
  giveBack(Handle);
  return Outcome;
}

void *HttpCaller::takeHandle() {
  {
    absl::MutexLock Lock(&m_Mutex);
    if (!m_Idle.empty()) {
      void *Handle = m_Idle.back();
      m_Idle.pop_back();
      return Handle;
    }
  }
  void *Handle = curl_easy_init();
  if (Handle == nullptr)
    throw PlatformError(PlatformErrorKind::Unavailable,
                        "libcurl gave no handle");
  return Handle;
}

void HttpCaller::giveBack(void *Handle) {
  absl::MutexLock Lock(&m_Mutex);
  m_Idle.push_back(Handle);
}

} // namespace knapweedloft::platform
