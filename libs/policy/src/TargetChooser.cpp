#include "policy/TargetChooser.h"

#include "policy/PolicyError.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {

class TargetChooser::Impl {
public:
  explicit Impl(Options Settings) : m_Settings(std::move(Settings)) {}

  struct Slot {
    TargetInfo m_Info;
    TargetFeedback m_Load;
    std::uint32_t m_Outstanding = 0;
    bool m_IsListed = false;
  };

  Slot &at(TargetHandle Target) {
    if (Target.m_Index >= m_Slots.size())
      throw PolicyError("no such target");
    return m_Slots[Target.m_Index];
  }

  void setTargets(const std::vector<TargetInfo> &Targets);
  std::optional<TargetHandle> choose(const ChoiceContext &Context,
                                     absl::BitGenRef Random);
  std::optional<TargetHandle> find(model::Incarnation Incarnation) const;

  Options m_Settings;
  std::vector<Slot> m_Slots;
};

std::optional<TargetHandle>
TargetChooser::Impl::find(model::Incarnation Incarnation) const {
  for (std::uint32_t Index = 0; Index < m_Slots.size(); ++Index)
    if (m_Slots[Index].m_IsListed &&
        m_Slots[Index].m_Info.m_Incarnation == Incarnation)
      return TargetHandle{Index};
  return std::nullopt;
}

void TargetChooser::Impl::setTargets(const std::vector<TargetInfo> &Targets) {
  std::vector<bool> IsKept(m_Slots.size());
  for (const TargetInfo &Info : Targets) {
    if (auto Known = find(Info.m_Incarnation)) {
      m_Slots[Known->m_Index].m_Info = Info;
      IsKept[Known->m_Index] = true;
      continue;
    }
    m_Slots.push_back({.m_Info = Info, .m_Load = {}, .m_IsListed = true});
    IsKept.push_back(true);
  }
  for (std::size_t Index = 0; Index < m_Slots.size(); ++Index)
    m_Slots[Index].m_IsListed = IsKept[Index];
}

std::optional<TargetHandle>
TargetChooser::Impl::choose(const ChoiceContext &Context,
                            absl::BitGenRef Random) {
  std::vector<TargetHandle> Open;
  for (std::uint32_t Index = 0; Index < m_Slots.size(); ++Index) {
    const Slot &One = m_Slots[Index];
    if (!One.m_IsListed || One.m_Info.m_IsWithdrawn)
      continue;
    TargetHandle Handle{Index};
    if (std::find(Context.m_Excluded.begin(), Context.m_Excluded.end(),
                  Handle) == Context.m_Excluded.end())
      Open.push_back(Handle);
  }
  if (Open.empty())
    return std::nullopt;
  TargetHandle First = Open[absl::Uniform<std::size_t>(Random, 0, Open.size())];
  TargetHandle Other = Open[absl::Uniform<std::size_t>(Random, 0, Open.size())];
  bool IsFirstLess = at(First).m_Outstanding <= at(Other).m_Outstanding;
  return IsFirstLess ? First : Other;
}

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
                                                  absl::Time /*Now*/) {
  return m_Impl->choose(Context, Random);
}

void TargetChooser::onSent(TargetHandle Target, absl::Time /*Now*/) {
  ++m_Impl->at(Target).m_Outstanding;
}

void TargetChooser::onAnswer(TargetHandle Target,
                             const TargetFeedback &Feedback, bool /*IsSuccess*/,
                             absl::Duration /*Latency*/, absl::Time /*Now*/) {
  Impl::Slot &One = m_Impl->at(Target);
  One.m_Load = Feedback;
  One.m_Outstanding -= One.m_Outstanding > 0 ? 1 : 0;
}

void TargetChooser::onLost(TargetHandle Target, absl::Time /*Now*/) {
  Impl::Slot &One = m_Impl->at(Target);
  One.m_Outstanding -= One.m_Outstanding > 0 ? 1 : 0;
}

void TargetChooser::onLoad(TargetHandle Target, const TargetFeedback &Feedback,
                           absl::Time /*Now*/) {
  m_Impl->at(Target).m_Load = Feedback;
}

float TargetChooser::shedLevel(absl::Time /*Now*/) const {
  float Sum = 0;
  float Count = 0;
  for (const Impl::Slot &One : m_Impl->m_Slots) {
    if (!One.m_IsListed)
      continue;
    Sum += One.m_Load.m_ShedLevel;
    Count += 1;
  }
  return Count > 0 ? Sum / Count : 0;
}

const TargetInfo &TargetChooser::info(TargetHandle Target) const {
  return m_Impl->at(Target).m_Info;
}

std::optional<TargetHandle>
TargetChooser::find(model::Incarnation Incarnation) const {
  return m_Impl->find(Incarnation);
}

std::vector<TargetHandle> TargetChooser::subset() const {
  std::vector<TargetHandle> Handles;
  for (std::uint32_t Index = 0; Index < m_Impl->m_Slots.size(); ++Index)
    if (m_Impl->m_Slots[Index].m_IsListed)
      Handles.push_back(TargetHandle{Index});
  return Handles;
}

} // namespace knapweedloft::policy
