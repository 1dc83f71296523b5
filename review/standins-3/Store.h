#ifndef KNAPWEEDLOFT_REVIEW3_STORE_H
#define KNAPWEEDLOFT_REVIEW3_STORE_H

#include "Http.h"
#include "Server.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace knapweedloft::review3 {

/// Stand-in for the platform's metadata store: keyed topics with one partition
/// (log-append, log-read and log-newest of PROTOCOL.md).
class Store {
public:
  explicit Store(const Endpoint &At);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  [[nodiscard]] bool isListening() const { return m_Server->isListening(); }
  /// Writes a record as the operator does; an empty value drops the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Newest {
    std::string m_Value;
    std::uint64_t m_Offset = 0;
  };

  struct Topic {
    std::vector<std::string> m_Records;
    std::map<std::string, Newest> m_Newest;
  };

  struct Answer {
    int m_Status = 200;
    std::string m_Body;
  };

  void serve(const Socket &Held);
  Answer handle(const Head &Request, const std::string &Body);
  Answer append(const std::string &Name, const std::string &Body);
  Answer read(const std::string &Name, std::uint64_t From, double WaitS);
  Answer newest(const std::string &Name);
  void add(Topic &To, std::string Content);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsStopping = false;
  std::map<std::string, Topic> m_Topics;
  std::unique_ptr<Server> m_Server;
};

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_STORE_H
