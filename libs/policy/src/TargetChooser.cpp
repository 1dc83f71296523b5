#include "TargetChooserImpl.h"

namespace knapweedloft::policy {

TargetChooser::TargetChooser(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}
TargetChooser::~TargetChooser() = default;
TargetChooser::TargetChooser(TargetChooser &&) noexcept = default;
TargetChooser &TargetChooser::operator=(TargetChooser &&) noexcept = default;

void TargetChooser::setTargets(const std::vector<TargetInfo> &Targets,
                               absl::Time /*Now*/) {
  m_Impl->setTargets(Targets);
}

std::optional<TargetHandle> TargetChooser::choose(const ChoiceContext &Context,
                                                  absl::BitGenRef Random,
                                                  absl::Time Now) {
  return m_Impl->choose(Context, Random, Now);
}

void TargetChooser::onSent(TargetHandle Target, absl::Time /*Now*/) {
  m_Impl->onSent(Target);
}

void TargetChooser::onAnswer(TargetHandle Target,
                             const TargetFeedback &Feedback, bool IsSuccess,
                             absl::Duration /*Latency*/, absl::Time Now) {
  m_Impl->onAnswer(Target, Feedback, IsSuccess, Now);
}

void TargetChooser::onCancelled(TargetHandle Target) {
  m_Impl->onCancelled(Target);
}

void TargetChooser::onLost(TargetHandle Target, absl::Time Now) {
  m_Impl->onLost(Target, Now);
}

void TargetChooser::onLoad(TargetHandle Target, const TargetFeedback &Feedback,
                           absl::Time Now) {
  m_Impl->onLoad(Target, Feedback, Now);
}

void TargetChooser::onTransfer(TargetHandle Target, absl::Duration Way,
                               std::size_t Bytes, absl::Time Now) {
  m_Impl->onTransfer(Target, Way, Bytes, Now);
}

std::optional<TargetChooser::Leaving> TargetChooser::leaving() const {
  return m_Impl->leaving();
}

float TargetChooser::shedLevel(absl::Time Now) const {
  return m_Impl->shedLevel(Now);
}

const TargetInfo &TargetChooser::info(TargetHandle Target) const {
  return m_Impl->info(Target);
}

std::optional<TargetHandle>
TargetChooser::find(model::Incarnation Incarnation) const {
  return m_Impl->find(Incarnation);
}

std::vector<TargetHandle> TargetChooser::subset() const {
  return m_Impl->subset();
}

} // namespace knapweedloft::policy
