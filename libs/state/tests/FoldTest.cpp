#include "state/Fold.h"

#include "Records.h"
#include "state/KeyText.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::state {
namespace {

using model::ResourceKind;

class FoldTest : public testing::Test {
protected:
  FoldResult apply(const std::string &Payload) {
    return m_Fold.apply(m_Fold.offset(), Payload);
  }

  ChangeOutcome outcomeOf(const std::string &ChangeId) {
    auto Settled = m_Fold.outcomeOf(ChangeId);
    EXPECT_TRUE(Settled) << ChangeId;
    return Settled ? Settled->m_Outcome : ChangeOutcome::NotFound;
  }

  std::uint64_t revisionOf(ResourceKind Kind, const std::string &Name) {
    const SnapshotPtr State = m_Fold.snapshot();
    const HeldResource *Found = State->find(Kind, Name);
    return Found == nullptr ? 0 : Found->m_Revision;
  }

  const model::KeyDigest m_Digest = digestOf("a");
  Fold m_Fold;
};

TEST_F(FoldTest, Apply_WrongOffset_Throws) {
  EXPECT_THROW(m_Fold.apply(1, putCustomer("id", "acme")), StateError);
}

TEST_F(FoldTest, Apply_SecondCopyOfAChange_IsIgnored) {
  apply(putCustomer("one", "acme"));
  apply(removal("two", ResourceKind::Customer, "acme"));
  EXPECT_EQ(apply(putCustomer("one", "acme")), FoldResult::Duplicate);
  EXPECT_EQ(revisionOf(ResourceKind::Customer, "acme"), 0U);
  EXPECT_EQ(m_Fold.outcomeOf("one")->m_Offset, 0U);
}

TEST_F(FoldTest, Apply_SecondCopyOfALostRace_KeepsItsOutcome) {
  apply(putCustomer("one", "acme", 0));
  apply(putCustomer("two", "acme", 0));
  apply(removal("three", ResourceKind::Customer, "acme"));
  EXPECT_EQ(apply(putCustomer("two", "acme", 0)), FoldResult::Duplicate);
  EXPECT_EQ(outcomeOf("two"), ChangeOutcome::RevisionMismatch);
  EXPECT_EQ(revisionOf(ResourceKind::Customer, "acme"), 0U);
}

TEST_F(FoldTest, Apply_TwoChangesOfOneRevision_FirstWins) {
  apply(putCustomer("one", "acme"));
  EXPECT_EQ(apply(putCustomer("two", "acme", 1)), FoldResult::Applied);
  EXPECT_EQ(apply(putCustomer("three", "acme", 1)), FoldResult::Rejected);
  EXPECT_EQ(revisionOf(ResourceKind::Customer, "acme"), 2U);
}

TEST_F(FoldTest, Apply_KeyOfUnknownCustomer_IsRejected) {
  apply(putKey("one", "k", "acme", m_Digest));
  EXPECT_EQ(outcomeOf("one"), ChangeOutcome::UnknownCustomer);
  EXPECT_EQ(m_Fold.snapshot()->findKey(m_Digest), nullptr);
}

TEST_F(FoldTest, Apply_CustomerWithKeyDeleted_IsRejectedUntilKeyIsGone) {
  apply(putCustomer("one", "acme"));
  apply(putKey("two", "k", "acme", m_Digest));
  apply(removal("three", ResourceKind::Customer, "acme"));
  EXPECT_EQ(outcomeOf("three"), ChangeOutcome::CustomerInUse);
  apply(removal("four", ResourceKind::Key, "k"));
  apply(removal("five", ResourceKind::Customer, "acme"));
  EXPECT_EQ(outcomeOf("five"), ChangeOutcome::Applied);
}

TEST_F(FoldTest, Apply_SecondKeyWithTheDigest_IsRejected) {
  apply(putCustomer("one", "acme"));
  apply(putKey("two", "k1", "acme", m_Digest));
  apply(putKey("three", "k2", "acme", m_Digest));
  EXPECT_EQ(outcomeOf("three"), ChangeOutcome::DigestInUse);
}

TEST_F(FoldTest, Apply_KeyReplaced_FormerDigestFindsNothing) {
  apply(putCustomer("one", "acme"));
  apply(putKey("two", "k", "acme", m_Digest));
  apply(putKey("three", "k", "acme", digestOf("b")));
  const SnapshotPtr State = m_Fold.snapshot();
  EXPECT_EQ(State->findKey(m_Digest), nullptr);
  EXPECT_NE(State->findKey(digestOf("b")), nullptr);
}

TEST_F(FoldTest, Apply_Garbage_MovesOffsetAndNothingElse) {
  apply(putCustomer("one", "acme"));
  const std::string Valid = putCustomer("two", "zeta");
  EXPECT_EQ(apply(""), FoldResult::Garbage);
  EXPECT_EQ(apply("no record"), FoldResult::Garbage);
  EXPECT_EQ(apply(Valid.substr(0, Valid.size() / 2)), FoldResult::Garbage);
  EXPECT_EQ(apply(putCustomer("three", "Not A Name")), FoldResult::Garbage);
  EXPECT_EQ(m_Fold.offset(), 5U);
  EXPECT_EQ(m_Fold.snapshot()->list(ResourceKind::Customer).size(), 1U);
}

TEST_F(FoldTest, Apply_LateCopyOfAJoin_DoesNotBringAFormerLifeBack) {
  apply(join(memberNamed("m1", 11)));
  apply(join(memberNamed("m1", 22)));
  EXPECT_EQ(apply(join(memberNamed("m1", 11))), FoldResult::Rejected);
  EXPECT_EQ(m_Fold.snapshot()->findMember("m1")->m_Incarnation, 22U);
}

TEST_F(FoldTest, Apply_JoinCorrectsItsService_MemberIsFoundByIt) {
  model::Member Who = memberNamed("m1", 11);
  Who.m_Service.clear();
  apply(join(Who));
  Who.m_Service = "bindery";
  EXPECT_EQ(apply(join(Who)), FoldResult::Applied);
  EXPECT_EQ(apply(join(Who)), FoldResult::Duplicate);
  EXPECT_EQ(m_Fold.snapshot()->membersOf("bindery").size(), 1U);
}

TEST_F(FoldTest, Apply_LeaveOfAFormerLife_DoesNotRemoveThePresentOne) {
  apply(join(memberNamed("m1", 11)));
  apply(join(memberNamed("m1", 22)));
  EXPECT_EQ(apply(leave("m1", 11)), FoldResult::Duplicate);
  EXPECT_NE(m_Fold.snapshot()->findMember("m1"), nullptr);
}

TEST_F(FoldTest, Apply_LeaveOvertakesItsJoin_JoinIsRejected) {
  apply(leave("m1", 11));
  EXPECT_EQ(apply(join(memberNamed("m1", 11))), FoldResult::Rejected);
}

TEST_F(FoldTest, Apply_FalselyDeclaredDead_SameIncarnationMayJoinAgain) {
  apply(join(memberNamed("m1", 11)));
  apply(leave("m1", 11, true));
  EXPECT_EQ(m_Fold.snapshot()->findMember("m1"), nullptr);
  EXPECT_EQ(apply(join(memberNamed("m1", 11))), FoldResult::Applied);
}

TEST_F(FoldTest, Apply_MembersOfServices_AreListedByName) {
  apply(join(memberNamed("m2", 2, "orders")));
  apply(join(memberNamed("m1", 1, "orders")));
  apply(join(memberNamed("m3", 3, "archive")));
  apply(leave("m2", 2));
  const SnapshotPtr State = m_Fold.snapshot();
  ASSERT_EQ(State->membersOf("orders").size(), 1U);
  EXPECT_EQ(State->membersOf("orders")[0]->m_Name, "m1");
  EXPECT_EQ(State->members().size(), 2U);
  EXPECT_TRUE(State->membersOf("proofs").empty());
}

TEST_F(FoldTest, Apply_TwoClaimsOfOneEpoch_FirstHolds) {
  EXPECT_EQ(apply(claim(7, 0, "m1")), FoldResult::Applied);
  EXPECT_EQ(apply(claim(7, 0, "m2")), FoldResult::Rejected);
  EXPECT_EQ(m_Fold.snapshot()->keeperOf(7).m_Name, "m1");
  EXPECT_EQ(apply(claim(7, 1, "m2")), FoldResult::Applied);
  EXPECT_EQ(m_Fold.snapshot()->keeperOf(7).m_Epoch, 2U);
  EXPECT_EQ(m_Fold.snapshot()->keeperOf(8).m_Epoch, 0U);
}

TEST_F(FoldTest, Apply_Withdrawals_CountByWhatStands) {
  const model::Member Who = memberNamed("m1", 1);
  apply(put("one", model::Withdrawal{.m_Name = "w1", .m_Subject = "dc1"}));
  apply(put("two", model::Withdrawal{.m_Name = "w2", .m_Subject = "dc1"}));
  apply(removal("three", ResourceKind::Withdrawal, "w1"));
  EXPECT_TRUE(m_Fold.snapshot()->isWithdrawn(Who));
  apply(removal("four", ResourceKind::Withdrawal, "w2"));
  EXPECT_FALSE(m_Fold.snapshot()->isWithdrawn(Who));
  apply(put("five", model::Withdrawal{.m_Name = "w3",
                                      .m_Scope = model::WithdrawalScope::Target,
                                      .m_Subject = "m1"}));
  EXPECT_TRUE(m_Fold.snapshot()->isWithdrawn(Who));
}

TEST_F(FoldTest, Snapshot_LaterChanges_DoNotShowInIt) {
  apply(putCustomer("one", "acme"));
  apply(putKey("two", "k", "acme", m_Digest));
  const SnapshotPtr Before = m_Fold.snapshot();
  apply(removal("three", ResourceKind::Key, "k"));
  apply(join(memberNamed("m1", 1)));
  EXPECT_NE(Before->findKey(m_Digest), nullptr);
  EXPECT_TRUE(Before->members().empty());
  EXPECT_EQ(Before->offset(), 2U);
}

TEST_F(FoldTest, Apply_MoreChangesThanRemembered_ForgetsTheOldestFirst) {
  for (std::size_t Count = 0; Count <= Fold::RememberedChanges; ++Count)
    apply(putCustomer("id" + std::to_string(Count), "acme"));
  EXPECT_FALSE(m_Fold.outcomeOf("id0"));
  EXPECT_TRUE(m_Fold.outcomeOf("id1"));
}

/// Random records that often collide with each other.
class FoldRandomTest : public testing::TestWithParam<unsigned> {
protected:
  std::string randomName(const char *Prefix) {
    return Prefix + std::to_string(m_Random() % 5);
  }

  std::optional<std::uint64_t> randomRevision() {
    if (m_Random() % 2 == 0)
      return std::nullopt;
    return m_Random() % 40;
  }

  std::string randomRecord() {
    const std::string ChangeId = "id" + std::to_string(m_Random() % 200);
    const model::Incarnation Life = 1 + m_Random() % 9;
    switch (m_Random() % 9) {
    case 0:
      return putCustomer(ChangeId, randomName("c"), randomRevision());
    case 1:
      return putKey(ChangeId, randomName("k"), randomName("c"),
                    digestOf(randomName("d")));
    case 2:
      return removal(ChangeId, ResourceKind::Customer, randomName("c"),
                     randomRevision());
    case 3:
      return removal(ChangeId, ResourceKind::Key, randomName("k"));
    case 4:
      return put(ChangeId, model::Rate{randomName("c"), 1, 1});
    case 5:
      return join(memberNamed(randomName("m"), Life, randomName("s")));
    case 6:
      return leave(randomName("m"), Life, m_Random() % 2 == 0);
    case 7:
      return claim(m_Random() % 3, m_Random() % 4, randomName("m"));
    default:
      return std::string(m_Random() % 40, static_cast<char>(m_Random()));
    }
  }

  std::mt19937 m_Random{GetParam()};
};

INSTANTIATE_TEST_SUITE_P(Seeds, FoldRandomTest, testing::Range(0U, 50U));

TEST_P(FoldRandomTest, Apply_FromLogOrFromAnyImage_GivesEqualStates) {
  std::vector<std::string> Records(300);
  std::generate(Records.begin(), Records.end(),
                [this] { return randomRecord(); });
  Fold FromLog;
  Fold FromImage;
  for (std::size_t Offset = 0; Offset < Records.size(); ++Offset) {
    const FoldResult Result = FromLog.apply(Offset, Records[Offset]);
    EXPECT_EQ(FromImage.apply(Offset, Records[Offset]), Result) << Offset;
    if (m_Random() % 10 == 0)
      FromImage = Fold::fromImage(FromLog.image());
    if (m_Random() % 3 == 0)
      (void)FromLog.snapshot(); // Splits the sections at other places.
  }
  EXPECT_EQ(FromLog.image(), FromImage.image());
}

} // namespace
} // namespace knapweedloft::state
