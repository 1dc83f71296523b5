#ifndef KNAPWEEDLOFT_FAKEFLEET_TRAFFIC_H
#define KNAPWEEDLOFT_FAKEFLEET_TRAFFIC_H

#include <cstdint>
#include <map>
#include <string>

namespace knapweedloft::fakefleet {

/// Messages of one kind that a daemon sent.
struct KindTraffic {
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0; ///< Frames with their length.
};

/// What a daemon sent, by the name of the message.
using Traffic = std::map<std::string, KindTraffic>;

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_TRAFFIC_H
