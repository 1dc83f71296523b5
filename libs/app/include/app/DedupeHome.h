#ifndef KNAPWEEDLOFT_APP_DEDUPEHOME_H
#define KNAPWEEDLOFT_APP_DEDUPEHOME_H

#include "app/WireConvert.h"
#include "model/Member.h"
#include "policy/IdempotencyTable.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// The memory of requests with an idempotency key at their home daemon, and
/// the copy that this daemon keeps for other homes.
///
/// Before a request runs, its start is stored at a second member, which tells
/// what it knows of the key. Not thread-safe: it belongs to the link thread.
class DedupeHome {
public:
  /// How the storing of a start ended.
  enum class Start : std::uint8_t {
    Stored,  ///< It may run.
    Known,   ///< The second knew the key: claim again.
    Refused, ///< Nothing was heard in time; it may not run.
  };
  using Started = std::function<void(Start, absl::Time Now)>;

  struct Hooks {
    /// The member that keeps the copy of \p Name; none if there is no other.
    std::function<std::optional<model::Member>(const std::string &Name)>
        m_Second;
    /// \returns false if no link is up; asks for one.
    std::function<bool(const model::Member &To, wire::DedupeStoreT)> m_Store;
  };

  struct Options {
    policy::IdempotencyTable::Options m_Table;
    absl::Duration m_StoreWait = absl::Milliseconds(500);
    Hooks m_Hooks;
  };

  explicit DedupeHome(Options Settings);

  /// \returns the name under which a customer's key is remembered.
  [[nodiscard]] static std::string nameOf(const std::string &Customer,
                                          const std::string &Key);

  [[nodiscard]] policy::DedupeClaim
  claim(const std::string &Name, std::uint64_t RequestHash, absl::Time Now);
  /// Takes a fresh claim back.
  void release(const std::string &Name) { m_Table.release(Name); }
  /// After a fresh claim; \p OnDone runs once, perhaps at once.
  void storeStart(const std::string &Name, Started OnDone, absl::Time Now);
  /// The claimed request has ended so. Told to the second.
  void end(const std::string &Name, const wire::AnswerT &Answer,
           absl::Time Now);
  /// \returns the answer to replay, or null.
  [[nodiscard]] const wire::AnswerT *answerOf(const std::string &Name) const;

  /// \returns the acknowledgement to send back.
  [[nodiscard]] wire::DedupeAckT onStore(wire::DedupeStoreT &Message,
                                         absl::Time Now);
  void onAck(wire::DedupeAckT &Message, absl::Time Now);
  void tick(absl::Time Now);
  /// Sends all that is remembered to its seconds, over the next ticks: when
  /// members have changed, and before this daemon leaves.
  void handOn();

private:
  struct Pending {
    std::string m_Name;
    Started m_OnDone;
    absl::Time m_Until;
    bool m_IsSent = false;
  };

  [[nodiscard]] std::unique_ptr<wire::DedupeEntryT>
  entryOf(const std::string &Name, policy::DedupeState State) const;
  void adopt(wire::DedupeEntryT &Entry, absl::Time Now, bool &IsTaken);
  bool tell(const std::string &Name, policy::DedupeState State,
            std::uint64_t Sequence);
  void handOnSome();
  void complete(std::uint64_t Sequence, Start How, absl::Time Now);
  policy::OutcomeId keep(const wire::AnswerT &Answer);
  void dropEvicted();

  Options m_Options;
  policy::IdempotencyTable m_Table;
  absl::flat_hash_map<policy::OutcomeId, wire::AnswerT> m_Answers;
  policy::OutcomeId m_LastAnswer = 0;
  absl::flat_hash_map<std::uint64_t, Pending> m_Pending;
  std::uint64_t m_LastSequence = 0;
  std::vector<std::string> m_ToHandOn;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_DEDUPEHOME_H
