#ifndef KNAPWEEDLOFT_STATE_RECORDCODEC_H
#define KNAPWEEDLOFT_STATE_RECORDCODEC_H

#include "state/Record.h"

#include <string>
#include <string_view>

namespace knapweedloft::state {

/// \returns \p What as the payload of a log record.
[[nodiscard]] std::string encodeRecord(const Record &What);

/// \throws StateError if \p Payload is not a valid record: bytes that the
/// schema's verifier refuses, an enumerator out of range, or a resource that
/// breaks the rules of findFault().
[[nodiscard]] Record decodeRecord(std::string_view Payload);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_RECORDCODEC_H
