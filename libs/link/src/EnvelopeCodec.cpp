#include "EnvelopeCodec.h"

#include "FrameBuffer.h"

namespace knapweedloft::link {
namespace {

constexpr flatbuffers::uoffset_t MaxDepth = 16;
constexpr flatbuffers::uoffset_t MaxTables = 100'000;
/// Root offset and file identifier.
constexpr std::size_t MinFrameBytes = 8;

} // namespace

std::string encodeFrame(const wire::EnvelopeT &Envelope) {
  flatbuffers::FlatBufferBuilder Builder;
  auto Root = wire::CreateEnvelope(Builder, &Envelope);
  Builder.Finish(Root, wire::EnvelopeIdentifier());
  // FinishSizePrefixed would align the prefix instead of what follows it.
  std::string Frame;
  Frame.reserve(FrameBuffer::PrefixBytes + Builder.GetSize());
  for (unsigned Shift = 0; Shift < 32; Shift += 8)
    Frame.push_back(static_cast<char>(Builder.GetSize() >> Shift & 0xff));
  Frame.append(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
               Builder.GetSize());
  return Frame;
}

std::unique_ptr<wire::EnvelopeT>
decodeFrame(std::span<const std::uint8_t> Frame) {
  if (Frame.size() < MinFrameBytes)
    return nullptr;
  flatbuffers::Verifier Verifier(Frame.data(), Frame.size(), MaxDepth,
                                 MaxTables);
  if (!wire::VerifyEnvelopeBuffer(Verifier))
    return nullptr;
  auto Envelope = wire::UnPackEnvelope(Frame.data());
  if (Envelope->message.type == wire::Message::NONE ||
      Envelope->message.value == nullptr)
    return nullptr;
  return Envelope;
}

} // namespace knapweedloft::link
