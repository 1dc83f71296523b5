#include "policy/DataCenterSpill.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <random>
#include <vector>

namespace knapweedloft::policy {
namespace {

constexpr absl::Duration Step = absl::Milliseconds(20);
constexpr double StepSeconds = 0.02;
constexpr std::size_t DataCenters = 3;

/// One service in three data centers as fluids, in virtual time. Each entry
/// side decides by reports of its own, late age; its share is of its part of
/// the demand.
class SpillModel {
public:
  struct Options {
    std::size_t m_EntrySides = 63;
    absl::Duration m_RunTime = absl::Milliseconds(200);
    /// Oldest report; those of an entry side are between a tenth and all of it.
    absl::Duration m_MaxNewsAge = absl::Milliseconds(300);
    double m_Slots = 100; ///< Of each data center.
    DataCenterSpill::Options m_Spill;
    double m_MeanBytes = 5000;
  };

  /// Demand of a data center's callers, as a share of what its targets serve.
  using Demand = std::function<double(std::size_t DataCenter, double Seconds)>;

  explicit SpillModel(Options Settings)
      : m_Settings(Settings), m_Requests(DataCenters, 0.5 * Settings.m_Slots),
        m_Slots(DataCenters, Settings.m_Slots) {
    for (std::size_t Index = 0; Index < m_Settings.m_EntrySides; ++Index) {
      double Drawn = std::uniform_real_distribution(0.1, 1.0)(m_Random);
      m_Sides.push_back({DataCenterSpill(Settings.m_Spill), Index % DataCenters,
                         m_Settings.m_MaxNewsAge * Drawn,
                         static_cast<std::size_t>(1 + Index % 5)});
    }
  }

  void run(double Seconds, const Demand &Wanted) {
    for (double Until = m_Seconds + Seconds; m_Seconds < Until;
         m_Seconds += StepSeconds)
      step(Wanted);
  }

  /// \returns the share of a data center's requests that leaves now.
  [[nodiscard]] double share(std::size_t DataCenter) const {
    double Sum = 0;
    int Count = 0;
    for (const Side &One : m_Sides)
      if (One.m_DataCenter == DataCenter) {
        Sum += One.m_Spill.share();
        ++Count;
      }
    return Sum / Count;
  }

  /// \returns the largest difference between two entry sides of one.
  [[nodiscard]] double spread(std::size_t DataCenter) const {
    double Least = 1;
    double Most = 0;
    for (const Side &One : m_Sides)
      if (One.m_DataCenter == DataCenter) {
        Least = std::min(Least, One.m_Spill.share());
        Most = std::max(Most, One.m_Spill.share());
      }
    return Most - Least;
  }

  [[nodiscard]] double fullness(std::size_t DataCenter) const {
    return m_Requests[DataCenter] / m_Slots[DataCenter];
  }
  void setSlots(std::size_t DataCenter, double Slots) {
    m_Slots[DataCenter] = Slots;
  }
  void setAddedTime(absl::Duration Added) { m_AddedTime = Added; }
  /// Reports of a data center come no more, as behind a cut.
  void setCut(std::size_t DataCenter, bool IsCut) {
    m_IsCut[DataCenter] = IsCut;
  }
  void onStep(std::function<void()> Watch) { m_Watch = std::move(Watch); }

private:
  struct Side {
    DataCenterSpill m_Spill;
    std::size_t m_DataCenter;
    absl::Duration m_NewsAge;
    std::size_t m_Phase; ///< Of its updates, in steps.
  };

  [[nodiscard]] DataCenterRoom room(const Side &By,
                                    std::size_t DataCenter) const {
    auto Steps = static_cast<std::size_t>(By.m_NewsAge / Step);
    const std::vector<double> &Then =
        m_Past.empty() ? m_Requests
                       : m_Past[std::min(Steps, m_Past.size() - 1)];
    return {.m_Slots = m_IsCut[DataCenter] ? 0 : m_Slots[DataCenter],
            .m_Requests = Then[DataCenter],
            .m_RunTime = m_Settings.m_RunTime,
            .m_AddedTime = m_AddedTime,
            .m_NewsAge = By.m_NewsAge};
  }

  void step(const Demand &Wanted) {
    m_Now += Step;
    m_Past.push_front(m_Requests);
    if (m_Past.size() > 50)
      m_Past.pop_back();
    ++m_Steps;
    double RunSeconds = absl::ToDoubleSeconds(m_Settings.m_RunTime);
    std::vector<double> Arriving(DataCenters, 0.0);
    std::size_t SidesEach = m_Sides.size() / DataCenters;
    for (Side &One : m_Sides) {
      std::vector<std::size_t> Others;
      std::vector<DataCenterRoom> Rooms;
      for (std::size_t Other = 0; Other < DataCenters; ++Other)
        if (Other != One.m_DataCenter) {
          Others.push_back(Other);
          Rooms.push_back(room(One, Other));
        }
      if (m_Steps % 3 == One.m_Phase % 3)
        One.m_Spill.update(room(One, One.m_DataCenter), Rooms,
                           m_Settings.m_MeanBytes, m_Now);
      double PerSecond = Wanted(One.m_DataCenter, m_Seconds) *
                         m_Settings.m_Slots / RunSeconds /
                         static_cast<double>(SidesEach);
      double Left = 0;
      int Draws = std::max<int>(5, 100 / static_cast<int>(SidesEach));
      for (int Draw = 0; Draw < Draws; ++Draw)
        if (auto Chosen = One.m_Spill.choose(
                {.m_Bytes = m_Settings.m_MeanBytes}, m_Random)) {
          Arriving[Others[*Chosen]] += PerSecond / Draws;
          Left += PerSecond / Draws;
        }
      Arriving[One.m_DataCenter] += PerSecond - Left;
    }
    for (std::size_t Index = 0; Index < DataCenters; ++Index) {
      double Served = std::min(m_Requests[Index], m_Slots[Index]) / RunSeconds;
      m_Requests[Index] = std::max(
          0.0, m_Requests[Index] + (Arriving[Index] - Served) * StepSeconds);
    }
    if (m_Watch)
      m_Watch();
  }

  Options m_Settings;
  std::mt19937_64 m_Random{7};
  std::vector<Side> m_Sides;
  std::vector<double> m_Requests;
  std::vector<double> m_Slots;
  std::vector<bool> m_IsCut = std::vector<bool>(DataCenters, false);
  std::deque<std::vector<double>> m_Past;
  absl::Duration m_AddedTime = absl::Milliseconds(3);
  absl::Time m_Now = absl::UnixEpoch();
  double m_Seconds = 0;
  std::size_t m_Steps = 0;
  std::function<void()> m_Watch;
};

double calm(std::size_t, double) { return 0.5; }

/// The first data center has 1.4 times the demand that it serves.
double uneven(std::size_t DataCenter, double) {
  return DataCenter == 0 ? 1.4 : 0.5;
}
constexpr double UnevenIdeal = 1 - 1 / 1.4;

/// Least and most of a value over time.
struct Range {
  double m_Least = 1e9;
  double m_Most = 0;

  void add(double Value) {
    m_Least = std::min(m_Least, Value);
    m_Most = std::max(m_Most, Value);
  }
};

/// By the number of entry sides, with the same demand in all.
class DataCenterSpillTest : public testing::TestWithParam<std::size_t> {
protected:
  /// \returns the shares of the first data center while the model runs.
  Range shares(double Seconds, const SpillModel::Demand &Wanted) {
    Range Shares;
    m_Model.onStep([&] { Shares.add(m_Model.share(0)); });
    m_Model.run(Seconds, Wanted);
    return Shares;
  }

  /// \returns the longest queue anywhere, in slots, with what runs.
  double longest(double Seconds, const SpillModel::Demand &Wanted) {
    Range Fullness;
    m_Model.onStep([&] {
      for (std::size_t Index = 0; Index < DataCenters; ++Index)
        Fullness.add(m_Model.fullness(Index));
    });
    m_Model.run(Seconds, Wanted);
    return Fullness.m_Most;
  }

  SpillModel m_Model{{.m_EntrySides = GetParam()}};
};

INSTANTIATE_TEST_SUITE_P(EntrySides, DataCenterSpillTest,
                         testing::Values(3, 12, 63, 300));

TEST_P(DataCenterSpillTest, Update_RoomEverywhere_NothingLeaves) {
  Range Shares = shares(10, [](std::size_t DataCenter, double) {
    return DataCenter == 0 ? 0.95 : 0.3;
  });
  EXPECT_LT(Shares.m_Most, 0.01);
}

TEST_P(DataCenterSpillTest, Update_DemandSteps_ShareIsIdealAfterFiveSeconds) {
  m_Model.run(3, calm);
  EXPECT_LT(shares(5, uneven).m_Most, UnevenIdeal + 0.15);
  Range Later = shares(15, uneven);
  EXPECT_GT(Later.m_Least, UnevenIdeal - 0.05);
  EXPECT_LT(Later.m_Most, UnevenIdeal + 0.05);
  EXPECT_LT(m_Model.share(1) + m_Model.share(2), 0.01);
  EXPECT_LT(m_Model.spread(0), 0.1);
  EXPECT_LT(longest(5, uneven), 1.2);
}

TEST_P(DataCenterSpillTest, Update_DemandStepsDown_NoneLeavesAfterASecond) {
  m_Model.run(10, uneven);
  m_Model.run(1, calm);
  EXPECT_LT(shares(5, calm).m_Most, 0.01);
}

TEST_P(DataCenterSpillTest, Update_HalfOfTheCallersMove_QueueEndsInTime) {
  auto Moved = [](std::size_t DataCenter, double) {
    return DataCenter == 0 ? 1.5 : 0.45;
  };
  m_Model.run(3, [](std::size_t, double) { return 0.8; });
  // If none left, ten times the slots would wait after four seconds.
  EXPECT_LT(longest(4, Moved), 3.5);
  m_Model.run(2, Moved);
  EXPECT_LT(longest(4, Moved), 1.5);
}

/// Demand in waves with other phases; together it always fits.
class DataCenterSpillWaveTest : public testing::TestWithParam<double> {};

INSTANTIATE_TEST_SUITE_P(Periods, DataCenterSpillWaveTest,
                         testing::Values(11.0, 17.0));

TEST_P(DataCenterSpillWaveTest, Update_WavesWithOtherPhases_ShareFollows) {
  SpillModel Model({});
  auto Wave = [](std::size_t DataCenter, double Seconds) {
    double Phase = Seconds / GetParam() + static_cast<double>(DataCenter) / 3;
    return 0.85 + 0.4 * std::sin(2 * std::numbers::pi * Phase);
  };
  Model.run(GetParam(), Wave);
  Range Fullness;
  Range Both; // Two that send to each other would swing.
  Model.onStep([&] {
    for (std::size_t Index = 0; Index < DataCenters; ++Index)
      Fullness.add(Model.fullness(Index));
    Both.add(std::min(Model.share(0), Model.share(1)));
  });
  Model.run(2 * GetParam(), Wave);
  EXPECT_LT(Fullness.m_Most, 1.8);
  EXPECT_LT(Both.m_Most, 0.15);
}

TEST(DataCenterSpillFaultTest, Update_AllAreFull_NothingLeaves) {
  SpillModel Model({});
  auto Full = [](std::size_t, double) { return 1.2; };
  Model.run(3, Full);
  Range Shares;
  Model.onStep([&] {
    for (std::size_t Index = 0; Index < DataCenters; ++Index)
      Shares.add(Model.share(Index));
  });
  Model.run(10, Full);
  EXPECT_LT(Shares.m_Most, 0.05);
}

TEST(DataCenterSpillFaultTest, Update_LinksAreSqueezed_ShareFalls) {
  SpillModel Model({});
  Model.run(10, uneven);
  Model.setAddedTime(absl::Seconds(2));
  Model.run(2, uneven);
  EXPECT_LT(Model.share(0), 0.01);
}

TEST(DataCenterSpillFaultTest, Update_OthersAreCut_NothingLeaves) {
  SpillModel Model({});
  Model.run(10, uneven);
  Model.setCut(1, true);
  Model.run(5, uneven);
  EXPECT_NEAR(Model.share(0), UnevenIdeal, 0.08);
  Model.setCut(2, true);
  Model.run(0.2, uneven);
  EXPECT_EQ(Model.share(0), 0);
}

TEST(DataCenterSpillFaultTest, Update_OtherIsBackCold_IsNotFlooded) {
  SpillModel Model({});
  auto Wanted = [](std::size_t DataCenter, double) {
    return DataCenter == 0 ? 1.4 : DataCenter == 1 ? 0.02 : 0.5;
  };
  Model.setCut(1, true);
  Model.run(10, Wanted);
  Model.setSlots(1, 5);
  Model.setCut(1, false);
  double Longest = 0;
  Model.onStep([&] { Longest = std::max(Longest, Model.fullness(1)); });
  Model.run(10, Wanted);
  EXPECT_LT(Longest, 2);
}

TEST(DataCenterSpillFaultTest, Update_PriceAboveTheGain_NothingLeaves) {
  auto Short = [](std::size_t DataCenter, double) {
    return DataCenter == 0 ? 1.02 : 0.5;
  };
  SpillModel Model({.m_MeanBytes = 1e6});
  Model.run(5, Short);
  EXPECT_LT(Model.share(0), 0.01);
}

TEST(DataCenterSpillFaultTest, Choose_HasCrossedBefore_Stays) {
  DataCenterSpill Spill({});
  std::mt19937_64 Random(1);
  DataCenterRoom Home{
      .m_Slots = 10, .m_Requests = 100, .m_RunTime = absl::Seconds(1)};
  DataCenterRoom Other{.m_Slots = 10, .m_RunTime = absl::Seconds(1)};
  absl::Time Now = absl::UnixEpoch();
  for (int Index = 0; Index < 50; ++Index)
    Spill.update(Home, {Other}, 1000, Now += absl::Milliseconds(100));
  ASSERT_EQ(Spill.share(), 1);
  EXPECT_EQ(Spill.choose({.m_Bytes = 1000}, Random), 0U);
  EXPECT_FALSE(Spill.choose({.m_Bytes = 1000, .m_HasCrossed = true}, Random));
  // A megabyte costs a second of waiting; the gain counts up to a quarter.
  EXPECT_FALSE(Spill.choose({.m_Bytes = 1e6}, Random));
}

TEST(DataCenterSpillFaultTest, Update_NoTargetAtHome_LeavesItToTheChooser) {
  DataCenterSpill Spill({});
  Spill.update({}, {{.m_Slots = 10, .m_RunTime = absl::Seconds(1)}}, 1000,
               absl::UnixEpoch());
  EXPECT_EQ(Spill.share(), 0);
}

} // namespace
} // namespace knapweedloft::policy
