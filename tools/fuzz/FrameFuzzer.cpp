#include "EnvelopeCodec.h"
#include "FrameBuffer.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

// The bytes of a link, as a peer may send them: cut into frames, verified,
// unpacked; a message that was taken can be sent on.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft::link;
  FrameBuffer Buffer(1 << 16);
  std::span<const std::uint8_t> Rest(Data, Size);
  while (!Rest.empty()) {
    auto Room = Buffer.room();
    std::size_t Bytes = std::min(Room.size(), Rest.size());
    std::copy_n(Rest.begin(), Bytes, Room.begin());
    Buffer.commit(Bytes);
    Rest = Rest.subspan(Bytes);
    std::span<const std::uint8_t> Frame;
    FrameBuffer::Result Result;
    while ((Result = Buffer.next(Frame)) == FrameBuffer::Result::Frame)
      if (auto Envelope = decodeFrame(Frame))
        if (encodeFrame(*Envelope).empty())
          std::abort();
    if (Result == FrameBuffer::Result::Oversize)
      return 0;
  }
  return 0;
}
