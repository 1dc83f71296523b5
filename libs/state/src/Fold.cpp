#include "state/Fold.h"

#include "FoldImpl.h"
#include "ImageCodec.h"

#include <utility>

namespace knapweedloft::state {

Fold::Fold() : m_Impl(std::make_unique<Impl>()) {}

Fold::~Fold() = default;

Fold::Fold(Fold &&) noexcept = default;

Fold &Fold::operator=(Fold &&) noexcept = default;

FoldResult Fold::apply(model::LogOffset Offset, std::string_view Payload) {
  return m_Impl->apply(Offset, Payload);
}

model::LogOffset Fold::offset() const { return m_Impl->m_State.m_Offset; }

SnapshotPtr Fold::snapshot() {
  return std::make_shared<const Snapshot>(m_Impl->m_State.freeze());
}

std::optional<SettledChange> Fold::outcomeOf(std::string_view ChangeId) const {
  const SettledChange *Found = m_Impl->m_Settled.find(ChangeId);
  return Found == nullptr ? std::nullopt : std::optional(*Found);
}

std::string Fold::image() const {
  return encodeImage(m_Impl->m_State, m_Impl->m_Settled, m_Impl->m_Retired);
}

Fold Fold::fromImage(std::string_view Bytes) {
  Fold Loaded;
  decodeImage(Bytes, Loaded.m_Impl->m_State, Loaded.m_Impl->m_Settled,
              Loaded.m_Impl->m_Retired);
  return Loaded;
}

} // namespace knapweedloft::state
