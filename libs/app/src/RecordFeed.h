#ifndef KNAPWEEDLOFT_APP_RECORDFEED_H
#define KNAPWEEDLOFT_APP_RECORDFEED_H

#include "link/generated/link_generated.h"
#include "model/LogOffset.h"
#include "state/StateReplica.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace knapweedloft::app {

/// The side of Spread that passes records and images on to subscribers.
class RecordFeed {
public:
  using Send = std::function<bool(const std::string &Name,
                                  link::wire::MessageUnion Message)>;

  struct Options {
    absl::Duration m_SubscribedFor;
    std::size_t m_MaxRecords;
    std::size_t m_ChunkBytes;
  };

  RecordFeed(const Options &Settings, const state::StateReplica &Replica,
             Send Sender)
      : m_Settings(Settings), m_Replica(Replica), m_Send(std::move(Sender)) {}

  void onAsk(const std::string &From, const link::wire::RecordsAskT &Ask,
             const link::wire::Stamp &Stamp, absl::Time Now);
  void onImageAsk(const std::string &From);
  void onDown(const std::string &Name) { m_Subscribers.erase(Name); }

  /// Sends every subscriber what it lacks.
  void push(const link::wire::Stamp &Stamp, absl::Time Now);

  [[nodiscard]] std::uint64_t recordsSent() const { return m_RecordsSent; }
  [[nodiscard]] std::uint64_t imagesSent() const { return m_ImagesSent; }

private:
  struct Subscriber {
    absl::Time m_Until;
    model::LogOffset m_SentThrough = 0;
  };

  void feed(const std::string &Name, Subscriber &To,
            const link::wire::Stamp &Stamp);
  bool sendRecords(const std::string &Name, Subscriber &To,
                   const std::vector<state::StoredRecord> &Records,
                   const link::wire::Stamp &Stamp);
  void sendTooOld(const std::string &Name, const link::wire::Stamp &Stamp);

  Options m_Settings;
  const state::StateReplica &m_Replica;
  Send m_Send;
  absl::flat_hash_map<std::string, Subscriber> m_Subscribers;
  std::uint64_t m_RecordsSent = 0;
  std::uint64_t m_ImagesSent = 0;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RECORDFEED_H
