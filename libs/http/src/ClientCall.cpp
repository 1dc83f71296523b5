#include "ClientCall.h"

#include "http/HttpError.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::http {
namespace {

constexpr std::size_t MaxAnswerHeaderBytes = 65536;

bool hasControl(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Character) {
    auto Byte = static_cast<unsigned char>(Character);
    return (Byte < ' ' && Byte != '\t') || Byte == 127;
  });
}

bool isSendable(const HttpRequest &Request) {
  bool HasBlank = Request.m_Path.find(' ') != std::string::npos;
  if (Request.m_Method.empty() || Request.m_Path.empty() || HasBlank ||
      hasControl(Request.m_Method) || hasControl(Request.m_Path))
    return false;
  return std::none_of(Request.m_Headers.begin(), Request.m_Headers.end(),
                      [](const HeaderField &Field) {
                        return Field.m_Name.empty() ||
                               hasControl(Field.m_Name) ||
                               hasControl(Field.m_Value);
                      });
}

/// Fields that belong to the connection; libcurl sets them.
bool isSetByClient(const std::string &Name) {
  for (const char *Own : {"Connection", "Content-Length", "Transfer-Encoding",
                          "Keep-Alive", "Expect", "TE", "Upgrade"})
    if (isSameName(Name, Own))
      return true;
  return false;
}

/// \returns whether libcurl has refused a head, which then does not come to the
/// hooks.
bool isMalformedFor(CURLcode Code) {
  // The last is of its list of fields.
  return Code == CURLE_UNSUPPORTED_PROTOCOL ||
         Code == CURLE_WEIRD_SERVER_REPLY ||
         Code == CURLE_BAD_FUNCTION_ARGUMENT;
}

} // namespace

ClientCall::ClientCall(std::size_t MaxBodyBytes, std::size_t &HeldBytes,
                       ClientSockets &Sockets)
    : m_MaxBodyBytes(MaxBodyBytes), m_HeldBytes(HeldBytes), m_Sockets(Sockets),
      m_Handle(curl_easy_init()) {
  if (m_Handle == nullptr)
    throw HttpError("no handle for an HTTP call");
  setFixedOptions();
  m_Sockets.attach(m_Handle);
}

ClientCall::~ClientCall() {
  curl_easy_cleanup(m_Handle);
  curl_slist_free_all(m_HeaderLines);
}

void ClientCall::setFixedOptions() {
  curl_easy_setopt(m_Handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(m_Handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(m_Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_Handle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(m_Handle, CURLOPT_PATH_AS_IS, 1L);
  // Its own decoding of chunks passes what the grammar does not allow.
  curl_easy_setopt(m_Handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(m_Handle, CURLOPT_WRITEFUNCTION, &ClientCall::onBody);
  curl_easy_setopt(m_Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_Handle, CURLOPT_HEADERFUNCTION, &ClientCall::onHeader);
  curl_easy_setopt(m_Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_Handle, CURLOPT_PREREQFUNCTION, &ClientCall::onSend);
  curl_easy_setopt(m_Handle, CURLOPT_PREREQDATA, this);
}

bool ClientCall::prepare(HttpClient::CallId Id, const std::string &Base,
                         HttpRequest Request, absl::Duration Timeout,
                         HttpClient::Done OnDone, absl::Time Now) {
  m_Id = Id;
  m_Request = std::move(Request);
  m_OnDone = std::move(OnDone);
  m_Started = Now;
  if (!isSendable(m_Request))
    return false;
  curl_easy_setopt(m_Handle, CURLOPT_URL, Base.c_str());
  curl_easy_setopt(m_Handle, CURLOPT_REQUEST_TARGET, m_Request.m_Path.c_str());
  bool IsBounded = Timeout != absl::InfiniteDuration();
  auto Milliseconds = static_cast<long>(
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(Timeout)));
  curl_easy_setopt(m_Handle, CURLOPT_TIMEOUT_MS, IsBounded ? Milliseconds : 0L);
  setMethod();
  setHeaders();
  return true;
}

void ClientCall::setMethod() {
  const std::string &Method = m_Request.m_Method;
  curl_easy_setopt(m_Handle, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_CUSTOMREQUEST, Method.c_str());
  if (Method == "HEAD") {
    curl_easy_setopt(m_Handle, CURLOPT_NOBODY, 1L);
    return;
  }
  bool DeclaresEmpty = Method == "POST" || Method == "PUT" || Method == "PATCH";
  if (m_Request.m_Body.empty() && !DeclaresEmpty)
    return;
  curl_easy_setopt(m_Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_POSTFIELDS, m_Request.m_Body.data());
  curl_easy_setopt(m_Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(m_Request.m_Body.size()));
}

void ClientCall::setHeaders() {
  curl_slist_free_all(std::exchange(m_HeaderLines, nullptr));
  std::string Line;
  for (const HeaderField &Field : m_Request.m_Headers) {
    if (isSetByClient(Field.m_Name))
      continue;
    Line = Field.m_Name;
    Line += Field.m_Value.empty() ? ";" : ": " + Field.m_Value;
    m_HeaderLines = curl_slist_append(m_HeaderLines, Line.c_str());
  }
  // A name without a value takes out what libcurl would add.
  m_HeaderLines = curl_slist_append(m_HeaderLines, "Expect:");
  for (const char *Name : {"Accept", "Content-Type"}) {
    if (findHeader(m_Request.m_Headers, Name) != nullptr)
      continue;
    Line = Name;
    Line += ':';
    m_HeaderLines = curl_slist_append(m_HeaderLines, Line.c_str());
  }
  curl_easy_setopt(m_Handle, CURLOPT_HTTPHEADER, m_HeaderLines);
}

void ClientCall::finish(Failure What, absl::Time Now) {
  HttpResult Result;
  Result.m_Failure = What;
  Result.m_Fault = m_Fault;
  Result.m_Latency = Now - m_Started;
  m_HeldBytes -= heldBytes();
  if (What == Failure::None)
    Result.m_Response = std::move(m_Response);
  HttpClient::Done OnDone = std::exchange(m_OnDone, nullptr);
  m_Request = HttpRequest();
  m_Response = HttpResponse();
  m_Head = {};
  m_Chunks = {};
  m_Fault = AnswerFault::None;
  m_HeaderBytes = 0;
  m_HasSent = false;
  m_IsTooLarge = false;
  if (OnDone)
    OnDone(std::move(Result));
}

// libcurl takes the end of the connection inside the header for the end of an
// answer that has no body.
Failure ClientCall::judge(CURLcode Code) {
  if (Code == CURLE_OK)
    return isWhole() ? Failure::None : Failure::Cut;
  // It broke while the rest of the request was written.
  if (Code == CURLE_SEND_ERROR && isWhole())
    return Failure::None;
  if (isMalformedFor(Code) && m_Fault == AnswerFault::None)
    m_Fault = m_Head.hasBegun() ? AnswerFault::Fields : AnswerFault::StatusLine;
  if (!m_HasSent)
    return Failure::NotSent;
  if (m_IsTooLarge)
    return Failure::TooLarge;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return Failure::TimedOut;
  return Failure::Cut;
}

bool ClientCall::isWhole() const {
  if (!m_Head.isWhole() || m_Fault != AnswerFault::None)
    return false;
  if (m_Request.m_Method == "HEAD")
    return !m_Head.isInterim();
  switch (m_Head.bodyEnd()) {
  case BodyEnd::Head:
    return !m_Head.isInterim();
  case BodyEnd::Length:
    return m_Response.m_Body.size() == m_Head.length();
  case BodyEnd::LastChunk:
    return m_Chunks.isWhole();
  case BodyEnd::Connection:
    break;
  }
  return false; // It can be cut without a trace.
}

std::size_t ClientCall::onBody(char *Data, std::size_t, std::size_t Size,
                               void *Self) {
  return static_cast<ClientCall *>(Self)->readBody({Data, Size}) ? Size : 0;
}

bool ClientCall::readBody(std::string_view Bytes) {
  if (m_Head.bodyEnd() != BodyEnd::LastChunk)
    return appendBody(Bytes);
  while (!Bytes.empty() && !m_Chunks.isWhole()) {
    std::string_view Content = m_Chunks.read(Bytes);
    m_Fault = m_Chunks.fault();
    m_IsTooLarge = m_Chunks.lineBytes() > MaxAnswerHeaderBytes;
    if (m_Fault != AnswerFault::None || m_IsTooLarge || !appendBody(Content))
      return false;
  }
  return true;
}

bool ClientCall::appendBody(std::string_view Part) {
  std::string &Body = m_Response.m_Body;
  m_IsTooLarge = Body.size() + Part.size() > m_MaxBodyBytes;
  if (m_IsTooLarge)
    return false;
  Body.append(Part);
  m_HeldBytes += Part.size();
  return true;
}

std::size_t ClientCall::onHeader(char *Data, std::size_t, std::size_t Size,
                                 void *Self) {
  return static_cast<ClientCall *>(Self)->readHead({Data, Size}) ? Size : 0;
}

bool ClientCall::readHead(std::string_view Bytes) {
  m_HeaderBytes += Bytes.size();
  m_IsTooLarge = m_HeaderBytes > MaxAnswerHeaderBytes;
  if (m_IsTooLarge)
    return false;
  if (m_Head.isWhole() && m_Head.isInterim())
    m_Head = {};
  for (char Byte : Bytes) {
    if (!m_Head.read(Byte)) {
      m_Fault = m_Head.fault();
      return false;
    }
  }
  if (m_Head.isWhole()) {
    m_Response.m_Status = m_Head.status();
    m_Response.m_Headers = m_Head.fields();
  }
  return true;
}

int ClientCall::onSend(void *Self, char *, char *, int, int LocalPort) {
  auto &Call = *static_cast<ClientCall *>(Self);
  if (Call.m_HasSent)
    return CURL_PREREQFUNC_ABORT;
  Call.m_IsStale =
      Call.m_Sockets.hasUnreadInput(static_cast<std::uint16_t>(LocalPort));
  if (Call.m_IsStale)
    return CURL_PREREQFUNC_ABORT;
  Call.m_HasSent = true;
  return CURL_PREREQFUNC_OK;
}

} // namespace knapweedloft::http
